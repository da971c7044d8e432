//! What the body of a call contains: endpoint lists for the core, and heartbeats of the watch.

use super::call::{CallError, DiscoveryCall};
use super::full_list::FullListState;
use super::pacing::WatchEvent;
use crate::config::EndpointList;
use crate::core::endpoint_table::ListRejection;
use crate::server::connection::Connection;
use crate::server::{Server, Token};

impl Server {
    /// Processes whole objects until none is left or one fails. Returns whether any was accepted, and the failure.
    pub(super) fn take_discovery_lists(&mut self, call: &mut DiscoveryCall) -> (bool, Result<(), CallError>) {
        let mut has_lists = false;
        while let Some(object) = call.next_object() {
            if let Err(error) = self.on_discovery_object(call, &object) {
                return (has_lists, Err(error));
            }
            has_lists = true;
        }
        (has_lists, Ok(()))
    }

    /// Sets the watch's deadline. Only lists and empty lines (`has_data`) show that it is alive; an object that has begun must be
    /// complete within the time it was given when it began.
    pub(super) fn on_watch_data(
        &mut self,
        token: Token,
        conn: &mut Connection,
        call: &DiscoveryCall,
        has_data: bool,
        had_partial_object: bool,
    ) {
        if has_data {
            match self.discovery.liveness.on_data(self.now) {
                Some(deadline) => conn.set_timer(&mut self.core, token, Some(deadline)),
                None => self.fetch_needed_list(),
            }
        }
        if call.has_partial_object() && (has_data || !had_partial_object) {
            let deadline = self.discovery.liveness.on_partial_object(self.now);
            conn.set_timer(&mut self.core, token, Some(deadline));
        }
    }

    /// Processes an object of a call. One that is rejected, or cannot be read, may hold a change that no later one repeats:
    /// the call then fails, and the next one asks for the changes after the list that is held.
    fn on_discovery_object(&mut self, call: &mut DiscoveryCall, object: &[u8]) -> Result<(), CallError> {
        let list = serde_json::from_slice(object).ok().and_then(|value| EndpointList::from_json(&value));
        let Some(list) = list else {
            self.metrics.bad_lists += 1;
            return Err(CallError::NotAList);
        };
        match self.core.endpoints.rejection(&list, call.list_source()) {
            Some(rejection) => self.on_list_rejected(call, rejection),
            None => {
                self.on_list_accepted(call, &list);
                Ok(())
            }
        }
    }

    /// A watch survives an empty list: discovery is alive, and has lost its table.
    fn on_list_rejected(&mut self, call: &DiscoveryCall, rejection: ListRejection) -> Result<(), CallError> {
        match rejection {
            ListRejection::Empty | ListRejection::Partial => self.metrics.bad_lists += 1,
            ListRejection::GenerationReset => self.discovery.full_list.on_generation_reset(),
            ListRejection::Stale => {}
        }
        if rejection == ListRejection::Empty && call.is_watch() {
            self.discovery.liveness.on_list(self.now);
            self.discovery.check_stale_list(&mut self.core, self.now);
            return Ok(());
        }
        Err(rejection.into())
    }

    fn on_list_accepted(&mut self, call: &mut DiscoveryCall, list: &EndpointList) {
        call.is_answered = true;
        let notified_at = self.discovery.liveness.on_list(self.now);
        self.core.on_endpoint_list(notified_at, list);
        if call.is_watch() {
            self.pace_on_watch_event(WatchEvent::List { generation: list.generation });
        }
        if list.reset {
            self.discovery.full_list = FullListState::Known;
        }
        self.fetch_needed_list();
    }
}
