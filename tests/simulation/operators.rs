//! Operators, and what they would see: requests that are repeated until they are answered, and disruptions counted by
//! what runs on machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{TaskId, Team};
use dappleshore_drain::operator::{DrainStatus, ProblemKind, Reply, Request};
use dappleshore_drain::{DrainId, Eviction, EvictionTarget, Limit, Purpose, Scope};

use super::cluster::{CONTROLLERS, SimulatedCluster};

/// Where a request is.
struct Asked {
    request: Request,
    controller: usize,
    next: Duration,
    reply: Option<Reply>,
}

/// How disruptions are checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Check {
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
    asked: Vec<Asked>,
    pub check: Check,
    /// What each team's budget comes to.
    pub allowed: BTreeMap<Team, u64>,
    evicted: BTreeMap<EvictionTarget, Duration>,
    /// All evictions recorded so far.
    pub evictions: Vec<Eviction>,
    /// Called at the next recorded evictions, one each.
    pub on_eviction: Vec<OnEviction>,
    /// The most tasks of each team that were down at a time.
    pub most_down: BTreeMap<Team, usize>,
    /// Answers to requests for a list, the latest of each drain.
    pub seen: BTreeMap<String, Vec<DrainStatus>>,
}

const ASK_AGAIN: Duration = Duration::from_secs(6);
const RETRY: Duration = Duration::from_secs(1);
/// What a machine has been out of reach for this long, its leader must know.
const NOTICED_WITHIN: Duration = Duration::from_secs(45);

impl SimulatedCluster {
    /// An operator asks, again and again until there is an answer. Returns the request's number.
    pub fn operate(&mut self, request: Request) -> usize {
        let controller = self.any_controller();
        self.operators.asked.push(Asked {
            request,
            controller,
            next: self.now,
            reply: None,
        });
        self.operators.asked.len() - 1
    }

    /// Asks for a drain that returns nothing, one machine at a time.
    pub fn drain(&mut self, id: &str, scope: Scope) -> usize {
        self.operate(start(id, scope, Purpose::Drain, None))
    }

    /// The answer to a request.
    pub fn answer(&self, number: usize) -> Option<&Reply> {
        self.operators.asked[number].reply.as_ref()
    }

    pub(super) fn step_operators(&mut self) {
        for number in 0..self.operators.asked.len() {
            let asked = &mut self.operators.asked[number];
            if asked.reply.is_some() || self.now < asked.next {
                continue;
            }
            asked.next = self.now + ASK_AGAIN;
            let (controller, request) = (asked.controller, asked.request.clone());
            asked.controller = (controller + 1) % CONTROLLERS;
            self.send_operation(number, controller, request);
        }
    }

    pub(super) fn operator_answered(&mut self, number: usize, _from: usize, reply: Reply) {
        let now = self.now;
        let asked = &mut self.operators.asked[number];
        match &reply {
            Reply::NotLeader { leader, .. } => {
                asked.controller = leader.0.trim_start_matches("node-").parse().unwrap_or(0);
                asked.next = now + RETRY / 10;
                return;
            }
            Reply::Problem(problem) if problem.kind == ProblemKind::Unavailable => {
                asked.next = now + RETRY;
                return;
            }
            _ => {}
        }
        if let Reply::Drains(drains) = &reply {
            for drain in drains {
                let seen = self.operators.seen.entry(drain.id.clone()).or_default();
                seen.push(drain.clone());
            }
        }
        asked.reply.get_or_insert(reply);
    }

    /// Looks at all drains every second from then on.
    pub fn watch_drains(&mut self, from: Duration) {
        self.plan(from, move |cluster| {
            cluster.operate(Request::List { id: None });
            cluster.watch_drains(from + Duration::from_secs(1));
        });
    }

    /// The last that was seen of a drain.
    pub fn seen(&self, id: &str) -> Option<&DrainStatus> {
        self.operators.seen.get(id)?.last()
    }

    /// Counts what is down, by what runs on machines.
    pub(super) fn check_disruptions(&mut self) {
        if self.operators.check != Check::Always {
            return;
        }
        for (team, allowed) in self.operators.allowed.clone() {
            let down = self.rules.tasks_down(&team, Duration::ZERO);
            let most = self.operators.most_down.entry(team.clone()).or_default();
            *most = down.len().max(*most);
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
            self.operators.evicted.insert(eviction.target, self.now);
            self.check_eviction(&eviction);
            self.operators.evictions.push(eviction.clone());
            if !self.operators.on_eviction.is_empty() {
                let act = self.operators.on_eviction.remove(0);
                act(self, &eviction);
            }
        }
    }

    fn check_eviction(&mut self, eviction: &Eviction) {
        let Some(team) = self.rules.team_of(eviction.target.job()) else {
            return;
        };
        let allowed = self.operators.allowed.get(&team).copied();
        let (Check::Evictions, Some(allowed)) = (self.operators.check, allowed) else {
            return;
        };
        let mut down: BTreeSet<TaskId> = self.rules.tasks_down(&team, NOTICED_WITHIN);
        for (subject, at) in &self.operators.evicted {
            let of_team = self.rules.team_of(subject.job()) == Some(team.clone());
            let restored = subject.tasks().all(|task| self.rules.restored(task, *at));
            if of_team && !restored {
                down.extend(subject.tasks());
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
pub fn start(id: &str, scope: Scope, purpose: Purpose, step: Option<Limit>) -> Request {
    Request::Start {
        id: id.parse::<DrainId>().expect("an id"),
        scope,
        purpose,
        return_machines: false,
        step,
    }
}
