//! The rules of PROTOCOL, checked from outside: by what runs on machines and by what users are told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{
    CapacityType, InstanceTypeName, Job, JobId, JobKind, Resources, TaskId, Team, Zone,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    Accepted,
    Done,
    Cancelled,
}

#[derive(Debug)]
pub struct Place {
    pub machine: String,
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub capacity_type: CapacityType,
}

#[derive(Debug)]
struct JobHistory {
    job: Job,
    told: Option<Told>,
    cancel_asked: bool,
    cancel_told: Option<Duration>,
    done: BTreeSet<u32>,
    on: BTreeMap<u32, Vec<Place>>,
    accepted: Option<Duration>,
    /// When its first task started.
    began: Option<Duration>,
    /// How often any of its tasks started.
    starts: usize,
    /// When each task started last.
    last_start: BTreeMap<u32, Duration>,
    /// Tasks that have started, are not done and are on no machine, and since when.
    lost: BTreeMap<u32, Duration>,
    /// Since when its user's questions have gone unanswered.
    unanswered: Option<Duration>,
    /// Since when it has waited beside a machine with room.
    beside_room: Option<Duration>,
}

/// Troubles over, a job with no question answered for this long is forgotten.
const ANSWER_WITHIN: Duration = Duration::from_secs(75);
/// Troubles over, no job waits this long while a machine that fits has room and its team is under its limit.
const USED_WITHIN: Duration = Duration::from_secs(90);
/// The largest jobs begin within this.
const BEGIN_WITHIN: Duration = Duration::from_secs(240);

fn size(job: &Job) -> f64 {
    job.need.cpus * f64::from(job.tasks)
}

#[derive(Debug)]
pub struct Rules {
    jobs: BTreeMap<JobId, JobHistory>,
    limits: BTreeMap<Team, f64>,
    cancel_within: Duration,
    /// From here on there are no troubles, and every question must get an answer soon.
    calm: Duration,
    pub started: usize,
    /// Starts after a confirmed cancellation: the task, and how long after.
    pub starts_after_cancellation: Vec<(TaskId, Duration)>,
    pub violations: Vec<String>,
    /// The time of what is being told.
    pub now: Duration,
    /// How long tasks were nowhere before they started again.
    pub down_times: Vec<Duration>,
}

impl Rules {
    pub fn new(limits: BTreeMap<Team, f64>, cancel_within: Duration, calm: Duration) -> Self {
        Rules {
            jobs: BTreeMap::new(),
            limits,
            cancel_within,
            calm,
            started: 0,
            starts_after_cancellation: Vec::new(),
            violations: Vec::new(),
            now: Duration::ZERO,
            down_times: Vec::new(),
        }
    }

    /// Tasks of a team that have started and are nowhere now, and that have been nowhere for so long. A gang counts
    /// whole.
    pub fn tasks_down(&self, team: &Team, longer_than: Duration) -> BTreeSet<TaskId> {
        let mut lost = BTreeSet::new();
        let of_team = |known: &&JobHistory| known.job.team == *team && !known.cancel_asked;
        let jobs = self.jobs.iter().filter(|(_, known)| of_team(known));
        for (id, known) in jobs {
            let long = |at: &&Duration| self.now.saturating_sub(**at) >= longer_than;
            let task = |index: u32| TaskId { job: *id, index };
            let gone = known.lost.iter().filter(|(_, at)| long(at));
            let mut gone: BTreeSet<TaskId> = gone.map(|(index, _)| task(*index)).collect();
            if known.job.kind == JobKind::Gang && !gone.is_empty() {
                gone = (0..known.job.tasks).map(task).collect();
            }
            lost.extend(gone);
        }
        lost
    }

    /// Tasks of a class that run.
    pub fn on_machines(&self, team: &Team, class: &str) -> usize {
        let of = |known: &&JobHistory| known.job.team == *team && *known.job.class == *class;
        self.jobs
            .values()
            .filter(of)
            .map(|known| known.on.len())
            .sum()
    }

