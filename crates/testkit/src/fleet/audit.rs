//! The auditor. It reads what crossed the wires and nothing else, and names what must not have happened. It knows no part
//! of the program.

use super::record::{Entry, Event, Life};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// What must hold, all spans in microseconds. The default is the small deployment of [`crate::site`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Sends to a worker that drains or is gone end so long after the dispatcher was told.
    pub stop_within: u64,
    /// Every change counts as told so long after it was made, arrived or not; `None`: only what was written is told.
    pub told_anyway: Option<u64>,
    /// An answer comes at most so long after its client's patience ended; `None`: only that it comes is looked at.
    pub slack: Option<u64>,
    /// A worker begins at this part of its capacity ...
    pub cold_from: f64,
    /// ... and is warm after so long.
    pub cold: u64,
    /// More than this multiple of its capacity ...
    pub fall_multiple: f64,
    /// ... in a window of this length fells a cold worker.
    pub fall: u64,
    /// Microseconds of work that a warm worker does in a microsecond: its slots times its speed.
    pub capacity: f64,
    /// The mean work of a job.
    pub mean_work: u64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            stop_within: 450_000,
            told_anyway: None,
            slack: None,
            cold_from: 0.38,
            cold: 8_400_000,
            fall_multiple: 4.0,
            fall: 1_500_000,
            capacity: 4.0,
            mean_work: 20_000,
        }
    }
}

/// What must not have happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Finding {
    /// A job was sent to a worker so long after the dispatcher was told that it drains or is gone.
    LateSend { at: u64, dispatcher: usize, worker: usize, id: String, after: u64 },
    /// A job that was taken got no whole answer, and its dispatcher had not been killed.
    NeverAnswered { at: u64, dispatcher: usize, id: String },
    /// A job was answered more than once, or bytes came that nobody asked for.
    AnsweredTwice { at: u64, dispatcher: usize, id: String },
    /// A job was answered so long after its client's patience ended.
    AnsweredLate { at: u64, dispatcher: usize, id: String, late: u64 },
    /// A job was served with what no worker made for it.
    Invented { at: u64, dispatcher: usize, id: String },
    /// A datagram was too long.
    LongDatagram { at: u64, dispatcher: usize, length: usize },
    /// A key ran more than once; how often.
    RanAgain { key: String, runs: usize },
    /// A cold worker was sent more than its budget in one window: jobs of mean work, and how many were allowed.
    ColdOver { at: u64, worker: usize, jobs: f64, allowed: f64 },
    /// A process ended by itself, or not cleanly.
    Crashed { at: u64, dispatcher: usize },
    /// So many entries of the record are missing: nothing is certain.
    Incomplete { missing: u64 },
}

#[derive(Default)]
struct Told {
    /// Workers to which sends must end, and since when this is known.
    stopped: HashMap<usize, u64>,
    listed: BTreeSet<usize>,
}

/// One dispatcher's pauses and ends.
#[derive(Default)]
struct Gaps {
    /// From each kill to the next start: what a client writes to a dying process is not taken.
    down: Vec<(u64, u64)>,
    paused: Vec<(u64, u64)>,
}

impl Gaps {
    fn down_within(&self, from: u64, to: u64) -> bool {
        self.down.iter().any(|(begin, end)| *begin <= to && from < *end)
    }

    fn paused_within(&self, from: u64, to: u64) -> bool {
        self.paused.iter().any(|(begin, end)| *begin <= to && from <= *end)
    }

    /// What is written to a process that stands still is known to it once it goes on.
    fn known(&self, at: u64) -> u64 {
        self.paused.iter().find(|(begin, end)| (*begin..=*end).contains(&at)).map_or(at, |(_, end)| *end)
    }
}

/// Reads a record, in the order of its times, and says what must not have happened.
pub fn audit(entries: &[Entry], rules: &Rules) -> Vec<Finding> {
    let mut found = Vec::new();
    let gaps = gaps(entries);
    sends(entries, rules, &gaps, &mut found);
    answers(entries, rules, &gaps, &mut found);
    runs(entries, &mut found);
    cold(entries, rules, &gaps, &mut found);
    ends(entries, &mut found);
    found
}

fn ends(entries: &[Entry], found: &mut Vec<Finding>) {
    let mut asked = BTreeSet::new();
    for Entry { at, event } in entries {
        match *event {
            Event::LongDatagram { dispatcher, length } => {
                found.push(Finding::LongDatagram { at: *at, dispatcher, length });
            }
            Event::Started { dispatcher } => _ = asked.remove(&dispatcher),
            Event::Terminated { dispatcher } => _ = asked.insert(dispatcher),
            Event::Ended { dispatcher, clean } if !clean || !asked.contains(&dispatcher) => {
                found.push(Finding::Crashed { at: *at, dispatcher });
            }
            _ => {}
        }
    }
}

