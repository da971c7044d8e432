//! A parser of load reports on one line, such as `inflight=7,queue=2,util=0.61`.

/// The name=value pairs of a report, in their order. Items that are not a name with a finite number are skipped.
pub fn parse_pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|item| {
        let (name, value) = item.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|value| value.is_finite())?;
        Some((name.trim(), value))
    })
}
