use super::*;

/// A request's time is that of its last byte, also if it arrived in pieces or with others.
#[test]
fn a_request_counts_from_its_last_byte() {
    let mut times = ReadTimes::default();
    times.on_read(10, 100, true);
    times.on_read(25, 200, true);
    assert_eq!(times.consume(12), Some(200));
    assert_eq!(times.consume(13), Some(200));
    assert_eq!(times.consume(1), None);
}

/// Bytes that a read has left in the socket count from before that read.
#[test]
fn bytes_left_in_the_socket_count_from_before() {
    let mut times = ReadTimes::waiting_since(50);
    times.on_read(10, 100, false);
    times.on_read(20, 300, true);
    times.on_read(30, 400, true);
    assert_eq!([times.consume(10), times.consume(10), times.consume(10)], [Some(50), Some(50), Some(400)]);
}

/// A client that sends byte by byte takes a bounded amount of memory, and its times are never too late.
#[test]
fn the_number_of_chunks_is_bounded() {
    let mut times = ReadTimes::default();
    (1..=1_000).for_each(|length| times.on_read(length, length as Micros, true));
    assert!(times.chunks.len() <= MAX_CHUNKS);
    assert_eq!(times.oldest(), Some(1));
    assert_eq!(times.consume(1_000), Some(1_000));
}
