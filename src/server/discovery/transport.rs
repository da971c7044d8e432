//! Drives the connection of a call: establishes, reads and closes it.

use super::DiscoveryClient;
use super::call::{CallError, CallKind, CallProgress, DiscoveryCall};
use super::list_intake::RowBudget;
use crate::http::MAX_HEAD;
use crate::policy::interface::Micros;
use crate::server::connection::{Connection, ReadEnd};
use crate::server::connection_table::Role;
use crate::server::context::Context;
use crate::server::membership::MembershipLink;
use crate::server::reactor::Reading;
use crate::server::tokens::{LIST_TIMER, Token};
use rustix::event::epoll::EventFlags;

/// The maximum number of times that a call's connection is read in one turn of the event loop, up to [`MAX_HEAD`] bytes each.
const MAX_READS_PER_TURN: usize = 8;
/// By how much the deadline of a call is extended while a list that has arrived is unfinished, in microseconds.
const UNFINISHED_LIST_EXTENSION: Micros = 100_000;

impl DiscoveryClient {
    /// Handles the connection of a call that is established now, is readable or writable, or was closed by the service.
    pub(in crate::server) fn on_ready(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        mut connection: Connection,
        mut call: DiscoveryCall,
        flags: EventFlags,
    ) {
        if call.is_connecting {
            let has_failed = connection.stream.take_error().map_or(true, |error| error.is_some());
            if has_failed || flags.contains(EventFlags::ERR) {
                return self.fail_call(context, membership, token, connection, call, CallError::NotConnected);
            }
            self.on_connected(context, token, &mut connection, &mut call);
        }
        if !connection.flush() {
            return self.fail_call(context, membership, token, connection, call, CallError::ConnectionLost);
        }
        self.drive_call(context, membership, token, connection, call);
    }

    /// The timer of unfinished lists has fired: goes on with each of them.
    pub(in crate::server) fn on_list_timer(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
    ) {
        for token in std::mem::take(&mut self.busy_calls) {
            match context.reactor.take(token) {
                Some((connection, Role::Discovery(call))) => {
                    self.drive_call(context, membership, token, connection, call);
                }
                Some((connection, role)) => context.reactor.put(token, connection, role),
                None => {} // the call has ended
            }
        }
    }

    /// Reads a call's connection and processes what it has sent, as much as one turn of the event loop allows.
    fn drive_call(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        mut connection: Connection,
        mut call: DiscoveryCall,
    ) {
        let mut budget = RowBudget::of_turn();
        for _ in 0..MAX_READS_PER_TURN {
            // While a list is unfinished, what follows it waits in the socket.
            let end = if call.intake.is_idle() { Some(connection.fill(MAX_HEAD)) } else { None };
            let has_read = !connection.read_buffer.is_empty();
            match self.read_call(context, membership, token, &mut connection, &mut call, &mut budget) {
                Ok(CallProgress::Pending) => {}
                Ok(CallProgress::Busy) => return self.continue_later(context, token, connection, call),
                Ok(CallProgress::Complete) => {
                    return context.reactor.close(context.core, token, connection, Role::Discovery(call));
                }
                Err(error) => return self.fail_call(context, membership, token, connection, call, error),
            }
            match end {
                Some(ReadEnd::WouldBlock) => break,
                Some(ReadEnd::LimitReached) if has_read => {}
                None => {}
                Some(_) => {
                    return self.fail_call(context, membership, token, connection, call, CallError::Ended);
                }
            }
        }
        context.reactor.update_interest(token, &mut connection, Reading::Wanted);
        context.reactor.put(token, connection, Role::Discovery(call));
    }

    /// Leaves the rest of an unfinished list to the next turn of the event loop.
    fn continue_later(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        mut connection: Connection,
        call: DiscoveryCall,
    ) {
        if !self.busy_calls.contains(&token) {
            self.busy_calls.push(token);
        }
        context.core.set_timer(context.now(), LIST_TIMER);
        context.reactor.update_interest(token, &mut connection, Reading::Paused);
        context.reactor.put(token, connection, Role::Discovery(call));
    }

