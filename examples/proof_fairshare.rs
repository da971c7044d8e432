//! The proof of fair shares (`make proof-fairshare`): a model of dispatchers with a carrier that loses, delays, repeats and is
//! cut, serving by worth, beside today's module and beside quotas by dispatcher, against a reckoning that sees all at once.
//! Ends in one JSON line; the exit code is not 0 where a part fails.

use mothproxy_fairshare::*;
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::process::ExitCode;
use std::time::Instant;

const SECOND: u64 = 1_000_000;
const TICK: u64 = 20_000;
const TICKS: u64 = SECOND / TICK;
/// Unix time at the model's time 0.
const WALL: u64 = 1_700_000_000 * SECOND;
const DISPATCHERS: usize = 12;
/// Jobs a second that all workers together can do, and a job's worth in the ledger's units.
const CAPACITY: u64 = 1_200;
const JOB: u64 = 1_000;
/// Clients give up after this.
const PATIENCE: u64 = TICKS;
const OVER_SHARE_WORTH: f64 = 0.1;

/// A tenant: name, weight, jobs a second and at which dispatchers at some second.
struct Traffic {
    name: &'static str,
    weight: u32,
    rate: fn(u64) -> f64,
    at: fn(usize) -> bool,
}

const fn everywhere(_: usize) -> bool {
    true
}
fn west(at: usize) -> bool {
    at < DISPATCHERS / 2
}
fn east(at: usize) -> bool {
    !west(at)
}

/// Of 1,200 a second a weight of 1 in 101 has 11.9.
const TENANTS: [Traffic; 8] = [
    Traffic { name: "flood", weight: 10, rate: |_| 12_000.0, at: everywhere },
    Traffic { name: "steady", weight: 20, rate: |_| 214.0, at: everywhere },
    Traffic { name: "both", weight: 20, rate: |_| 600.0, at: everywhere },
    Traffic { name: "west", weight: 15, rate: |_| 270.0, at: west },
    Traffic { name: "east", weight: 15, rate: |_| 270.0, at: east },
    Traffic { name: "lender", weight: 20, rate: |s| if s < 40 { 0.0 } else { 285.0 }, at: everywhere },
    Traffic { name: "small", weight: 1, rate: |_| 12.0, at: |at| at == 3 },
    Traffic { name: "nothing", weight: 0, rate: |_| 100.0, at: everywhere },
];
const LENDER: usize = 5;
const NOTHING: usize = 7;

fn shares() -> Shares {
    let tenant = |t: &Traffic| Tenant { name: t.name.into(), weight: t.weight, classes: vec![] };
    let tenants = TENANTS.iter().map(tenant).collect();
    Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants }] }
}

