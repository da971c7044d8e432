use super::{MAX_CALL_BYTES, parse_call};
use crate::protocol::admin::AdminCall;
use crate::protocol::platform::Reject;
use crate::server::connection::ReadEnd;

#[test]
fn a_call_is_read_once_it_is_whole() {
    let whole = "PUT /control/out-of-service HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
    for length in 0..whole.len() {
        let call = parse_call(&whole.as_bytes()[..length], ReadEnd::WouldBlock);
        assert!(call.is_none(), "{length} bytes of it");
    }
    let call = parse_call(whole.as_bytes(), ReadEnd::WouldBlock);
    assert!(matches!(call, Some(Ok(AdminCall::OutOfService))));
}

#[test]
fn what_can_be_no_call_is_rejected_before_it_is_whole() {
    let too_long =
        format!("GET /control/ready HTTP/1.1\r\nHost: a\r\nContent-Length: {MAX_CALL_BYTES}\r\n\r\n");
    assert!(matches!(parse_call(too_long.as_bytes(), ReadEnd::WouldBlock), Some(Err(Reject::BodyTooLarge))));
    let chunked = b"GET /control/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert!(matches!(parse_call(chunked, ReadEnd::WouldBlock), Some(Err(Reject::BadRequest))));
    let endless = b"GET /control/ready HTTP/1.1\r\nHost: a\r\nName: ";
    assert!(matches!(parse_call(endless, ReadEnd::LimitReached), Some(Err(Reject::HeadTooLarge))));
    let elsewhere = b"GET /control/nothing HTTP/1.1\r\nHost: a\r\n\r\n";
    assert!(matches!(parse_call(elsewhere, ReadEnd::WouldBlock), Some(Err(Reject::NotFound))));
}
