//! The program `mothproxy`: the dispatcher, and sub-commands that work on its files.
#![forbid(unsafe_code)]

mod cli;

fn main() -> std::process::ExitCode {
    cli::main()
}