fn config(me: usize, epoch: u64) -> Config {
    Config {
        me: me as u16,
        epoch: WALL / 1000 + epoch / 1000,
        wall_at_zero: WALL,
        peers: DISPATCHERS as u16,
        rate: CAPACITY * JOB,
        grain: JOB,
        over_share_worth: OVER_SHARE_WORTH,
        ..Config::default()
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The module as it is: it does not look at a job's tenant.
    Today,
    /// Each dispatcher holds each tenant to its part of the quota.
    QuotaByNode,
    /// This crate.
    FairShare,
    /// This crate, with one ledger that all dispatchers see at once.
    OneLedger,
    /// This crate with the seeded fault.
    Mutated,
}

#[derive(Clone, Copy, Debug)]
struct Story {
    name: &'static str,
    seconds: u64,
    loss: f64,
    /// Longest usual delay of a fact.
    delay: u64,
    /// Seconds of a cut between west and east.
    cut: Option<(u64, u64)>,
    /// The facts of this dispatcher are late by so many seconds, from this one on.
    late: Option<(usize, u64, u64)>,
    /// This dispatcher is killed at the one second, with what it has not told, and begins anew at the other.
    killed: Option<(usize, u64, u64)>,
}

const STORIES: [Story; 4] = [
    Story {
        name: "cut",
        seconds: 230,
        loss: 0.1,
        delay: SECOND,
        cut: Some((80, 140)),
        late: None,
        killed: None,
    },
    Story {
        name: "late",
        seconds: 150,
        loss: 0.1,
        delay: SECOND,
        cut: None,
        late: Some((2, 60, 50)),
        killed: None,
    },
    Story {
        name: "killed",
        seconds: 150,
        loss: 0.1,
        delay: SECOND,
        cut: None,
        late: None,
        killed: Some((3, 80, 110)),
    },
    Story { name: "lossy", seconds: 150, loss: 0.3, delay: 3 * SECOND, cut: None, late: None, killed: None },
];

#[derive(Clone)]
struct Fact {
    origin: Origin,
    slot: u32,
    number: u64,
    bytes: Vec<u8>,
}

/// What the membership crate does for facts, as far as it matters here: the latest of each slot is kept and passed on.
struct Carrier {
    held: Vec<BTreeMap<(Origin, u32), Fact>>,
    under_way: BTreeMap<u64, Vec<(usize, Fact)>>,
    bytes: u64,
}

impl Carrier {
    fn send(&mut self, rng: &mut fastrand::Rng, story: &Story, now: u64, to: usize, fact: Fact, late: u64) {
        for _ in 0..1 + usize::from(rng.f64() < 0.05) {
            if rng.f64() >= story.loss {
                self.bytes += fact.bytes.len() as u64;
                let at = now + late + 1 + rng.u64(0..story.delay);
                self.under_way.entry(at).or_default().push((to, fact.clone()));
            }
        }
    }
}

struct Dispatcher {
    up: bool,
    ledger: Ledger,
    epoch: u64,
    number: u64,
    /// Waiting jobs by tenant: tick of arrival and how many.
    waiting: Vec<VecDeque<(u64, u64)>>,
    /// Quotas by dispatcher: jobs left of each tenant's part.
    tokens: Vec<f64>,
}

#[derive(Default)]
struct Outcome {
    /// Jobs served and due, by tenant and second.
    served: Vec<Vec<u64>>,
    due: Vec<Vec<f64>>,
    /// Jobs served as a right, by tenant and second.
    by_right: Vec<Vec<u64>>,
    /// Facts told by all, their bytes, and bytes that the carrier brought.
    told: (u64, u64, u64),
    /// Members agree in every bit on what is known, and that is what was really used.
    agree: bool,
    exact: bool,
    broken: u64,
}

/// Max-min shares of the capacity by weight, for what was asked for in a second.
fn dues(asked: &[f64]) -> Vec<f64> {
    let mut due = vec![0.0; asked.len()];
    let (mut left, mut open): (f64, Vec<usize>) = (CAPACITY as f64, (0..asked.len()).collect());
    loop {
        let weights: f64 = open.iter().map(|t| f64::from(TENANTS[*t].weight)).sum();
        let level =
            |t: usize| if weights > 0.0 { left * f64::from(TENANTS[t].weight) / weights } else { left / 1.0 };
        let done: Vec<usize> = open.iter().copied().filter(|t| asked[*t] <= level(*t)).collect();
        if done.is_empty() || open.is_empty() {
            open.iter().for_each(|t| due[*t] = level(*t));
            return due;
        }
        for t in done {
            due[t] = asked[t];
            left -= asked[t];
            open.retain(|o| *o != t);
        }
    }
}

fn run(story: &Story, policy: Policy, seed: u64) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut traffic = fastrand::Rng::with_seed(seed ^ 0x5eed); // the same jobs come under every policy
    let shares = shares();
    let new = |me: usize, now: u64| {
        let set = Config { count_twice: policy == Policy::Mutated, ..config(me, now) };
        let tenants = TENANTS.len();
        let (ledger, waiting) =
            (Ledger::new(set, &shares, now).expect("settings"), vec![VecDeque::new(); tenants]);
        Dispatcher {
            up: true,
            ledger,
            epoch: config(me, now).epoch,
            number: 0,
            waiting,
            tokens: vec![0.0; tenants],
        }
    };
    let mut all: Vec<Dispatcher> = (0..DISPATCHERS).map(|me| new(me, 0)).collect();
    let mut truth = Ledger::new(config(0, 0), &shares, 0).expect("settings");
    let keys: Vec<TenantKey> = TENANTS.iter().map(|t| TenantKey::of(t.name)).collect();
    let weights: f64 = TENANTS.iter().map(|t| f64::from(t.weight)).sum();
    let mut carrier =
        Carrier { held: vec![BTreeMap::new(); DISPATCHERS], under_way: BTreeMap::new(), bytes: 0 };
    let mut out = Outcome::default();
    let mut credit = [0.0f64; 2];
    let learns = matches!(policy, Policy::FairShare | Policy::Mutated);
    // At the end a quiet time, so that all that was told arrives.
    let quiet = story.seconds + 15 + story.late.map_or(0, |l| l.2);
    for tick in 0..quiet * TICKS {
        let (now, second) = ((tick + 1) * TICK, tick / TICKS);
        let cut = story.cut.is_some_and(|(from, to)| (from..to).contains(&second));
        let joined = |a: usize, b: usize| !cut || west(a) == west(b);
        if tick % TICKS == 0 {
            let none = || vec![0; TENANTS.len()];
            (out.served.push(none()), out.by_right.push(none()), out.due.push(vec![0.0; TENANTS.len()]));
            if let Some((who, killed, back)) = story.killed {
                if second == killed {
                    all[who].up = false;
                    carrier.held[who].clear();
                } else if second == back {
                    all[who] = new(who, now);
                }
            }
        }
        // Jobs come, at dispatchers that are up.
        for (t, tenant) in TENANTS.iter().enumerate().filter(|_| second < story.seconds) {
            let at: Vec<usize> = (0..DISPATCHERS).filter(|d| (tenant.at)(*d) && all[*d].up).collect();
            let at =
                if at.is_empty() { vec![(0..DISPATCHERS).find(|d| all[*d].up).unwrap_or(0)] } else { at };
            for d in &at {
                let mean = (tenant.rate)(second) / TICKS as f64 / at.len() as f64;
                let jobs = mean as u64 + u64::from(traffic.f64() < mean.fract());
                out.due[second as usize][t] += jobs as f64;
                if jobs > 0 {
                    all[*d].waiting[t].push_back((tick, jobs));
                }
            }
        }
        if tick % TICKS == TICKS - 1 {
            let asked = &mut out.due[second as usize];
            *asked = dues(asked);
        }
        // Workers take the jobs of most worth, of these the oldest; in a cut each side has half of the workers.
        let sides: &[&[usize]] = if cut {
            &[&[0, 1, 2, 3, 4, 5], &[6, 7, 8, 9, 10, 11]]
        } else {
            &[&[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11]]
        };
        for (n, side) in sides.iter().enumerate() {
            credit[n] =
                (credit[n] + CAPACITY as f64 / TICKS as f64 / sides.len() as f64).min(CAPACITY as f64 / 10.0);
            let mut offers = Vec::new();
            let up: Vec<usize> = side.iter().copied().filter(|d| all[*d].up).collect();
            for d in up {
                for t in 0..TENANTS.len() {
                    let at = &mut all[d];
                    while at.waiting[t].front().is_some_and(|(came, _)| came + PATIENCE < tick) {
                        at.waiting[t].pop_front();
                    }
                    let part = CAPACITY as f64 * f64::from(TENANTS[t].weight) / weights / DISPATCHERS as f64;
                    at.tokens[t] = (at.tokens[t] + part / TICKS as f64).min(part);
                    let Some((came, _)) = at.waiting[t].front().copied() else { continue };
                    let worth = match policy {
                        Policy::Today => Worth { part: 1.0, tier: Tier::Within },
                        Policy::QuotaByNode if at.tokens[t] >= 1.0 => Worth { part: 1.0, tier: Tier::Within },
                        Policy::QuotaByNode => Worth { part: OVER_SHARE_WORTH, tier: Tier::Over },
                        Policy::OneLedger => truth.worth(keys[t], 0, now),
                        _ => at.ledger.worth(keys[t], 0, now),
                    };
                    offers.push((worth, came, rng.u32(..), d, t));
                }
            }
            offers.sort_by(|a, b| b.0.part.total_cmp(&a.0.part).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2)));
            // Few of each at a time, so that equals share a tick.
            let mut offers: VecDeque<_> = offers.into();
            while let Some((worth, came, dice, d, t)) = offers.pop_front() {
                if credit[n] < 1.0 {
                    break;
                }
                let Some(front) = all[d].waiting[t].front_mut() else { continue };
                front.1 -= 1;
                if front.1 == 0 {
                    all[d].waiting[t].pop_front();
                }
                credit[n] -= 1.0;
                out.served[second as usize][t] += 1;
                out.by_right[second as usize][t] += u64::from(worth.tier <= Tier::Floor);
                all[d].tokens[t] -= f64::from(u8::from(worth.tier == Tier::Within));
                let used = Use { worth: JOB, work: 10 };
                all[d].ledger.record(now, now, keys[t], 0, used).expect("recorded");
                truth.record(now, now, keys[t], 0, used).expect("recorded");
                // The next of these stands behind the others of the same worth.
                let Some((next, _)) = all[d].waiting[t].front().copied() else { continue };
                let quota_left =
                    policy != Policy::QuotaByNode || worth.tier == Tier::Over || all[d].tokens[t] >= 1.0;
                if quota_left {
                    let behind = offers.iter().position(|o| {
                        o.0.part < worth.part || o.0.part == worth.part && o.1 > next.max(came)
                    });
                    offers.insert(behind.unwrap_or(offers.len()), (worth, next, dice, d, t));
                }
            }
        }
        if !learns {
            continue;
        }
        // What was told goes out and comes in.
        for from in 0..DISPATCHERS {
            let late = story.late.filter(|l| l.0 == from && second >= l.1).map_or(0, |l| l.2 * SECOND);
            while let Some((slot, bytes)) = all[from].up.then(|| all[from].ledger.publish(now)).flatten() {
                all[from].number += 1;
                let origin = Origin { place: from as u16, epoch: all[from].epoch };
                let fact = Fact { origin, slot, number: all[from].number, bytes };
                out.told = (out.told.0 + 1, out.told.1 + fact.bytes.len() as u64, 0);
                if late == 0 {
                    carrier.held[from].insert((origin, slot), fact.clone());
                }
                for to in (0..DISPATCHERS).filter(|to| *to != from && joined(from, *to)) {
                    carrier.send(&mut rng, story, now, to, fact.clone(), late);
                }
            }
            // Anti-entropy: twice a second each asks one other for what it holds later.
            let other = rng.usize(0..DISPATCHERS);
            if tick % (TICKS / 2) == 0
                && other != from
                && joined(from, other)
                && all[from].up
                && all[other].up
            {
                let later = |(at, fact): (&(Origin, u32), &Fact)| {
                    carrier.held[from]
                        .get(at)
                        .is_none_or(|held| held.number < fact.number)
                        .then(|| fact.clone())
                };
                let missing: Vec<Fact> = carrier.held[other].iter().filter_map(later).collect();
                missing.into_iter().for_each(|fact| carrier.send(&mut rng, story, now, from, fact, 0));
            }
        }
        let rest = carrier.under_way.split_off(&(now + 1));
        for (to, fact) in std::mem::replace(&mut carrier.under_way, rest).into_values().flatten() {
            if !all[to].up {
                continue;
            }
            let held = carrier.held[to].entry((fact.origin, fact.slot)).or_insert_with(|| fact.clone());
            if held.number < fact.number {
                held.clone_from(&fact);
            }
            // Refusals of the late are counted by the ledger.
            let _ = all[to].ledger.absorb(now, fact.origin, fact.slot, fact.number, &fact.bytes);
        }
    }
    out.told.2 = carrier.bytes;
    let end = quiet * SECOND;
    let known = |l: &mut Ledger| -> Vec<Use> { keys.iter().map(|k| l.known(*k, end)).collect() };
    let want = known(&mut truth);
    let views: Vec<Vec<Use>> = all.iter_mut().map(|d| known(&mut d.ledger)).collect();
    out.agree = views.iter().all(|v| *v == views[0]);
    out.exact = views.iter().all(|v| *v == want);
    out.broken = all.iter().map(|d| d.ledger.figures().broken).sum();
    out
}

