//! The rules of PROTOCOL, checked from outside: by what runs on machines and by what users are told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{
    CapacityType, InstanceTypeName, Job, JobId, JobKind, Resources, TaskId, Team, Zone,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedStatus {
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
    reported: Option<ReportedStatus>,
    cancel_asked: bool,
    cancelled_at: Option<Duration>,
    done: BTreeSet<u32>,
    placements: BTreeMap<u32, Vec<Place>>,
    accepted_at: Option<Duration>,
    /// When its first task started.
    first_started_at: Option<Duration>,
    /// How often any of its tasks started.
    start_count: usize,
    /// When each task started last.
    last_started: BTreeMap<u32, Duration>,
    /// Tasks that have started, are not done and are on no machine, and since when.
    down_since: BTreeMap<u32, Duration>,
    /// Since when its user's questions have gone unanswered.
    unanswered_since: Option<Duration>,
    /// Since when it has waited beside a machine with room.
    waiting_despite_capacity_since: Option<Duration>,
}

/// Troubles over, a job with no question answered for this long is forgotten.
const MAX_UNANSWERED: Duration = Duration::from_secs(75);
/// Troubles over, no job waits this long while a machine that fits has room and its team is under its limit.
const MAX_WAIT_DESPITE_CAPACITY: Duration = Duration::from_secs(90);
/// The largest jobs begin within this.
const MAX_START_DELAY: Duration = Duration::from_secs(240);

fn total_cpus(job: &Job) -> f64 {
    job.need.cpus * f64::from(job.tasks)
}

