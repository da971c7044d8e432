//! A thousand dispatchers and a thousand workers: what one may not do because all do it, what no list may be too long for.

mod common;
use common::{MS, Node as Module, class, sends, worker};
use mothproxy::core::peer_lifecycle::PeerLifecycle;
use mothproxy::policy::gossip::GroupGossip;
use mothproxy::*;
use mothproxy_testkit::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering::SeqCst;

/// Dispatchers, and workers on the list.
const SIZE: u32 = 1_024;

/// Datagrams of one round in which all dispatchers say that they stop, and how many take it then that all do.
fn round(count: u32, stops: impl Fn(u32) -> bool) -> (usize, usize) {
    let mut states: Vec<PeerLifecycle> =
        (0..count).map(|me| PeerLifecycle::new(me, count as usize)).collect();
    let mut datagrams = 0;
    for me in (0..count).filter(|n| stops(*n)) {
        for to in states[me as usize].neighbors() {
            assert!(to != me && states[to as usize].neighbors().contains(&me), "{me} tells {to} of {count}");
            states[to as usize].on_stopping(me);
            datagrams += 1;
        }
    }
    (datagrams, (0..count).filter(|n| stops(*n) && states[*n as usize].are_all_stopping()).count())
}

/// Beyond 16 dispatchers nobody said anything, so that in a stop of all each sent its clients to others that stopped too. StatusCallback
/// to all, a release of 300 would cost 300 x 299 datagrams for each time that it is said.
#[test]
fn tells_a_full_stop_from_a_rolling_release_at_any_size() {
    for (count, datagrams) in [(2, 2), (16, 240), (17, 136), (300, 2_400), (1_024, 8_192)] {
        assert_eq!(round(count, |_| true), (datagrams, count as usize), "all {count} stop");
    }
    for count in (17..1_100_u32).step_by(7) {
        let groups = count.div_ceil(10);
        // A tenth or half of them in order, every third, every tenth, one group, one zone of three.
        let (tenth, half) = (count.div_ceil(10), count / 2);
        let releases: [&dyn Fn(u32) -> bool; 6] =
            [&|n| n < tenth, &|n| n < half, &|n| n % 3 == 0, &|n| n % 10 == 0, &|n| n % groups == 0, &|n| {
                n % 3 == 1 && n < count - 1
            }];
        for (which, stops) in releases.into_iter().enumerate() {
            assert_eq!(round(count, stops).1, 0, "release {which} of {count}");
        }
    }
}

/// Makes a configuration one of this many dispatchers and workers: all workers are this node, and the other dispatchers are
/// sockets where these are given, by number.
fn thousandfold(config: &mut Value, node: &FakeWorker, others: &BTreeMap<u32, UdpSocket>) {
    let at = |n| match others.get(&n) {
        Some(socket) => socket.local_addr().expect("an address"),
        None => SocketAddr::from(([127, 8, (n >> 8) as u8, n as u8], 9)),
    };
    config["known"]["instances"] = json!(rows(0..SIZE, node, "up"));
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = (0..SIZE).map(|n| json!(at(n).to_string())).collect();
    config["settings"]["Siblings"] = json!(SIZE);
    config["settings"]["Limits"]["Peers"] = json!(true);
    config["settings"]["Limits"]["Probing"] = json!(true);
}

/// Rows of the list for workers of these numbers, all of them this node.
fn rows(numbers: std::ops::Range<u32>, node: &FakeWorker, lifecycle: &str) -> Vec<Value> {
    let row = |n| site::endpoint_entry(&format!("s-{n:04}"), &node.address.to_string(), lifecycle);
    numbers.map(row).collect()
}

/// Waits for such a datagram; where it came from.
fn hears(other: &UdpSocket, what: impl Fn(&[u8]) -> bool) -> SocketAddr {
    let mut buf = [0; 256];
    loop {
        let (len, from) = other.recv_from(&mut buf).expect("a datagram");
        if what(&buf[..len]) {
            return from;
        }
    }
}

fn served(client: &mut std::net::TcpStream, id: &str) -> HttpReply {
    use std::io::Write;
    client
        .write_all(job_request(id, "balance", "stream started pause=5 done=x", "").as_bytes())
        .expect("written");
    let reply = read_reply(client).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"), "{id}");
    reply
}

