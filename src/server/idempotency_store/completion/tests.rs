use super::{CompletionReceiver, RecordWriteError, Waiter, WriteCompletion, completion_queue};
use crate::core::RecordTicket;
use std::io::Read;

fn is_woken(receiver: &CompletionReceiver) -> bool {
    matches!(receiver.socket().read(&mut [0]), Ok(1))
}

#[test]
fn completions_arrive_in_order_and_each_batch_wakes_the_loop() {
    let (sender, mut receiver) = completion_queue().expect("the socket pair is created");
    assert!(!is_woken(&receiver), "woken without a completion");
    for round in 0..2 {
        for ticket in 0..3 {
            sender.send(WriteCompletion { waiter: Waiter::Core(RecordTicket(ticket)), result: Ok(()) });
        }
        assert!(is_woken(&receiver), "batch {round}");
        let waiters: Vec<Waiter> = receiver.drain().into_iter().map(|completion| completion.waiter).collect();
        assert_eq!(waiters, [0, 1, 2].map(|ticket| Waiter::Core(RecordTicket(ticket))));
        assert!(receiver.drain().is_empty());
        assert!(!is_woken(&receiver), "woken after all completions were drained");
    }
}

#[test]
fn write_errors_show_the_text_of_their_cause() {
    let cause = || std::sync::Arc::new(mothproxy_store::StoreError::Locked("dir".to_owned()));
    assert_eq!(RecordWriteError::NotOpen.to_string(), "the store is not open");
    assert_eq!(RecordWriteError::Open(cause()).to_string(), cause().to_string());
    assert_eq!(RecordWriteError::Submit(cause()).to_string(), cause().to_string());
    assert_eq!(RecordWriteError::Write(cause()).to_string(), cause().to_string());
}
