//! The second address, for the staff and the platform: whether this process takes clients, its figures, and drain. One call
//! a connection; a 2xx answer means yes, any other no.

use super::platform::Reject;
use crate::fleet::LearnersFigures;
use crate::http::{Piece, Request};
use mothproxy_membership::Metrics as MemberMetrics;
use serde_json::json;

/// What is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Counters,
    /// The other dispatchers, and what is believed of them.
    Members,
    /// Drain: take leave of clients, and go on running.
    OutOfService,
    /// The end of a drain.
    InService,
}

/// Settles what a call asks for.
pub fn route(buf: &[u8], head: &Request) -> Result<AdminCall, Reject> {
    let target = std::str::from_utf8(&buf[head.target.clone()]).map_err(|_| Reject::BadRequest)?;
    let (call, method) = match target.split(['?', '#']).next().unwrap_or("") {
        "/control/ready" => (AdminCall::Ready, "GET"),
        "/control/counters" => (AdminCall::Counters, "GET"),
        "/control/members" => (AdminCall::Members, "GET"),
        "/control/out-of-service" => (AdminCall::OutOfService, "PUT"),
        "/control/in-service" => (AdminCall::InService, "PUT"),
        _ => return Err(Reject::NoSuchPath),
    };
    if &buf[head.method.clone()] == method.as_bytes() { Ok(call) } else { Err(Reject::WrongMethod(method)) }
}

/// What is counted of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassMetrics {
    /// Its name.
    pub name: String,
    /// Jobs served.
    pub served: u64,
    /// Jobs refused.
    pub rejected: u64,
    /// Jobs failed.
    pub failed: u64,
}

/// What is noted of keyed jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdempotencyMetrics {
    /// Keys that are remembered.
    pub keys: usize,
    /// Notes that could not be written.
    pub failures: u64,
    /// Repeats that got a kept result.
    pub repeats_answered: u64,
    /// Repeats of jobs that may have run: they went on in their pod only, or were failed.
    pub repeats_bound: u64,
    /// Keys forgotten before their time, for want of room.
    pub evicted: u64,
}

/// Jobs apart from their streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamMetrics {
    /// Jobs that are known.
    pub jobs: usize,
    /// Streams that watch them.
    pub watchers: usize,
    /// Bytes that their events take.
    pub bytes: usize,
    /// Jobs handed in to be watched.
    pub handed_in: u64,
    /// Events that watchers were told they had missed.
    pub missed: u64,
    /// Progress left out for slow watchers.
    pub coalesced: u64,
    /// Finished jobs forgotten before their time.
    pub evicted: u64,
}

/// What is believed of one place among the peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRow {
    /// The place.
    pub place: u16,
    /// Its address, as this process reaches it.
    pub address: String,
    /// `unknown`, `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// The start of the process there, in milliseconds of Unix time; 0 while unknown.
    pub epoch: u64,
    /// How often the member itself has refuted a doubt.
    pub incarnation: u32,
    /// How long it has been believed, in milliseconds.
    pub for_ms: u64,
}

/// The members, as this process sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembersPage {
    /// The own place.
    pub me: u32,
    /// Grows by one with every change of the view.
    pub version: u64,
    /// All places.
    pub members: Vec<MemberRow>,
    /// What was counted.
    pub figures: MemberMetrics,
}

/// The figures of this process, counted from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MetricsSnapshot {
    /// Each class, those without jobs included.
    pub classes: Vec<ClassMetrics>,
    /// Attempts written whole to workers.
    pub attempts_written: u64,
    /// Jobs taken and not ended.
    pub open: u64,
    /// Workers in the server table.
    pub listed: usize,
    /// Those of them that the module is avoiding.
    pub avoided: usize,
    /// Files accepted at SIGHUP.
    pub reloads: u64,
    /// Files turned down at SIGHUP.
    pub bad_reloads: u64,
    /// Where keyed jobs are noted.
    pub state: Option<IdempotencyMetrics>,
    /// Where the SSE front is on.
    pub streams: Option<StreamMetrics>,
    /// Where membership is on.
    pub members: Option<MembersPage>,
    /// What is learned of jobs and tenants.
    pub learners: LearnersFigures,
}

