//! The fuzzy capability of a worker: nine rules over its CPU utilisation and a second load input.

/// Capability, 0 (none) to 5 (full), by the set of the CPU (rows: low, middle, high) and of the second input.
const RULE_BASE: [[u8; 3]; 3] = [[5, 4, 2], [4, 3, 1], [2, 1, 0]];

/// Membership of an input, 0 to 1, in the sets low, middle and high.
fn memberships(input: f64) -> [f64; 3] {
    let doubled = 2.0 * input.clamp(0.0, 1.0);
    [(1.0 - doubled).max(0.0), 1.0 - (doubled - 1.0).abs(), (doubled - 1.0).max(0.0)]
}

/// Fuzzy capability, 0 to 1: nine rules weigh six equal output triangles, whose centroid is the score.
pub fn capability(cpu: f64, load: f64) -> f64 {
    let cpu = memberships(cpu);
    let load = memberships(load);
    let rule = |row: usize, column: usize| cpu[row] * load[column] * f64::from(RULE_BASE[row][column]) / 5.0;
    (0..9).map(|index| rule(index / 3, index % 3)).sum()
}
