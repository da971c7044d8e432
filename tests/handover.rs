//! Tests of two dispatchers that stop at the same time: client connections are closed only if the other dispatcher can take the
//! clients.

use mothproxy_testkit::*;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};

/// Starts a dispatcher with a fake peer. Returns the dispatcher, the peer's socket, and the address from which the dispatcher
/// sends datagrams.
fn start_with_peer(workers: &[std::sync::Arc<FakeWorker>]) -> (DispatcherProcess, UdpSocket, SocketAddr) {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("cannot bind a loopback port");
    peer.set_read_timeout(Some(WAIT_TIMEOUT)).expect("cannot set socket option");
    let dispatcher = DispatcherProcess::builder(workers)
        .configure(|config| {
            config["peer_listen"] = json!("127.0.0.1:0");
            config["peers"] =
                json!(["127.0.0.1:9", peer.local_addr().expect("no local address").to_string()]);
            config["settings"]["Siblings"] = json!(2);
            config["settings"]["Limits"]["Peers"] = json!(true);
        })
        .start();
    let mut buf = [0; 16];
    let (len, dispatcher_address) = peer.recv_from(&mut buf).expect("no datagram");
    assert_eq!(&buf[..len], b"U", "the first datagram must announce that the dispatcher serves");
    (dispatcher, peer, dispatcher_address)
}

fn wait_for_datagram(peer: &UdpSocket, expected: &[u8]) {
    let mut buf = [0; 16];
    while !matches!(peer.recv_from(&mut buf).expect("no datagram"), (len, _) if &buf[..len] == expected) {}
}

/// If two dispatchers that stop at the same time both close their client connections, the clients have no dispatcher left. A
/// stopping dispatcher keeps them until its peer announces that it serves.
#[test]
fn keeps_clients_until_peer_serves() {
    let worker = FakeWorker::start("s-1");
    let (dispatcher, peer, dispatcher_address) = start_with_peer(std::slice::from_ref(&worker));
    let mut client = connect(dispatcher.platform);
    let mut send_on_kept_connection = |id: String| {
        client
            .write_all(job_request(&id, "balance", "take started pause=150 done=x", "").as_bytes())
            .expect("write failed");
        read_reply(&mut client).expect("no complete response on the kept connection")
    };
    assert_eq!(send_on_kept_connection("a0".into()).status, 200);
    peer.send_to(b"S", dispatcher_address).expect("cannot send the datagram");
    dispatcher.terminate();
    wait_for_datagram(&peer, b"S");
    for n in 0..6 {
        let reply = send_on_kept_connection(format!("b{n}"));
        assert_eq!((reply.status, reply.header("Connection")), (200, None));
    }
    peer.send_to(b"U", dispatcher_address).expect("cannot send the datagram");
    wait_for_datagram(&peer, b"S"); // the answer to the peer that serves again
    assert_eq!(send_on_kept_connection("c0".into()).header("Connection"), Some("close"));
    // Datagrams get lost, so the dispatcher repeats the announcement that it stops.
    (0..3).for_each(|_| wait_for_datagram(&peer, b"S"));
    dispatcher.wait_for_complete_shutdown();
}

/// A dispatcher that stops closes its client connections while a peer serves.
#[test]
fn closes_client_connections_while_peer_serves() {
    let worker = FakeWorker::start("s-1");
    let (dispatcher, peer, dispatcher_address) = start_with_peer(std::slice::from_ref(&worker));
    peer.send_to(b"S", dispatcher_address).expect("cannot send the datagram");
    peer.send_to(b"U", dispatcher_address).expect("cannot send the datagram");
    dispatcher.terminate();
    wait_for_datagram(&peer, b"S");
    let reply = send(dispatcher.platform, &simple_job("d0")).expect("no complete response");
    assert_eq!((reply.status, reply.header("Connection")), (200, Some("close")));
    assert!(dispatcher.wait_for_exit().0);
}
