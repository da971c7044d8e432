use super::{MAX_CALL_BYTES, parse_call};
use crate::protocol::admin::AdminCall;
use crate::protocol::platform::Reject;
use crate::server::connection::ReadEnd;

#[test]
fn parses_call_once_it_is_complete() {
    let complete_call = "PUT /control/out-of-service HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    for length in 0..complete_call.len() {
        let call = parse_call(&complete_call.as_bytes()[..length], ReadEnd::WouldBlock);
        assert!(call.is_none(), "parsed a call from its first {length} bytes");
    }
    let call = parse_call(complete_call.as_bytes(), ReadEnd::WouldBlock);
    assert!(matches!(call, Some(Ok(AdminCall::OutOfService))));
}

#[test]
fn rejects_invalid_call_before_it_is_complete() {
    let body_too_large =
        format!("GET /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: {MAX_CALL_BYTES}\r\n\r\n");
    assert!(matches!(
        parse_call(body_too_large.as_bytes(), ReadEnd::WouldBlock),
        Some(Err(Reject::BodyTooLarge))
    ));
    let chunked = b"GET /control/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(matches!(parse_call(chunked, ReadEnd::WouldBlock), Some(Err(Reject::BadRequest))));
    let endless_head = b"GET /control/ready HTTP/1.1\r\nHost: a\r\nName: ";
    assert!(matches!(parse_call(endless_head, ReadEnd::LimitReached), Some(Err(Reject::HeadTooLarge))));
    let unknown_path = b"GET /control/nothing HTTP/1.1\r\nHost: a\r\n\r\n";
    assert!(matches!(parse_call(unknown_path, ReadEnd::WouldBlock), Some(Err(Reject::NotFound))));
}
