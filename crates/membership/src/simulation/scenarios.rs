//! What was asked of the model, and whether it held.

#[cfg(test)]
mod tests;

use super::{Network, SECOND};
use crate::{Membership, Micros, State, partition};
use std::collections::BTreeMap;

/// How much to run.
#[derive(Debug, Clone, Copy)]
pub struct Extent {
    /// Seeds of each story with up to 300 members.
    pub seeds: u64,
    /// Seeds with 3,000 members; none if 0.
    pub large: u64,
    /// The first seed.
    pub first: u64,
    /// The seeded mistake: no suspicion before death.
    pub skip_suspicion: bool,
}

/// What was seen, by name, and what did not hold.
#[derive(Debug, Default, Clone)]
pub struct Report {
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// What did not hold.
    pub broken: Vec<String>,
}

impl Report {
    fn put(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), (value * 1000.0).round() / 1000.0);
    }

    /// The quantile of some values, under this name.
    fn quantile(&mut self, name: String, q: f64, of: impl Iterator<Item = f64>) {
        self.put(name, quantile(&mut of.collect::<Vec<f64>>(), q));
    }

    fn hold(&mut self, holds: bool, what: impl Into<String>) {
        if !holds {
            self.broken.push(what.into());
        }
    }

    fn take(&mut self, other: Report) {
        self.figures.extend(other.figures);
        self.broken.extend(other.broken);
    }

    /// As one line of JSON.
    pub fn json(&self) -> String {
        let figures: Vec<String> = self.figures.iter().map(|(k, v)| format!("{k:?}:{v}")).collect();
        let broken: Vec<String> = self.broken.iter().map(|b| format!("{b:?}")).collect();
        format!("{{{},\"broken\":[{}]}}", figures.join(","), broken.join(","))
    }
}

fn quantile(of: &mut [f64], q: f64) -> f64 {
    of.sort_by(f64::total_cmp);
    let at = ((of.len() as f64 * q).ceil() as usize).clamp(1, of.len().max(1)) - 1;
    of.get(at).copied().unwrap_or(f64::NAN)
}

fn seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Runs one thing for many seeds, on a few threads, and gives the results in order.
fn each<T: Send>(extent: Extent, seeds: u64, one: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let seeds: Vec<u64> = (extent.first..extent.first + seeds).collect();
    let threads = std::thread::available_parallelism().map_or(1, |n| n.get().min(8));
    let mut all: Vec<Vec<T>> = Vec::new();
    std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(threads).max(1));
        let running: Vec<_> =
            parts.map(|part| scope.spawn(|| part.iter().map(|s| one(*s)).collect::<Vec<T>>())).collect();
        all.extend(running.into_iter().filter_map(|t| t.join().ok()));
    });
    all.into_iter().flatten().collect()
}

fn net(extent: Extent, members: u16, seed: u64, warm: bool) -> Network {
    Network::new(members, seed, warm, move |config| config.skip_suspicion = extent.skip_suspicion)
}

/// Bytes a second a member at rest; then one is killed: when each of the others holds it dead, and how many others die.
fn kill(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(3 * SECOND);
        let (from, before) = (net.now, net.sent_bytes());
        let calm = if members > 300 { 4 } else { 10 };
        net.run_to(from + calm * SECOND);
        let rate = (net.sent_bytes() - before) as f64 / f64::from(members) / calm as f64;
        let victim = (net.lot(members.into())) as u16;
        net.kill(victim);
        let killed = net.now;
        let done = |net: &Network| {
            net.seen.iter().filter(|s| s.change.to == State::Dead && s.change.place == victim).count()
        };
        net.run_while(killed + 60 * SECOND, |net| done(net) + 1 < members.into());
        let times = net.seen.iter().filter(|s| s.change.to == State::Dead && s.change.place == victim);
        let times: Vec<f64> = times.map(|s| seconds(s.at - killed)).collect();
        let missed = usize::from(members) - 1 - times.len().min(usize::from(members) - 1);
        (rate, times, missed, net.deaths(0, |p| p != victim))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("detect_p50_s_{members}"), 0.5, runs.iter().flat_map(|r| r.1.iter().copied()));
    report.quantile(format!("detect_p99_s_{members}"), 0.99, runs.iter().flat_map(|r| r.1.iter().copied()));
    report.quantile(
        format!("detect_all_p50_s_{members}"),
        0.5,
        runs.iter().filter_map(|r| r.1.iter().copied().reduce(f64::max)),
    );
    report
        .put(format!("bytes_a_second_{members}"), runs.iter().map(|r| r.0).sum::<f64>() / runs.len() as f64);
    report.hold(
        runs.iter().all(|r| r.2 == 0),
        format!("a kill among {members} was not seen by all within 60 s"),
    );
    report.hold(runs.iter().all(|r| r.3 == 0), format!("a kill among {members}: others were held dead"));
    report
}