    /// Whether a task has started since, is done, or is not wanted any more.
    pub fn restored(&self, task: TaskId, since: Duration) -> bool {
        let Some(known) = self.jobs.get(&task.job) else {
            return true;
        };
        let started = known.last_start.get(&task.index);
        known.cancel_asked
            || known.done.contains(&task.index)
            || started.is_some_and(|at| *at > since)
    }

    /// The team of a job.
    pub fn team_of(&self, job: JobId) -> Option<Team> {
        self.jobs.get(&job).map(|known| known.job.team.clone())
    }

    fn break_rule(&mut self, now: Duration, text: String) {
        self.violations
            .push(format!("{:.3} {text}", now.as_secs_f64()));
    }

    pub fn submitted(&mut self, id: JobId, job: Job) {
        self.jobs.entry(id).or_insert(JobHistory {
            job,
            told: None,
            cancel_asked: false,
            cancel_told: None,
            done: BTreeSet::new(),
            on: BTreeMap::new(),
            accepted: None,
            began: None,
            starts: 0,
            last_start: BTreeMap::new(),
            lost: BTreeMap::new(),
            unanswered: None,
            beside_room: None,
        });
    }

    pub fn cancel_asked(&mut self, id: JobId) {
        if let Some(known) = self.jobs.get_mut(&id) {
            known.cancel_asked = true;
        }
    }

    /// A task has its image and is on its machine.
    pub fn task_started(&mut self, now: Duration, task: TaskId, place: Place) {
        self.started += 1;
        if let Some(known) = self.jobs.get_mut(&task.job) {
            known.began.get_or_insert(now);
            known.starts += 1;
            known.last_start.insert(task.index, now);
            let lost = known.lost.remove(&task.index);
            self.down_times
                .extend(lost.map(|at| now.saturating_sub(at)));
        }
        let cancelled = self.jobs.get(&task.job).and_then(|known| known.cancel_told);
        self.starts_after_cancellation
            .extend(cancelled.map(|told| (task, now - told)));
        let Some(known) = self.jobs.get(&task.job) else {
            return self.break_rule(
                now,
                format!("invented: {task} starts but was never submitted"),
            );
        };
        let mut wrong = Vec::new();
        if known.on.contains_key(&task.index) {
            wrong.push(format!(
                "ran_twice: {task} starts on {} and is on {:?}",
                place.machine, known.on[&task.index]
            ));
        }
        let job = &known.job;
        let others = || known.on.values().flatten();
        let in_zone = others().filter(|other| other.zone == place.zone).count() as u32;
        let elsewhere = others().any(|other| other.zone != place.zone);
        if !job.allows_type(&place.type_name)
            || !job.allows_zone(&place.zone)
            || !job.allows_capacity_type(place.capacity_type)
            || in_zone + 1 > job.zone_limit()
            || (job.one_zone && elsewhere)
        {
            wrong.push(format!("wrong_place: {task} starts on {place:?}"));
        }
        if known
            .cancel_told
            .is_some_and(|told| now > told + self.cancel_within)
        {
            wrong.push(format!("ran_cancelled: {task} starts on {}", place.machine));
        }
        for text in wrong {
            self.break_rule(now, text);
        }
        let team = self.jobs[&task.job].job.team.clone();
        self.jobs
            .get_mut(&task.job)
            .expect("known")
            .on
            .entry(task.index)
            .or_default()
            .push(place);
        self.check_limit(now, &team);
    }

    fn check_limit(&mut self, now: Duration, team: &Team) {
        let mut used = Resources::default();
        for known in self.jobs.values().filter(|known| known.job.team == *team) {
            for _ in known.on.values().flatten() {
                used.add(&known.job.need);
            }
        }
        if used.cpus > self.limits[team] + 1e-6 {
            self.break_rule(now, format!("quota: {team} uses {}", used.cpus));
        }
    }

    pub fn task_ended(&mut self, task: TaskId, machine: &str, done: bool) {
        let Some(known) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(placements) = known.on.get_mut(&task.index) {
            placements.retain(|place| place.machine != machine);
            if placements.is_empty() {
                known.on.remove(&task.index);
            }
        }
        if done {
            known.done.insert(task.index);
            known.lost.remove(&task.index);
        } else if !known.on.contains_key(&task.index) && !known.done.contains(&task.index) {
            known.lost.insert(task.index, self.now);
        }
    }