fn gaps(entries: &[Entry]) -> HashMap<usize, Gaps> {
    let mut gaps: HashMap<usize, Gaps> = HashMap::new();
    for Entry { at, event } in entries {
        match *event {
            Event::Killed { dispatcher } => {
                gaps.entry(dispatcher).or_default().down.push((*at, u64::MAX));
            }
            Event::Started { dispatcher } => {
                if let Some(last) = gaps.entry(dispatcher).or_default().down.last_mut() {
                    last.1 = last.1.min(*at);
                }
            }
            Event::Paused { dispatcher, on: true } => {
                gaps.entry(dispatcher).or_default().paused.push((*at, u64::MAX));
            }
            Event::Paused { dispatcher, on: false } => {
                if let Some(last) = gaps.entry(dispatcher).or_default().paused.last_mut() {
                    last.1 = *at;
                }
            }
            _ => {}
        }
    }
    gaps
}

fn sends(entries: &[Entry], rules: &Rules, gaps: &HashMap<usize, Gaps>, found: &mut Vec<Finding>) {
    let mut told: HashMap<usize, Told> = HashMap::new();
    let mut since: HashMap<usize, u64> = HashMap::new();
    // Changes that count as told at a time, in the order of these times.
    let mut anyway: BTreeMap<usize, (u64, Life)> = BTreeMap::new();
    for Entry { at, event } in entries {
        match event {
            Event::Started { dispatcher } => {
                told.insert(*dispatcher, Told::default());
                since.insert(*dispatcher, *at);
            }
            Event::Changed { row, .. } => drop(anyway.insert(row.worker, (*at, row.life))),
            Event::Told { dispatcher, whole, rows, .. } => {
                let at = gaps.get(dispatcher).map_or(*at, |gaps| gaps.known(*at));
                let told = told.entry(*dispatcher).or_default();
                for row in rows {
                    if row.life == Life::Up {
                        told.stopped.remove(&row.worker);
                    } else {
                        told.stopped.entry(row.worker).or_insert(at);
                    }
                }
                let now: BTreeSet<usize> = rows.iter().map(|row| row.worker).collect();
                if *whole {
                    for gone in told.listed.difference(&now) {
                        told.stopped.entry(*gone).or_insert(at);
                    }
                    told.listed = now;
                } else {
                    told.listed.extend(now);
                }
            }
            Event::Reached { dispatcher, worker, id, .. } => {
                let wrote = told.get(dispatcher).and_then(|told| told.stopped.get(worker)).copied();
                let started = since.get(dispatcher).copied().unwrap_or(0);
                let silent = rules.told_anyway.zip(anyway.get(worker)).and_then(|(span, (changed, life))| {
                    (*life != Life::Up).then_some((*changed).max(started) + span)
                });
                let by = wrote.into_iter().chain(silent).min();
                if let Some(by) = by.filter(|by| *at > by + rules.stop_within) {
                    let (dispatcher, worker, id) = (*dispatcher, *worker, id.clone());
                    found.push(Finding::LateSend { at: *at, dispatcher, worker, id, after: at - by });
                }
            }
            _ => {}
        }
    }
}

