//! What dispatchers believe of each other, as their admin pages and logs say. Shared by tests/membership/ and
//! examples/proof_membership.rs.
#![allow(dead_code)] // each of its users needs a part

use mothproxy_testkit::fleet::Fleet;
use serde_json::Value;

/// The page of one dispatcher, if it answers.
pub fn members_page(fleet: &Fleet, i: usize) -> Option<Value> {
    let answer = fleet.admin(i, "/control/members").filter(|answer| answer.status == 200)?;
    serde_json::from_str(&answer.body).ok()
}

/// The state that one dispatcher believes each member to be in, in order; empty if it does not answer.
pub fn member_states(fleet: &Fleet, i: usize) -> Vec<String> {
    let page = members_page(fleet, i).unwrap_or_default();
    let rows = page["members"].as_array().cloned().unwrap_or_default();
    rows.iter().map(|row| row["state"].as_str().unwrap_or("?").to_owned()).collect()
}

/// A metric of one dispatcher's membership page; 0 if it does not answer.
pub fn membership_metric(fleet: &Fleet, i: usize, name: &str) -> u64 {
    members_page(fleet, i).and_then(|page| page["figures"][name].as_u64()).unwrap_or(0)
}

/// The epoch of a member's process, as one dispatcher knows it; 0 if it does not answer.
pub fn member_epoch(fleet: &Fleet, i: usize, member: usize) -> u64 {
    members_page(fleet, i).and_then(|page| page["members"][member]["epoch"].as_u64()).unwrap_or(0)
}

/// Whether each of these dispatchers believes these members to be in this state.
pub fn all_observe(fleet: &Fleet, by: &[usize], members: &[usize], state: &str) -> bool {
    by.iter().all(|i| {
        let seen = member_states(fleet, *i);
        members.iter().all(|member| seen.get(*member).is_some_and(|s| s == state))
    })
}

/// A change of state that a dispatcher logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StateChange {
    /// The dispatcher that logged it.
    pub by: usize,
    /// The member that changed.
    pub member: usize,
    /// When it was read, in microseconds of the harness's clock.
    pub at: u64,
}

/// Changes to the state `to` in the logs of these dispatchers since a time.
pub fn state_changes(fleet: &Fleet, by: &[usize], to: &str, since: u64) -> Vec<StateChange> {
    let mut found = Vec::new();
    for &by in by {
        for line in fleet.log(by).iter().filter(|line| line.at >= since) {
            let Some(rest) = line.text.strip_prefix("member ") else { continue };
            let member = rest.split(' ').next().and_then(|number| number.parse().ok());
            if let Some(member) = member.filter(|_| rest.contains(&format!(" to {to},"))) {
                found.push(StateChange { by, member, at: line.at });
            }
        }
    }
    found
}
