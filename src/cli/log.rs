//! Log lines on standard error, by `tracing`. In text form a line is its message alone: docs/on-call.md names their words.

use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

struct Plain;

#[derive(Default)]
struct Line {
    message: String,
    fields: String,
}

impl Visit for Line {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write;
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        }; // a String takes all
    }
}

impl<S, N> FormatEvent<S, N> for Plain
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = Line::default();
        event.record(&mut line);
        writeln!(out, "{}{}", line.message, line.fields)
    }
}

/// Lines go to standard error from now on.
pub fn start(json: bool) {
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(tracing::Level::INFO);
    let set = match json {
        true => builder.json().flatten_event(true).with_target(false).try_init(),
        false => builder.event_format(Plain).try_init(),
    };
    if let Err(error) = set {
        eprintln!("mothproxy: no log: {error}");
    }
}