    /// A user asks about a job.
    pub fn asked(&mut self, now: Duration, id: JobId) {
        if let Some(known) = self.jobs.get_mut(&id) {
            known.unanswered.get_or_insert(now);
        }
    }

    /// Classes, teams and largest jobs of a class of which less than half was served, or begun in time. A job is
    /// served when it is done, or for a service when all its tasks have started; what its user cancelled before it
    /// was accepted for long is left out.
    pub fn unserved(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut classes: BTreeMap<&str, Vec<&JobHistory>> = BTreeMap::new();
        for known in self.jobs.values().filter(|known| known.accepted.is_some()) {
            let early = |told: Duration| known.accepted.is_some_and(|at| told < at + BEGIN_WITHIN);
            let cancelled = known.began.is_none() && known.cancel_told.is_some_and(early);
            if cancelled {
                continue;
            }
            let all = known.done.len() == known.job.tasks as usize;
            let served = all
                || known.began.is_some()
                    && (known.job.kind == JobKind::Service || known.cancel_asked);
            for group in [
                format!("class {}", known.job.class),
                format!("team {}", known.job.team),
            ] {
                let (of, count) = groups.entry(group).or_default();
                *of += 1;
                *count += usize::from(served);
            }
            classes.entry(&known.job.class).or_default().push(known);
        }
        for (class, mut jobs) in classes {
            jobs.sort_by(|a, b| size(&b.job).total_cmp(&size(&a.job)));
            jobs.truncate(jobs.len().div_ceil(10));
            let in_time = |known: &&&JobHistory| match (known.accepted, known.began) {
                (Some(accepted), Some(began)) => began <= accepted + BEGIN_WITHIN,
                _ => false,
            };
            let begun = jobs.iter().filter(in_time).count();
            groups.insert(format!("largest of {class}"), (jobs.len(), begun));
        }
        groups
            .into_iter()
            .filter(|(_, (of, count))| count * 2 < *of)
            .map(|(group, (of, count))| format!("{group}: {count} of {of}"))
            .collect()
    }

