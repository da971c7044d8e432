//! The fuzzy capability of a worker: nine rules over its CPU utilisation and a second load input.

/// The output of each rule, from 0 (no capability) to 5 (full capability). The rows are the sets of the CPU
/// utilisation (low, middle, high), the columns those of the second input.
const RULE_BASE: [[u8; 3]; 3] = [[5, 4, 2], [4, 3, 1], [2, 1, 0]];

/// The degrees, 0 to 1, to which an input belongs to the sets low, middle and high.
fn memberships(input: f64) -> [f64; 3] {
    let doubled = 2.0 * input.clamp(0.0, 1.0);
    [(1.0 - doubled).max(0.0), 1.0 - (doubled - 1.0).abs(), (doubled - 1.0).max(0.0)]
}

/// The fuzzy capability, 0 to 1. The nine rules weigh six output sets, which are equal triangles; the score
/// is their centroid.
pub fn capability(cpu: f64, load: f64) -> f64 {
    let cpu = memberships(cpu);
    let load = memberships(load);
    let rule = |row: usize, column: usize| cpu[row] * load[column] * f64::from(RULE_BASE[row][column]) / 5.0;
    (0..9).map(|index| rule(index / 3, index % 3)).sum()
}
