//! Twenty processes before one list service that is slow, refuses, is down, silent, cut off and moved (`docs/design/lists.md`): from
//! the moment at which it can be reached all are told within 6 s, within 4 s of SIGHUP, and nobody sends to a worker that left.

use mothproxy_testkit::fleet::*;
use serde_json::json;
use std::io::copy;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

const SIZE: usize = 20;

/// Another address for this one.
fn forward(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let ways = [(near.try_clone(), far.try_clone()), (Ok(far), Ok(near))];
            for (from, to) in ways.into_iter().filter_map(|(from, to)| from.ok().zip(to.ok())) {
                spawn(move || {
                    let _ = copy(&mut &from, &mut &to);
                    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                });
            }
        }
    });
    address
}

struct Story {
    fleet: Fleet,
    /// Lines of failed watches of each, as last looked at.
    failed: Vec<usize>,
}

impl Story {
    fn failures(&self) -> Vec<usize> {
        let failed = |line: &LogLine| line.text.contains("discovery: watch failed");
        (0..SIZE).map(|i| self.fleet.log(i).iter().filter(|line| failed(line)).count()).collect()
    }

    /// Waits until all have had a watch fail since the last round.
    fn all_fail(&self) {
        self.fleet.wait_until("all watches fail", || {
            self.failures().iter().zip(&self.failed).all(|(now, before)| now > before)
        });
    }

    /// Waits until all have called since: whatever they had before is closed, and nothing can be written to it any more.
    fn all_call(&self, before: &[u64]) {
        self.fleet.wait_until("all call", || {
            self.fleet.discovery.metrics().calls.iter().zip(before).all(|(now, before)| now > before)
        });
    }

    /// A worker leaves, and since then the service can be reached; all are told in time.
    fn leaves(&mut self, what: &str, worker: usize, back: u64, bound: u64) {
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Draining);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        let held = self.fleet.notified_at(generation, 0);
        let last = held.iter().flatten().max().expect("all are told") - back;
        println!("{what}: the last is told after {} ms", last / 1_000);
        assert!(last <= bound * 1_000_000, "{what}: {last} us, {held:?}");
        // And it is up again, so that the next round finds work at all.
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Up);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        self.failed = self.failures();
    }

    fn links(&self, faults: LinkFaults) {
        (0..SIZE).for_each(|i| self.fleet.discovery_link(i).set(faults));
    }

    fn resets(&self) {
        (0..SIZE).for_each(|i| self.fleet.discovery_link(i).reset());
    }
}

#[test]
fn twenty_processes_get_list_in_time_after_outages() {
    let mut plan = Plan::new(env!("CARGO_BIN_EXE_mothproxy"), SIZE, 4, seed_or(0x6c69_7374));
    let calls_take = |ms| move |script: &mut DiscoveryScript| script.service_time = Duration::from_millis(ms);
    calls_take(50)(&mut plan.discovery);
    plan.discovery.max_wait = Duration::from_millis(2_500);
    plan.change = Some(Arc::new(|_, config| {
        config["settings"]["Obligations"]["AskWithinMs"] = json!(10_000.0);
    }));
    let mut story = Story { fleet: Fleet::start(plan).expect("a fleet"), failed: vec![0; SIZE] };
    story.fleet.wait_until_notified(&story.fleet.all(), 1, 0);
    let load = story.fleet.start_plain_load(&story.fleet.all(), 3.0, Duration::from_secs(120));

    // All calls need 4.4 s, and a call may wait for 2.5 s of them.
    story.fleet.discovery.change_script(calls_take(220));
    story.resets();
    story.all_fail();
    story.leaves("slow", 0, story.fleet.now(), 6);

    story.fleet.discovery.change_script(calls_take(100));
    story.links(LinkFaults { connect: ConnectBehavior::Refused, ..LinkFaults::default() });
    story.resets();
    story.all_fail();
    story.links(LinkFaults::default());
    story.leaves("refusing", 1, story.fleet.now(), 6);

    for (mode, what, worker) in [(DiscoveryMode::Down, "down", 2), (DiscoveryMode::Mute, "silent", 3)] {
        story.fleet.discovery.set_mode(mode);
        story.all_fail();
        story.all_call(&story.fleet.discovery.metrics().calls);
        story.fleet.discovery.set_mode(DiscoveryMode::Up);
        story.leaves(what, worker, story.fleet.now(), 6);
    }

    story.fleet.set_discovery_cut(&story.fleet.all(), true);
    story.all_fail();
    story.resets();
    story.fleet.set_discovery_cut(&story.fleet.all(), false);
    story.leaves("cut", 0, story.fleet.now(), 6);

    // Each asks for changes, and for the whole list as well.
    story.fleet.discovery.change_script(calls_take(50));
    let (hung_up, before) = (story.fleet.now(), story.fleet.discovery.metrics().calls);
    for i in 0..SIZE {
        let address = forward(story.fleet.discovery_link(i).address).to_string();
        story.fleet.change_config(i, |config| config["discovery"] = json!(address));
        story.fleet.reload(i).expect("it rereads");
    }
    story.all_call(&before);
    story.leaves("moved", 1, hung_up, 4);

    let report = load.stop();
    let found =
        story.fleet.audit(&AuditRules { assume_notified_after: Some(6_000_000), ..AuditRules::default() });
    assert!(found.is_empty() && report.unanswered == 0 && report.served() > 300, "{found:#?} {report:?}");
}
