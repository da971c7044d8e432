//! Twenty dispatcher processes with one discovery service, which in turn is slow, refuses connections, is down, is silent, is cut
//! off by the network, and moves to another address (`docs/design/lists.md`). All processes must be notified of a change within
//! 6 s of the service being reachable, and within 4 s of SIGHUP after a move, and none may send jobs to a worker that left.

use mothproxy_testkit::fleet::*;
use serde_json::json;
use std::io::copy;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::Duration;

/// The number of dispatcher processes.
const PROCESSES: usize = 20;
/// The time within which all processes must be notified of a change, from when discovery has it and is reachable.
const NOTIFICATION_SECONDS: u64 = 6;
/// The same time after a SIGHUP that moves the processes to another discovery address.
const NOTIFICATION_SECONDS_AFTER_MOVE: u64 = 4;

/// Opens a listener that forwards connections to this address. Returns the listener's address.
fn forward(to: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    let address = listener.local_addr().expect("no local address");
    spawn(move || {
        for inbound in listener.incoming().flatten() {
            let Ok(outbound) = TcpStream::connect(to) else { continue };
            let directions = [(inbound.try_clone(), outbound.try_clone()), (Ok(outbound), Ok(inbound))];
            for (from, to) in directions.into_iter().filter_map(|(from, to)| from.ok().zip(to.ok())) {
                spawn(move || {
                    let _ = copy(&mut &from, &mut &to);
                    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                });
            }
        }
    });
    address
}

/// The fleet with its discovery service.
struct OutageTest {
    fleet: Fleet,
    /// The number of log lines on failed watches of each process, at the last check.
    failures_before: Vec<usize>,
}

impl OutageTest {
    fn failures(&self) -> Vec<usize> {
        let is_failure = |line: &&LogLine| line.text.contains("discovery: watch failed");
        (0..PROCESSES).map(|i| self.fleet.log(i).iter().filter(is_failure).count()).collect()
    }

    /// Waits until the watch of each process has failed since the last check.
    fn wait_until_all_watches_fail(&self) {
        self.fleet.wait_until("all watches fail", || {
            self.failures().iter().zip(&self.failures_before).all(|(now, before)| now > before)
        });
    }

    /// Waits until each process has called discovery since `before`. Its earlier connections are closed by then, so that nothing
    /// more can be sent on them.
    fn wait_until_all_call(&self, before: &[u64]) {
        self.fleet.wait_until("all call", || {
            self.fleet.discovery.metrics().calls.iter().zip(before).all(|(now, before)| now > before)
        });
    }

    /// Makes a worker leave and checks that all processes are notified within `max_seconds` of `reachable_since`.
    fn check_worker_leaves(&mut self, what: &str, worker: usize, reachable_since: u64, max_seconds: u64) {
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Draining);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        let notified_at = self.fleet.notified_at(generation, 0);
        let last = notified_at.iter().flatten().max().expect("no process was notified") - reachable_since;
        println!("{what}: the last process is notified after {} ms", last / 1_000);
        assert!(last <= max_seconds * 1_000_000, "{what}: {last} us, {notified_at:?}");
        // The worker takes work again, so that the next check has enough workers.
        let generation = self.fleet.discovery.set_lifecycle(worker, Lifecycle::Up);
        self.fleet.wait_until_notified(&self.fleet.all(), generation, 0);
        self.failures_before = self.failures();
    }

    fn set_link_faults(&self, faults: LinkFaults) {
        (0..PROCESSES).for_each(|i| self.fleet.discovery_link(i).set(faults));
    }

    fn reset_links(&self) {
        (0..PROCESSES).for_each(|i| self.fleet.discovery_link(i).reset());
    }
}

/// Sets the time that the discovery service takes for a call.
fn set_service_time(script: &mut DiscoveryScript, milliseconds: u64) {
    script.service_time = Duration::from_millis(milliseconds);
}

