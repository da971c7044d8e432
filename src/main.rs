//! The program: serves as a dispatcher, or does one of the smaller jobs that its sub-commands name.
#![forbid(unsafe_code)]

mod cli;

fn main() -> std::process::ExitCode {
    cli::main()
}
