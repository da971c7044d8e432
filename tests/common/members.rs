//! What dispatchers believe of each other, as their second addresses tell it. Shared by tests/membership.rs and
//! examples/proof_membership.rs.
#![allow(dead_code)]

use mothproxy_testkit::fleet::Fleet;
use serde_json::Value;

/// The page of one dispatcher, if it answers.
pub fn page(fleet: &Fleet, i: usize) -> Option<Value> {
    let answer = fleet.admin(i, "/control/members").filter(|answer| answer.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}

/// What one dispatcher believes of each place, in order; empty if it does not answer.
pub fn states(fleet: &Fleet, i: usize) -> Vec<String> {
    let page = page(fleet, i).unwrap_or_default();
    let rows = page["members"].as_array().cloned().unwrap_or_default();
    rows.iter().map(|row| row["state"].as_str().unwrap_or("?").to_owned()).collect()
}

/// A figure of one dispatcher's page.
pub fn figure(fleet: &Fleet, i: usize, name: &str) -> u64 {
    page(fleet, i).and_then(|page| page["figures"][name].as_u64()).unwrap_or(0)
}

/// The start of the process at a place, as one dispatcher knows it.
pub fn epoch(fleet: &Fleet, i: usize, of: usize) -> u64 {
    page(fleet, i).and_then(|page| page["members"][of]["epoch"].as_u64()).unwrap_or(0)
}

/// Whether each of these dispatchers believes this of these places.
pub fn all_hold(fleet: &Fleet, by: &[usize], of: &[usize], state: &str) -> bool {
    by.iter().all(|i| {
        let seen = states(fleet, *i);
        of.iter().all(|place| seen.get(*place).is_some_and(|s| s == state))
    })
}

/// Changes to `to` that the logs of these dispatchers name: by whom, of whom, and when it was read.
pub fn changes(fleet: &Fleet, by: &[usize], to: &str, since: u64) -> Vec<(usize, usize, u64)> {
    let mut found = Vec::new();
    for i in by {
        for line in fleet.log(*i).iter().filter(|line| line.at >= since) {
            let Some(rest) = line.text.strip_prefix("member ") else { continue };
            let place = rest.split(' ').next().and_then(|n| n.parse().ok());
            if let Some(place) = place.filter(|_| rest.contains(&format!(" to {to},"))) {
                found.push((*i, place, line.at));
            }
        }
    }
    found
}
