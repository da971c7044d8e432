//! The output of a running process for scripts and other dispatchers: the line of metrics in its log, and its state datagrams.

use crate::{assert_matches_golden_file, from_hex, golden_file};
use mothproxy_testkit::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};

/// Starts a process with one worker, and a socket in place of the other dispatcher.
fn start_with_peer(worker: &std::sync::Arc<FakeWorker>) -> (DispatcherProcess, UdpSocket) {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let program = DispatcherProcess::builder(std::slice::from_ref(worker))
        .configure(|config| {
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] = json!(["127.8.0.1:9", peer.local_addr().expect("an address").to_string()]);
            config["settings"]["Siblings"] = json!(2);
            config["settings"]["Limits"]["Peers"] = json!(true);
            config["settings"]["Limits"]["Probing"] = json!(true);
        })
        .start();
    (program, peer)
}

/// Waits for a datagram that starts with these bytes, and returns it and its source address.
fn receive(peer: &UdpSocket, start: &[u8]) -> (Vec<u8>, SocketAddr) {
    let mut buf = [0; 256];
    loop {
        let (len, from) = peer.recv_from(&mut buf).expect("a datagram");
        if buf[..len].starts_with(start) {
            return (buf[..len].to_vec(), from);
        }
    }
}

/// Dispatchers read and write the same datagrams to announce their state.
#[test]
fn state_datagrams_keep_their_bytes() {
    let datagrams: Vec<Vec<u8>> = golden_file("state-datagrams.hex").lines().map(from_hex).collect();
    let [serving, stopping, last_heard, load] = &datagrams[..] else {
        panic!("four datagrams: {datagrams:?}")
    };
    let worker = FakeWorker::start("s-1");
    let (program, peer) = start_with_peer(&worker);
    let (datagram, address) = receive(&peer, serving);
    assert_eq!(&datagram, serving);
    peer.send_to(load, address).expect("sent");
    peer.send_to(serving, address).expect("sent");
    // The last two bytes are the time since the last message from this peer, in milliseconds: less than a minute, but it varies.
    let (datagram, _) = receive(&peer, &last_heard[..1]);
    assert_eq!((datagram.len(), &datagram[..3]), (last_heard.len(), &last_heard[..3]));
    program.terminate();
    assert_eq!(&receive(&peer, stopping).0, stopping);
    assert!(program.wait_for_exit().0);
}

/// The line of metrics in the log has the keys that scripts read, in the same order.
#[test]
fn metrics_line_keeps_its_keys_in_order() {
    let worker = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&worker)).start();
    let reply =
        send(program.platform, &job_request("a", "balance", "take started done=x", "")).expect("an answer");
    assert_eq!(reply.status, 200);
    program.terminate();
    let (is_clean, log) = program.wait_for_exit();
    assert!(is_clean, "{log:?}");
    let line = log.iter().rev().find(|line| line.starts_with("figures ")).expect("a line of figures");
    let fields = line.split(' ').map(|field| field.split('=').next().unwrap_or(field));
    assert_matches_golden_file("figures.keys", &fields.map(|field| format!("{field}\n")).collect::<String>());
}
