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

struct OutageTest {
    fleet: Fleet,
    /// Lines of failed watches of each, as last looked at.
    failures_before: Vec<usize>,
}

impl OutageTest {
    fn failures(&self) -> Vec<usize> {
        let failures_before = |line: &LogLine| line.text.contains("discovery: watch failed");
        (0..SIZE).map(|i| self.fleet.log(i).iter().filter(|line| failures_before(line)).count()).collect()
    }

    /// Waits until all have had a watch fail since the last round.
    fn wait_until_all_watches_fail(&self) {
        self.fleet.wait_until("all watches fail", || {
            self.failures().iter().zip(&self.failures_before).all(|(now, before)| now > before)
        });
    }

    /// Waits until all have called since: whatever they had before is closed, and nothing can be written to it any more.
    fn wait_until_all_call(&self, before: &[u64]) {
        self.fleet.wait_until("all call", || {
            self.fleet.discovery.metrics().calls.iter().zip(before).all(|(now, before)| now > before)
        });
    }

    /// A worker leaves, and since then the service can be reached; all are told in time.
    fn check_worker_leaves(&mut self, what: &str, worker: usize, reachable_since: u64, max_seconds: u64) {
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Draining);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        let notified_at = self.fleet.notified_at(generation, 0);
        let last = notified_at.iter().flatten().max().expect("all are told") - reachable_since;
        println!("{what}: the last is told after {} ms", last / 1_000);
        assert!(last <= max_seconds * 1_000_000, "{what}: {last} us, {notified_at:?}");
        // And it is up again, so that the next round finds work at all.
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Up);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        self.failures_before = self.failures();
    }

    fn set_link_faults(&self, faults: LinkFaults) {
        (0..SIZE).for_each(|i| self.fleet.discovery_link(i).set(faults));
    }

    fn reset_links(&self) {
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
    let mut test = OutageTest { fleet: Fleet::start(plan).expect("a fleet"), failures_before: vec![0; SIZE] };
    test.fleet.wait_until_notified(&test.fleet.all(), 1, 0);
    let load = test.fleet.start_plain_load(&test.fleet.all(), 3.0, Duration::from_secs(120));

    // All calls need 4.4 s, and a call may wait for 2.5 s of them.
    test.fleet.discovery.change_script(calls_take(220));
    test.reset_links();
    test.wait_until_all_watches_fail();
    test.check_worker_leaves("slow", 0, test.fleet.now(), 6);

    test.fleet.discovery.change_script(calls_take(100));
    test.set_link_faults(LinkFaults { connect: ConnectBehavior::Refused, ..LinkFaults::default() });
    test.reset_links();
    test.wait_until_all_watches_fail();
    test.set_link_faults(LinkFaults::default());
    test.check_worker_leaves("refusing", 1, test.fleet.now(), 6);

    for (mode, what, worker) in [(DiscoveryMode::Down, "down", 2), (DiscoveryMode::Mute, "silent", 3)] {
        test.fleet.discovery.set_mode(mode);
        test.wait_until_all_watches_fail();
        test.wait_until_all_call(&test.fleet.discovery.metrics().calls);
        test.fleet.discovery.set_mode(DiscoveryMode::Up);
        test.check_worker_leaves(what, worker, test.fleet.now(), 6);
    }

    test.fleet.set_discovery_cut(&test.fleet.all(), true);
    test.wait_until_all_watches_fail();
    test.reset_links();
    test.fleet.set_discovery_cut(&test.fleet.all(), false);
    test.check_worker_leaves("cut", 0, test.fleet.now(), 6);

    // Each asks for changes, and for the whole list as well.
    test.fleet.discovery.change_script(calls_take(50));
    let (reloaded_at, before) = (test.fleet.now(), test.fleet.discovery.metrics().calls);
    for i in 0..SIZE {
        let address = forward(test.fleet.discovery_link(i).address).to_string();
        test.fleet.change_config(i, |config| config["discovery"] = json!(address));
        test.fleet.reload(i).expect("it rereads");
    }
    test.wait_until_all_call(&before);
    test.check_worker_leaves("moved", 1, reloaded_at, 4);

    let report = load.stop();
    let found =
        test.fleet.audit(&AuditRules { assume_notified_after: Some(6_000_000), ..AuditRules::default() });
    assert!(found.is_empty() && report.unanswered == 0 && report.served() > 300, "{found:#?} {report:?}");
}