impl OutageTest {
    fn start() -> OutageTest {
        let mut plan =
            FleetPlan::new(env!("CARGO_BIN_EXE_mothproxy"), PROCESSES, 4, seed_from_env_or(0x6c69_7374));
        set_service_time(&mut plan.discovery, 50);
        plan.discovery.max_wait = Duration::from_millis(2_500);
        plan.change = Some(Arc::new(|_, config| {
            config["settings"]["Obligations"]["AskWithinMs"] = json!(10_000.0);
        }));
        let fleet = Fleet::start(plan).expect("cannot start the fleet");
        fleet.wait_until_notified(&fleet.all(), 1, 0);
        OutageTest { fleet, failures_before: vec![0; PROCESSES] }
    }

    /// One call of each process takes the service 4.4 s in total, but a call may wait for only 2.5 s.
    fn test_slow_service(&mut self) {
        self.fleet.discovery.change_script(|script| set_service_time(script, 220));
        self.reset_links();
        self.wait_until_all_watches_fail();
        self.check_worker_leaves("slow", 0, self.fleet.now(), NOTIFICATION_SECONDS);
        self.fleet.discovery.change_script(|script| set_service_time(script, 100));
    }

    fn test_refused_connections(&mut self) {
        self.set_link_faults(LinkFaults { connect: ConnectBehavior::Refused, ..LinkFaults::default() });
        self.reset_links();
        self.wait_until_all_watches_fail();
        self.set_link_faults(LinkFaults::default());
        self.check_worker_leaves("refusing", 1, self.fleet.now(), NOTIFICATION_SECONDS);
    }

    /// Sets the service to this mode until all processes have called it in that mode. Then a worker leaves.
    fn test_mode(&mut self, mode: DiscoveryMode, what: &str, worker: usize) {
        self.fleet.discovery.set_mode(mode);
        self.wait_until_all_watches_fail();
        self.wait_until_all_call(&self.fleet.discovery.metrics().calls);
        self.fleet.discovery.set_mode(DiscoveryMode::Up);
        self.check_worker_leaves(what, worker, self.fleet.now(), NOTIFICATION_SECONDS);
    }

    fn test_cut_links(&mut self) {
        self.fleet.set_discovery_cut(&self.fleet.all(), true);
        self.wait_until_all_watches_fail();
        self.reset_links();
        self.fleet.set_discovery_cut(&self.fleet.all(), false);
        self.check_worker_leaves("cut", 0, self.fleet.now(), NOTIFICATION_SECONDS);
    }

    /// Moves the processes to another address by SIGHUP. Each calls for a watch, and for the whole list as well.
    fn test_moved_service(&mut self) {
        self.fleet.discovery.change_script(|script| set_service_time(script, 50));
        let reloaded_at = self.fleet.now();
        let before = self.fleet.discovery.metrics().calls;
        for dispatcher in 0..PROCESSES {
            let address = forward(self.fleet.discovery_link(dispatcher).address).to_string();
            self.fleet.change_config(dispatcher, |config| config["discovery"] = json!(address));
            self.fleet.reload(dispatcher).expect("cannot reload the configuration");
        }
        self.wait_until_all_call(&before);
        self.check_worker_leaves("moved", 1, reloaded_at, NOTIFICATION_SECONDS_AFTER_MOVE);
    }
}

/// After each kind of outage, all processes are notified of a change in time, and no job is lost or sent to a worker that left.
#[test]
fn twenty_processes_get_list_in_time_after_outages() {
    let mut test = OutageTest::start();
    let load = test.fleet.start_plain_load(&test.fleet.all(), 3.0, Duration::from_secs(120));
    test.test_slow_service();
    test.test_refused_connections();
    test.test_mode(DiscoveryMode::Down, "down", 2);
    test.test_mode(DiscoveryMode::Mute, "silent", 3);
    test.test_cut_links();
    test.test_moved_service();
    let report = load.stop();
    let rules =
        AuditRules { assume_notified_after: Some(NOTIFICATION_SECONDS * 1_000_000), ..AuditRules::default() };
    let found = test.fleet.audit(&rules);
    assert!(found.is_empty() && report.unanswered == 0 && report.served() > 300, "{found:#?} {report:?}");
}
