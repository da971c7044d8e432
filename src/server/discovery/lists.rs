//! Processes the endpoint lists in the body of a call, and sets the deadlines of the watch when data arrives.

use super::DiscoveryClient;
use super::call::{CallError, DiscoveryCall};
use super::full_list::FullListState;
use super::list_intake::{ListIntake, RowBudget};
use super::pacing::WatchEvent;
use crate::config::{EndpointList, ListProgress, ListReader};
use crate::core::endpoint_table::ListRejection;
use crate::server::connection::Connection;
use crate::server::context::Context;
use crate::server::membership::MembershipLink;
use crate::server::tokens::Token;

/// The result of one step with the list of a call.
enum ListStep {
    /// There may be more to do.
    Continue,
    /// A list was accepted, or may be passed over.
    Finished,
    /// Nothing can be done before more bytes arrive, or before another list has been applied.
    Wait,
}

impl DiscoveryClient {
    /// Processes complete objects until none is left, one fails or the budget is used up. Returns whether a list was accepted, and
    /// the error of the object that failed.
    pub(super) fn process_lists(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        call: &mut DiscoveryCall,
        budget: &mut RowBudget,
    ) -> (bool, Result<(), CallError>) {
        let mut has_lists = false;
        while budget.left() > 0 {
            match self.process_list_part(context, membership, token, call, budget) {
                Ok(ListStep::Continue) => {}
                Ok(ListStep::Finished) => has_lists = true,
                Ok(ListStep::Wait) => break,
                Err(error) => return (has_lists, Err(error)),
            }
        }
        (has_lists, Ok(()))
    }

    /// Takes one step with the list of a call: begins to read the next object, reads rows, checks the list, or applies rows.
    ///
    /// # Errors
    /// If the object is rejected or malformed. It may hold a change that no later object repeats, so the call then fails, and
    /// the next call requests the changes after the current list.
    fn process_list_part(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        token: Token,
        call: &mut DiscoveryCall,
        budget: &mut RowBudget,
    ) -> Result<ListStep, CallError> {
        match std::mem::take(&mut call.intake) {
            ListIntake::Idle => {
                let Some(object) = call.next_object() else { return Ok(ListStep::Wait) };
                call.intake = ListIntake::Reading(Box::new(ListReader::new(object)));
                budget.take(1);
            }
            ListIntake::Reading(mut reader) => {
                let rows = budget.left();
                match reader.read(rows) {
                    ListProgress::Pending => {
                        budget.take(rows);
                        call.intake = ListIntake::Reading(reader);
                    }
                    ListProgress::Complete(Some(list)) => {
                        call.intake = ListIntake::Read(list);
                    }
                    ListProgress::Complete(None) => {
                        context.metrics.bad_lists += 1;
                        return Err(CallError::NotAList);
                    }
                }
            }
            ListIntake::Read(list) => return self.start_to_apply(context, token, call, list),
            ListIntake::Applying { list, next_row } => {
                let end = (next_row + budget.left()).min(list.rows.len());
                context.core.apply_rows(&list.rows[next_row..end]);
                budget.take(end - next_row);
                if end == list.rows.len() {
                    self.applying = None;
                    self.on_list_applied(context, membership, call, &list);
                    return Ok(ListStep::Finished);
                }
                call.intake = ListIntake::Applying { list, next_row: end };
            }
        }
        Ok(ListStep::Continue)
    }

    /// Checks a list that was read, and begins to apply it unless another one is being applied.
    ///
    /// # Errors
    /// If the list is rejected.
    fn start_to_apply(
        &mut self,
        context: &mut Context<'_>,
        token: Token,
        call: &mut DiscoveryCall,
        list: EndpointList,
    ) -> Result<ListStep, CallError> {
        if self.applying.is_some() {
            call.intake = ListIntake::Read(list);
            return Ok(ListStep::Wait);
        }
        if let Err(rejection) = context.core.check_list(&list, call.list_source()) {
            self.on_list_rejected(context, call, rejection)?;
            return Ok(ListStep::Finished);
        }
        self.applying = Some(token);
        context.core.begin_list();
        call.intake = ListIntake::Applying { list, next_row: 0 };
        Ok(ListStep::Continue)
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

    /// Ends a list whose rows have been applied, and marks the call as answered.
    fn on_list_applied(
        &mut self,
        context: &mut Context<'_>,
        membership: &mut MembershipLink,
        call: &mut DiscoveryCall,
        list: &EndpointList,
    ) {
        call.is_answered = true;
        self.liveness.on_list(context.now());
        context.core.finish_list(list);
        if call.is_watch() {
            self.pace_on_watch_event(context, membership, WatchEvent::List { generation: list.generation });
        }
        if list.reset {
            self.full_list = FullListState::Known;
        }
        self.fetch_needed_list(context, membership);
    }
}