/// What a program has in memory, in KiB.
fn resident(program: &DispatcherProcess) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.pid())).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its size");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}

/// Beyond 16 dispatchers one said nothing of its stop, and closed its clients' connections though all others stopped too.
#[test]
#[allow(clippy::too_many_lines, reason = "one history or table of cases, read from top to bottom")]
fn one_of_a_thousand_nodes_starts_serves_reloads_and_stops() {
    let node = FakeWorker::start("s-0000");
    let told = PeerLifecycle::new(0, SIZE as usize).neighbors();
    // Those that it tells, a mate of its group, and two that it has nothing to say to.
    let bound = |n| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
        (n, socket)
    };
    let mut others: BTreeMap<u32, UdpSocket> = told.iter().copied().chain([103, 5, 500]).map(bound).collect();
    let (new, half) = (FakeWorker::start("s-new"), rows(0..SIZE / 2, &node, "up"));
    let whole = half.into_iter().chain(rows(SIZE..SIZE * 3 / 2, &new, "up"));
    let list = json!({"generation": 2, "reset": true, "instances": whole.collect::<Vec<_>>()});
    let discovery = FakeDiscovery::start(list.clone());
    let mut program = DispatcherProcess::builder(&[])
        .discovery(discovery.address)
        .configure(|config| thousandfold(config, &node, &others))
        .start();
    let home = hears(&others[&told[0]], |bytes| bytes == b"U");
    let mut client = connect(program.platform);
    let mut names = 0..;
    let mut jobs = |client: &mut _| served(client, &format!("a{}", names.next().unwrap_or(0))).status == 200;
    assert!(jobs(&mut client));
    // Another whole list, with new ones for half of them; then the others are told to drain.
    wait_until("the new list counts", || jobs(&mut client) && new.job_count.load(SeqCst) > 0);
    let drained = json!({"generation": 3, "reset": false, "instances": rows(0..SIZE / 2, &node, "draining")});
    discovery.push_change(&drained.to_string(), list);
    wait_until("the change counts", || {
        let before = node.job_count.load(SeqCst);
        (0..10).all(|_| jobs(&mut client)) && node.job_count.load(SeqCst) == before
    });
    assert_eq!(hears(&others[&103], |bytes| bytes[0] == b'W'), home, "its group knows of its work");
    // What was said counts for an address, whatever its number is after a reload.
    others[&500].send_to(b"S", home).expect("sent");
    let mut config = program.config.clone();
    let moved = others.remove(&500).zip(others.remove(&told[0])).expect("both are there");
    others.extend([(told[0], moved.0), (500, moved.1)]);
    thousandfold(&mut config, &node, &others);
    others[&103].send_to(b"W\0", home).expect("sent");
    served(&mut client, "b0"); // and the datagrams have been read
    program.replace_config(&config.to_string());
    program.signal("-HUP");
    program.wait_for_log("configuration reloaded");
    told[1..].iter().for_each(|n| {
        others[n].send_to(b"S", home).expect("sent");
    });
    served(&mut client, "c0");
    // A row of the list is in the configuration, in the table and in what was read last; the module knows a worker by less.
    let small = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let more = resident(&program).saturating_sub(resident(&small));
    let ever_listed = u64::from(SIZE) * 3 / 2;
    assert!(more < ever_listed * 8, "{more} KiB more than with one worker");
    program.terminate();
    told.iter().for_each(|n| {
        hears(&others[n], |bytes| bytes == b"S");
    });
    assert_eq!(served(&mut client, "d0").header("Connection"), None, "nobody else could take its client");
    others[&told[1]].send_to(b"U", home).expect("sent");
    hears(&others[&told[1]], |bytes| bytes == b"S");
    assert_eq!(served(&mut client, "d1").header("Connection"), Some("close"));
    let (clean, log) = program.wait_for_exit();
    let last = log.iter().rev().find(|line| line.starts_with("figures ")).expect("a summary");
    let figures =
        [" bad_datagrams=0 ", " bad_lists=0 ", " bad_rows=0 ", " workers=512 ", " broken_invariants=0"];
    assert!(clean && figures.iter().all(|figure| last.contains(figure)), "{last}");
    others[&5].set_nonblocking(true).expect("a socket option");
    assert!(others[&5].recv_from(&mut [0; 256]).is_err(), "said to one of a thousand more than needs it");
}

