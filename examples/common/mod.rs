//! Code shared by the proofs: running a part of a proof as a command.

use std::process::Command;

/// Runs a part of a proof as a command with these environment variables. Returns the output. If the command fails, prints the
/// output and returns `None`.
pub fn run_part(name: &str, environment: &[(&str, &str)], command: &[&str]) -> Option<String> {
    let run = Command::new(command[0]).args(&command[1..]).envs(environment.iter().copied()).output();
    let (succeeded, text) = match run {
        Ok(done) => {
            let both = [done.stdout, done.stderr].concat();
            (done.status.success(), String::from_utf8_lossy(&both).into_owned())
        }
        Err(error) => (false, error.to_string()),
    };
    println!("{name}: {}", if succeeded { "held" } else { "FAILED" });
    if !succeeded {
        println!("{text}");
    }
    succeeded.then_some(text)
}
