//! Applies discovery's lists to the endpoint table and passes the changes to the decision module.

use super::Core;
use crate::config::{EndpointList, EndpointRow};
use crate::core::endpoint_table::{ListRejection, ListSource};
use crate::policy::interface::{Event, ListKind, Micros, WorkerId};

impl Core {
    /// Checks whether a list that discovery sent may be applied by [`Core::on_endpoint_list`]. Lists of an older generation are
    /// counted.
    ///
    /// # Errors
    /// [`ListRejection`] if the list may not be applied.
    pub fn check_list(&mut self, list: &EndpointList, source: ListSource) -> Result<(), ListRejection> {
        self.endpoints.check(list, source)
    }

    /// Applies a list that discovery sent.
    pub fn on_endpoint_list(&mut self, list: &EndpointList) {
        self.begin_list();
        self.apply_rows(&list.rows);
        self.finish_list(list);
    }

    /// Begins to apply a list that discovery sent and that [`Core::check_list`] has accepted. No other list may be applied before
    /// [`Core::finish_list`].
    pub fn begin_list(&mut self) {
        self.endpoints.begin_list();
    }

    /// Applies some rows of the list, and notifies the decision module of those that have changed.
    pub fn apply_rows(&mut self, rows: &[EndpointRow]) {
        let changed: Vec<WorkerId> = rows.iter().filter_map(|row| self.endpoints.apply_row(row)).collect();
        // While the list is stale, no worker is passed on as ready. All are once the list is complete.
        if !changed.is_empty() && !self.endpoints.is_stale() {
            self.push_endpoints(ListKind::Delta, changed);
        }
    }

    /// Ends a list whose rows have all been applied.
    pub fn finish_list(&mut self, list: &EndpointList) {
        let concerned = self.endpoints.finish_list(list);
        if self.endpoints.clear_stale() {
            // The decision module has seen no worker as ready until now, so all of them are passed on.
            self.push_all_endpoints(ListKind::Snapshot);
        } else {
            self.push_endpoints(ListKind::Delta, concerned);
        }
    }

    /// Applies a list that was received from another process that has a watch.
    pub fn on_cached_list(&mut self, list: &EndpointList) {
        self.apply_to_table(list);
        self.endpoints.clear_stale();
        self.push_all_endpoints(ListKind::Cached);
    }

    /// Applies a list to the table alone.
    fn apply_to_table(&mut self, list: &EndpointList) {
        self.endpoints.begin_list();
        for row in &list.rows {
            self.endpoints.apply_row(row);
        }
        self.endpoints.finish_list(list);
    }

    /// Loads a list that dates from before the start of the process, perhaps from long before. The workers on the list get their
    /// ids, and discovery is called with the list's generation. But no job is sent to the workers before discovery has sent a
    /// list or [`Core::use_stale_list`] is called. Returns the latest start of a worker on the list.
    pub fn load_known_list(&mut self, list: &EndpointList) -> Option<Micros> {
        self.apply_to_table(list);
        self.endpoints.mark_stale();
        let clock = self.clock;
        list.rows.iter().filter_map(|row| clock.module_time_of_millis(row.started_at_ms)).max()
    }

    /// Uses the list from before the start without revalidation, if it is still stale.
    pub fn use_stale_list(&mut self) {
        if self.endpoints.clear_stale() {
            self.push_all_endpoints(ListKind::Cached);
        }
    }

    /// Stops the use of the list from before the start, until discovery has sent a list or [`Core::use_stale_list`] is called.
    pub fn suspend_stale_list(&mut self) {
        self.endpoints.mark_stale();
        self.push_all_endpoints(ListKind::Delta);
    }

    fn push_all_endpoints(&mut self, kind: ListKind) {
        let workers = self.endpoints.iter().map(|(worker, _)| worker).collect();
        self.push_endpoints(kind, workers);
    }

    fn push_endpoints(&mut self, kind: ListKind, workers: Vec<WorkerId>) {
        let names = &mut self.names;
        let to_entry = |worker| self.endpoints.to_entry(worker, names, self.clock);
        let entries = workers.into_iter().filter_map(to_entry).collect();
        self.events.push(Event::EndpointList(kind, entries));
    }

    /// Handles the failure of a call to discovery or of its watch.
    pub fn on_list_failed(&mut self) {
        self.events.push(Event::ListFailed);
    }

    /// Handles the move to another discovery service, whose generations cannot be compared with those of the old one.
    pub fn on_discovery_moved(&mut self) {
        self.endpoints.forget_generation();
        self.events.push(Event::DiscoveryMoved);
    }
}