/// One in ten datagrams is lost for a minute, and some come twice; and one member is paused shortly now and then.
fn loss(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        net.faults.loss = 0.1;
        net.faults.repeat = 0.02;
        let end = net.now + 60 * SECOND;
        while net.now < end {
            let (place, until) = (net.lot(members.into()) as u16, net.now + 3 * SECOND);
            net.pause(place, true);
            net.run_to(net.now + SECOND);
            net.pause(place, false);
            net.run_to(until);
        }
        net.faults.loss = 0.0;
        net.run_to(end + 20 * SECOND);
        let figures = net.members().map(|(_, m)| m.metrics());
        let refuted: u64 = figures.map(|f| f.refuted).sum();
        (net.deaths(0, |_| true), refuted, net.agreed())
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    let deaths: usize = runs.iter().map(|r| r.0).sum();
    report.put(format!("false_deaths_loss_{members}"), deaths as f64);
    let minutes = runs.len() as f64 * f64::from(members);
    report.put(
        format!("refuted_a_member_minute_{members}"),
        runs.iter().map(|r| r.1 as f64).sum::<f64>() / minutes,
    );
    report.hold(deaths == 0, format!("{deaths} false deaths among {members} with one in ten datagrams lost"));
    report.hold(runs.iter().all(|r| r.2), format!("{members} members do not agree after a minute of loss"));
    report
}

/// Cut into sides for 30 s: what each side holds; then healed: the time until all agree, and whether it stays so.
fn heal(extent: Extent, members: u16, sides: u8, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        net.faults.sides = (0..members).map(|p| (p % u16::from(sides)) as u8).collect();
        net.run_to(net.now + 30 * SECOND);
        let side = |p: u16| p % u16::from(sides);
        let apart = net.members().all(|(me, m)| {
            m.view().iter().all(|(p, there)| (there.state == State::Dead) == (side(p) != side(me)))
        });
        let within = net
            .seen
            .iter()
            .filter(|s| s.change.to == State::Dead && side(s.by) == side(s.change.place))
            .count();
        net.faults.sides.fill(0);
        let (healed, changes) = (net.now, net.seen.len());
        let agreed = net.run_while(healed + 60 * SECOND, |net| !net.agreed());
        let took = seconds(net.now - healed);
        net.run_to(healed + if members > 30 { 20 } else { 60 } * SECOND);
        let after = net.deaths(healed, |_| true);
        // Once each for every pair across the cut, if nothing flaps.
        let back = net.seen[changes..].iter().filter(|s| s.change.from == State::Dead).count();
        let pairs = (0..members).map(|p| (0..members).filter(|q| side(*q) != side(p)).count()).sum::<usize>();
        (apart, within, agreed, took, after, back as f64 / pairs as f64, net.agreed())
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    let name = format!("{members} members in {sides} sides");
    report.quantile(format!("heal_{sides}_p50_s_{members}"), 0.5, runs.iter().map(|r| r.3));
    report.quantile(format!("heal_{sides}_p99_s_{members}"), 0.99, runs.iter().map(|r| r.3));
    report
        .put(format!("heal_{sides}_deaths_after_{members}"), runs.iter().map(|r| r.4).sum::<usize>() as f64);
    report.put(
        format!("heal_{sides}_returns_a_pair_{members}"),
        runs.iter().map(|r| r.5).sum::<f64>() / runs.len() as f64,
    );
    report
        .hold(runs.iter().all(|r| r.0 && r.1 == 0), format!("{name}: a side is not held dead, or a mate is"));
    report.hold(runs.iter().all(|r| r.2 && r.6), format!("{name} do not agree within 60 s after the heal"));
    report.hold(runs.iter().all(|r| r.4 == 0), format!("{name}: deaths after the heal"));
    report
}

