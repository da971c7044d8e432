use super::{IdlePool, Reuse};
use crate::core::{AttemptId, RequestId};
use crate::policy::interface::{Micros, WorkerId};
use crate::server::tokens::Token;
use crate::server::upstream::attribution::Attribution;
use crate::server::upstream::connection::{Exchange, UpstreamConnection};

const WINDOW: Micros = 250;
const WORKER: WorkerId = WorkerId(1);
const OTHER: WorkerId = WorkerId(2);

fn token(slot: usize) -> Token {
    Token::new(slot, 0)
}

/// A connection to a worker on which a response with this status was read at a time.
fn connection(worker: WorkerId, status: u16, read_at: Micros) -> UpstreamConnection {
    let mut connection = UpstreamConnection::adopted(worker, None, 0, Attribution::default());
    connection.attribution.on_response(status, read_at, WINDOW);
    connection
}

#[test]
fn gives_out_settled_connections_first_and_gives_up_oldest() {
    let mut pool = IdlePool::default();
    let added = [connection(WORKER, 202, 0), connection(WORKER, 202, 100), connection(WORKER, 503, 100)];
    for (slot, connection) in added.iter().enumerate() {
        pool.add(token(slot), connection);
        pool.add(token(slot), connection);
    }
    pool.add(token(9), &connection(OTHER, 202, 0));
    assert_eq!(
        pool.take_rested(WORKER, WINDOW, Reuse::Rested, |_| true),
        Some(token(0)),
        "the only settled connection"
    );
    assert_eq!(
        pool.take_rested(WORKER, WINDOW, Reuse::Rested, |_| true),
        Some(token(1)),
        "not settled, and usable"
    );
    assert_eq!(
        pool.take_rested(WORKER, WINDOW, Reuse::Rested, |_| true),
        None,
        "the last connection rests after a failure"
    );
    pool.add(token(3), &connection(WORKER, 202, 200));
    assert_eq!(pool.take_oldest(), Some(token(2)), "the oldest of the worker with the most");
    pool.remove(WORKER, token(3));
    assert_eq!((pool.take_oldest(), pool.take_oldest()), (Some(token(9)), None));
    assert!(pool.by_worker.is_empty(), "workers without an idle connection have no entry");
}

#[test]
fn uncertain_connection_rests_until_its_attempt_has_started() {
    let mut pool = IdlePool::default();
    let attempt = AttemptId { request_id: RequestId(0), number: 0 };
    let mut uncertain = connection(WORKER, 202, 0);
    uncertain.reuse(Exchange::Attempt(attempt), None, 1);
    uncertain.attribution.on_response(202, 2, WINDOW);
    uncertain.uncertain_attempt = Some(attempt);
    pool.add(token(0), &uncertain);
    assert_eq!(pool.take_rested(WORKER, 3, Reuse::Rested, |_| false), None);
    assert_eq!(pool.take_rested(WORKER, 3, Reuse::Rested, |started| started == attempt), Some(token(0)));
    pool.add(token(0), &uncertain);
    assert_eq!(pool.take_rested(WORKER, 2 + WINDOW, Reuse::Rested, |_| false), Some(token(0)));
    // A worker that hangs sends its own response at any later time, which must not be taken for that to an unsafe request.
    pool.add(token(0), &uncertain);
    assert_eq!(pool.take_rested(WORKER, 100 * WINDOW, Reuse::Certain, |_| false), None);
    assert_eq!(pool.take_rested(WORKER, 3, Reuse::Certain, |_| true), Some(token(0)));
    pool.add(token(1), &connection(WORKER, 202, 0));
    assert_eq!(pool.take_rested(WORKER, WINDOW, Reuse::Certain, |_| false), Some(token(1)));
}