    /// The connection of a call is established: sets the deadline for the response.
    fn on_connected(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
        call: &mut DiscoveryCall,
    ) {
        call.is_connecting = false;
        let answered_by = match call.kind {
            CallKind::Watch => self.liveness.on_connected(context.now()),
            CallKind::FullList => self.liveness.full_list_deadline(context.now()),
        };
        connection.set_timer(context.core, token, Some(answered_by));
    }

    /// The deadline of a call has passed. The call fails, unless bytes that have not been read yet extend its deadline.
    pub(in crate::server) fn on_call_timer(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        mut connection: Connection,
        mut call: DiscoveryCall,
    ) {
        if !call.intake.is_idle() {
            // The list arrived in time; it is this process that has not finished it.
            connection.set_timer(context.core, token, Some(context.now() + UNFINISHED_LIST_EXTENSION));
            return context.reactor.put(token, connection, Role::Discovery(call));
        }
        // After a long turn of the event loop, data may have arrived that has not been read yet.
        if !call.is_connecting && connection.fill(MAX_HEAD) != ReadEnd::Broken {
            let mut budget = RowBudget::of_turn();
            match self.read_call(context, membership, token, &mut connection, &mut call, &mut budget) {
                Ok(CallProgress::Pending) if connection.timer.is_none() => {}
                Ok(CallProgress::Pending) => {
                    return context.reactor.put(token, connection, Role::Discovery(call));
                }
                Ok(CallProgress::Busy) => {
                    let until = context.now() + UNFINISHED_LIST_EXTENSION;
                    connection.set_timer(context.core, token, Some(until));
                    return self.continue_later(context, token, connection, call);
                }
                Ok(CallProgress::Complete) => {
                    return context.reactor.close(context.core, token, connection, Role::Discovery(call));
                }
                Err(error) => return self.fail_call(context, membership, token, connection, call, error),
            }
        }
        let error = if call.is_answered { CallError::WatchTimedOut } else { CallError::TimedOut };
        self.fail_call(context, membership, token, connection, call, error);
    }

    /// Processes the bytes that have been read from a call's connection.
    ///
    /// # Errors
    /// If the service refuses the call, or the response is malformed, has ended or holds a list that is not accepted. The call
    /// has then failed.
    fn read_call(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        connection: &mut Connection,
        call: &mut DiscoveryCall,
        budget: &mut RowBudget,
    ) -> Result<CallProgress, CallError> {
        if !call.read_head(&mut connection.read_buffer)? {
            return Ok(CallProgress::Pending);
        }
        let had_partial_object = call.has_partial_object();
        call.read_body(&mut connection.read_buffer);
        let (has_lists, lists) = self.process_lists(context, membership, token, call, budget);
        let has_data = call.take_heartbeat() || has_lists;
        if call.is_watch() {
            if has_data {
                self.on_watch_data(context, membership, token, connection);
            }
            // A partial object must be complete by the deadline that was set when its first byte arrived.
            if call.has_partial_object() && (has_data || !had_partial_object) {
                self.on_partial_object(context, token, connection);
            }
        }
        lists?;
        if !call.intake.is_idle() {
            return Ok(CallProgress::Busy);
        }
        call.check_framing()?;
        let progress = call.progress();
        // A partial list is counted in `report_failed_call`.
        if let Err(CallError::TooLong | CallError::NoList) = progress
            && !call.has_partial_object()
        {
            context.metrics.bad_lists += 1;
        }
        progress
    }

    /// Ends a call that has failed, and schedules the next one.
    fn fail_call(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        connection: Connection,
        call: DiscoveryCall,
        error: CallError,
    ) {
        self.report_failed_call(context, &call, error);
        self.applying.take_if(|applying| *applying == token);
        if !call.is_watch() || self.take_watch(token) {
            self.on_call_ended(context, membership, call.kind, call.end(error));
        }
        context.reactor.close(context.core, token, connection, Role::Discovery(call));
    }

    /// Logs a failed call, and counts a partial list in it as a bad list.
    fn report_failed_call(&mut self, context: &mut Context<'_>, call: &DiscoveryCall, error: CallError) {
        if call.has_partial_object() {
            context.metrics.bad_lists += 1;
        }
        if self.admit_failure_log(context.now(), call.is_answered) {
            tracing::warn!("discovery: {} failed: {error}", call.kind.log_name());
        }
    }
}
