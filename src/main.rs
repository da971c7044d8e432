//! The program `mothproxy`: a dispatcher, and sub-commands for its files.
#![forbid(unsafe_code)]

mod cli;

fn main() -> std::process::ExitCode {
    cli::main()
}
