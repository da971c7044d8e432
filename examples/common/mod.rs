//! What the proofs share.

use std::process::Command;

/// Runs a command; its output, or `None` after showing it where it failed.
pub fn part(name: &str, vars: &[(&str, &str)], words: &[&str]) -> Option<String> {
    let run = Command::new(words[0]).args(&words[1..]).envs(vars.iter().copied()).output();
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
