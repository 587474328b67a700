//! Operators' requests: the leader checks and records them, and replies once they are recorded.
//!
//! The controller adds each request, polls for replies and for the next transaction, and passes in the transaction's outcome.
//! `dappleshore_drain::requests` computes the changes that a request requires.
//!
//! Invariants: one transaction is in progress at a time. A request stays pending until a current copy of the records matches
//! it, so that a transaction may be lost, or executed late or twice.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use dappleshore_drain::budget::Limit;
use dappleshore_drain::operator::{
    BudgetStatus, DrainStatus, Problem, ProblemKind, Reply, Request,
};
use dappleshore_drain::requests::{self, Change, RequestContext};
use dappleshore_drain::{DrainId, DrainRecord, Phase, TeamBudget};
use tracing::info;

use crate::domain::{ControllerName, Now, Team, since};
use crate::job_api::RequestId;
use crate::leader_context::LeaderContext;
use crate::leader_writer::{LeaderWriter, WriteTurn};
use crate::scheduler::draining::{DrainCoordinator, machine_views};
use crate::store::cache::{version_of, without_versions};
use crate::store::records::{
    DRAIN_FORMAT, FencedModule, drain_budget_key, drain_key, encode, json_size,
};
use crate::store::{StoreRequest, StoreResponse, Transaction, WatchCache, WriterState};

/// Further requests are refused immediately.
const MAX_PENDING_REQUESTS: usize = 32;
/// Every request gets a reply within this time.
pub const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// Space that a new drain's record leaves in the stored value for later changes of the record.
const RECORD_GROWTH_BYTES: usize = 256;

#[derive(Debug)]
struct PendingRequest {
    id: RequestId,
    request: Request,
    received_at: Instant,
    /// Whether a transaction for it was sent.
    transaction_sent: bool,
    /// The records that the uncordon request changed.
    uncordoned: BTreeSet<DrainId>,
}

/// Operators' requests that have no reply yet.
#[derive(Debug)]
pub struct OperatorRequests {
    pending: VecDeque<PendingRequest>,
    writer: LeaderWriter,
}

/// The state of the leader that requests are decided with.
pub struct Context<'a> {
    /// The leader's record version, settings and instance catalog.
    pub leader: &'a LeaderContext<'a>,
    /// The coordinator of drains. `None`: draining is disabled.
    pub draining: Option<&'a DrainCoordinator>,
}

/// The result of a poll.
#[derive(Default)]
pub struct PollResult {
    /// Replies to send.
    pub replies: Vec<(RequestId, Reply)>,
    /// A transaction to send.
    pub request: Option<StoreRequest>,
}

impl Default for OperatorRequests {
    fn default() -> Self {
        OperatorRequests {
            pending: VecDeque::new(),
            writer: LeaderWriter::new(FencedModule::Operations, WriterState::Idle),
        }
    }
}

/// A reply that the request can't be decided now.
fn unavailable(message: impl Into<String>) -> Reply {
    Reply::Problem(Problem::new(ProblemKind::Unavailable, message))
}

impl OperatorRequests {
    /// Adds a request. If too many are pending, returns the reply that refuses it.
    pub fn add_request(&mut self, now: Now, id: RequestId, request: Request) -> Option<Reply> {
        if self.pending.len() >= MAX_PENDING_REQUESTS {
            return Some(unavailable("too many requests are waiting"));
        }
        self.pending.push_back(PendingRequest {
            id,
            request,
            received_at: now.monotonic,
            transaction_sent: false,
            uncordoned: BTreeSet::new(),
        });
        None
    }

    /// Whether no request is pending.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Replies to all pending requests with the present leader's address, if it is known, because this controller is not the
    /// leader.
    pub fn redirect_all(
        &mut self,
        leader: Option<(ControllerName, String)>,
    ) -> Vec<(RequestId, Reply)> {
        let reply = |pending: PendingRequest| {
            let reply = match &leader {
                Some((leader, addr)) => Reply::NotLeader {
                    leader: leader.clone(),
                    addr: addr.clone(),
                },
                None => unavailable("there is no leader at present"),
            };
            (pending.id, reply)
        };
        self.pending.drain(..).map(reply).collect()
    }

