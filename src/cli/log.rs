//! Log lines on standard error, by `tracing`. In text form, a line is the event's message followed by its fields. docs/on-call.md
//! lists the messages.

use clap::ValueEnum;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The format of log lines.
#[derive(Clone, Copy, Default, PartialEq, ValueEnum)]
pub(super) enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// Writes an event as its message and its fields, without time, level or target.
struct PlainFormat;

#[derive(Default)]
struct PlainLine {
    message: String,
    fields: String,
}

impl Visit for PlainLine {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write;
        let _ = match field.name() {
            "message" => write!(self.message, "{value:?}"),
            name => write!(self.fields, " {name}={value:?}"),
        }; // writing to a String cannot fail
    }
}

impl<S, N> FormatEvent<S, N> for PlainFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let mut line = PlainLine::default();
        event.record(&mut line);
        writeln!(out, "{}{}", line.message, line.fields)
    }
}

/// Starts to write log lines to standard error. If that fails, prints the reason; nothing is logged then.
pub(super) fn start(format: LogFormat) {
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(tracing::Level::INFO);
    let started = match format {
        LogFormat::Json => builder.json().flatten_event(true).with_target(false).try_init(),
        LogFormat::Text => builder.event_format(PlainFormat).try_init(),
    };
    if let Err(error) = started {
        eprintln!("mothproxy: cannot start the log: {error}");
    }
}