/// Served against due, over a span of seconds: the worst and the best off, and Jain's index.
fn fairness(out: &Outcome, from: u64, to: u64) -> (f64, f64, f64) {
    let sum = |t: usize| {
        let span = from as usize..to as usize;
        let due: f64 = out.due[span.clone()].iter().map(|s| s[t]).sum();
        let served: u64 = out.served[span].iter().map(|s| s[t]).sum();
        (due > 0.0).then(|| served as f64 / due)
    };
    let ratios: Vec<f64> = (0..TENANTS.len()).filter(|t| *t != NOTHING).filter_map(sum).collect();
    let (total, squares) = (ratios.iter().sum::<f64>(), ratios.iter().map(|r| r * r).sum::<f64>());
    let jain = total * total / (ratios.len() as f64 * squares);
    (ratios.iter().copied().fold(f64::MAX, f64::min), ratios.iter().copied().fold(0.0, f64::max), jain)
}

/// Seconds after `from` until each tenant's last 10 s are within 5 % of its due and stay so for 10 s.
fn settled(out: &Outcome, from: u64, until: u64) -> Option<u64> {
    let close = |at: u64| {
        let (worst, best, _) = fairness(out, at - 10, at);
        worst >= 0.95 && best <= 1.05
    };
    (from + 1..until - 10).find(|at| (*at..*at + 10).all(close)).map(|at| at - from)
}

