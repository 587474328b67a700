//! Operators, and what they would see: requests that are repeated until they are answered, and disruptions counted by
//! what runs on machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{TaskId, Team};
use dappleshore_drain::operator::{DrainStatus, ProblemKind, Reply, Request};
use dappleshore_drain::{DrainId, Eviction, EvictionTarget, Limit, Purpose, Scope};

use super::cluster::{CONTROLLERS, SimulatedCluster};

/// Where a request is.
struct SentRequest {
    request: Request,
    controller: usize,
    next_attempt_at: Duration,
    reply: Option<Reply>,
}

/// How disruptions are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DisruptionCheck {
    /// Not at all.
    #[default]
    None,
    /// At no moment is more of a team down than its budget allows: for days without troubles.
    Always,
    /// No eviction is recorded that its team's budget does not allow, given what has been down for a while.
    Evictions,
}

/// What happens when an eviction is recorded.
type OnEviction = Box<dyn FnOnce(&mut SimulatedCluster, &Eviction)>;

/// What operators have asked, and what they see.
#[derive(Default)]
pub struct Operators {
    requests: Vec<SentRequest>,
    pub disruption_check: DisruptionCheck,
    /// What each team's budget comes to.
    pub allowed: BTreeMap<Team, u64>,
    evicted_at: BTreeMap<EvictionTarget, Duration>,
    /// All evictions recorded so far.
    pub evictions: Vec<Eviction>,
    /// Called at the next recorded evictions, one each.
    pub on_eviction: Vec<OnEviction>,
    /// The most tasks of each team that were down at a time.
    pub max_tasks_down: BTreeMap<Team, usize>,
    /// Answers to requests for a list, the latest of each drain.
    pub statuses: BTreeMap<String, Vec<DrainStatus>>,
}

const RESEND_INTERVAL: Duration = Duration::from_secs(6);
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// What a machine has been out of reach for this long, its leader must know.
const LOSS_DETECTION_TIMEOUT: Duration = Duration::from_secs(45);

impl SimulatedCluster {
    /// An operator asks, again and again until there is an answer. Returns the request's number.
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

    /// Asks for a drain that returns nothing, one machine at a time.
    pub fn request_drain(&mut self, id: &str, scope: Scope) -> usize {
        self.send_operator_request(start_request(id, scope, Purpose::Drain, None))
    }

    /// The answer to a request.
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

    /// Looks at all drains every second from then on.
    pub fn watch_drains(&mut self, from: Duration) {
        self.plan(from, move |cluster| {
            cluster.send_operator_request(Request::List { id: None });
            cluster.watch_drains(from + Duration::from_secs(1));
        });
    }

    /// The last that was statuses of a drain.
    pub fn last_status(&self, id: &str) -> Option<&DrainStatus> {
        self.operators.statuses.get(id)?.last()
    }

    /// Counts what is down, by what runs on machines.
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

    /// Looks at the evictions that were recorded just now.
    pub(super) fn check_evictions(&mut self) {
        for eviction in std::mem::take(&mut self.state.recorded_evictions) {
            tracing::debug!(at = self.now.as_secs_f64(), ?eviction, "recorded");
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

/// A request to cordon or drain.
pub fn start_request(id: &str, scope: Scope, purpose: Purpose, step: Option<Limit>) -> Request {
    Request::Start {
        id: id.parse::<DrainId>().expect("an id"),
        scope,
        purpose,
        return_machines: false,
        step,
    }
}
