//! Tests of the HTTP parsers with valid messages split at random positions and with random bytes, from fixed seeds.

use mothproxy::http::{self, Body, Chunked, EventStream, Framing, HeadError, StreamEvent, events, load};
use quickcheck::{Arbitrary, Gen};

const ROUNDS: u64 = 400;

fn each_round(mut check: impl FnMut(&mut Gen)) {
    (0..ROUNDS).for_each(|seed| check(&mut Gen::from_size_and_seed(64, seed)));
}

/// Splits bytes at random positions.
fn split_at_random(bytes: &[u8], g: &mut Gen) -> Vec<Vec<u8>> {
    let mut rest = bytes;
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(1 + usize::arbitrary(g) % rest.len().min(40));
        pieces.push(piece.to_vec());
        rest = after;
    }
    pieces
}

fn random_token(g: &mut Gen) -> String {
    let letters: Vec<char> = "abcXYZ019-_".chars().collect();
    (0..1 + usize::arbitrary(g) % 12).filter_map(|_| g.choose(&letters).copied()).collect()
}

/// Whether bytes can be the start of a request is decided from as many bytes as have arrived.
#[test]
fn recognizes_the_start_of_a_request() {
    for text in ["", "P", "POST", "POST /x", "\r\nGET /", "DELETE /jobs/1 HTTP/1.1\r\n"] {
        assert!(http::may_begin_request(text.as_bytes()), "{text}");
    }
    for text in ["yyyy", "PO ST", "post /x", "POSTER /x", "{\"id\":1}", "\r\n\r\n\r\nGET /"] {
        assert!(!http::may_begin_request(text.as_bytes()), "{text}");
    }
}

/// A head is parsed in the same way wherever its bytes are split, and with either line end.
#[test]
fn parses_a_request_head_split_anywhere() {
    each_round(|g| {
        let (path, id, length) = (random_token(g), random_token(g), usize::arbitrary(g) % 70_000);
        let end = if bool::arbitrary(g) { "\r\n" } else { "\n" };
        let head = [format!("POST /{path} HTTP/1.1"), "Host: h".into(), format!("X-Id:  {id} ")];
        let text = head.join(end) + end + &format!("Content-Length: {length}{end}{end}tail");
        let head_len = text.len() - 4;
        let mut seen = Vec::new();
        for piece in split_at_random(text.as_bytes(), g) {
            let before = seen.len();
            seen.extend(piece);
            let read = http::read_request(&seen);
            if seen.len() < head_len {
                assert_eq!(read, Ok(None));
            } else if length > http::MAX_BODY {
                assert_eq!(read, Err(HeadError::BodyTooLarge));
            } else {
                let read =
                    read.expect("invalid head").unwrap_or_else(|| panic!("incomplete after byte {before}"));
                assert_eq!((read.framing, read.len), (Framing::Length(length), head_len));
                assert_eq!(&seen[read.target.clone()], format!("/{path}").as_bytes());
                assert_eq!(read.fields.text(&seen, "x-ID"), Some(id.as_str()));
            }
        }
    });
}

/// A chunked body is decoded in the same way wherever its bytes are split.
#[test]
fn decodes_a_chunked_body_split_anywhere() {
    each_round(|g| {
        let chunks: Vec<Vec<u8>> = (0..usize::arbitrary(g) % 6).map(|_| Vec::arbitrary(g)).collect();
        let mut wire = Vec::new();
        for chunk in chunks.iter().filter(|c| !c.is_empty()) {
            wire.extend(format!("{:X};name=value\r\n", chunk.len()).bytes().chain(chunk.iter().copied()));
            wire.extend(b"\r\n");
        }
        wire.extend(b"0\r\nTrailer: x\r\n\r\nnext");
        let (mut decoder, mut body, mut used) = (Chunked::default(), Vec::new(), 0);
        for piece in split_at_random(&wire, g) {
            used += decoder.decode(&piece, &mut body).expect("invalid chunked coding");
        }
        assert!(decoder.is_done());
        assert_eq!((body, used), (chunks.concat(), wire.len() - 4));
    });
}

/// Events are parsed in the same way wherever their bytes are split.
#[test]
fn parses_an_event_stream_split_anywhere() {
    each_round(|g| {
        let (mut wire, mut sent) = (b": hello\n\n".to_vec(), Vec::new());
        for _ in 0..usize::arbitrary(g) % 6 {
            let event = StreamEvent {
                name: random_token(g),
                data: format!("{}\n{}", random_token(g), random_token(g)),
                id: String::new(),
            };
            let text = events::write_event(&event.name, &event.data);
            let text = String::from_utf8(text)
                .expect("the event is not UTF-8")
                .replace('\n', g.choose(&["\n", "\r\n"]).expect("no line end"));
            wire.extend(text.bytes());
            sent.push(event);
        }
        let (mut stream, mut seen) = (EventStream::default(), Vec::new());
        for piece in split_at_random(&wire, g) {
            stream.feed(&piece, |event| seen.push(event)).expect("the event exceeds the length limit");
        }
        assert_eq!(seen, sent);
    });
}

