//! `mothproxy store dump`: all records as JSON lines.

use super::record::record_line;
use super::{log_damage, require_store};
use crate::cli::error::CommandError;
use mothproxy_store::{OpenedReader, open_reader};
use std::io::{BufWriter, Write};
use std::path::Path;

/// Prints every readable record. Damage is logged, and the command then fails at the end.
///
/// # Errors
/// [`CommandError`] if there is no store, it cannot be opened or it is damaged.
pub(super) fn run(dir: &Path) -> Result<(), CommandError> {
    require_store(dir)?;
    let OpenedReader { snapshot, recovery, lock: _lock } = open_reader(dir)?;
    log_damage(&recovery);
    let mut damaged = recovery.damage.len();
    let mut out = BufWriter::new(std::io::stdout().lock());
    for record in snapshot.iter_from(&[]) {
        match record {
            Ok((key, value)) => {
                if writeln!(out, "{}", record_line(key, value)).is_err() {
                    return Ok(()); // the reader has closed standard output
                }
            }
            Err(error) => {
                damaged += 1;
                tracing::warn!("{error}");
            }
        }
    }
    let _ = out.flush(); // a closed standard output is not an error, as above
    if damaged == 0 { Ok(()) } else { Err(CommandError::DamageSkipped { dir: dir.to_owned(), damaged }) }
}
