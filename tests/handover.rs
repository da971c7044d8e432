//! Two dispatchers stopping at once: clients are let go only where another one can take them.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};

/// The program with a test double for the other dispatcher, and where its datagrams come from.
fn beside_a_peer(workers: &[std::sync::Arc<FakeWorker>]) -> (DispatcherProcess, UdpSocket, SocketAddr) {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a socket option");
    let program = DispatcherProcess::builder(workers)
        .configure(|config| {
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] = json!(["127.0.0.1:9", peer.local_addr().expect("an address").to_string()]);
            config["settings"]["Siblings"] = json!(2);
            config["settings"]["Limits"]["Peers"] = json!(true);
        })
        .start();
    let mut buf = [0; 16];
    let (len, home) = peer.recv_from(&mut buf).expect("a datagram");
    assert_eq!(&buf[..len], b"U", "it says that it serves");
    (program, peer, home)
}

fn wait_for_datagram(peer: &UdpSocket, what: &[u8]) {
    let mut buf = [0; 16];
    while !matches!(peer.recv_from(&mut buf).expect("a datagram"), (len, _) if &buf[..len] == what) {}
}

/// Both closed their clients' connections although neither could take the other's: those clients found nobody.
#[test]
fn keeps_clients_until_peer_serves() {
    let worker = FakeWorker::start("s-1");
    let (program, peer, home) = beside_a_peer(std::slice::from_ref(&worker));
    let mut client = connect(program.platform);
    let mut send_on_kept_connection = |id: String| {
        client
            .write_all(job_request(&id, "balance", "take started pause=150 done=x", "").as_bytes())
            .expect("written");
        read_reply(&mut client).expect("an answer on a kept connection")
    };
    assert_eq!(send_on_kept_connection("a0".into()).status, 200);
    peer.send_to(b"S", home).expect("sent");
    program.terminate();
    wait_for_datagram(&peer, b"S");
    for n in 0..6 {
        let reply = send_on_kept_connection(format!("b{n}"));
        assert_eq!((reply.status, reply.header("Connection")), (200, None));
    }
    peer.send_to(b"U", home).expect("sent");
    wait_for_datagram(&peer, b"S"); // the one that has come back is told
    assert_eq!(send_on_kept_connection("c0".into()).header("Connection"), Some("close"));
    // Datagrams get lost: it goes on saying that it stops.
    (0..3).for_each(|_| wait_for_datagram(&peer, b"S"));
    program.wait_for_complete_shutdown();
}

/// A dispatcher that stops sends its clients away while a peer serves.
#[test]
fn closes_client_connections_while_peer_serves() {
    let worker = FakeWorker::start("s-1");
    let (program, peer, home) = beside_a_peer(std::slice::from_ref(&worker));
    peer.send_to(b"S", home).expect("sent");
    peer.send_to(b"U", home).expect("sent");
    program.terminate();
    wait_for_datagram(&peer, b"S");
    let reply = send(program.platform, &simple_job("d0")).expect("an answer");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    assert!(program.wait_for_exit().0);
}
