//! Load reports: `inflight=7,queue=2,util=0.61`.

/// The name=value pairs of a report; what does not read as one is passed over.
pub fn pairs(text: &str) -> impl Iterator<Item = (&str, f64)> {
    text.split(',').filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite())?;
        Some((name.trim(), value))
    })
}