/// What an account costs: microseconds a fact, a line, a query, and the lending once a bucket.
fn costs(tenants: usize) -> Value {
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{n}")).collect();
    let listed = names.iter().map(|n| Tenant { name: n.clone(), weight: 1, classes: vec![] }).collect();
    let shares =
        Shares { installations: vec![Installation { name: "home".into(), weight: 1, tenants: listed }] };
    let set = |me: u16| Config { me, peers: 40, wall_at_zero: WALL, rate: 1 << 20, ..Config::default() };
    let mut reader = Ledger::new(set(39), &shares, 0).expect("settings");
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut facts, mut bytes) = (Vec::new(), 0);
    for me in 0..30 {
        let mut teller = Ledger::new(set(me), &shares, 0).expect("settings");
        let mut number = 0;
        for second in 1..20u64 {
            for _ in 0..200 {
                let name = &names[rng.usize(0..tenants)];
                let used = Use { worth: rng.u64(1..100_000), work: rng.u64(1..1_000) };
                let _ = teller.record(second * SECOND, second * SECOND, TenantKey::of(name), 0, used);
            }
            while let Some((slot, told)) = teller.publish(second * SECOND) {
                number += 1;
                bytes += told.len();
                facts.push((second, Origin { place: me, epoch: 0 }, slot, number, told));
            }
        }
    }
    facts.sort_by_key(|f| f.0);
    let begun = Instant::now();
    for (second, origin, slot, number, told) in &facts {
        let _ = reader.absorb(second * SECOND, *origin, *slot, *number, told);
    }
    let report = begun.elapsed().as_secs_f64() * 1e6 / facts.len() as f64;
    let keys: Vec<TenantKey> = names.iter().map(|n| TenantKey::of(n)).collect();
    let begun = Instant::now();
    let mut sum = reader.worth(keys[0], 0, 21 * SECOND).part;
    let lend = begun.elapsed().as_secs_f64() * 1e6;
    let asked = 200_000;
    let begun = Instant::now();
    for _ in 0..asked {
        sum += reader.worth(keys[rng.usize(0..tenants)], 0, 21 * SECOND).part;
    }
    let query = begun.elapsed().as_secs_f64() * 1e6 / f64::from(asked);
    let second = 30.0 * 19.0;
    json!({
        "tenants": tenants, "members": 30, "facts": facts.len(), "us_a_report": report, "us_a_query": query,
        "us_lending_a_bucket": lend, "bytes_a_second_a_member": bytes as f64 / second, "mean_part": sum / f64::from(asked),
    })
}

