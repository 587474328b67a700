//! Checks the rules of PROTOCOL from outside the controllers: by the tasks that run on machines and by the responses
//! that users receive.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{
    CapacityType, InstanceTypeName, Job, JobId, JobKind, Resources, TaskId, Team, Zone,
};

/// The last status of a job that a user received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedStatus {
    /// Any status but `done` and `cancelled`.
    Accepted,
    Done,
    Cancelled,
}

/// Where a task runs.
#[derive(Debug)]
pub struct Place {
    pub machine: String,
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub capacity_type: CapacityType,
}

/// A submitted job and everything observed of it.
#[derive(Debug)]
struct JobHistory {
    job: Job,
    reported: Option<ReportedStatus>,
    /// Its user has sent a request to cancel it.
    cancel_asked: bool,
    /// When its cancellation was confirmed to its user.
    cancelled_at: Option<Duration>,
    /// The indexes of the tasks that are done.
    done: BTreeSet<u32>,
    /// Where each task runs, by its index.
    placements: BTreeMap<u32, Vec<Place>>,
    /// When its user first received a status.
    accepted_at: Option<Duration>,
    /// When its first task first started.
    first_started_at: Option<Duration>,
    /// Number of starts of all its tasks, restarts included.
    start_count: usize,
    /// When each task last started.
    last_started: BTreeMap<u32, Duration>,
    /// Tasks that have started, are not done and run on no machine, with the time since when.
    down_since: BTreeMap<u32, Duration>,
    /// When its user sent the first request that has not been answered.
    unanswered_since: Option<Duration>,
    /// Since when it has waited although a suitable machine has capacity.
    waiting_despite_capacity_since: Option<Duration>,
}

/// After the faults, a job counts as forgotten if no request about it is answered for this long.
const MAX_UNANSWERED: Duration = Duration::from_secs(75);
/// After the faults, no job may wait this long while a suitable machine has capacity and its team is below its limit.
const MAX_WAIT_DESPITE_CAPACITY: Duration = Duration::from_secs(90);
/// The largest jobs have to start within this time after they were accepted.
const MAX_START_DELAY: Duration = Duration::from_secs(240);

fn total_cpus(job: &Job) -> f64 {
    job.need.cpus * f64::from(job.tasks)
}

/// Records what happens in a cluster and the rules that it violates.
#[derive(Debug)]
pub struct Rules {
    jobs: BTreeMap<JobId, JobHistory>,
    /// The CPU limit of each team.
    limits: BTreeMap<Team, f64>,
    /// How long tasks may run after their job's cancellation was confirmed.
    cancel_within: Duration,
    /// From this time on no fault lasts, and every request has to be answered within `MAX_UNANSWERED`.
    faults_over_at: Duration,
    /// Number of task starts.
    pub started: usize,
    /// Starts after a confirmed cancellation: the task, and the time since the confirmation.
    pub starts_after_cancellation: Vec<(TaskId, Duration)>,
    /// Each with its time and the name of the rule first.
    pub violations: Vec<String>,
    /// The time of the event that is being recorded.
    pub now: Duration,
    /// How long tasks were down before they started again.
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

    /// The tasks of a team that have started, run nowhere now and have been down for at least `longer_than`. If a task
    /// of a gang is down, all tasks of the gang count.
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

    /// Number of running tasks of a team and class.
    pub fn on_machines(&self, team: &Team, class: &str) -> usize {
        let matches =
            |history: &&JobHistory| history.job.team == *team && *history.job.class == *class;
        self.jobs
            .values()
            .filter(matches)
            .map(|history| history.placements.len())
            .sum()
    }

    /// Whether a task has started after this time, is done, or belongs to a job that its user cancelled.
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

    /// Records that a user has sent a job.
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

    /// Records that a user has sent a request to cancel a job.
    pub fn cancel_asked(&mut self, id: JobId) {
        if let Some(history) = self.jobs.get_mut(&id) {
            history.cancel_asked = true;
        }
    }

