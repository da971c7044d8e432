//! Load reports in one line: `inflight=7,queue=2,util=0.61`.

/// The name=value pairs of a report, in their order; an item that does not read as a pair of a name and a finite number is
/// skipped.
pub fn parse_pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|item| {
        let (name, value) = item.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    })
}
