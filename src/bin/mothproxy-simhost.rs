//! The program `mothproxy-simhost`: hosts dispatchers behind the line protocol of [`mothproxy::policy::simulator`], on standard
//! input and output.
#![forbid(unsafe_code)]

use mothproxy::policy::simulator::Host;
use std::io::{self, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|info| eprintln!("mothproxy-simhost: {info}")));
    let mut out = BufWriter::new(io::stdout().lock());
    match Host::default().serve(io::stdin().lock(), &mut out).and_then(|()| Ok(out.flush()?)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mothproxy-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
