//! The core without sockets: one final response to each request, callbacks in any order, lists, deadlines, idempotency, transfer.

mod endpoint_list;
mod harness;
mod idempotency;
mod requests;
mod transfer;