/// The list and what was learned of a thousand workers went over in one packet of at most 256 KB: it could not be sent, and the
/// younger process waited for an address that the elder kept.
#[test]
fn transfers_a_thousand_workers_to_the_successor() {
    let (node, folder) = (FakeWorker::start("s-0000"), tempfile::tempdir().expect("a folder"));
    let start = |listen: String| {
        DispatcherProcess::builder(&[])
            .temp_dir(folder.path())
            .configure(|config| {
                thousandfold(config, &node, &BTreeMap::new());
                config["listen"] = json!(listen);
            })
            .start()
    };
    let mut elder = start("127.0.0.1:0".to_owned());
    let mut client = connect(elder.platform);
    (0..5).for_each(|n| drop(served(&mut client, &format!("a{n}"))));
    let younger = start(elder.platform.to_string());
    elder.wait_for_log("hot restart: handing over");
    // On the same connection, by the younger: the elder holds nothing and ends.
    served(&mut client, "b0");
    elder.terminate();
    assert!(elder.wait_for_exit().0);
    served(&mut client, "b1");
    let figures = younger.shut_down_for_metrics();
    assert_eq!((figures["served"], figures["broken_invariants"]), (2, 0), "{figures:?}");
}

fn settings(me: u32, nodes: u32) -> Settings {
    let class = Class { latency_objective: 250 * MS, deadline: 7_500 * MS, ..class(Idempotency::Idempotent) };
    let base =
        Settings { may_probe: true, may_message_peers: true, reports_start: true, ..Settings::default() };
    Settings { own_index: me, dispatcher_count: nodes, classes: vec![class], ..base }
}

/// So many workers, each two of which have a tag that messages shorten to the same 16 bits.
fn alike(count: u32) -> Vec<EndpointEntry> {
    let mix = |x: u64| {
        let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    };
    let (mut first, mut tags) = (BTreeMap::new(), Vec::new());
    for tag in 1.. {
        match first.remove(&(mix(tag) as u16)) {
            Some(like) => tags.extend([like, tag]),
            None => drop(first.insert(mix(tag) as u16, tag)),
        }
        if tags.len() >= count as usize {
            break;
        }
    }
    (0..).zip(tags).map(|(n, tag)| EndpointEntry { tag, ..worker(n) }).collect()
}

/// One of so many nodes, among workers that have one slot each.
fn among(me: u32, nodes: u32, workers: &[EndpointEntry]) -> Module {
    let mut node = Module::seeded(settings(me, nodes), me.into());
    node.roster(workers.to_vec());
    node.report(0, 0.0, 1.0);
    node
}

/// This many jobs arrive at a node, one each 3 ms, from this number on: where they go, and what it tells this other one.
fn load(node: &mut Module, from: u64, jobs: u64, to: u32) -> (Vec<(u64, WorkerId)>, Vec<Vec<u8>>) {
    let (mut used, mut told) = (Vec::new(), Vec::new());
    for job in from..from + jobs {
        let mut actions = node.arrive(job, 0, 60_000 * MS);
        actions.extend(node.pass(3 * MS));
        for (job, at) in sends(&actions) {
            actions.extend(node.feed(Event::Started { job: JobId(job), attempt: 0 }));
            used.push((job, at));
        }
        told.extend(tells(actions, to));
    }
    (used, told)
}

fn tells(actions: Vec<Action>, whom: u32) -> impl Iterator<Item = Vec<u8>> {
    actions.into_iter().filter_map(move |act| match act {
        Action::SendToPeer { to, bytes } if to == whom => Some(bytes),
        _ => None,
    })
}

fn hear(node: &mut Module, from: u32, told: impl IntoIterator<Item = Vec<u8>>) -> Vec<Action> {
    told.into_iter().flat_map(|bytes| node.feed(Event::PeerMessage { from, bytes })).collect()
}