    /// Replies to requests that can be decided, and creates the transaction for the first request that changes records.
    pub fn poll(&mut self, now: Now, cx: &Context<'_>, cache: &mut WatchCache) -> PollResult {
        let mut result = PollResult::default();
        self.answer_overdue(now, &mut result);
        self.answer_reads(cx, cache, &mut result);
        let Some(pending) = self.pending.iter_mut().find(|p| !p.request.is_read_only()) else {
            return result;
        };
        if !cache.is_current_as_of(pending.received_at) {
            cache.request_refresh();
            return result;
        }
        match self.writer.poll(now, cx.leader, cache) {
            WriteTurn::Wait => return result,
            WriteTurn::Fence(request) => {
                result.request = Some(request);
                return result;
            }
            WriteTurn::Ready => {}
        }
        match changes(&pending.request, now, cx, cache) {
            Err(problem) => result.replies.push((pending.id, Reply::Problem(problem))),
            Ok(changes) if changes.is_empty() => {
                let reply = final_reply(pending, cx, cache);
                result.replies.push((pending.id, reply));
            }
            Ok(changes) => {
                info!(request = ?pending.request, "carrying out operator request");
                pending.transaction_sent = true;
                for change in &changes {
                    if let Change::PutDrain(id, record) = change
                        && matches!(pending.request, Request::Uncordon { .. })
                        && (record.phase == Phase::Uncordoned || !record.except.is_empty())
                    {
                        pending.uncordoned.insert(id.clone());
                    }
                }
                let txn = transaction(self.writer.begin(cx.leader, cache), cache, &changes);
                result.request = Some(self.writer.send(cx.leader, txn));
            }
        }
        let answered: BTreeSet<RequestId> = result.replies.iter().map(|(id, _)| *id).collect();
        self.pending
            .retain(|pending| !answered.contains(&pending.id));
        result
    }

    fn answer_overdue(&mut self, now: Now, result: &mut PollResult) {
        self.pending.retain(|pending| {
            let overdue = since(now, pending.received_at) >= REPLY_TIMEOUT;
            if overdue {
                let message = if pending.transaction_sent {
                    "it is not known whether the request was carried out: repeat it unchanged"
                } else {
                    "the state service does not respond"
                };
                result.replies.push((pending.id, unavailable(message)));
            }
            !overdue
        });
    }

    fn answer_reads(&mut self, cx: &Context<'_>, cache: &mut WatchCache, result: &mut PollResult) {
        let mut refresh_needed = false;
        self.pending.retain(|pending| {
            if !pending.request.is_read_only() {
                return true;
            }
            if !cache.is_current_as_of(pending.received_at) {
                refresh_needed = true;
                return true;
            }
            result
                .replies
                .push((pending.id, read_reply(&pending.request, cx, cache)));
            false
        });
        if refresh_needed {
            cache.request_refresh();
        }
    }

    /// Handles the response to the transaction.
    pub fn handle_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        self.writer.record_response(now, outcome);
    }
}

/// The changes that a request still requires.
fn changes(
    request: &Request,
    now: Now,
    cx: &Context<'_>,
    cache: &WatchCache,
) -> Result<Vec<Change>, Problem> {
    if cx.draining.is_none() {
        return Err(Problem::new(
            ProblemKind::Refused,
            "draining is disabled: set `enabled = true` under `[drain]` in the features file",
        ));
    }
    if cache.format() < DRAIN_FORMAT {
        let lagging: Vec<String> = lagging_controllers(cx.leader, cache);
        let message = format!(
            "not all controllers support drains yet; missing: {}",
            lagging.join(", ")
        );
        return Err(Problem::new(ProblemKind::Unavailable, message));
    }
    let LeaderContext {
        config, catalog, ..
    } = *cx.leader;
    let drains = without_versions(&cache.drains);
    let budgets = without_versions(&cache.drain_budgets);
    let machines = machine_views(cache, |_| true, |_| false, |_| false);
    let value_bytes = config.state_limits.value_bytes;
    let fits_value =
        |record: &DrainRecord| json_size(&encode(record)) + RECORD_GROWTH_BYTES <= value_bytes;
    let context = RequestContext {
        now_ms: now.unix_ms(),
        drains: &drains,
        budgets: &budgets,
        machines: &machines,
        blocks: cache
            .block_leases
            .keys()
            .chain(cache.inventories.keys())
            .cloned()
            .collect(),
        types: catalog
            .all()
            .map(|instance_type| instance_type.name.clone())
            .collect(),
        zones: catalog.zones(config).into_iter().collect(),
        teams: config.teams.iter().map(|team| team.name.clone()).collect(),
        max_changes: cx.leader.max_changes,
        fits_value: &fits_value,
    };
    requests::changes(request, &context)
}

/// Controllers that don't support drains or are not running.
fn lagging_controllers(leader: &LeaderContext<'_>, cache: &WatchCache) -> Vec<String> {
    let peers = leader.config.peers.iter().map(|peer| &peer.name);
    let supports_drains = |controller: &ControllerName| {
        let member = cache.members.get(controller);
        member.is_some_and(|member| member.value.format >= DRAIN_FORMAT)
    };
    peers
        .chain([&leader.config.name])
        .filter(|controller| !supports_drains(controller))
        .map(|controller| controller.to_string())
        .collect()
}