#[derive(Debug)]
pub struct Rules {
    jobs: BTreeMap<JobId, JobHistory>,
    limits: BTreeMap<Team, f64>,
    cancel_within: Duration,
    /// From here on there are no troubles, and every question must get an answer soon.
    faults_over_at: Duration,
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
    pub fn new(
        limits: BTreeMap<Team, f64>,
        cancel_within: Duration,
        faults_over_at: Duration,
    ) -> Self {
        Rules {
            jobs: BTreeMap::new(),
            limits,
            cancel_within,
            faults_over_at,
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
        let mut down = BTreeSet::new();
        let of_team = |history: &&JobHistory| history.job.team == *team && !history.cancel_asked;
        let jobs = self.jobs.iter().filter(|(_, history)| of_team(history));
        for (id, history) in jobs {
            let long_enough = |at: &&Duration| self.now.saturating_sub(**at) >= longer_than;
            let task = |index: u32| TaskId { job: *id, index };
            let down_tasks = history.down_since.iter().filter(|(_, at)| long_enough(at));
            let mut down_of_job: BTreeSet<TaskId> =
                down_tasks.map(|(index, _)| task(*index)).collect();
            if history.job.kind == JobKind::Gang && !down_of_job.is_empty() {
                down_of_job = (0..history.job.tasks).map(task).collect();
            }
            down.extend(down_of_job);
        }
        down
    }

    /// Tasks of a class that run.
    pub fn on_machines(&self, team: &Team, class: &str) -> usize {
        let matches =
            |history: &&JobHistory| history.job.team == *team && *history.job.class == *class;
        self.jobs
            .values()
            .filter(matches)
            .map(|history| history.placements.len())
            .sum()
    }

    /// Whether a task has started since, is done, or is not wanted any more.
    pub fn restored(&self, task: TaskId, since: Duration) -> bool {
        let Some(history) = self.jobs.get(&task.job) else {
            return true;
        };
        let started = history.last_started.get(&task.index);
        history.cancel_asked
            || history.done.contains(&task.index)
            || started.is_some_and(|at| *at > since)
    }

    /// The team of a job.
    pub fn team_of(&self, job: JobId) -> Option<Team> {
        self.jobs.get(&job).map(|history| history.job.team.clone())
    }

    fn record_violation(&mut self, now: Duration, violation: String) {
        self.violations
            .push(format!("{:.3} {violation}", now.as_secs_f64()));
    }

    pub fn submitted(&mut self, id: JobId, job: Job) {
        self.jobs.entry(id).or_insert(JobHistory {
            job,
            reported: None,
            cancel_asked: false,
            cancelled_at: None,
            done: BTreeSet::new(),
            placements: BTreeMap::new(),
            accepted_at: None,
            first_started_at: None,
            start_count: 0,
            last_started: BTreeMap::new(),
            down_since: BTreeMap::new(),
            unanswered_since: None,
            waiting_despite_capacity_since: None,
        });
    }

    pub fn cancel_asked(&mut self, id: JobId) {
        if let Some(history) = self.jobs.get_mut(&id) {
            history.cancel_asked = true;
        }
    }

    /// A task has its image and is on its machine.
    pub fn task_started(&mut self, now: Duration, task: TaskId, place: Place) {
        self.started += 1;
        if let Some(history) = self.jobs.get_mut(&task.job) {
            history.first_started_at.get_or_insert(now);
            history.start_count += 1;
            history.last_started.insert(task.index, now);
            let down_since = history.down_since.remove(&task.index);
            self.down_times
                .extend(down_since.map(|since| now.saturating_sub(since)));
        }
        let cancelled_at = self.jobs.get(&task.job).and_then(|job| job.cancelled_at);
        self.starts_after_cancellation
            .extend(cancelled_at.map(|confirmed| (task, now - confirmed)));
        let Some(history) = self.jobs.get(&task.job) else {
            return self.record_violation(
                now,
                format!("invented: {task} starts but was never submitted"),
            );
        };
        let mut violations = Vec::new();
        if history.placements.contains_key(&task.index) {
            violations.push(format!(
                "ran_twice: {task} starts on {} and is on {:?}",
                place.machine, history.placements[&task.index]
            ));
        }
        let job = &history.job;
        let others = || history.placements.values().flatten();
        let in_zone = others().filter(|other| other.zone == place.zone).count() as u32;
        let elsewhere = others().any(|other| other.zone != place.zone);
        if !job.allows_type(&place.type_name)
            || !job.allows_zone(&place.zone)
            || !job.allows_capacity_type(place.capacity_type)
            || in_zone + 1 > job.zone_limit()
            || (job.one_zone && elsewhere)
        {
            violations.push(format!("wrong_place: {task} starts on {place:?}"));
        }
        if history
            .cancelled_at
            .is_some_and(|confirmed| now > confirmed + self.cancel_within)
        {
            violations.push(format!("ran_cancelled: {task} starts on {}", place.machine));
        }
        for violation in violations {
            self.record_violation(now, violation);
        }
        let team = self.jobs[&task.job].job.team.clone();
        self.jobs
            .get_mut(&task.job)
            .expect("looked up above")
            .placements
            .entry(task.index)
            .or_default()
            .push(place);
        self.check_limit(now, &team);
    }

    fn check_limit(&mut self, now: Duration, team: &Team) {
        let mut used = Resources::default();
        for history in self
            .jobs
            .values()
            .filter(|history| history.job.team == *team)
        {
            for _ in history.placements.values().flatten() {
                used.add(&history.job.need);
            }
        }
        if used.cpus > self.limits[team] + 1e-6 {
            self.record_violation(now, format!("quota: {team} uses {}", used.cpus));
        }
    }

    pub fn task_ended(&mut self, task: TaskId, machine: &str, done: bool) {
        let Some(history) = self.jobs.get_mut(&task.job) else {
            return;
        };
        if let Some(placements) = history.placements.get_mut(&task.index) {
            placements.retain(|place| place.machine != machine);
            if placements.is_empty() {
                history.placements.remove(&task.index);
            }
        }
        if done {
            history.done.insert(task.index);
            history.down_since.remove(&task.index);
        } else if !history.placements.contains_key(&task.index)
            && !history.done.contains(&task.index)
        {
            history.down_since.insert(task.index, self.now);
        }
    }

    /// A user asks about a job.
    pub fn asked(&mut self, now: Duration, id: JobId) {
        if let Some(history) = self.jobs.get_mut(&id) {
            history.unanswered_since.get_or_insert(now);
        }
    }

    /// Classes, teams and largest jobs of a class of which less than half was served, or begun in time. A job is
    /// served when it is done, or for a service when all its tasks have started; what its user cancelled before it
    /// was accepted for long is left out.
    pub fn unserved(&self) -> Vec<String> {
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut classes: BTreeMap<&str, Vec<&JobHistory>> = BTreeMap::new();
        for history in self
            .jobs
            .values()
            .filter(|history| history.accepted_at.is_some())
        {
            let early = |confirmed: Duration| {
                history
                    .accepted_at
                    .is_some_and(|at| confirmed < at + MAX_START_DELAY)
            };
            let cancelled =
                history.first_started_at.is_none() && history.cancelled_at.is_some_and(early);
            if cancelled {
                continue;
            }
            let all_done = history.done.len() == history.job.tasks as usize;
            let served = all_done
                || history.first_started_at.is_some()
                    && (history.job.kind == JobKind::Service || history.cancel_asked);
            for group in [
                format!("class {}", history.job.class),
                format!("team {}", history.job.team),
            ] {
                let (total, served_count) = groups.entry(group).or_default();
                *total += 1;
                *served_count += usize::from(served);
            }
            classes.entry(&history.job.class).or_default().push(history);
        }
        for (class, mut jobs) in classes {
            jobs.sort_by(|a, b| total_cpus(&b.job).total_cmp(&total_cpus(&a.job)));
            jobs.truncate(jobs.len().div_ceil(10));
            let in_time =
                |history: &&&JobHistory| match (history.accepted_at, history.first_started_at) {
                    (Some(accepted), Some(first_started_at)) => {
                        first_started_at <= accepted + MAX_START_DELAY
                    }
                    _ => false,
                };
            let started_in_time = jobs.iter().filter(in_time).count();
            groups.insert(format!("largest of {class}"), (jobs.len(), started_in_time));
        }
        groups
            .into_iter()
            .filter(|(_, (total, served_count))| served_count * 2 < *total)
            .map(|(group, (total, served_count))| format!("{group}: {served_count} of {total}"))
            .collect()
    }

    /// Called after each step.
    pub fn check(&mut self, now: Duration) {
        let faults_over_at = self.faults_over_at;
        let is_unanswered = |history: &JobHistory| {
            history
                .unanswered_since
                .is_some_and(|at| now > at.max(faults_over_at) + MAX_UNANSWERED)
        };
        let unanswered: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, history)| history.reported.is_some() && is_unanswered(history))
            .map(|(id, _)| *id)
            .collect();
        for id in unanswered {
            self.record_violation(
                now,
                format!("forgotten: no question about {id} was answered for long"),
            );
        }
        let within = self.cancel_within;
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, history)| {
                history
                    .cancelled_at
                    .is_some_and(|confirmed| now > confirmed + within)
                    && !history.placements.is_empty()
            })
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.record_violation(
                now,
                format!(
                    "ran_cancelled: {id} is still on {:?}",
                    self.jobs[&id].placements
                ),
            );
        }
    }

    /// A user is answered. `status` None: 404.
    pub fn status_reported(&mut self, now: Duration, id: JobId, status: Option<&str>) {
        let Some(history) = self.jobs.get_mut(&id) else {
            if status.is_some() {
                self.record_violation(now, format!("invented: {id} is {status:?}"));
            }
            return;
        };
        let before = history.reported;
        let all_done = history.done.len() == history.job.tasks as usize;
        let new = match status {
            None => {
                if before.is_some() {
                    self.record_violation(now, format!("forgotten: {id} was {before:?}"));
                }
                return;
            }
            Some("done") => ReportedStatus::Done,
            Some("cancelled") => ReportedStatus::Cancelled,
            Some(_) => ReportedStatus::Accepted,
        };
        history.reported = Some(new);
        history.unanswered_since = None;
        history.accepted_at.get_or_insert(now);
        let cancel_asked = history.cancel_asked;
        if new == ReportedStatus::Cancelled && history.cancelled_at.is_none() {
            history.cancelled_at = Some(now);
        }
        if new == ReportedStatus::Done && !all_done {
            self.record_violation(now, format!("not_done: {id} is called done"));
        }
        if matches!(
            before,
            Some(ReportedStatus::Done | ReportedStatus::Cancelled)
        ) && before != Some(new)
        {
            self.record_violation(now, format!("went_back: {id} was {before:?}, is {new:?}"));
        }
        if new == ReportedStatus::Cancelled && !cancel_asked {
            self.record_violation(
                now,
                format!("went_back: {id} is called cancelled, its user never asked"),
            );
        }
    }

    pub fn refused(&mut self, now: Duration, id: JobId, status: u16) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|history| history.reported.is_some())
        {
            self.record_violation(
                now,
                format!("forgotten: {id} is answered {status} after it was accepted"),
            );
        }
    }

    /// What was sent should have been refused with this status: by a controller that can decide, and at once.
    pub fn irregular_request_answered(&mut self, now: Duration, expected: u16, status: u16) {
        if ![expected, 429, 503].contains(&status) {
            self.record_violation(
                now,
                format!("odd: a request is answered {status} instead of {expected}"),
            );
        }
    }

    /// Accepted jobs with tasks to do.
    pub fn waiting(&self) -> Vec<JobId> {
        let is_waiting = |history: &JobHistory| {
            history.reported == Some(ReportedStatus::Accepted) && !history.cancel_asked
        };
        self.jobs
            .iter()
            .filter(|(_, history)| is_waiting(history))
            .map(|(id, _)| *id)
            .collect()
    }

    pub fn done(&self, id: JobId) -> u32 {
        self.jobs
            .get(&id)
            .map_or(0, |history| history.done.len() as u32)
    }

    pub fn all_done(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|history| history.done.len() == history.job.tasks as usize)
    }

    pub fn team_has_capacity(&self, id: JobId) -> bool {
        let Some(job) = self.jobs.get(&id).map(|history| &history.job) else {
            return false;
        };
        let of_team = self
            .jobs
            .values()
            .filter(|history| history.job.team == job.team);
        let used: f64 = of_team
            .map(|history| history.job.need.cpus * history.placements.len() as f64)
            .sum();
        used + job.need.cpus <= self.limits[&job.team]
    }

    /// The jobs that wait beside room now.
    pub fn record_waiting_despite_capacity(&mut self, now: Duration, jobs: BTreeSet<JobId>) {
        let faults_over_at = self.faults_over_at;
        let mut late = Vec::new();
        for (id, history) in &mut self.jobs {
            history.waiting_despite_capacity_since = if jobs.contains(id) {
                history.waiting_despite_capacity_since.or(Some(now))
            } else {
                None
            };
            if history
                .waiting_despite_capacity_since
                .is_some_and(|at| now > at.max(faults_over_at) + MAX_WAIT_DESPITE_CAPACITY)
            {
                late.push(*id);
            }
        }
        for id in late {
            self.record_violation(
                now,
                format!("idle: {id} has waited for long beside a machine with room"),
            );
        }
    }

    pub fn reported_status(&self, id: JobId) -> Option<ReportedStatus> {
        self.jobs.get(&id).and_then(|history| history.reported)
    }

    pub fn unfinished(&self) -> Vec<JobId> {
        let is_open =
            |history: &&JobHistory| matches!(history.reported, Some(ReportedStatus::Accepted));
        self.jobs
            .iter()
            .filter(|(_, history)| is_open(history))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether its user was told that it is cancelled.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|history| history.cancelled_at.is_some())
    }

    /// Where a job's tasks are.
    pub fn machines_of(&self, id: JobId) -> BTreeSet<String> {
        let placements = self
            .jobs
            .get(&id)
            .into_iter()
            .flat_map(|history| history.placements.values().flatten());
        placements.map(|place| place.machine.clone()).collect()
    }

    /// How often tasks of a job have started.
    pub fn starts_of(&self, id: JobId) -> usize {
        self.jobs.get(&id).map_or(0, |history| history.start_count)
    }

    /// How often tasks of a class have started.
    pub fn starts_of_class(&self, class: &str) -> usize {
        let of_class = self
            .jobs
            .values()
            .filter(|history| *history.job.class == *class);
        of_class.map(|history| history.start_count).sum()
    }

    /// From acceptance to the first start, of each job of a class that began.
    pub fn waits_of(&self, class: &str) -> Vec<Duration> {
        let of_class = self
            .jobs
            .values()
            .filter(|history| *history.job.class == *class);
        of_class
            .filter_map(|history| {
                Some(
                    history
                        .first_started_at?
                        .saturating_sub(history.accepted_at?),
                )
            })
            .collect()
    }

    pub fn running(&self) -> usize {
        self.jobs
            .values()
            .map(|history| history.placements.values().flatten().count())
            .sum()
    }
}
