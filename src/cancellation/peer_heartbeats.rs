//! Heartbeats between controllers: which holders are alive, and up to which time all cancellations are known.
//!
//! The heartbeats of a process carry sequence numbers, so that late ones can be ignored. Each lists the last heartbeat
//! that its sender has received from every other controller.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::config::Config;
use crate::domain::{ControllerName, Incarnation, Now, since};
use crate::peer::{ControllerHeartbeat, HeartbeatId};
use crate::store::records::BlockLease;

/// A holder whose last heartbeat is more recent than this handles its machines itself. Controllers send a heartbeat
/// every second.
pub(super) const HOLDER_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// An outage of the state service counts as shared by a peer until this long after the peer last reported it, since
/// controllers recover from an outage one by one.
const SHARED_OUTAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// The maximum number of sent heartbeats whose send times are kept. Acknowledgements of older ones are ignored.
const MAX_SENT_HEARTBEATS: usize = 64;

/// The state of another controller according to its heartbeats.
#[derive(Debug)]
struct PeerState {
    last_received: HeartbeatId,
    received_at: Instant,
    /// When it last reported that it can't reach the state service.
    state_unreachable_at: Option<Instant>,
    /// It has listed all cancellations that it knew of at this time or later. This is the send time of the last
    /// heartbeat of this process that it had received when it listed them.
    cancellations_known_until: Option<Instant>,
}

/// A heartbeat that this process has sent.
#[derive(Debug)]
struct SentHeartbeat {
    sequence_number: u64,
    sent_at: Instant,
}

/// The heartbeats between this process and the other controllers.
#[derive(Debug, Default)]
pub(super) struct PeerHeartbeats {
    peers: BTreeMap<ControllerName, PeerState>,
    /// Heartbeats sent by this process, oldest first.
    sent: VecDeque<SentHeartbeat>,
}

impl PeerHeartbeats {
    /// Returns the sequence number of the heartbeat that is sent now, and records its send time.
    pub(super) fn next_sequence_number(&mut self, now: Now) -> u64 {
        let sequence_number = self.sent.back().map_or(1, |sent| sent.sequence_number + 1);
        self.sent.push_back(SentHeartbeat {
            sequence_number,
            sent_at: now.monotonic,
        });
        if self.sent.len() > MAX_SENT_HEARTBEATS {
            self.sent.pop_front();
        }
        sequence_number
    }

    /// The last heartbeat received from each of the other controllers.
    pub(super) fn last_received(&self) -> BTreeMap<ControllerName, HeartbeatId> {
        self.peers
            .iter()
            .map(|(controller, peer)| (controller.clone(), peer.last_received))
            .collect()
    }

    /// Records a heartbeat unless a newer one of the same process was received. `controller` and `incarnation` identify
    /// this process.
    pub(super) fn record(
        &mut self,
        now: Now,
        controller: &ControllerName,
        incarnation: Incarnation,
        heartbeat: &ControllerHeartbeat,
    ) {
        let id = HeartbeatId {
            incarnation: heartbeat.incarnation,
            sequence_number: heartbeat.sequence_number,
        };
        let previous = self.peers.get(&heartbeat.controller);
        let same_process = previous.filter(|peer| peer.last_received.incarnation == id.incarnation);
        if same_process.is_some_and(|peer| id.sequence_number <= peer.last_received.sequence_number)
        {
            return;
        }
        let acknowledged = heartbeat
            .last_received
            .get(controller)
            .filter(|acknowledged| {
                heartbeat.lists_all_cancellations && acknowledged.incarnation == incarnation
            });
        let acknowledged_sent_at = acknowledged.and_then(|acknowledged| {
            let mut sent = self.sent.iter();
            sent.find(|sent| sent.sequence_number == acknowledged.sequence_number)
                .map(|sent| sent.sent_at)
        });
        let previously_known = same_process.and_then(|peer| peer.cancellations_known_until);
        let state = PeerState {
            last_received: id,
            received_at: now.monotonic,
            state_unreachable_at: if heartbeat.reaches_state_service {
                previous.and_then(|peer| peer.state_unreachable_at)
            } else {
                Some(now.monotonic)
            },
            cancellations_known_until: previously_known.max(acknowledged_sent_at),
        };
        self.peers.insert(heartbeat.controller.clone(), state);
    }

    /// See [`super::Cancellations::all_cancellations_known_until`].
    pub(super) fn all_cancellations_known_until(
        &self,
        now: Now,
        config: &Config,
    ) -> Option<Instant> {
        let known_until = config.peers.iter().map(|peer| {
            let peer = self.peers.get(&peer.name)?;
            peer.cancellations_known_until.filter(|_| {
                peer.state_unreachable_at
                    .is_some_and(|at| since(now, at) < SHARED_OUTAGE_TIMEOUT)
            })
        });
        known_until
            .collect::<Option<Vec<Instant>>>()?
            .into_iter()
            .min()
    }

    /// Shifts the receive times by a pause of this process.
    pub(super) fn process_paused(&mut self, pause: Duration) {
        for peer in self.peers.values_mut() {
            peer.received_at += pause;
        }
    }

    /// Whether the last heartbeat of the process that holds this block lease is recent.
    pub(super) fn is_holder_alive(&self, now: Now, lease: &BlockLease) -> bool {
        let peer = self.peers.get(&lease.holder);
        peer.is_some_and(|peer| {
            peer.last_received.incarnation == lease.incarnation
                && since(now, peer.received_at) < HOLDER_HEARTBEAT_TIMEOUT
        })
    }
}
