//! Checks that the encoding of handover messages does not change: the other process may run the previous version.

use super::protocol::{HandoverMessage, receive, send};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::path::PathBuf;

/// The recorded messages of the previous version, each with its name, ordered by name.
fn recorded_messages() -> Vec<(String, String)> {
    let directory = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/handover");
    let files = std::fs::read_dir(directory).expect("the directory of recorded messages is readable");
    let mut messages: Vec<(String, String)> = files
        .map(|file| {
            let path = file.expect("the directory entry is readable").path();
            let name = path.file_stem().expect("the file has a name").to_string_lossy().into_owned();
            (name, std::fs::read_to_string(&path).expect("the file is text").trim_end().to_owned())
        })
        .collect();
    messages.sort();
    messages
}

#[test]
fn recorded_messages_survive_a_round_trip() {
    let messages = recorded_messages();
    assert_eq!(messages.len(), 14, "number of recorded messages");
    for (name, text) in messages {
        let message: HandoverMessage =
            serde_json::from_str(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(serde_json::to_string(&message).expect("the message is encodable"), text, "{name}");
    }
}

/// Fields that an earlier version does not send have a default; fields that it sends in addition are ignored.
#[test]
fn messages_of_earlier_versions_are_decoded() {
    let messages = [
        r#"{"Listeners":{"sse":false,"peers":false,"drained":false,"table":{"generation":1,"reset":true,"rows":[],"bad_rows":0},"open":{"names":[],"live":0},"lesson":null}}"#,
        r#"{"Front":{"sse":false,"unasked":true,"calls_back":false,"session":null,"more":1}}"#,
    ];
    for text in messages {
        assert!(serde_json::from_str::<HandoverMessage>(text).is_ok(), "{text}");
    }
}

/// A packet holds the length of the message in four bytes (little-endian), the message, and the bytes that follow it.
#[test]
fn packets_keep_their_framing() {
    let (one, other) =
        rustix::net::socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
            .expect("the socket pair is created");
    send(&one, &HandoverMessage::StatusCallback, &[b"body"], &[]).expect("the message is sent");
    let mut bytes = [0; 64];
    let (read, _) = rustix::net::recv(&other, &mut bytes[..], rustix::net::RecvFlags::PEEK)
        .expect("a packet has arrived");
    assert_eq!(&bytes[..read], b"\x06\0\0\0\"News\"body");
    let packet = receive(&other).expect("the packet is valid").expect("the link is open");
    assert!(matches!(packet.message, HandoverMessage::StatusCallback));
    assert_eq!(packet.bytes, b"body");
    assert!(packet.descriptors.is_empty());
    // A message that is too long for a packet is sent in a memory file.
    let long = vec![7; 300 * 1024];
    send(&one, &HandoverMessage::StatusCallback, &[&long], &[]).expect("the message is sent");
    let (read, _) = rustix::net::recv(&other, &mut bytes[..], rustix::net::RecvFlags::PEEK)
        .expect("a packet has arrived");
    assert_eq!(&bytes[..read], [u8::MAX; 4]);
    let packet = receive(&other).expect("the packet is valid").expect("the link is open");
    assert!(matches!(packet.message, HandoverMessage::StatusCallback));
    assert_eq!(packet.bytes, long);
}
