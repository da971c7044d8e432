//! The model's stories. `membership_model [SEEDS] [LARGE] [FIRST] [skip]`: seeds of each story, seeds with 3,000 members,
//! the first seed, and the seeded mistake. The last line is JSON; the exit code is 1 where something did not hold.

use mothproxy_membership::simulation::{Extent, proof, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, or: u64| args.get(at).and_then(|a| a.parse().ok()).unwrap_or(or);
    let skip_suspicion = args.iter().any(|a| a == "skip");
    let extent = Extent { seeds: number(0, 20), large: number(1, 1), first: number(2, 1), skip_suspicion };
    let report = if skip_suspicion { run(extent) } else { proof(extent) };
    for (name, value) in &report.figures {
        println!("{name:34} {value:>12}");
    }
    report.broken.iter().for_each(|what| println!("BROKEN: {what}"));
    println!("{}", report.json());
    ExitCode::from(u8::from(!report.broken.is_empty()))
}
