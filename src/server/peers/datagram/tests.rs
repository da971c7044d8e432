use super::PeerDatagram;

#[test]
fn each_datagram_keeps_its_encoding() {
    let kinds: [(PeerDatagram<'_>, &[u8]); 4] = [
        (PeerDatagram::Serving, b"U"),
        (PeerDatagram::Stopping, b"S"),
        (PeerDatagram::LastMessageAge { age_ms: 0x0102_0304 }, b"H\x01\x02\x03\x04"),
        (PeerDatagram::Message(b"{\"v\":1}"), b"{\"v\":1}"),
    ];
    for (datagram, bytes) in kinds {
        assert_eq!(datagram.encode(), bytes);
        assert_eq!(PeerDatagram::decode(bytes), datagram);
    }
}

#[test]
fn datagrams_of_another_length_are_messages() {
    for bytes in [&b""[..], b"U1", b"S\0", b"H", b"H123", b"H12345"] {
        assert_eq!(PeerDatagram::decode(bytes), PeerDatagram::Message(bytes));
    }
}