/// Seven in ten killed at once: the time until the others hold them all dead.
fn mass(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        let lives = |p: u16| p % 10 < 3;
        (0..members).filter(|p| !lives(*p)).for_each(|p| net.kill(p));
        let killed = net.now;
        let agreed = net.run_while(killed + 120 * SECOND, |net| !net.agreed());
        let took = seconds(net.now - killed);
        // And all start again at once.
        (0..members).filter(|p| !lives(*p)).for_each(|p| net.start(p));
        let started = net.now;
        let back = net.run_while(started + 60 * SECOND, |net| !net.agreed());
        (agreed, took, net.deaths(0, lives), back, seconds(net.now - started))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("mass_all_p50_s_{members}"), 0.5, runs.iter().map(|r| r.1));
    report.quantile(format!("mass_all_p99_s_{members}"), 0.99, runs.iter().map(|r| r.1));
    report.quantile(format!("mass_back_p99_s_{members}"), 0.99, runs.iter().map(|r| r.4));
    report.hold(
        runs.iter().all(|r| r.0),
        format!("seven in ten of {members} killed: not all seen within 120 s"),
    );
    report.hold(
        runs.iter().all(|r| r.2 == 0),
        format!("seven in ten of {members} killed: a survivor was held dead"),
    );
    report.hold(
        runs.iter().all(|r| r.3),
        format!("seven in ten of {members} started again: no agreement within 60 s"),
    );
    report
}

/// One is stopped for longer than any suspicion lasts, and goes on: it holds nobody dead for it, and comes back.
fn pause(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        let victim = net.lot(members.into()) as u16;
        net.pause(victim, true);
        net.run_to(net.now + 30 * SECOND);
        let seen =
            net.members().filter(|(p, _)| *p != victim).all(|(_, m)| m.view().state(victim) == State::Dead);
        net.pause(victim, false);
        let resumed = net.now;
        let agreed = net.run_while(resumed + 60 * SECOND, |net| !net.agreed());
        let took = seconds(net.now - resumed);
        net.run_to(resumed + 60 * SECOND);
        let own = net.seen.iter().filter(|s| s.by == victim && s.change.to == State::Dead).count();
        (seen, agreed && net.agreed(), took, own, net.deaths(resumed, |_| true))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("pause_back_p99_s_{members}"), 0.99, runs.iter().map(|r| r.2));
    report.hold(runs.iter().all(|r| r.0), format!("a pause of 30 s among {members} is not seen"));
    report.hold(runs.iter().all(|r| r.1), format!("no agreement after a pause among {members}"));
    report.hold(
        runs.iter().all(|r| r.3 == 0 && r.4 == 0),
        format!("who was paused among {members} held others dead"),
    );
    report
}

/// Cut in one direction: from one to another of them alone, nobody dies; where nothing reaches a member any more it is
/// held dead, its own word on others hurts none, and it comes back.
fn one_way(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        let a = net.lot(members.into()) as u16;
        let b = (a + 1) % members;
        net.faults.one_way = vec![(a, b)];
        net.run_to(net.now + 30 * SECOND);
        let pair = net.deaths(0, |_| true);
        net.faults.one_way.clear();
        net.faults.deaf[usize::from(a)] = true;
        let from = net.now;
        net.run_to(from + 60 * SECOND);
        let seen = net.members().filter(|(p, _)| *p != a).all(|(_, m)| m.view().state(a) == State::Dead);
        let others = net.deaths(from, |p| p != a);
        net.faults.deaf.fill(false);
        let healed = net.now;
        let agreed = net.run_while(healed + 60 * SECOND, |net| !net.agreed());
        (pair, seen, others, agreed, seconds(net.now - healed))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("one_way_back_p99_s_{members}"), 0.99, runs.iter().map(|r| r.4));
    report.hold(runs.iter().all(|r| r.0 == 0), format!("a one-way cut between two of {members}: deaths"));
    report.hold(runs.iter().all(|r| r.1), format!("a deaf one among {members} is not held dead by all"));
    report.hold(runs.iter().all(|r| r.2 == 0), format!("a deaf one among {members} made others die"));
    report.hold(runs.iter().all(|r| r.3), format!("no agreement after a one-way cut among {members}"));
    report
}

