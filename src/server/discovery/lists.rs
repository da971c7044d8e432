//! What the body of a call contains: endpoint lists for the core, and heartbeats of the watch.

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
    /// Processes whole objects until none is left or one fails. Returns whether any was accepted, and the failure.
    pub(super) fn take_lists(
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

    /// Sets the watch's deadline. Only lists and empty lines show that it is alive, and have come now.
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

    /// Sets the deadline of an object of the watch that has begun.
    pub(super) fn on_partial_object(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        connection: &mut Connection,
    ) {
        let deadline = self.liveness.on_partial_object(context.now());
        connection.set_timer(context.core, token, Some(deadline));
    }

    /// Processes an object of a call. One that is rejected, or cannot be read, may hold a change that no later one repeats:
    /// the call then fails, and the next one asks for the changes after the list that is held.
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
        match context.core.endpoints.rejection(&list, call.list_source()) {
            Some(rejection) => self.on_list_rejected(context, call, rejection),
            None => {
                self.on_list_accepted(context, membership, call, &list);
                Ok(())
            }
        }
    }

    /// A watch survives an empty list: discovery is alive, and has lost its table.
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

    /// Hands a list to the core.
    fn on_list_accepted(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        call: &mut DiscoveryCall,
        list: &EndpointList,
    ) {
        call.is_answered = true;
        let notified_at = self.liveness.on_list(context.now());
        context.core.on_endpoint_list(notified_at, list);
        if call.is_watch() {
            self.pace_on_watch_event(context, membership, WatchEvent::List { generation: list.generation });
        }
        if list.reset {
            self.full_list = FullListState::Known;
        }
        self.fetch_needed_list(context, membership);
    }
}