/// A message names 120 workers at most, and what was beyond that was left out: always the same ones, which the mates took for
/// idle. Of two workers with one short tag the group knew of one alone, and counted the work of both there.
#[test]
fn a_group_knows_all_outstanding_work_at_a_thousand_workers() {
    let workers = alike(SIZE);
    let [mut node, mut mate] = [0, 1].map(|me| among(me, 2, &workers));
    let (mut out, told) = load(&mut node, 0, 600, 1);
    assert_eq!(out.len(), 600);
    assert!(told.iter().all(|bytes| bytes.len() <= 256));
    // A start changes one message or splits it in two; in 1.8 s nothing has to be said again.
    assert!((600..=620).contains(&told.len()), "{} messages of 600 starts", told.len());
    hear(&mut mate, 0, told);
    let apart = |mate: &mut Module, from, jobs, out: &[(u64, WorkerId)]| {
        let full: BTreeSet<WorkerId> = out.iter().map(|(_, worker)| *worker).collect();
        let (mine, _) = load(mate, from, jobs, 0);
        let both = mine.iter().filter(|(_, worker)| full.contains(worker)).count();
        assert!(
            both == 0 && mine.len() as u64 > jobs * 9 / 10,
            "{both} of {} are at full workers",
            mine.len()
        );
    };
    apart(&mut mate, 0, 300, &out);
    // What gets lost is said again; and what has ended takes no room any more, though messages of less than all are merged.
    out.extend(load(&mut node, 600, 50, 1).0);
    let again: Vec<Vec<u8>> = tells(node.pass(2_000 * MS), 1).collect();
    assert!((6..=12).contains(&again.len()), "{} messages of 650 that are out", again.len());
    hear(&mut mate, 0, again);
    apart(&mut mate, 300, 30, &out);
    for (job, worker) in out.split_off(20) {
        node.end(job, 0, worker, Outcome::Ok);
    }
    let left: Vec<Vec<u8>> = tells(node.pass(3 * MS), 1).collect();
    assert_eq!(left.len(), 1, "it says all in one message again");
    hear(&mut mate, 0, left);
    apart(&mut mate, 330, 300, &out);
}

/// A slot that was offered at one of two workers with one short tag was taken at the other, whose group knew nothing of it.
#[test]
fn an_offer_is_used_at_the_worker_it_names() {
    let workers = alike(300);
    let [mut lender, mut asker] = [0, 1].map(|me| among(me, 30, &workers));
    let mut group = GroupGossip::new(&settings(0, 30));
    group.assign(&workers, &[]);
    let (own, _) = load(&mut asker, 0, 160, 0);
    assert!((90..=110).contains(&own.len()), "{} workers in its part", own.len());
    let offers = (0..50).flat_map(|_| lender.feed(Event::PeerMessage { from: 1, bytes: vec![b'A', 0] }));
    let offers: Vec<Vec<u8>> = tells(offers.collect(), 1).filter(|bytes| bytes[0] == b'O').collect();
    let lent = sends(&hear(&mut asker, 0, offers));
    assert!(lent.len() >= 45, "{} of 50 offers are taken", lent.len());
    let strays = lent.iter().filter(|(_, worker)| !group.assigned().contains(worker)).count();
    assert_eq!(strays, 0, "at workers of another group than the lender's");
}

/// Whatever the sizes, each worker has one group, by the word of any of its nodes, and no group far more than its part.
#[test]
fn assigns_each_of_a_thousand_workers_to_one_group() {
    let workers: Vec<EndpointEntry> =
        (0..SIZE).map(|n| EndpointEntry { zone: ZoneId((n % 3) as u16), ..worker(n) }).collect();
    for (nodes, listed) in [(2, SIZE), (17, SIZE), (300, SIZE), (SIZE, SIZE), (SIZE, 60), (SIZE, 1)] {
        let (listed, groups) = (&workers[..listed as usize], nodes.div_ceil(10));
        let parts = (0..groups.min(nodes)).flat_map(|me| {
            let mut gossips = [me, me + (nodes - 1 - me) / groups * groups]
                .map(|me| GroupGossip::new(&settings(me, nodes)));
            gossips.iter_mut().for_each(|gossip| gossip.assign(listed, &[]));
            assert_eq!(gossips[0].assigned(), gossips[1].assigned(), "two nodes of group {me} of {nodes}");
            // Of each of three zones one more than the mean.
            assert!(gossips[0].assigned().len() <= listed.len() / groups as usize + 3);
            gossips[0].assigned().to_vec()
        });
        let mut parts: Vec<WorkerId> = parts.collect();
        parts.sort_unstable();
        assert!(
            parts.iter().eq(listed.iter().map(|known| &known.worker)),
            "{nodes} nodes, {} workers",
            listed.len()
        );
    }
}

