use super::{CallEnd, CallError, CallKind, CallProgress, DiscoveryCall};

/// Feeds a response to a call. Returns the result of reading its head and body, and the complete objects.
fn read(call: &mut DiscoveryCall, response: &str) -> (Result<(), CallError>, Vec<String>) {
    let mut read_buffer = response.as_bytes().to_vec();
    let read = match call.read_head(&mut read_buffer) {
        Ok(true) => {
            call.read_body(&mut read_buffer);
            call.check_framing()
        }
        Ok(false) => Ok(()),
        Err(error) => Err(error),
    };
    let objects = std::iter::from_fn(|| call.next_object());
    (read, objects.map(|object| String::from_utf8_lossy(&object).into_owned()).collect())
}

#[test]
fn a_refusal_holds_retry_after_within_its_limit() {
    for (field, retry_after) in [
        ("", None),
        ("Retry-After: 2\r\n", Some(2_000_000)),
        ("Retry-After: 0.5\r\n", Some(500_000)),
        ("Retry-After: 10\r\n", Some(10_000_000)),
        ("Retry-After: 10.1\r\n", None),
        ("Retry-After: -1\r\n", None),
        ("Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", None),
    ] {
        let response = format!("HTTP/1.1 503 Busy\r\n{field}Content-Length: 0\r\n\r\n");
        let (result, objects) = read(&mut DiscoveryCall::new(CallKind::Watch), &response);
        assert_eq!(result, Err(CallError::Refused { retry_after }), "{field}");
        assert!(objects.is_empty());
    }
}

#[test]
fn objects_before_malformed_framing_are_still_read() {
    let mut call = DiscoveryCall::new(CallKind::Watch);
    let response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\nno chunk\r\n";
    let (result, objects) = read(&mut call, response);
    assert_eq!(result, Err(CallError::BrokenFraming));
    assert_eq!(objects.len(), 1, "{objects:?}");
}

#[test]
fn the_end_of_a_response_is_an_error_unless_its_list_was_accepted() {
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}\n";
    for (kind, error) in [(CallKind::Watch, CallError::Ended), (CallKind::FullList, CallError::NoList)] {
        let mut call = DiscoveryCall::new(kind);
        assert_eq!(call.progress(), Ok(CallProgress::Pending));
        assert_eq!(read(&mut call, response).0, Ok(()));
        assert_eq!(call.progress(), Err(error));
    }
    let mut call = DiscoveryCall::new(CallKind::FullList);
    read(&mut call, response).0.expect("the response is well-formed");
    call.is_answered = true;
    assert_eq!(call.progress(), Ok(CallProgress::Complete));
}

#[test]
fn a_response_that_is_not_http_fails_and_a_partial_head_is_pending() {
    let mut call = DiscoveryCall::new(CallKind::Watch);
    assert_eq!(read(&mut call, "HTTP/1.1 200 OK\r\nContent-"), (Ok(()), Vec::new()));
    assert_eq!(call.progress(), Ok(CallProgress::Pending));
    let mut call = DiscoveryCall::new(CallKind::Watch);
    assert_eq!(read(&mut call, "hello, this is no HTTP\r\n\r\n").0, Err(CallError::NotHttp));
}

#[test]
fn a_call_that_fails_before_it_is_connected_ends_as_unreachable() {
    let mut call = DiscoveryCall::new(CallKind::Watch);
    for error in [CallError::NotConnected, CallError::TimedOut] {
        assert_eq!(call.end(error), CallEnd::Unreachable);
    }
    call.is_connecting = false;
    assert_eq!(call.end(CallError::Ended), CallEnd::Failed);
    assert_eq!(call.end(CallError::TimedOut), CallEnd::Silent);
    assert_eq!(call.end(CallError::WatchTimedOut), CallEnd::Silent);
    let retry_after = Some(1);
    assert_eq!(call.end(CallError::Refused { retry_after }), CallEnd::Refused { retry_after });
}
