//! Requests to the simulated state service, including watches.

use super::controllers::Process;
use super::*;

/// An open watch of a controller.
pub(super) struct Watcher {
    pub(super) process: Process,
    pub(super) tag: StoreTag,
    pub(super) sent: Instant,
    pub(super) prefix: String,
    pub(super) after: u64,
    pub(super) until: Duration,
}

impl SimulatedCluster {
    /// The record format that is switched on.
    pub fn format(&self) -> u32 {
        self.state.format()
    }

    /// Delivers a request to the state service, or delays it until a partition ends.
    pub(super) fn store_request_arrives(
        &mut self,
        process: Process,
        tag: StoreTag,
        sent: Instant,
        request: StoreRequest,
        response_arrives: bool,
    ) {
        if let Some(until) = self.partition_end(process.controller, None) {
            if response_arrives {
                self.store_request_times_out(process, tag.clone(), sent);
            }
            let arrival = until + Duration::from_millis(self.rng.random_range(1..50));
            self.schedule(
                arrival,
                ClusterEvent::Store {
                    process,
                    tag,
                    sent,
                    request,
                    response_arrives: false,
                },
            );
            return;
        }
        let unavailable = self.state_unavailable(process.controller);
        if let StoreRequest::Watch {
            prefix,
            after,
            wait,
        } = &request
        {
            if !response_arrives {
                return;
            }
            self.event_sequence += 1;
            let id = self.event_sequence;
            let until = self.now + *wait;
            let watcher = Watcher {
                process,
                tag,
                sent,
                prefix: prefix.clone(),
                after: *after,
                until,
            };
            self.watchers.insert(id, watcher);
            self.schedule(until, ClusterEvent::CheckWatch { id });
            self.wake_watchers();
            return;
        }
        let outcome = if unavailable {
            StoreResponse::Refused
        } else {
            self.state.serve(self.now, &request)
        };
        self.check_evictions();
        if matches!(outcome, StoreResponse::Committed { .. }) {
            self.wake_watchers();
        }
        if response_arrives {
            self.deliver_soon(process, Event::StoreResponse { tag, sent, outcome });
        }
    }

    /// Answers the open watches that have changes to return.
    pub(super) fn wake_watchers(&mut self) {
        let ready: Vec<u64> = self
            .watchers
            .iter()
            .filter(|(_, watcher)| {
                !self.state_unavailable(watcher.process.controller)
                    && !self
                        .state
                        .changes_after(&watcher.prefix, watcher.after)
                        .is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ready {
            self.check_watch(id);
        }
    }

    /// Answers an open watch. While the state service is unavailable it stays open, and it times out 2 s after its end.
    pub(super) fn check_watch(&mut self, id: u64) {
        let Some(watcher) = self.watchers.get(&id) else {
            return;
        };
        if self.state_unavailable(watcher.process.controller) {
            // Open watches stay open during an outage.
            let later = self.now + Duration::from_millis(500);
            if self.now > watcher.until + Duration::from_secs(2) {
                let watcher = self
                    .watchers
                    .remove(&id)
                    .expect("the watch was looked up above");
                let event = Event::StoreResponse {
                    tag: watcher.tag,
                    sent: watcher.sent,
                    outcome: StoreResponse::Unknown,
                };
                self.deliver_soon(watcher.process, event);
            } else {
                self.schedule(later, ClusterEvent::CheckWatch { id });
            }
            return;
        }
        let watcher = self
            .watchers
            .remove(&id)
            .expect("the watch was looked up above");
        let changes = self.state.changes_after(&watcher.prefix, watcher.after);
        let outcome = StoreResponse::WatchEvents {
            revision: self.state.revision,
            changes,
        };
        let event = Event::StoreResponse {
            tag: watcher.tag,
            sent: watcher.sent,
            outcome,
        };
        self.deliver_soon(watcher.process, event);
    }

    /// The highest fencing token issued so far.
    pub fn last_token(&self) -> u64 {
        self.state.last_token()
    }

    /// The simulated state service.
    pub fn state(&self) -> &StateService {
        &self.state
    }
}