/// All start within a second and know nobody: the time until all hold all alive, and the most that one sent in a second.
fn cold(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, false);
        let (mut most, mut agreed, mut took) = (0, false, 60.0);
        let mut before = vec![0; members.into()];
        for second in 0..60_u64 {
            let end = (second + 2) * SECOND;
            if !agreed && net.run_while(end, |net| !net.agreed()) {
                (agreed, took) = (true, seconds(net.now - SECOND));
            }
            net.run_to(end);
            for (place, m) in net.members() {
                let sent = m.metrics().sent_bytes;
                most = most.max(sent - before[usize::from(place)]);
                before[usize::from(place)] = sent;
            }
            if agreed {
                break;
            }
        }
        (agreed, took, most, net.deaths(0, |_| true))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("cold_p99_s_{members}"), 0.99, runs.iter().map(|r| r.1));
    report.put(format!("cold_peak_bytes_{members}"), runs.iter().map(|r| r.2).max().unwrap_or(0) as f64);
    report.hold(
        runs.iter().all(|r| r.0 && r.3 == 0),
        format!("{members} started at once: no agreement, or deaths"),
    );
    report
}

/// A restart that nobody noticed, a leave, a clock that went back, and a flood of rubbish.
fn rest(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        let (a, b) = (0, members - 1);
        net.kill(a);
        net.start(a);
        let restarted = net.now;
        let again = net.run_while(restarted + 30 * SECOND, |net| !net.agreed());
        let took = seconds(net.now - restarted);
        let calm = net.now;
        for _ in 0..20_000 {
            let (from, bytes) = (net.lot(u64::from(members) + 3) as u16, net.rubbish());
            net.forge(a, from, &bytes);
            let until = net.now + 500;
            net.run_to(until);
        }
        let f = net.member(a).map(|m| m.metrics()).unwrap_or_default();
        let refused = f.refused_long + f.refused_version + f.refused_foreign + f.refused_malformed;
        let quiet = net.seen.iter().filter(|s| s.at > calm).count();
        net.with(b, |m, now| m.leave(now));
        let left = net.now;
        net.run_to(left + 30 * SECOND);
        let gone = net.members().all(|(_, m)| m.view().state(b) == State::Left);
        (again, took, refused, quiet, gone, net.deaths(0, |_| true))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("restart_p99_s_{members}"), 0.99, runs.iter().map(|r| r.1));
    report.hold(runs.iter().all(|r| r.0), format!("a restart among {members} is not known to all"));
    report.hold(runs.iter().all(|r| r.2 == 20_000), format!("rubbish among {members} was taken"));
    report.hold(runs.iter().all(|r| r.3 == 0), format!("rubbish among {members} changed a view"));
    report.hold(
        runs.iter().all(|r| r.4 && r.5 == 0),
        format!("a leave among {members} is not known, or deaths"),
    );
    report
}

