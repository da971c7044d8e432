//! Processes the endpoint lists in the body of a call, and sets the deadlines of the watch when data arrives.

use super::DiscoveryClient;
use super::call::{CallError, DiscoveryCall};
use super::full_list::FullListState;
use super::pacing::WatchEvent;
use crate::config::EndpointList;
use crate::core::endpoint_table::ListRejection;
use crate::server::connection::Connection;
use crate::server::context::Context;
use crate::server::membership::MembershipLink;
use crate::server::tokens::Token;

impl DiscoveryClient {
    /// Processes complete objects until none is left or one fails. Returns whether any was accepted, and the error of the one
    /// that failed.
    pub(super) fn process_lists(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        call: &mut DiscoveryCall,
    ) -> (bool, Result<(), CallError>) {
        let mut has_lists = false;
        while let Some(object) = call.next_object() {
            if let Err(error) = self.on_object(context, membership, call, &object) {
                return (has_lists, Err(error));
            }
            has_lists = true;
        }
        (has_lists, Ok(()))
    }

    /// Sets the watch's deadline after a list or an empty line has arrived. Other bytes do not prove that the watch is alive. If
    /// the address of discovery has changed and the new service has sent no list yet, keeps the deadline and fetches the full
    /// list instead.
    pub(super) fn on_watch_data(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        connection: &mut Connection,
    ) {
        match self.liveness.on_data(context.now()) {
            Some(deadline) => connection.set_timer(context.core, token, Some(deadline)),
            None => self.fetch_needed_list(context, membership),
        }
    }

    /// Sets the deadline by which an object of the watch must be complete, once its first byte has arrived.
    pub(super) fn on_partial_object(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
    ) {
        let deadline = self.liveness.on_partial_object(context.now());
        connection.set_timer(context.core, token, Some(deadline));
    }

    /// Processes an object of a call.
    ///
    /// # Errors
    /// If the object is rejected or malformed. It may hold a change that no later object repeats, so the call then fails, and
    /// the next call requests the changes after the current list.
    fn on_object(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        call: &mut DiscoveryCall,
        object: &[u8],
    ) -> Result<(), CallError> {
        let list = serde_json::from_slice(object).ok().and_then(|value| EndpointList::from_json(&value));
        let Some(list) = list else {
            context.metrics.bad_lists += 1;
            return Err(CallError::NotAList);
        };
        match context.core.check_list(&list, call.list_source()) {
            Err(rejection) => self.on_list_rejected(context, call, rejection),
            Ok(()) => {
                self.on_list_accepted(context, membership, call, &list);
                Ok(())
            }
        }
    }

    /// Counts a rejected list, and returns the error that ends the call. An empty list does not end a watch: it means that
    /// discovery is alive but has lost its table.
    fn on_list_rejected(
        &mut self,
        context: &mut Context<'_>,
        call: &DiscoveryCall,
        rejection: ListRejection,
    ) -> Result<(), CallError> {
        match rejection {
            ListRejection::Empty | ListRejection::Partial => context.metrics.bad_lists += 1,
            ListRejection::GenerationReset => self.full_list.on_generation_reset(),
            ListRejection::Stale => {}
        }
        if rejection == ListRejection::Empty && call.is_watch() {
            self.liveness.on_list(context.now());
            self.check_stale_list(context.core, context.now());
            return Ok(());
        }
        Err(rejection.into())
    }

    /// Passes an accepted list to the core, and marks the call as answered.
    fn on_list_accepted(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        call: &mut DiscoveryCall,
        list: &EndpointList,
    ) {
        call.is_answered = true;
        self.liveness.on_list(context.now());
        context.core.on_endpoint_list(list);
        if call.is_watch() {
            self.pace_on_watch_event(context, membership, WatchEvent::List { generation: list.generation });
        }
        if list.reset {
            self.full_list = FullListState::Known;
        }
        self.fetch_needed_list(context, membership);
    }
}
