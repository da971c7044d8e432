//! The core without sockets: one final response to each request, callbacks in any order, endpoint lists, deadlines, idempotency
//! and the transfer to a successor.

mod endpoint_list;
mod harness;
mod idempotency;
mod requests;
mod transfer;
