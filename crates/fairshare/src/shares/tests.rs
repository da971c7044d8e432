//! Lending of unused shares.

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

/// Weights, needs, then what each may have.
type Row = (&'static [(u32, &'static [u32])], &'static [u64], &'static [u64]);

#[test]
fn unused_shares_are_lent_down_the_tree() {
    let rows: &[Row] = &[
        // All hungry: shares.
        (&[(1, &[1, 1]), (2, &[1])], &[900, 900, 900], &[200, 200, 800]),
        // One idle: first to its sibling, which does not need a tree to get it.
        (&[(1, &[1, 1]), (2, &[1])], &[0, 900, 900], &[200, 400, 800]),
        // A whole installation uses half: the rest goes to the other, by weight.
        (&[(1, &[1, 3]), (2, &[1])], &[900, 900, 400], &[200, 600, 800]),
        // Weight 0: nothing while another wants it, else all that is left.
        (&[(1, &[0, 1])], &[500, 1_200], &[0, 1_200]),
        (&[(1, &[0, 1])], &[500, 300], &[900, 1_200]),
        (&[(1, &[0, 0])], &[5, 5], &[600, 600]),
        (&[(0, &[1]), (1, &[1])], &[5, 200], &[1_000, 1_200]),
    ];
    for (n, (weights, needs, allowances)) in rows.iter().enumerate() {
        let mut tree = tree(weights);
        tree.lend(1_200, needs);
        let got: Vec<u64> = tree.leaves.iter().map(|leaf| leaf.allowance).collect();
        assert_eq!(&got, allowances, "row {n}");
    }
}