    /// Called after each step.
    pub fn check(&mut self, now: Duration) {
        let calm = self.calm;
        let silent = |known: &JobHistory| {
            known
                .unanswered
                .is_some_and(|at| now > at.max(calm) + ANSWER_WITHIN)
        };
        let unheard: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, k)| k.told.is_some() && silent(k))
            .map(|(id, _)| *id)
            .collect();
        for id in unheard {
            self.break_rule(
                now,
                format!("forgotten: no question about {id} was answered for long"),
            );
        }
        let within = self.cancel_within;
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, known)| {
                known.cancel_told.is_some_and(|told| now > told + within) && !known.on.is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.break_rule(
                now,
                format!("ran_cancelled: {id} is still on {:?}", self.jobs[&id].on),
            );
        }
    }

    /// A user is answered. `status` None: 404.
    pub fn status_reported(&mut self, now: Duration, id: JobId, status: Option<&str>) {
        let Some(known) = self.jobs.get_mut(&id) else {
            if status.is_some() {
                self.break_rule(now, format!("invented: {id} is {status:?}"));
            }
            return;
        };
        let before = known.told;
        let all_done = known.done.len() == known.job.tasks as usize;
        let new = match status {
            None => {
                if before.is_some() {
                    self.break_rule(now, format!("forgotten: {id} was {before:?}"));
                }
                return;
            }
            Some("done") => Told::Done,
            Some("cancelled") => Told::Cancelled,
            Some(_) => Told::Accepted,
        };
        known.told = Some(new);
        known.unanswered = None;
        known.accepted.get_or_insert(now);
        let cancel_asked = known.cancel_asked;
        if new == Told::Cancelled && known.cancel_told.is_none() {
            known.cancel_told = Some(now);
        }
        if new == Told::Done && !all_done {
            self.break_rule(now, format!("not_done: {id} is called done"));
        }
        if matches!(before, Some(Told::Done | Told::Cancelled)) && before != Some(new) {
            self.break_rule(now, format!("went_back: {id} was {before:?}, is {new:?}"));
        }
        if new == Told::Cancelled && !cancel_asked {
            self.break_rule(
                now,
                format!("went_back: {id} is called cancelled, its user never asked"),
            );
        }
    }

    pub fn refused(&mut self, now: Duration, id: JobId, status: u16) {
        if self.jobs.get(&id).is_some_and(|known| known.told.is_some()) {
            self.break_rule(
                now,
                format!("forgotten: {id} is answered {status} after it was accepted"),
            );
        }
    }

    /// What was sent should have been refused with this status: by a controller that can decide, and at once.
    pub fn irregular_request_answered(&mut self, now: Duration, expected: u16, status: u16) {
        if ![expected, 429, 503].contains(&status) {
            self.break_rule(
                now,
                format!("odd: a request is answered {status} instead of {expected}"),
            );
        }
    }

    /// Accepted jobs with tasks to do.
    pub fn waiting(&self) -> Vec<JobId> {
        let waits = |known: &JobHistory| known.told == Some(Told::Accepted) && !known.cancel_asked;
        self.jobs
            .iter()
            .filter(|(_, known)| waits(known))
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn done(&self, id: JobId) -> u32 {
        self.jobs
            .get(&id)
            .map_or(0, |known| known.done.len() as u32)
    }

    pub fn all_done(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|known| known.done.len() == known.job.tasks as usize)
    }

    pub fn team_has_room(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).map(|known| &known.job) else {
            return false;
        };
        let of_team = self
            .jobs
            .values()
            .filter(|known| known.job.team == job.team);
        let used: f64 = of_team
            .map(|known| known.job.need.cpus * known.on.len() as f64)
            .sum();
        used + job.need.cpus <= self.limits[&job.team]
    }

    /// The jobs that wait beside room now.
    pub fn record_waiting_despite_capacity(&mut self, now: Duration, jobs: BTreeSet<JobId>) {
        let calm = self.calm;
        let mut late = Vec::new();
        for (id, known) in &mut self.jobs {
            known.beside_room = if jobs.contains(id) {
                known.beside_room.or(Some(now))
            } else {
                None
            };
            if known
                .beside_room
                .is_some_and(|at| now > at.max(calm) + USED_WITHIN)
            {
                late.push(*id);
            }
        }
        for id in late {
            self.break_rule(
                now,
                format!("idle: {id} has waited for long beside a machine with room"),
            );
        }
    }

    pub fn told_state(&self, id: JobId) -> Option<Told> {
        self.jobs.get(&id).and_then(|known| known.told)
    }

    pub fn unfinished(&self) -> Vec<JobId> {
        let open = |known: &&JobHistory| matches!(known.told, Some(Told::Accepted));
        self.jobs
            .iter()
            .filter(|(_, known)| open(known))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether its user was told that it is cancelled.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|known| known.cancel_told.is_some())
    }

    /// Where a job's tasks are.
    pub fn machines_of(&self, id: JobId) -> BTreeSet<String> {
        let placements = self
            .jobs
            .get(&id)
            .into_iter()
            .flat_map(|known| known.on.values().flatten());
        placements.map(|place| place.machine.clone()).collect()
    }

    /// How often tasks of a job have started.
    pub fn starts_of(&self, id: JobId) -> usize {
        self.jobs.get(&id).map_or(0, |known| known.starts)
    }

    /// How often tasks of a class have started.
    pub fn starts_of_class(&self, class: &str) -> usize {
        let of_class = self
            .jobs
            .values()
            .filter(|known| *known.job.class == *class);
        of_class.map(|known| known.starts).sum()
    }

    /// From acceptance to the first start, of each job of a class that began.
    pub fn waits_of(&self, class: &str) -> Vec<Duration> {
        let of_class = self
            .jobs
            .values()
            .filter(|known| *known.job.class == *class);
        of_class
            .filter_map(|known| Some(known.began?.saturating_sub(known.accepted?)))
            .collect()
    }

    pub fn running(&self) -> usize {
        self.jobs
            .values()
            .map(|known| known.on.values().flatten().count())
            .sum()
    }
}
