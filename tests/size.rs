//! A thousand dispatchers and a thousand workers: what one may not do because all do it, what no list may be too long for.

use mothproxy::core::peer_states::PeerStates;
use mothproxy_stand_ins::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

/// Dispatchers, and workers on the list.
const SIZE: u32 = 1_024;

/// Datagrams of one round in which all dispatchers say that they stop, and how many take it then that all do.
fn round(count: u32, stops: impl Fn(u32) -> bool) -> (usize, usize) {
    let mut states: Vec<PeerStates> = (0..count).map(|me| PeerStates::new(me, count as usize)).collect();
    let mut datagrams = 0;
    for me in (0..count).filter(|n| stops(*n)) {
        for to in states[me as usize].told() {
            assert!(to != me && states[to as usize].told().contains(&me), "{me} tells {to} of {count}");
            states[to as usize].heard(me, true);
            datagrams += 1;
        }
    }
    (datagrams, (0..count).filter(|n| stops(*n) && states[*n as usize].all_stop()).count())
}

/// Beyond 16 dispatchers nobody said anything, so that in a stop of all each sent its clients to others that stopped too. Told
/// to all, a release of 300 would cost 300 x 299 datagrams for each time that it is said.
#[test]
fn a_stop_of_all_is_known_and_a_release_is_not_taken_for_one_at_any_size() {
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
fn thousandfold(config: &mut Value, node: &Node, others: &BTreeMap<u32, UdpSocket>) {
    let at = |n| match others.get(&n) {
        Some(socket) => socket.local_addr().expect("an address"),
        None => SocketAddr::from(([127, 8, (n >> 8) as u8, n as u8], 9)),
    };
    let rows = (0..SIZE).map(|n| site::row(&format!("s-{n:04}"), &node.address.to_string(), "up"));
    config["known"]["instances"] = rows.collect();
    config["peer_listen"] = json!("127.0.0.1:0");
    config["peers"] = (0..SIZE).map(|n| json!(at(n).to_string())).collect();
    config["settings"]["Siblings"] = json!(SIZE);
    config["settings"]["Limits"]["Peers"] = json!(true);
    config["settings"]["Limits"]["Probing"] = json!(true);
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

fn served(client: &mut std::net::TcpStream, id: &str) -> Reply {
    use std::io::Write;
    client.write_all(job(id, "balance", "stream started done=x", "").as_bytes()).expect("written");
    let reply = read_reply(client).expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "x"), "{id}");
    reply
}

/// Beyond 16 dispatchers one said nothing of its stop, and closed its clients' connections though all others stopped too.
#[test]
fn one_of_a_thousand_starts_serves_reloads_and_stops_with_the_others() {
    let node = Node::start("s-0000");
    let told = PeerStates::new(0, SIZE as usize).told();
    // Those that it tells, a mate of its group, and two that it has nothing to say to.
    let bound = |n| {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(PATIENCE)).expect("a socket option");
        (n, socket)
    };
    let mut others: BTreeMap<u32, UdpSocket> = told.iter().copied().chain([103, 5, 500]).map(bound).collect();
    let mut program = start_with(&[], None, false, |config| thousandfold(config, &node, &others));
    let home = hears(&others[&told[0]], |bytes| bytes == b"U");
    let mut client = connect(program.platform);
    (0..5).for_each(|n| drop(served(&mut client, &format!("a{n}"))));
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
    program.logged("reloaded");
    told[1..].iter().for_each(|n| {
        others[n].send_to(b"S", home).expect("sent");
    });
    served(&mut client, "c0");
    program.terminate();
    told.iter().for_each(|n| {
        hears(&others[n], |bytes| bytes == b"S");
    });
    assert_eq!(served(&mut client, "d0").field("Connection"), None, "nobody else could take its client");
    others[&told[1]].send_to(b"U", home).expect("sent");
    hears(&others[&told[1]], |bytes| bytes == b"S");
    assert_eq!(served(&mut client, "d1").field("Connection"), Some("close"));
    let (clean, log) = program.wait();
    let last = log.iter().rev().find(|line| line.starts_with("figures ")).expect("a summary");
    assert!(clean && last.contains(" bad_datagrams=0 ") && last.contains(" broken_invariants=0"), "{last}");
    others[&5].set_nonblocking(true).expect("a socket option");
    assert!(others[&5].recv_from(&mut [0; 256]).is_err(), "said to one of a thousand more than needs it");
}

/// The list and what was learned of a thousand workers went over in one packet of at most 256 KB: it could not be sent, and the
/// younger process waited for an address that the elder kept.
#[test]
fn a_thousand_workers_go_over_to_a_younger_process() {
    let (node, folder) = (Node::start("s-0000"), tempfile::tempdir().expect("a folder"));
    let start = |listen: String| {
        start_beside(&[], None, false, Some(folder.path()), |config| {
            thousandfold(config, &node, &BTreeMap::new());
            config["listen"] = json!(listen);
        })
    };
    let mut elder = start("127.0.0.1:0".to_owned());
    let mut client = connect(elder.platform);
    (0..5).for_each(|n| drop(served(&mut client, &format!("a{n}"))));
    let younger = start(elder.platform.to_string());
    elder.logged("upgrade: handing over");
    // On the same connection, by the younger: the elder holds nothing and ends.
    served(&mut client, "b0");
    elder.terminate();
    assert!(elder.wait().0);
    served(&mut client, "b1");
    let figures = younger.figures();
    assert_eq!((figures["served"], figures["broken_invariants"]), (2, 0), "{figures:?}");
}