/// Adds the changes to a transaction, each on the condition that its record has not changed since it was read.
fn transaction(mut txn: Transaction, cache: &WatchCache, changes: &[Change]) -> Transaction {
    for change in changes {
        let (key, version) = match change {
            Change::PutDrain(id, _) | Change::DeleteDrain(id) => {
                (drain_key(id), version_of(cache.drains.get(id)))
            }
            Change::PutBudget(team, _) | Change::DeleteBudget(team) => (
                drain_budget_key(team),
                version_of(cache.drain_budgets.get(team)),
            ),
        };
        txn = txn.require_version(key.clone(), version);
        txn = match change {
            Change::PutDrain(_, record) => txn.put(key, record),
            Change::PutBudget(_, budget) => txn.put(key, budget),
            Change::DeleteDrain(_) | Change::DeleteBudget(_) => txn.delete(key),
        };
    }
    txn
}

/// The reply to a request that requires no further change.
fn final_reply(pending: &PendingRequest, cx: &Context<'_>, cache: &WatchCache) -> Reply {
    match &pending.request {
        Request::Start {
            id,
            scope,
            purpose,
            return_machines,
            step,
        } => {
            let drains = without_versions(&cache.drains);
            let requested_ms = 0;
            let scope = scope.clone();
            let record = DrainRecord::new(scope, *purpose, *return_machines, *step, requested_ms);
            let existing = requests::find_existing(id, &record, &drains).cloned();
            drains_reply(existing.as_ref().or(Some(id)), cx, cache)
        }
        Request::Cancel { id } | Request::Resume { id } => drains_reply(Some(id), cx, cache),
        Request::Uncordon { .. } => Reply::Uncordoned {
            records: pending.uncordoned.iter().cloned().collect(),
        },
        request => read_reply(request, cx, cache),
    }
}

fn read_reply(request: &Request, cx: &Context<'_>, cache: &WatchCache) -> Reply {
    match request {
        Request::List { id } => drains_reply(id.as_ref(), cx, cache),
        _ => Reply::Budgets(budget_statuses(cx, cache)),
    }
}

fn drains_reply(id: Option<&DrainId>, cx: &Context<'_>, cache: &WatchCache) -> Reply {
    let progress = |id: &DrainId| cx.draining.and_then(|draining| draining.progress().get(id));
    let is_requested = |drain: &&DrainId| id.is_none_or(|id| id == *drain);
    let ids = cache.drains.keys().filter(is_requested);
    let statuses: Vec<DrainStatus> = ids
        .map(|id| DrainStatus::new(id, &cache.drains[id].value, progress(id)))
        .collect();
    match id {
        Some(id) if statuses.is_empty() => Reply::Problem(Problem::new(
            ProblemKind::NotFound,
            format!("there is no drain `{id}`"),
        )),
        _ => Reply::Drains(statuses),
    }
}

/// The budgets of all teams, and of classes with their own budgets.
fn budget_statuses(cx: &Context<'_>, cache: &WatchCache) -> Vec<BudgetStatus> {
    let Some(draining) = cx.draining else {
        return Vec::new();
    };
    let budgets = draining.budgets(cache);
    let mut statuses = Vec::new();
    for team in cx.leader.config.teams.iter().map(|team| &team.name) {
        let limit = budgets.team_limit(team);
        let is_set = |budgets_by_team: &BTreeMap<Team, TeamBudget>| {
            budgets_by_team
                .get(team)
                .is_some_and(|budget| budget.limit.is_some())
        };
        let count = draining.disruptions().team_count(team);
        let status =
            |class: Option<String>,
             limit: Limit,
             source: &str,
             count: dappleshore_drain::disruption::DisruptionCount| BudgetStatus {
                team: team.to_string(),
                class,
                limit,
                source: source.to_owned(),
                allowed: limit.resolve(count.tasks),
                disrupted: count.disrupted,
                tasks: count.tasks,
            };
        statuses.push(status(
            None,
            limit,
            source(is_set(&budgets.requested), is_set(&budgets.settings)),
            count,
        ));
        let classes_of = |budgets_by_team: &BTreeMap<Team, TeamBudget>| -> BTreeSet<String> {
            budgets_by_team
                .get(team)
                .map(|budget| budget.classes.keys().cloned().collect())
                .unwrap_or_default()
        };
        let requested = classes_of(&budgets.requested);
        for class in requested.union(&classes_of(&budgets.settings)) {
            let Some(limit) = budgets.class_limit(team, class) else {
                continue;
            };
            let count = draining
                .disruptions()
                .class_count(team, &class.as_str().into());
            let source = source(requested.contains(class), true);
            statuses.push(status(Some(class.clone()), limit, source, count));
        }
    }
    statuses
}

/// The source of a budget, as it appears in statuses.
fn source(requested: bool, in_settings: bool) -> &'static str {
    match (requested, in_settings) {
        (true, _) => "request",
        (false, true) => "settings",
        (false, false) => "default",
    }
}

#[cfg(test)]
mod tests;