/// Random bytes, and valid messages with a few changed bytes, cause no panic, and the output stays within a bound of the input.
#[test]
fn invalid_input_neither_panics_nor_grows_without_bound() {
    let valid = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    each_round(|g| {
        let mut bytes: Vec<u8> = if bool::arbitrary(g) { Vec::arbitrary(g) } else { valid.to_vec() };
        for _ in 0..1 + usize::arbitrary(g) % 4 {
            let at = usize::arbitrary(g) % bytes.len().max(1);
            if let Some(byte) = bytes.get_mut(at) {
                *byte = u8::arbitrary(g);
            }
        }
        let lens = [
            http::read_request(&bytes).ok().flatten().map(|h| h.len),
            http::read_response(&bytes).ok().flatten().map(|h| h.len),
        ];
        assert!(lens.into_iter().flatten().all(|len| len <= bytes.len()));
        for framing in [Framing::Length(7), Framing::Chunked, Framing::Absent] {
            let (mut body, mut out) = (Body::new(framing), Vec::new());
            let _ = body.feed(&mut bytes.clone(), &mut out);
            assert!(out.len() <= bytes.len());
        }
        let mut data = 0;
        let _ = EventStream::default().feed(&bytes, |event| data += event.data.len());
        assert!(data <= 3 * bytes.len()); // a byte that is not UTF-8 becomes a replacement character of three bytes
        assert!(load::parse_pairs(&String::from_utf8_lossy(&bytes)).all(|(_, value)| value.is_finite()));
    });
}

/// Heads that two servers could delimit differently are refused, because they permit request smuggling.
#[test]
fn refuses_heads_that_permit_request_smuggling() {
    let read = |fields: &str| {
        http::read_request(format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n\r\n").as_bytes()).map(|_| ())
    };
    let cases = [
        ("Content-Length: 3\r\nContent-Length: 3", HeadError::AmbiguousLength),
        ("Content-Length: 3, 3", HeadError::AmbiguousLength),
        ("Content-Length: 3\r\nTransfer-Encoding: chunked", HeadError::AmbiguousLength),
        ("Transfer-Encoding: gzip, chunked", HeadError::UnsupportedCoding),
        ("Content-Length: +3", HeadError::Malformed),
        ("Content-Length : 3", HeadError::Malformed),
        ("A: b\r\n folded", HeadError::Malformed),
        ("A: b\0c", HeadError::Malformed),
        ("Content-Length: 99999999999999999999999", HeadError::BodyTooLarge),
    ];
    for (fields, error) in cases {
        assert_eq!(read(fields), Err(error), "{fields:?}");
    }
    assert_eq!(read("Content-Length: 3"), Ok(()));
    assert_eq!(http::read_request(b"GET / HTTP/2.0\r\nHost: h\r\n\r\n"), Err(HeadError::UnsupportedVersion));
    assert_eq!(http::read_request(b"GET / HTTP/1.1\r\n\r\n"), Err(HeadError::Malformed));
    assert_eq!(http::read_request(&vec![b'a'; http::MAX_HEAD]), Err(HeadError::TooLarge));
}

/// A line without a line end is refused once it exceeds the length limit.
#[test]
fn refuses_a_line_beyond_the_length_limit() {
    assert!(Chunked::default().decode(&[b'0'; 2_000], &mut Vec::new()).is_err());
    assert!(EventStream::default().feed(&vec![b'a'; 200_000], |_| {}).is_err());
}

/// The clauses of "Parsing an event stream" and "Interpreting an event stream" in the HTML standard, with the input split at
/// every byte.
#[test]
fn parses_event_streams_as_the_standard_requires() {
    let event = |name: &str, data: &str, id: &str| StreamEvent {
        name: name.into(),
        data: data.into(),
        id: id.into(),
    };
    let cases: Vec<(&[u8], Vec<StreamEvent>, Option<u64>)> = vec![
        (b"\xef\xbb\xbfdata: a\n\n", vec![event("", "a", "")], None),
        (b"\xef\xbb\xbf\xef\xbb\xbfdata: a\n\ndata: b\n\n", vec![event("", "b", "")], None),
        (
            b"data: a\r\rdata: b\r\n\r\ndata: c\n\n",
            vec![event("", "a", ""), event("", "b", ""), event("", "c", "")],
            None,
        ),
        (b"data\n\n", vec![event("", "", "")], None),
        (b"data\ndata\n\n", vec![event("", "\n", "")], None),
        (b"data:a\ndata:  b\n\n", vec![event("", "a\n b", "")], None),
        (b": comment\n:\nfoo: bar\nDATA: x\ndata: a\n\n", vec![event("", "a", "")], None),
        (b"event: x\n\ndata: a\n\n", vec![event("", "a", "")], None),
        (b"event: x\nevent: y\ndata: a\n\n", vec![event("y", "a", "")], None),
        (
            b"id: 1\ndata: a\n\ndata: b\n\nid\ndata: c\n\n",
            vec![event("", "a", "1"), event("", "b", "1"), event("", "c", "")],
            None,
        ),
        (b"id: 1\ndata: a\n\nid: 2\0\ndata: b\n\n", vec![event("", "a", "1"), event("", "b", "1")], None),
        (b"id: 7\n\ndata: a\n\n", vec![event("", "a", "7")], None),
        (b"retry: 250\nretry: 3s\nretry:\ndata: a\n\n", vec![event("", "a", "")], Some(250)),
        (b"retry: 99999999999999999999999\ndata: a\n\n", vec![event("", "a", "")], None),
        (b"data: a\n\ndata: lost", vec![event("", "a", "")], None),
        (b"data: a\n\ndata: lost\n", vec![event("", "a", "")], None),
        (b"data: \xff\n\n", vec![event("", "\u{fffd}", "")], None),
    ];
    for (bytes, expected, retry) in &cases {
        for split in 0..=bytes.len() {
            let (mut stream, mut seen) = (EventStream::default(), Vec::new());
            for part in [&bytes[..split], &bytes[split..]] {
                stream.feed(part, |event| seen.push(event)).expect("the event exceeds the length limit");
            }
            let input = String::from_utf8_lossy(bytes);
            assert_eq!((&seen, stream.retry()), (expected, *retry), "{input:?} split at byte {split}");
        }
    }
}
