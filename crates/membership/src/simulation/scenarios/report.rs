//! The measurements of scenarios, and the checks that failed.

use std::collections::BTreeMap;

/// The measurements by name, and the checks that failed.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// The measurements, rounded to thousandths.
    pub metrics: BTreeMap<String, f64>,
    /// A description of each check that failed.
    pub violations: Vec<String>,
}

impl Report {
    pub(super) fn record(&mut self, name: impl Into<String>, value: f64) {
        self.metrics.insert(name.into(), (value * 1000.0).round() / 1000.0);
    }

    /// Records the quantile of some values, under this name.
    pub(super) fn record_quantile(&mut self, name: String, fraction: f64, values: impl Iterator<Item = f64>) {
        self.record(name, quantile(&mut values.collect::<Vec<f64>>(), fraction));
    }

    /// Records the mean of some values, under this name.
    pub(super) fn record_mean(
        &mut self,
        name: impl Into<String>,
        values: impl ExactSizeIterator<Item = f64>,
    ) {
        let count = values.len() as f64;
        self.record(name, values.sum::<f64>() / count);
    }

    /// Records a violation unless `holds`.
    pub(super) fn check(&mut self, holds: bool, violation: impl Into<String>) {
        if !holds {
            self.violations.push(violation.into());
        }
    }

    pub(super) fn merge(&mut self, other: Report) {
        self.metrics.extend(other.metrics);
        self.violations.extend(other.violations);
    }

    /// The report as one line of JSON.
    pub fn json(&self) -> String {
        let metrics: Vec<String> =
            self.metrics.iter().map(|(name, value)| format!("{name:?}:{value}")).collect();
        let violations: Vec<String> =
            self.violations.iter().map(|violation| format!("{violation:?}")).collect();
        format!("{{{},\"broken\":[{}]}}", metrics.join(","), violations.join(","))
    }
}

/// The smallest value that at least this fraction of the values does not exceed; NaN if there are no values.
fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = ((values.len() as f64 * fraction).ceil() as usize).clamp(1, values.len().max(1));
    values.get(rank - 1).copied().unwrap_or(f64::NAN)
}