/// Each tells a fact a second, one in ten datagrams is lost, two sides are cut for a while and one is restarted: in the
/// end all hold the same, and what was told of each slot last.
fn facts(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        net.faults.loss = 0.1;
        let before = net.sent_bytes();
        let begun = net.now;
        for second in 0..40_u64 {
            net.faults.sides =
                (0..members).map(|p| u8::from((10..25).contains(&second) && p % 2 == 0)).collect();
            if second == 30 {
                net.kill(1);
                net.start(1);
            }
            for place in 0..members {
                let bytes = [second as u8, place as u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
                net.with(place, |m, now| m.publish(now, 1, (second % 16) as u32, &bytes));
            }
            let until = net.now + SECOND;
            net.run_to(until);
        }
        let told = net.now;
        let rate = (net.sent_bytes() - before) as f64 / f64::from(members) / seconds(told - begun);
        let all = |net: &Network, p: u16| -> Vec<(u8, u16, u64, u32, u64, Vec<u8>)> {
            let facts = net.member(p).into_iter().flat_map(|m| m.facts());
            facts.map(|f| (f.kind, f.place, f.epoch, f.slot, f.number, f.bytes.to_vec())).collect()
        };
        let mut took = f64::INFINITY;
        for step in 0..240_u64 {
            net.run_to(told + step * SECOND / 4);
            let first = all(&net, 0);
            if first.len() == usize::from(members) * 16 && (1..members).all(|p| all(&net, p) == first) {
                took = seconds(net.now - told);
                break;
            }
        }
        (rate, took)
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    report.quantile(format!("facts_same_p99_s_{members}"), 0.99, runs.iter().map(|r| r.1));
    report.put(
        format!("facts_bytes_a_second_{members}"),
        runs.iter().map(|r| r.0).sum::<f64>() / runs.len() as f64,
    );
    report.hold(runs.iter().all(|r| r.1.is_finite()), format!("facts among {members} differ 60 s later"));
    report
}

/// Each tells ten long facts a second, many times what the budget carries: probes do not suffer, nobody sends more than
/// the budget, and once the telling ends all come to hold the same.
fn flood(extent: Extent, members: u16, seeds: u64) -> Report {
    let one = |seed| {
        let mut net = net(extent, members, seed, true);
        net.run_to(2 * SECOND);
        let (begun, before) = (net.now, net.sent_bytes());
        for step in 0..200_u64 {
            for place in 0..members {
                let bytes = [step as u8; 150];
                net.with(place, |m, now| m.publish(now, 1, (step % 16) as u32, &bytes));
            }
            let until = net.now + SECOND / 10;
            net.run_to(until);
        }
        let told = net.now;
        let rate = (net.sent_bytes() - before) as f64 / f64::from(members) / seconds(told - begun);
        let last = |net: &Network| {
            let all = |(_, m): (u16, &Membership)| {
                m.facts().filter(|f| f.number > 184).count() == usize::from(members) * 16
            };
            net.members().all(all)
        };
        while !last(&net) && net.now < told + 120 * SECOND {
            let until = net.now + SECOND;
            net.run_to(until);
        }
        (rate, seconds(net.now - told), last(&net), net.deaths(0, |_| true))
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    let rate = runs.iter().map(|r| r.0).fold(0.0, f64::max);
    report.put(format!("flood_bytes_a_second_{members}"), rate);
    report.quantile(format!("flood_same_p99_s_{members}"), 0.99, runs.iter().map(|r| r.1));
    report.hold(rate < 16_384.0 * 1.1, format!("{rate} bytes a second under a flood of facts"));
    report.hold(runs.iter().all(|r| r.2), "facts differ two minutes after a flood of them");
    report.hold(runs.iter().all(|r| r.3 == 0), "a flood of facts made members die");
    report
}

/// A worker of limit 64 that 30 places take of, each by the last report it has, cut off and killed as may be: the most it
/// ever had beyond its limit, and what part of it the three in ten that survive come to use.
fn bound(extent: Extent, seeds: u64) -> Report {
    let searched = 3_000.max(seeds * 100);
    let over: u32 =
        (0..searched).map(|n| partition::worst_overcommit(extent.first + n, 1.0)).max().unwrap_or(0);
    let short = (0..searched).filter(|n| partition::worst_overcommit(extent.first + n, 0.0) > 0).count();
    let one = |seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (limit, peers) = (64_u32, 30_u16);
        let bound = partition::StalenessBound {
            peers,
            max_report_age: 2 * SECOND,
            max_flight_time: SECOND / 10,
            reserve: 16,
        };
        let mut takes = vec![partition::TakenSlots::default(); peers.into()];
        let (mut ends, mut reports): (Vec<Micros>, Vec<partition::ReportedCapacity>) =
            (Vec::new(), Vec::new());
        let (mut most, mut late) = (0, 0.0);
        for step in 1..=400_u64 {
            let now = step * SECOND / 10;
            ends.retain(|at| *at > now);
            if step % 7 == 0 {
                reports.push(partition::ReportedCapacity {
                    free: limit - (ends.len() as u32).min(limit),
                    measured_at: now,
                });
            }
            for place in (0..peers).filter(|p| step < 200 || p % 10 < 3) {
                // It came within 0.4 s, and the one before it may be the last that came.
                let heard = reports
                    .iter()
                    .rev()
                    .filter(|r| r.measured_at + SECOND * 2 / 5 <= now)
                    .nth(rng.usize(0..2));
                let Some(room) = heard.copied() else { continue };
                let n = takes[usize::from(place)].available(
                    now,
                    room,
                    &bound,
                    partition::rank(seed, place, peers),
                );
                takes[usize::from(place)].record_taken(now, n);
                ends.extend((0..n).map(|_| now + rng.u64(SECOND..20 * SECOND)));
            }
            most = most.max(ends.len() as u32);
            late += if step > 300 { ends.len() as f64 / f64::from(limit) / 100.0 } else { 0.0 };
        }
        (most.saturating_sub(limit), late)
    };
    let runs = each(extent, seeds, one);
    let mut report = Report::default();
    let beyond = runs.iter().map(|r| r.0).max().unwrap_or(0).max(over);
    report.put("bound_beyond_limit", f64::from(beyond));
    report.put("bound_found_with_a_short_window", short as f64);
    report.put("bound_used_by_three_in_ten", runs.iter().map(|r| r.1).sum::<f64>() / runs.len() as f64);
    report.hold(beyond == 0, format!("a worker had {beyond} more than its limit"));
    report.hold(short > 0, "the search for a broken bound finds none where there is one");
    report
}

/// All stories.
pub fn run(extent: Extent) -> Report {
    let mut report = Report::default();
    let seeds = extent.seeds;
    for members in [3, 10, 30] {
        report.take(kill(extent, members, seeds));
        report.take(loss(extent, members, seeds.div_ceil(2)));
        report.take(pause(extent, members, seeds.div_ceil(2)));
        report.take(heal(extent, members, 2, seeds));
        report.take(heal(extent, members, 3, seeds));
        report.take(one_way(extent, members, seeds.div_ceil(2)));
        report.take(rest(extent, members, seeds.div_ceil(4)));
        report.take(cold(extent, members, seeds.div_ceil(2)));
    }
    for members in [10, 30] {
        report.take(mass(extent, members, seeds));
        report.take(facts(extent, members, seeds.div_ceil(4)));
    }
    report.take(flood(extent, 30, seeds.div_ceil(8)));
    report.take(bound(extent, seeds));
    report.take(kill(extent, 300, seeds));
    if extent.large > 0 {
        report.take(loss(extent, 300, 2));
        report.take(heal(extent, 300, 2, 2));
        report.take(mass(extent, 300, 2));
        report.take(cold(extent, 300, 2));
        report.take(kill(extent, 3_000, extent.large));
    }
    report.hold(crate::broken() == 0, format!("{} invariants were broken", crate::broken()));
    report
}

/// All stories, and that the seeded mistake is caught by the same checks.
pub fn proof(extent: Extent) -> Report {
    let mut report = run(extent);
    let wrong = loss(Extent { skip_suspicion: true, ..extent }, 10, 2);
    let deaths = wrong.figures.get("false_deaths_loss_10").copied().unwrap_or(0.0);
    report.put("skip_suspicion_false_deaths", deaths);
    report.hold(deaths > 0.0 && !wrong.broken.is_empty(), "a missing suspicion is not caught");
    report
}
