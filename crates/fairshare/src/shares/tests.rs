//! Tests of the lending of unused shares.

use super::{Installation, ShareTree, Shares, Tenant};

fn tree(installations: &[(u32, &[u32])]) -> ShareTree {
    let tenant = |i: usize, t: usize, weight| Tenant { name: format!("{i}/{t}"), weight, classes: vec![] };
    let installations = installations.iter().enumerate().map(|(i, (weight, tenants))| Installation {
        name: i.to_string(),
        weight: *weight,
        tenants: tenants.iter().enumerate().map(|(t, w)| tenant(i, t, *w)).collect(),
    });
    ShareTree::new(&Shares { installations: installations.collect() }, 1_200).unwrap()
}

/// The weights of the installations and their tenants, the needs of the tenants, and the expected allowances.
type Row = (&'static [(u32, &'static [u32])], &'static [u64], &'static [u64]);

#[test]
fn unused_shares_are_lent_down_the_tree() {
    let rows: &[Row] = &[
        // All need more than their share: each gets its share.
        (&[(1, &[1, 1]), (2, &[1])], &[900, 900, 900], &[200, 200, 800]),
        // One tenant is idle: its share goes to the other tenant of its installation.
        (&[(1, &[1, 1]), (2, &[1])], &[0, 900, 900], &[200, 400, 800]),
        // An installation needs half of its share: the rest goes to the tenants of the other one, by weight.
        (&[(1, &[1, 3]), (2, &[1])], &[900, 900, 400], &[200, 600, 800]),
        // A tenant or installation of weight 0 gets nothing while another needs its whole share, and otherwise the rest.
        (&[(1, &[0, 1])], &[500, 1_200], &[0, 1_200]),
        (&[(1, &[0, 1])], &[500, 300], &[900, 1_200]),
        (&[(1, &[0, 0])], &[5, 5], &[600, 600]),
        (&[(0, &[1]), (1, &[1])], &[5, 200], &[1_000, 1_200]),
    ];
    for (n, (weights, needs, allowances)) in rows.iter().enumerate() {
        let mut tree = tree(weights);
        tree.lend(1_200, needs);
        let actual: Vec<u64> = tree.leaves.iter().map(|leaf| leaf.allowance).collect();
        assert_eq!(&actual, allowances, "row {n}");
    }
}
