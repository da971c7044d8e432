//! What a running process says to scripts and to the other dispatchers: its figures line and its datagrams of state.

use crate::{assert_kept, from_hex, kept};
use mothproxy_testkit::*;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};

/// A process beside a stand-in for the other dispatcher.
fn beside_a_peer(node: &std::sync::Arc<FakeWorker>) -> (DispatcherProcess, UdpSocket) {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let program = DispatcherProcess::builder(std::slice::from_ref(node))
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

/// Waits for a datagram that begins so, and returns it and where it came from.
fn receive(peer: &UdpSocket, start: &[u8]) -> (Vec<u8>, SocketAddr) {
    let mut buf = [0; 256];
    loop {
        let (len, from) = peer.recv_from(&mut buf).expect("a datagram");
        if buf[..len].starts_with(start) {
            return (buf[..len].to_vec(), from);
        }
    }
}

/// Datagrams by which dispatchers announce their state are read and written as before.
#[test]
fn datagrams_of_state_keep_their_bytes() {
    let words: Vec<Vec<u8>> = kept("state-datagrams.hex").lines().map(from_hex).collect();
    let [serving, stopping, heard, work] = &words[..] else { panic!("four datagrams: {words:?}") };
    let node = FakeWorker::start("s-1");
    let (program, peer) = beside_a_peer(&node);
    let (word, at) = receive(&peer, serving);
    assert_eq!(&word, serving);
    peer.send_to(work, at).expect("sent");
    peer.send_to(serving, at).expect("sent");
    // When that peer's work was heard of, in milliseconds: less than a minute ago.
    let (word, _) = receive(&peer, &heard[..1]);
    assert_eq!((word.len(), &word[..3]), (heard.len(), &heard[..3]));
    program.terminate();
    assert_eq!(&receive(&peer, stopping).0, stopping);
    assert!(program.wait_for_exit().0);
}

/// The summary in the log has the keys that scripts read, in their order.
#[test]
fn the_figures_line_keeps_its_keys_in_order() {
    let node = FakeWorker::start("s-1");
    let program = DispatcherProcess::builder(std::slice::from_ref(&node)).start();
    let reply =
        send(program.platform, &job_request("a", "balance", "take started done=x", "")).expect("an answer");
    assert_eq!(reply.status, 200);
    program.terminate();
    let (clean, log) = program.wait_for_exit();
    assert!(clean, "{log:?}");
    let line = log.iter().rev().find(|line| line.starts_with("figures ")).expect("a line of figures");
    let fields = line.split(' ').map(|field| field.split('=').next().unwrap_or(field));
    assert_kept("figures.keys", &fields.map(|field| format!("{field}\n")).collect::<String>());
}
