//! The messages of a handover keep their form: a process of the version before is on the other side.

use super::protocol::{HandoverMessage, receive, send};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use std::path::PathBuf;

/// Each message, as the version before wrote it.
fn kept() -> Vec<(String, String)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/compatibility/handover");
    let files = std::fs::read_dir(folder).expect("the folder of messages");
    let mut messages: Vec<(String, String)> = files
        .map(|file| {
            let path = file.expect("a file").path();
            let name = path.file_stem().expect("a name").to_string_lossy().into_owned();
            (name, std::fs::read_to_string(&path).expect("text").trim_end().to_owned())
        })
        .collect();
    messages.sort();
    messages
}

#[test]
fn every_message_is_read_and_written_again_alike() {
    let messages = kept();
    assert_eq!(messages.len(), 14, "every kind is there");
    for (name, text) in messages {
        let message: HandoverMessage =
            serde_json::from_str(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(serde_json::to_string(&message).expect("JSON"), text, "{name}");
    }
}

/// What an earlier version leaves out has a default; what it had more of is passed over.
#[test]
fn messages_of_earlier_versions_are_read() {
    let table = [
        r#"{"Listeners":{"sse":false,"peers":false,"drained":false,"table":{"generation":1,"reset":true,"rows":[],"bad_rows":0},"open":{"names":[],"live":0},"lesson":null}}"#,
        r#"{"Front":{"sse":false,"unasked":true,"calls_back":false,"session":null,"more":1}}"#,
    ];
    for text in table {
        assert!(serde_json::from_str::<HandoverMessage>(text).is_ok(), "{text}");
    }
}

/// A packet: the length of the message in four bytes, the least first, the message, and the bytes behind it.
#[test]
fn a_packet_keeps_its_frame() {
    let (one, other) =
        rustix::net::socketpair(AddressFamily::UNIX, SocketType::SEQPACKET, SocketFlags::CLOEXEC, None)
            .expect("a pair of sockets");
    send(&one, &HandoverMessage::StatusCallback, &[b"body"], &[]).expect("sent");
    let mut bytes = [0; 64];
    let (read, _) =
        rustix::net::recv(&other, &mut bytes[..], rustix::net::RecvFlags::PEEK).expect("a packet");
    assert_eq!(&bytes[..read], b"\x06\0\0\0\"News\"body");
    let packet = receive(&other).expect("a packet").expect("whole");
    assert!(matches!(packet.message, HandoverMessage::StatusCallback));
    assert_eq!(packet.bytes, b"body");
    assert!(packet.descriptors.is_empty());
    // One that is too long for a packet goes in a file.
    let long = vec![7; 300 * 1024];
    send(&one, &HandoverMessage::StatusCallback, &[&long], &[]).expect("sent");
    let (read, _) =
        rustix::net::recv(&other, &mut bytes[..], rustix::net::RecvFlags::PEEK).expect("a packet");
    assert_eq!(&bytes[..read], [u8::MAX; 4]);
    let packet = receive(&other).expect("a packet").expect("whole");
    assert!(matches!(packet.message, HandoverMessage::StatusCallback));
    assert_eq!(packet.bytes, long);
}