fn answers(entries: &[Entry], rules: &Rules, gaps: &HashMap<usize, Gaps>, found: &mut Vec<Finding>) {
    let none = Gaps::default();
    let mut open: HashMap<&str, (usize, u64, u64)> = HashMap::new();
    let mut answered: HashSet<&str> = HashSet::new();
    let mut made: HashSet<(&str, &str)> = HashSet::new();
    for Entry { at, event } in entries {
        let at = *at;
        match event {
            Event::Sent { dispatcher, id, patience } => drop(open.insert(id, (*dispatcher, at, *patience))),
            Event::Made { id, result, .. } => drop(made.insert((id, result))),
            Event::Answered { dispatcher, id, status, body } => {
                let (dispatcher, gaps) = (*dispatcher, gaps.get(dispatcher).unwrap_or(&none));
                let sent = open.remove(id.as_str());
                if sent.is_none() || !answered.insert(id) {
                    found.push(Finding::AnsweredTwice { at, dispatcher, id: id.clone() });
                }
                if *status == 200 && !made.contains(&(id, body)) {
                    found.push(Finding::Invented { at, dispatcher, id: id.clone() });
                }
                if let Some(((_, sent, patience), slack)) = sent.zip(rules.slack) {
                    let late = at.saturating_sub(sent + patience);
                    if late > slack && !gaps.paused_within(sent, at) {
                        found.push(Finding::AnsweredLate { at, dispatcher, id: id.clone(), late });
                    }
                }
            }
            Event::Stray { dispatcher, id } => {
                found.push(Finding::AnsweredTwice { at, dispatcher: *dispatcher, id: id.clone() });
            }
            Event::Unanswered { dispatcher, id } => {
                let (dispatcher, gaps) = (*dispatcher, gaps.get(dispatcher).unwrap_or(&none));
                let sent = open.remove(id.as_str()).map_or(0, |sent| sent.1);
                if !gaps.down_within(sent, at) && !gaps.paused_within(sent, at) {
                    found.push(Finding::NeverAnswered { at, dispatcher, id: id.clone() });
                }
            }
            // Its dispatcher closed before any byte of an answer, and nobody took the job when it was sent once more.
            Event::Unreachable { id, .. } => drop(open.remove(id.as_str())),
            _ => {}
        }
    }
    let end = entries.last().map_or(0, |entry| entry.at);
    let mut left: Vec<_> = open.into_iter().collect();
    left.sort_unstable();
    for (id, (dispatcher, sent, _)) in left {
        if !gaps.get(&dispatcher).unwrap_or(&none).down_within(sent, end) {
            found.push(Finding::NeverAnswered { at: end, dispatcher, id: id.to_owned() });
        }
    }
}

fn runs(entries: &[Entry], found: &mut Vec<Finding>) {
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries {
        if let Event::Ran { key: Some(key), .. } = &entry.event {
            *runs.entry(key).or_default() += 1;
        }
    }
    let again = runs.into_iter().filter(|(_, runs)| *runs > 1);
    found.extend(again.map(|(key, runs)| Finding::RanAgain { key: key.to_owned(), runs }));
}

fn cold(entries: &[Entry], rules: &Rules, gaps: &HashMap<usize, Gaps>, found: &mut Vec<Finding>) {
    // Each start of a worker that the list told of: when, and its time stamp, by which it is known.
    let starts = entries.iter().filter_map(|e| match &e.event {
        Event::Changed { row, .. } if row.life == Life::Up && row.started_ms > 0 => {
            Some((row.worker, row.started_ms, e.at))
        }
        _ => None,
    });
    let mut seen = BTreeSet::new();
    for (worker, started_ms, begun) in starts {
        if !seen.insert((worker, started_ms)) {
            continue;
        }
        let end = begun + rules.cold;
        let mut informed: HashMap<usize, u64> = HashMap::new();
        let mut arrivals: Vec<(u64, f64, bool)> = Vec::new();
        for Entry { at, event } in entries.iter().take_while(|e| e.at <= end) {
            match event {
                Event::Started { dispatcher } => drop(informed.remove(dispatcher)),
                Event::Told { dispatcher, rows, .. }
                    if rows.iter().any(|row| row.worker == worker && row.started_ms >= started_ms) =>
                {
                    let at = gaps.get(dispatcher).map_or(*at, |gaps| gaps.known(*at));
                    informed.entry(*dispatcher).or_insert(at);
                }
                Event::Reached { dispatcher, worker: w, work, .. } if *w == worker && *at >= begun => {
                    let told = informed.get(dispatcher).is_some_and(|since| since <= at);
                    arrivals.push((*at, *work as f64, told));
                }
                _ => {}
            }
        }
        // The widest excess over windows that begin with an arrival; each is one finding at most.
        let over = arrivals.iter().enumerate().filter_map(|(n, (from, ..))| {
            let window = arrivals[n..].iter().take_while(|(at, ..)| *at <= from + rules.fall);
            let (work, told) = window.fold((0.0, 0.0), |(work, told), (_, own, knew)| {
                (work + own, told + if *knew { *own } else { 0.0 })
            });
            let part = (from - begun) as f64 / rules.cold.max(1) as f64;
            let warmth = (rules.cold_from + (1.0 - rules.cold_from) * part).min(1.0);
            let budget = rules.fall_multiple * warmth * rules.capacity * rules.fall as f64;
            let mean = rules.mean_work.max(1) as f64;
            let (jobs, room) = (work / mean, budget / mean);
            let allowed = room + 2.0 * room.sqrt() + 2.0;
            let is_over = jobs > allowed && told * 3.0 >= work * 2.0;
            is_over.then_some(Finding::ColdOver { at: *from, worker, jobs, allowed })
        });
        let excess = |f: &Finding| match f {
            Finding::ColdOver { jobs, allowed, .. } => jobs - allowed,
            _ => 0.0,
        };
        found.extend(over.max_by(|a, b| excess(a).total_cmp(&excess(b))));
    }
}