/// The figures, a line each.
pub fn counters_page(figures: &MetricsSnapshot) -> Vec<Piece> {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: char| {
        text.push_str(&format!("dispatcher.{name}:{value}|{kind}\n"));
    };
    for class in &figures.classes {
        line(&format!("success.{}", class.name), class.served, 'c');
        line(&format!("busy.{}", class.name), class.rejected, 'c');
        line(&format!("failure.{}", class.name), class.failed, 'c');
    }
    line("backend_calls", figures.attempts_written, 'c');
    line("inflight", figures.open, 'g');
    line("hosts_listed", figures.listed as u64, 'g');
    line("hosts_down", figures.avoided as u64, 'g');
    line("reconfig_ok", figures.reloads, 'c');
    line("reconfig_failed", figures.bad_reloads, 'c');
    if let Some(state) = &figures.state {
        line("state_keys", state.keys as u64, 'g');
        line("state_failures", state.failures, 'c');
        line("state_repeats_answered", state.repeats_answered, 'c');
        line("state_repeats_bound", state.repeats_bound, 'c');
        line("state_evicted", state.evicted, 'c');
    }
    if let Some(streams) = &figures.streams {
        line("streams_jobs", streams.jobs as u64, 'g');
        line("streams_watchers", streams.watchers as u64, 'g');
        line("streams_bytes", streams.bytes as u64, 'g');
        line("streams_handed_in", streams.handed_in, 'c');
        line("streams_missed", streams.missed, 'c');
        line("streams_coalesced", streams.coalesced, 'c');
        line("streams_evicted", streams.evicted, 'c');
    }
    if let Some(page) = &figures.members {
        for state in ["unknown", "alive", "suspect", "dead", "left"] {
            let count = page.members.iter().filter(|m| m.state == state).count();
            line(&format!("members_{state}"), count as u64, 'g');
        }
        let f = &page.figures;
        line("members_view", page.version, 'g');
        line("members_sent_bytes", f.sent_bytes, 'c');
        line("members_received_bytes", f.received_bytes, 'c');
        line("members_refused", refused(f), 'c');
        line("members_over_budget", f.over_budget, 'c');
        line("members_declared_dead", f.declared_dead, 'c');
        line("members_refuted", f.refuted, 'c');
        line("members_health", u64::from(f.health), 'g');
        line("members_facts", f.facts_held, 'g');
    }
    for (name, part) in [("runtimes", figures.learners.runtimes), ("shares", figures.learners.shares)] {
        let Some(f) = part else { continue };
        line(&format!("{name}_seen"), f.seen, 'c');
        line(&format!("{name}_told"), f.told, 'c');
        line(&format!("{name}_taken"), f.taken, 'c');
        line(&format!("{name}_refused"), f.refused, 'c');
    }
    answer("200 OK", "text/plain", text)
}

fn refused(f: &MemberMetrics) -> u64 {
    f.refused_long + f.refused_version + f.refused_foreign + f.refused_malformed + f.refused_stale
}

/// The members, as JSON.
pub fn members_page(page: &MembersPage) -> Vec<Piece> {
    let row = |m: &MemberRow| {
        json!({"place": m.place, "address": m.address, "state": m.state, "epoch": m.epoch,
               "incarnation": m.incarnation, "for_ms": m.for_ms})
    };
    let f = &page.figures;
    let text = json!({
        "me": page.me, "version": page.version,
        "members": page.members.iter().map(row).collect::<Vec<_>>(),
        "figures": {
            "sent": f.sent, "sent_bytes": f.sent_bytes, "received": f.received, "received_bytes": f.received_bytes,
            "refused": refused(f), "refused_long": f.refused_long, "refused_version": f.refused_version,
            "refused_foreign": f.refused_foreign, "refused_malformed": f.refused_malformed,
            "refused_stale": f.refused_stale, "over_budget": f.over_budget, "probes": f.probes,
            "probes_failed": f.probes_failed, "suspected": f.suspected, "declared_dead": f.declared_dead,
            "refuted": f.refuted, "starved": f.starved, "health": f.health, "facts_told": f.facts_published,
            "facts_taken": f.facts_received, "facts_refused": f.facts_refused, "facts_held": f.facts_held,
            "syncs": f.syncs,
        },
    });
    answer("200 OK", "application/json", format!("{text}\n"))
}

/// Yes.
pub fn ok_page() -> Vec<Piece> {
    answer("200 OK", "text/plain", "yes\n".to_owned())
}

/// No, for now.
pub fn unavailable_page() -> Vec<Piece> {
    answer("503 Service Unavailable", "text/plain", "no\n".to_owned())
}

fn answer(status: &str, kind: &str, text: String) -> Vec<Piece> {
    let length = text.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {kind}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n"
    );
    vec![head.into(), text.into()]
}