/// The least time of the module for a job, over five rounds of 40 that start and end.
fn least(node: &mut Module) -> std::time::Duration {
    let mut round = |from: u64| {
        node.spent = Default::default();
        for job in from..from + 40 {
            for (job, at) in sends(&node.arrive(job, 0, 5_000 * MS)) {
                node.end(job, 0, at, Outcome::Ok);
            }
            node.pass(MS);
        }
        node.spent / 40
    };
    (0..5).map(|n| round(n * 40)).min().unwrap_or_default()
}

/// What every node of other groups had ever said was kept and looked through for each job: of 1,024 nodes that had each been
/// lent a slot once, a job took 172 us instead of 4. And where a class has a kind of worker, all workers were summed up.
#[test]
fn decision_time_does_not_grow_with_borrowers_or_kinds() {
    let workers: Vec<EndpointEntry> =
        (0..SIZE).map(|n| EndpointEntry { kind: KindId((n % 2) as u16), ..worker(n) }).collect();
    let of = |kinds: bool| {
        let mut set = settings(0, SIZE);
        set.classes.extend((kinds).then(|| Class { kind: Some(KindId(1)), ..set.classes[0].clone() }));
        let mut node = Module::new(set);
        node.roster(workers.clone());
        (0..SIZE).for_each(|w| drop(node.report(w, 0.3, 4.0)));
        node
    };
    let mut node = of(false);
    let (before, kinds) = (least(&mut node), least(&mut of(true)));
    for from in (0..SIZE).filter(|from| from % 103 != 0) {
        node.feed(Event::PeerMessage { from, bytes: vec![b'G', 0, 0, 1] });
    }
    node.pass(11_000 * MS);
    let after = least(&mut node);
    println!("{before:?}, {kinds:?}, {after:?}");
    assert!(after < before * 8, "a job: {before:?}, and {after:?} after 1,014 nodes were lent a slot");
    assert!(kinds < before * 3, "a job: {before:?}, and {kinds:?} where a class has a kind");
}

/// Whatever all others say, and whatever the list and the settings become, work goes to workers that are listed, and no message
/// is too long.
#[test]
fn tolerates_any_message_as_one_of_a_thousand() {
    let (mut node, mut rng) =
        (among(0, SIZE, &(0..SIZE).map(worker).collect::<Vec<_>>()), fastrand::Rng::with_seed(6));
    let (mut ready, mut sent): (BTreeSet<WorkerId>, usize) = ((0..SIZE).map(WorkerId).collect(), 0);
    for step in 0..2_000 {
        let said: Vec<u8> = (0..rng.usize(..40)).map(|_| rng.u8(..)).collect();
        let kind = *rng.choice(b"WwGgAOUS").expect("one of them");
        let mut actions = Vec::new();
        if step % 10 == 0 {
            let entry = EndpointEntry {
                status: rng.choice([Status::Ready, Status::Draining, Status::Gone]).expect("one"),
                ..worker(rng.u32(..SIZE * 2))
            };
            ready.remove(&entry.worker);
            ready.extend((entry.status == Status::Ready).then_some(entry.worker));
            actions.extend(node.feed(Event::EndpointList(ListKind::Delta, vec![entry])));
        }
        let mail = Event::PeerMessage { from: rng.u32(..SIZE + 9), bytes: [&[kind], &said[..]].concat() };
        actions.extend(node.feed(mail));
        if step % 500 == 499 {
            node.dispatcher.reconfigure(settings(0, SIZE - step as u32 / 20)).expect("sound settings");
        }
        actions.extend(node.arrive(step, 0, 7_000 * MS));
        actions.extend(node.pass(3 * MS));
        for (job, at) in sends(&actions) {
            assert!(ready.contains(&at), "{at:?} is not ready");
            (sent, _) = (sent + 1, node.end(job, 0, at, Outcome::Ok));
        }
        assert!(
            actions.iter().all(|act| !matches!(act, Action::SendToPeer { bytes, .. } if bytes.len() > 256))
        );
    }
    assert!(sent > 1_000, "{sent} of 2,000 jobs are sent");
}