    /// Records that a task has fetched its image and started on a machine.
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
                format!("invented: task {task} started but its job was never submitted"),
            );
        };
        let mut violations = Vec::new();
        if history.placements.contains_key(&task.index) {
            violations.push(format!(
                "ran_twice: task {task} started on {} while it runs on {:?}",
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
            violations.push(format!(
                "wrong_place: task {task} is not allowed on {place:?}"
            ));
        }
        if history
            .cancelled_at
            .is_some_and(|confirmed| now > confirmed + self.cancel_within)
        {
            violations.push(format!(
                "ran_cancelled: task {task} of a cancelled job started on {}",
                place.machine
            ));
        }
        for violation in violations {
            self.record_violation(now, violation);
        }
        let team = self.jobs[&task.job].job.team.clone();
        self.jobs
            .get_mut(&task.job)
            .expect("the job was looked up above")
            .placements
            .entry(task.index)
            .or_default()
            .push(place);
        self.check_limit(now, &team);
    }

    /// Checks that the tasks of a team that run are within its limit.
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
            self.record_violation(now, format!("quota: team {team} uses {} CPUs", used.cpus));
        }
    }

    /// Records that a task has left a machine. `done`: it has completed.
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

    /// Records that a user has sent a request about a job.
    pub fn asked(&mut self, now: Duration, id: JobId) {
        if let Some(history) = self.jobs.get_mut(&id) {
            history.unanswered_since.get_or_insert(now);
        }
    }

    /// Classes and teams of which less than half of the jobs were served, and classes of which less than half of the
    /// largest jobs started in time. A job counts as served when it is done, and a service or a cancelled job also when
    /// it has started. Jobs that were cancelled within `MAX_START_DELAY` before they started are left out.
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

    /// Checks the rules that depend on the time. Called after each event.
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
                format!("forgotten: no request about job {id} was answered within the limit"),
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
                    "ran_cancelled: cancelled job {id} still runs on {:?}",
                    self.jobs[&id].placements
                ),
            );
        }
    }

    /// Records the status in a response to a user. `None`: the response was 404.
    pub fn status_reported(&mut self, now: Duration, id: JobId, status: Option<&str>) {
        let Some(history) = self.jobs.get_mut(&id) else {
            if status.is_some() {
                self.record_violation(
                    now,
                    format!("invented: job {id} is reported as {status:?} but was never submitted"),
                );
            }
            return;
        };
        let before = history.reported;
        let all_done = history.done.len() == history.job.tasks as usize;
        let new = match status {
            None => {
                if before.is_some() {
                    self.record_violation(
                        now,
                        format!("forgotten: job {id} is reported as unknown after {before:?}"),
                    );
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
            self.record_violation(
                now,
                format!("not_done: job {id} is reported as done before all its tasks are"),
            );
        }
        if matches!(
            before,
            Some(ReportedStatus::Done | ReportedStatus::Cancelled)
        ) && before != Some(new)
        {
            self.record_violation(
                now,
                format!("went_back: job {id} is reported as {new:?} after {before:?}"),
            );
        }
        if new == ReportedStatus::Cancelled && !cancel_asked {
            self.record_violation(
                now,
                format!(
                    "went_back: job {id} is reported as cancelled, which its user never requested"
                ),
            );
        }
    }

    /// Records that a user's request about a job was answered with an error status.
    pub fn refused(&mut self, now: Duration, id: JobId, status: u16) {
        if self
            .jobs
            .get(&id)
            .is_some_and(|history| history.reported.is_some())
        {
            self.record_violation(
                now,
                format!(
                    "forgotten: a request about job {id} is answered {status} after it was accepted"
                ),
            );
        }
    }

    /// Records the status of the response to an invalid job. It has to be `expected`, or 429 or 503 from a controller
    /// that can't decide yet.
    pub fn irregular_request_answered(&mut self, now: Duration, expected: u16, status: u16) {
        if ![expected, 429, 503].contains(&status) {
            self.record_violation(
                now,
                format!("odd: an invalid job is answered {status} instead of {expected}"),
            );
        }
    }

    /// Jobs that are accepted, not done and not cancelled by their users.
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

    /// Number of tasks of a job that are done.
    pub fn done(&self, id: JobId) -> u32 {
        self.jobs
            .get(&id)
            .map_or(0, |history| history.done.len() as u32)
    }

    /// Whether all tasks of a job are done.
    pub fn all_done(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|history| history.done.len() == history.job.tasks as usize)
    }

    /// Whether one more task of this job keeps its team within the limit.
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

    /// Records the jobs that wait now although a suitable machine has capacity.
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
                format!(
                    "idle: job {id} has waited too long although a suitable machine has capacity"
                ),
            );
        }
    }

    /// The last status of a job that its user received.
    pub fn reported_status(&self, id: JobId) -> Option<ReportedStatus> {
        self.jobs.get(&id).and_then(|history| history.reported)
    }

    /// Jobs that were accepted and not reported as done or cancelled.
    pub fn unfinished(&self) -> Vec<JobId> {
        let is_open =
            |history: &&JobHistory| matches!(history.reported, Some(ReportedStatus::Accepted));
        self.jobs
            .iter()
            .filter(|(_, history)| is_open(history))
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether the cancellation of a job was confirmed to its user.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.jobs
            .get(&id)
            .is_some_and(|history| history.cancelled_at.is_some())
    }

    /// The machines on which tasks of a job run.
    pub fn machines_of(&self, id: JobId) -> BTreeSet<String> {
        let placements = self
            .jobs
            .get(&id)
            .into_iter()
            .flat_map(|history| history.placements.values().flatten());
        placements.map(|place| place.machine.clone()).collect()
    }

    /// Number of starts of a job's tasks.
    pub fn starts_of(&self, id: JobId) -> usize {
        self.jobs.get(&id).map_or(0, |history| history.start_count)
    }

    /// Number of starts of the tasks of a class.
    pub fn starts_of_class(&self, class: &str) -> usize {
        let of_class = self
            .jobs
            .values()
            .filter(|history| *history.job.class == *class);
        of_class.map(|history| history.start_count).sum()
    }

    /// The time from acceptance to the first start, for each job of a class that has started.
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

    /// Number of running tasks of all jobs.
    pub fn running(&self) -> usize {
        self.jobs
            .values()
            .map(|history| history.placements.values().flatten().count())
            .sum()
    }
}
