use super::PeerDatagram;

#[test]
fn each_kind_keeps_its_bytes() {
    let kinds: [(PeerDatagram<'_>, &[u8]); 4] = [
        (PeerDatagram::Serving, b"U"),
        (PeerDatagram::Stopping, b"S"),
        (PeerDatagram::LastHeard { age_ms: 0x0102_0304 }, b"H\x01\x02\x03\x04"),
        (PeerDatagram::Message(b"{\"v\":1}"), b"{\"v\":1}"),
    ];
    for (datagram, bytes) in kinds {
        assert_eq!(datagram.encode(), bytes);
        assert_eq!(PeerDatagram::decode(bytes), datagram);
    }
}

#[test]
fn another_length_makes_it_a_message() {
    for bytes in [&b""[..], b"U1", b"S\0", b"H", b"H123", b"H12345"] {
        assert_eq!(PeerDatagram::decode(bytes), PeerDatagram::Message(bytes));
    }
}
