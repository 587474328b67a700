//! Simulated operators: they repeat requests until a controller replies, record the drain statuses that they receive,
//! and check disruptions by the tasks that run on machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{TaskId, Team};
use dappleshore_drain::operator::{DrainStatus, ProblemKind, Reply, Request};
use dappleshore_drain::{DrainId, Eviction, EvictionTarget, Limit, Purpose, Scope};

use super::cluster::{CONTROLLERS, SimulatedCluster};

/// A request of an operator and its reply.
struct SentRequest {
    request: Request,
    /// The controller that receives the next attempt.
    controller: usize,
    next_attempt_at: Duration,
    reply: Option<Reply>,
}

/// How disruptions are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DisruptionCheck {
    /// No check.
    #[default]
    None,
    /// At no time are more tasks of a team down than its budget allows. For runs without faults.
    Always,
    /// No eviction is recorded that exceeds the team's budget, counting the tasks that have been down long enough for
    /// the leader to know.
    Evictions,
}

/// Action of a test when an eviction is recorded.
type OnEviction = Box<dyn FnOnce(&mut SimulatedCluster, &Eviction)>;

/// The operators' requests, the statuses they received, and the disruptions.
#[derive(Default)]
pub struct Operators {
    requests: Vec<SentRequest>,
    pub disruption_check: DisruptionCheck,
    /// Number of disrupted tasks that each team's budget allows.
    pub allowed: BTreeMap<Team, u64>,
    /// When each target was last evicted.
    evicted_at: BTreeMap<EvictionTarget, Duration>,
    /// All recorded evictions, in order.
    pub evictions: Vec<Eviction>,
    /// Actions for the next recorded evictions, one action per eviction.
    pub on_eviction: Vec<OnEviction>,
    /// The largest number of tasks of each team that were down at the same time.
    pub max_tasks_down: BTreeMap<Team, usize>,
    /// Statuses of each drain in the replies to list requests, the latest last.
    pub statuses: BTreeMap<String, Vec<DrainStatus>>,
}

const RESEND_INTERVAL: Duration = Duration::from_secs(6);
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// The leader must know of a task that has been down for this long.
const LOSS_DETECTION_TIMEOUT: Duration = Duration::from_secs(45);

impl SimulatedCluster {
    /// Sends a request of an operator, repeated until a controller replies. Returns the request's number.
    pub fn send_operator_request(&mut self, request: Request) -> usize {
        let controller = self.any_controller();
        self.operators.requests.push(SentRequest {
            request,
            controller,
            next_attempt_at: self.now,
            reply: None,
        });
        self.operators.requests.len() - 1
    }

    /// Requests a drain that returns no machines, with the default step.
    pub fn request_drain(&mut self, id: &str, scope: Scope) -> usize {
        self.send_operator_request(start_request(id, scope, Purpose::Drain, None))
    }

    /// The reply to a request.
    pub fn operator_reply(&self, number: usize) -> Option<&Reply> {
        self.operators.requests[number].reply.as_ref()
    }

    pub(super) fn step_operators(&mut self) {
        for number in 0..self.operators.requests.len() {
            let entry = &mut self.operators.requests[number];
            if entry.reply.is_some() || self.now < entry.next_attempt_at {
                continue;
            }
            entry.next_attempt_at = self.now + RESEND_INTERVAL;
            let (controller, request) = (entry.controller, entry.request.clone());
            entry.controller = (controller + 1) % CONTROLLERS;
            self.send_operation(number, controller, request);
        }
    }

    pub(super) fn operator_answered(&mut self, number: usize, _from: usize, reply: Reply) {
        let now = self.now;
        let entry = &mut self.operators.requests[number];
        match &reply {
            Reply::NotLeader { leader, .. } => {
                entry.controller = leader.0.trim_start_matches("node-").parse().unwrap_or(0);
                entry.next_attempt_at = now + RETRY_DELAY / 10;
                return;
            }
            Reply::Problem(problem) if problem.kind == ProblemKind::Unavailable => {
                entry.next_attempt_at = now + RETRY_DELAY;
                return;
            }
            _ => {}
        }
        if let Reply::Drains(drains) = &reply {
            for drain in drains {
                let statuses = self.operators.statuses.entry(drain.id.clone()).or_default();
                statuses.push(drain.clone());
            }
        }
        entry.reply.get_or_insert(reply);
    }

    /// Lists all drains every second from this time on.
    pub fn watch_drains(&mut self, from: Duration) {
        self.plan(from, move |cluster| {
            cluster.send_operator_request(Request::List { id: None });
            cluster.watch_drains(from + Duration::from_secs(1));
        });
    }

    /// The latest status of a drain that an operator received.
    pub fn last_status(&self, id: &str) -> Option<&DrainStatus> {
        self.operators.statuses.get(id)?.last()
    }

    /// Counts the tasks of each team that are down and reports a violation above the budget.
    pub(super) fn check_disruptions(&mut self) {
        if self.operators.disruption_check != DisruptionCheck::Always {
            return;
        }
        for (team, allowed) in self.operators.allowed.clone() {
            let down = self.rules.tasks_down(&team, Duration::ZERO);
            let max_down = self
                .operators
                .max_tasks_down
                .entry(team.clone())
                .or_default();
            *max_down = down.len().max(*max_down);
            if down.len() as u64 > allowed {
                let at = self.now.as_secs_f64();
                let text = format!("{at:.3} budget: {down:?} of {team} down, {allowed} allowed");
                self.rules.violations.push(text);
            }
        }
    }

    /// Checks the newly recorded evictions and runs the test's actions for them.
    pub(super) fn check_evictions(&mut self) {
        for eviction in std::mem::take(&mut self.state.recorded_evictions) {
            tracing::debug!(at = self.now.as_secs_f64(), ?eviction, "eviction recorded");
            self.operators.evicted_at.insert(eviction.target, self.now);
            self.check_eviction(&eviction);
            self.operators.evictions.push(eviction.clone());
            if !self.operators.on_eviction.is_empty() {
                let action = self.operators.on_eviction.remove(0);
                action(self, &eviction);
            }
        }
    }

    fn check_eviction(&mut self, eviction: &Eviction) {
        let Some(team) = self.rules.team_of(eviction.target.job()) else {
            return;
        };
        let allowed = self.operators.allowed.get(&team).copied();
        let (DisruptionCheck::Evictions, Some(allowed)) =
            (self.operators.disruption_check, allowed)
        else {
            return;
        };
        let mut down: BTreeSet<TaskId> = self.rules.tasks_down(&team, LOSS_DETECTION_TIMEOUT);
        for (target, at) in &self.operators.evicted_at {
            let of_team = self.rules.team_of(target.job()) == Some(team.clone());
            let restored = target.tasks().all(|task| self.rules.restored(task, *at));
            if of_team && !restored {
                down.extend(target.tasks());
            }
        }
        if down.len() as u64 > allowed {
            let at = self.now.as_secs_f64();
            let text = format!(
                "{at:.3} budget: {eviction:?} makes {} of {team} disrupted, {allowed} allowed: {down:?}",
                down.len()
            );
            self.rules.violations.push(text);
        }
    }
}

/// Builds a request to cordon or drain.
pub fn start_request(id: &str, scope: Scope, purpose: Purpose, step: Option<Limit>) -> Request {
    Request::Start {
        id: id.parse::<DrainId>().expect("valid drain id"),
        scope,
        purpose,
        return_machines: false,
        step,
    }
}