fn main() -> ExitCode {
    let begun = Instant::now();
    let seeds: Vec<u64> = match std::env::args().nth(1).and_then(|s| s.parse().ok()) {
        Some(seed) => vec![seed],
        None => vec![1, 2],
    };
    let (mut aims, mut stories) = (Map::new(), Vec::new());
    let mut aim = |name: &str, held: bool| {
        let before = aims.get(name).is_none_or(|had| *had == json!(true));
        aims.insert(name.into(), (held && before).into());
    };
    let share = |t: usize| CAPACITY as f64 * f64::from(TENANTS[t].weight) / 101.0;
    for (story, seed) in STORIES.iter().flat_map(|story| seeds.iter().map(move |seed| (story, *seed))) {
        for policy in [Policy::Today, Policy::QuotaByNode, Policy::FairShare, Policy::OneLedger] {
            let out = run(story, policy, seed);
            let after = story.cut.map_or(60, |(_, to)| to);
            let (worst, best, jain) = fairness(&out, 20, story.seconds);
            let in_cut = story.cut.map(|(from, to)| fairness(&out, from, to));
            let end = fairness(&out, story.seconds - 30, story.seconds);
            let heal = settled(&out, after, story.seconds);
            let back = settled(&out, 40, 80);
            // Beyond the share in the cut, of what all sides gave, in parts of rate times time times sides.
            let beyond = story.cut.map(|(from, to)| {
                let of = |t: usize| {
                    let given: u64 = out.by_right[from as usize..to as usize].iter().map(|s| s[t]).sum();
                    let span = (to - from) as f64;
                    (given as f64 - share(t) * span) / (share(t) * span * 2.0)
                };
                (0..TENANTS.len()).filter(|t| *t != NOTHING).map(of).fold(f64::MIN, f64::max)
            });
            let lender: u64 = out.served[42..48].iter().map(|s| s[LENDER]).sum();
            let line = json!({
                "story": story.name, "seed": seed, "policy": format!("{policy:?}"), "worst": worst, "best": best, "jain": jain,
                "in_cut": in_cut, "last_30_s": end, "settled_after_s": heal, "lending_back_s": back,
                "lender_2_to_8_s": lender as f64 / (share(LENDER) * 6.0), "beyond_of_bound": beyond,
                "bytes_a_second_a_member": out.told.1 as f64 / (story.seconds as f64 * DISPATCHERS as f64),
                "agree": out.agree, "exact": out.exact,
            });
            println!("{line}");
            if policy == Policy::FairShare {
                aim("all members agree in every bit", out.agree);
                aim(
                    "what is known is what was used, but for what died untold",
                    out.exact || story.killed.is_some(),
                );
                aim("nothing broken", out.broken == 0);
            }
            stories.push(line);
        }
    }
    let mutated = run(&STORIES[3], Policy::Mutated, seeds[0]);
    aim("a report counted twice is caught", !mutated.exact);
    let costs: Vec<Value> = [10, 1_000, 10_000].map(costs).into();
    let held = aims.values().all(|held| *held == json!(true));
    let line = json!({
        "proof": "fairshare", "held": held, "aims": aims, "seconds": begun.elapsed().as_secs_f64(), "seeds": seeds,
        "costs": costs, "stories": stories,
    });
    println!("{line}");
    if held { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
