//! Discovery's lists: into the endpoint table, and from there to the decision module.

use super::Core;
use crate::config::EndpointList;
use crate::core::endpoint_table::{ListRejection, ListSource};
use crate::policy::interface::{Event, ListKind, Micros, WorkerId};

impl Core {
    /// Checks whether a list that discovery sent may be applied by [`Core::on_endpoint_list`].
    ///
    /// # Errors
    /// Why it is rejected; it is counted then.
    pub fn check_list(&mut self, list: &EndpointList, source: ListSource) -> Result<(), ListRejection> {
        self.endpoints.check(list, source)
    }

    /// Discovery sent a list.
    pub fn on_endpoint_list(&mut self, list: &EndpointList) {
        let kind = if list.reset { ListKind::Snapshot } else { ListKind::Delta };
        self.apply_list(list, kind);
    }

    /// A process that held a watch handed its list over.
    pub fn on_cached_list(&mut self, list: &EndpointList) {
        self.apply_list(list, ListKind::Cached);
    }

    fn apply_list(&mut self, list: &EndpointList, kind: ListKind) {
        let named = self.endpoints.apply(list);
        if self.endpoints.clear_stale() {
            // Until now none of the workers took work for the module: it needs all of them.
            self.push_all_endpoints(ListKind::Snapshot);
        } else {
            self.push_endpoints(kind, named);
        }
    }

    /// Loads a list that was known before the start, perhaps long before. Its workers get their numbers, and discovery is called
    /// with its version; but nothing is sent to them before discovery has sent a list, or [`Core::use_stale_list`]. Returns when
    /// the last of its workers started.
    pub fn load_known_list(&mut self, list: &EndpointList) -> Option<Micros> {
        self.endpoints.apply(list);
        self.endpoints.mark_stale();
        let clock = self.clock;
        list.rows.iter().filter_map(|row| clock.module_time_of_millis(row.started_at_ms)).max()
    }

    /// Uses a list from before the start as it is, if it is still to be revalidated.
    pub fn use_stale_list(&mut self) {
        if self.endpoints.clear_stale() {
            self.push_all_endpoints(ListKind::Cached);
        }
    }

    /// Sends nothing more by the list from before the start until discovery has sent one, or [`Core::use_stale_list`].
    pub fn suspend_stale_list(&mut self) {
        self.endpoints.mark_stale();
        self.push_all_endpoints(ListKind::Delta);
    }

    fn push_all_endpoints(&mut self, kind: ListKind) {
        let workers = self.endpoints.iter().map(|(worker, _)| worker).collect();
        self.push_endpoints(kind, workers);
    }

    fn push_endpoints(&mut self, kind: ListKind, workers: Vec<WorkerId>) {
        let (endpoints, names, clock) = (&self.endpoints, &mut self.names, self.clock);
        let entries = workers.into_iter().filter_map(|worker| endpoints.to_entry(worker, names, clock));
        self.events.push(Event::EndpointList(kind, entries.collect()));
    }

    /// A call to discovery failed, or the watch broke.
    pub fn on_list_failed(&mut self) {
        self.events.push(Event::ListFailed);
    }

    /// Another discovery service counts from now on. Its versions mean nothing beside the old one's.
    pub fn on_discovery_moved(&mut self) {
        self.endpoints.forget_generation();
        self.events.push(Event::DiscoveryMoved);
    }
}
