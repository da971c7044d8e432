//! What the proofs share: running a part as a command.

use std::process::Command;

/// Runs a part of a proof as a command with these variables. Returns its output, or `None` after showing it if it failed.
pub fn run_part(name: &str, environment: &[(&str, &str)], command: &[&str]) -> Option<String> {
    let run = Command::new(command[0]).args(&command[1..]).envs(environment.iter().copied()).output();
    let (held, text) = match run {
        Ok(done) => {
            let both = [done.stdout, done.stderr].concat();
            (done.status.success(), String::from_utf8_lossy(&both).into_owned())
        }
        Err(error) => (false, error.to_string()),
    };
    println!("{name}: {}", if held { "held" } else { "FAILED" });
    if !held {
        println!("{text}");
    }
    held.then_some(text)
}
