//! The text of the admin pages. Scripts parse the lines of the counters page and the keys of the members page, so both must stay
//! unchanged.

use super::{ClassMetrics, IdempotencyMetrics, MemberRow, MembersPage, MetricsSnapshot, StreamMetrics};
use crate::fleet::LearnerMetrics;
use crate::http::Piece;
use mothproxy_membership::Metrics as MemberMetrics;
use serde_json::json;
use std::fmt::Write;

/// The states of a member, in the order of their lines on the counters page.
const MEMBER_STATES: [&str; 5] = ["unknown", "alive", "suspect", "dead", "left"];

/// The text of the counters page, with one line for each metric: `dispatcher.NAME:VALUE|KIND`.
#[derive(Default)]
struct CounterLines(String);

impl CounterLines {
    /// Adds a value that never decreases.
    fn counter(&mut self, name: &str, value: u64) {
        self.line(name, value, 'c');
    }

    /// Adds a value that may increase and decrease.
    fn gauge(&mut self, name: &str, value: u64) {
        self.line(name, value, 'g');
    }

    fn line(&mut self, name: &str, value: u64, kind: char) {
        let _ = writeln!(self.0, "dispatcher.{name}:{value}|{kind}"); // writing to a String cannot fail
    }

    fn class(&mut self, class: &ClassMetrics) {
        self.counter(&format!("success.{}", class.name), class.served);
        self.counter(&format!("busy.{}", class.name), class.rejected);
        self.counter(&format!("failure.{}", class.name), class.failed);
    }

    fn idempotency(&mut self, store: &IdempotencyMetrics) {
        self.gauge("state_keys", store.keys as u64);
        self.counter("state_failures", store.failures);
        self.counter("state_repeats_answered", store.repeats_answered);
        self.counter("state_repeats_bound", store.restricted_repeats);
        self.counter("state_evicted", store.evicted);
    }

    fn streams(&mut self, streams: &StreamMetrics) {
        self.gauge("streams_jobs", streams.jobs as u64);
        self.gauge("streams_watchers", streams.watchers as u64);
        self.gauge("streams_bytes", streams.bytes as u64);
        self.counter("streams_handed_in", streams.submitted);
        self.counter("streams_missed", streams.missed);
        self.counter("streams_coalesced", streams.coalesced);
        self.counter("streams_evicted", streams.evicted);
    }

    fn members(&mut self, page: &MembersPage) {
        for state in MEMBER_STATES {
            let count = page.members.iter().filter(|member| member.state == state).count();
            self.gauge(&format!("members_{state}"), count as u64);
        }
        let membership_metrics = &page.membership_metrics;
        self.gauge("members_view", page.version);
        self.counter("members_sent_bytes", membership_metrics.sent_bytes);
        self.counter("members_received_bytes", membership_metrics.received_bytes);
        self.counter("members_refused", refused_datagrams(membership_metrics));
        self.counter("members_over_budget", membership_metrics.over_budget);
        self.counter("members_declared_dead", membership_metrics.declared_dead);
        self.counter("members_refuted", membership_metrics.refuted);
        self.gauge("members_health", u64::from(membership_metrics.health));
        self.gauge("members_facts", membership_metrics.facts_held);
    }

    fn learner(&mut self, name: &str, learner: &LearnerMetrics) {
        self.counter(&format!("{name}_seen"), learner.seen);
        self.counter(&format!("{name}_told"), learner.published);
        self.counter(&format!("{name}_taken"), learner.absorbed);
        self.counter(&format!("{name}_refused"), learner.refused);
    }
}

/// The page of all metrics.
pub fn counters_page(metrics: &MetricsSnapshot) -> Vec<Piece> {
    let mut lines = CounterLines::default();
    for class in &metrics.classes {
        lines.class(class);
    }
    lines.counter("backend_calls", metrics.attempts_written);
    lines.gauge("inflight", metrics.open);
    lines.gauge("hosts_listed", metrics.listed_workers as u64);
    lines.gauge("hosts_down", metrics.unavailable_workers as u64);
    lines.counter("reconfig_ok", metrics.reloads);
    lines.counter("reconfig_failed", metrics.bad_reloads);
    if let Some(store) = &metrics.idempotency {
        lines.idempotency(store);
    }
    if let Some(streams) = &metrics.streams {
        lines.streams(streams);
    }
    if let Some(page) = &metrics.members {
        lines.members(page);
    }
    if let Some(runtimes) = &metrics.learners.runtimes {
        lines.learner("runtimes", runtimes);
    }
    if let Some(shares) = &metrics.learners.shares {
        lines.learner("shares", shares);
    }
    page("200 OK", "text/plain", lines.0)
}

/// The number of datagrams that were refused, for any reason.
fn refused_datagrams(membership_metrics: &MemberMetrics) -> u64 {
    membership_metrics.refused_long
        + membership_metrics.refused_version
        + membership_metrics.refused_foreign
        + membership_metrics.refused_malformed
        + membership_metrics.refused_stale
}

/// The page of the members, as JSON.
pub fn members_page(members: &MembersPage) -> Vec<Piece> {
    let text = json!({
        "me": members.own_place,
        "version": members.version,
        "members": members.members.iter().map(member_json).collect::<Vec<_>>(),
        "figures": membership_metrics_json(&members.membership_metrics),
    });
    page("200 OK", "application/json", format!("{text}\n"))
}

fn member_json(member: &MemberRow) -> serde_json::Value {
    json!({
        "place": member.place,
        "address": member.address,
        "state": member.state,
        "epoch": member.epoch,
        "incarnation": member.incarnation,
        "for_ms": member.state_age_ms,
    })
}

fn membership_metrics_json(membership_metrics: &MemberMetrics) -> serde_json::Value {
    json!({
        "sent": membership_metrics.sent,
        "sent_bytes": membership_metrics.sent_bytes,
        "received": membership_metrics.received,
        "received_bytes": membership_metrics.received_bytes,
        "refused": refused_datagrams(membership_metrics),
        "refused_long": membership_metrics.refused_long,
        "refused_version": membership_metrics.refused_version,
        "refused_foreign": membership_metrics.refused_foreign,
        "refused_malformed": membership_metrics.refused_malformed,
        "refused_stale": membership_metrics.refused_stale,
        "over_budget": membership_metrics.over_budget,
        "probes": membership_metrics.probes,
        "probes_failed": membership_metrics.probes_failed,
        "suspected": membership_metrics.suspected,
        "declared_dead": membership_metrics.declared_dead,
        "refuted": membership_metrics.refuted,
        "starved": membership_metrics.starved,
        "health": membership_metrics.health,
        "facts_told": membership_metrics.facts_published,
        "facts_taken": membership_metrics.facts_received,
        "facts_refused": membership_metrics.facts_refused,
        "facts_held": membership_metrics.facts_held,
        "syncs": membership_metrics.syncs,
    })
}

/// The 200 response: this process is ready, or has carried out the call.
pub fn ok_page() -> Vec<Piece> {
    page("200 OK", "text/plain", "yes\n".to_owned())
}

/// The 503 response: this process is not ready, or cannot carry out the call.
pub fn unavailable_page() -> Vec<Piece> {
    page("503 Service Unavailable", "text/plain", "no\n".to_owned())
}

fn page(status: &str, content_type: &str, text: String) -> Vec<Piece> {
    let content_length = text.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\nConnection: close\r\nContent-Length: {content_length}\r\n\r\n"
    );
    vec![head.into(), text.into()]
}
