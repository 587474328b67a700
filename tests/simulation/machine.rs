//! A simulated machine and its worker, which follow the published protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{
    AgentEpoch, Amount, CapacityType, FencingToken, InstanceTypeName, Job, JobId, JobKind,
    Resources, TaskId, Zone,
};
use dappleshore::workers::wire::{
    ExitCause, Heartbeat, TaskState, TaskStatus, WorkerCommand, WorkerCommands,
};

/// An attempt of a task in a worker's list.
#[derive(Debug)]
pub struct Task {
    /// The number of the attempt.
    pub number: u64,
    pub state: TaskState,
    pub cause: Option<ExitCause>,
    /// The time left until the next change of state.
    pub left: Duration,
}

/// A machine, its worker and the faults that affect it.
#[derive(Debug)]
pub struct Machine {
    pub id: String,
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub capacity_type: CapacityType,
    pub size: Resources,
    /// When it was rented.
    pub rented: Duration,
    /// When it has booted. `None`: never.
    pub up_at: Option<Duration>,
    pub up: bool,
    /// It has failed for good.
    pub dead: bool,
    pub hung_until: Option<Duration>,
    /// Until then its heartbeats arrive, but responses and commands don't reach it.
    pub responses_blocked_until: Duration,
    /// Until then its heartbeats reach no controller, while commands reach it.
    pub heartbeats_blocked_until: Duration,
    /// When the cloud takes it back, once it has given notice.
    pub terminates_at: Option<Duration>,
    /// Tasks that complete on it fail instead.
    pub faulty: bool,
    pub agent_epoch: AgentEpoch,
    pub sequence_number: u64,
    /// The highest fencing token that it has received.
    pub token: FencingToken,
    /// When the last answered heartbeat was sent, or when the agent epoch began.
    pub lease_renewed_at: Duration,
    pub tasks: BTreeMap<TaskId, Task>,
    /// Images in its cache.
    pub images: BTreeSet<String>,
    /// The controller that it sends heartbeats to.
    pub controller: usize,
    /// The heartbeat in flight: its sequence number and when it was sent.
    pub heartbeat: Option<(u64, Duration)>,
    pub next_heartbeat: Duration,
    pub last_heartbeat: Duration,
    /// Its state has changed since the last heartbeat.
    pub changed: bool,
    /// Commands that arrived while it hung.
    pub backlog: Vec<WorkerCommands>,
}

/// An event on a machine that the rules record.
#[derive(Debug, PartialEq)]
pub enum MachineEvent {
    Started(TaskId),
    /// Whether the task has completed.
    Ended(TaskId, bool),
}

/// A task of a gang waits this long for the others, then it fails.
pub const GANG_START_TIMEOUT: Duration = Duration::from_secs(30);

/// The class of jobs whose tasks fail on every machine.
pub const FAILING_CLASS: &str = "broken";

/// The class of services that run until they are cancelled. Services of other classes end by themselves in the
/// simulation, so that its runs come to an end.
pub const LONG_RUNNING_CLASS: &str = "lookup";

/// How long a worker takes to fetch an image.
const IMAGE_FETCH_TIME: Duration = Duration::from_secs(2);

impl Machine {
    /// Whether its worker runs: it is up, has not failed and does not hang.
    pub fn runs(&self, now: Duration) -> bool {
        self.up && !self.dead && self.hung_until.is_none_or(|until| now >= until)
    }

    /// The address of its worker.
    pub fn addr(&self) -> String {
        format!(
            "10.1.0.1:{}",
            9000 + self.id.trim_start_matches("m-").parse::<u32>().unwrap_or(0)
        )
    }

    /// The next heartbeat of its worker. Each has a new sequence number.
    pub fn build_heartbeat(&mut self) -> Heartbeat {
        self.sequence_number += 1;
        Heartbeat {
            machine: self.id.as_str().into(),
            addr: self.addr(),
            type_name: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.capacity_type.is_spot(),
            agent_epoch: self.agent_epoch,
            sequence_number: self.sequence_number,
            token: self.token,
            termination_notice_s: self.terminates_at.map(|_| Amount(5.0)),
            tasks: self
                .tasks
                .iter()
                .map(|(task, entry)| TaskStatus {
                    task: *task,
                    wire_number: entry.number,
                    state: entry.state,
                    cause: entry.cause,
                })
                .collect(),
        }
    }

    /// Whether it has been up for at least 10 s, is not faulty and is not being taken back.
    pub fn is_ready(&self, now: Duration) -> bool {
        let up = self
            .up_at
            .is_some_and(|at| now > at + Duration::from_secs(10));
        up && self.runs(now) && self.terminates_at.is_none() && !self.faulty
    }

    /// The resources that its tasks leave free.
    pub fn free(&self, jobs: &BTreeMap<JobId, Job>) -> Resources {
        let mut free = self.size;
        for (task, entry) in &self.tasks {
            if entry.state != TaskState::Exited
                && let Some(job) = jobs.get(&task.job)
            {
                free.subtract(&job.need);
            }
        }
        free
    }

    /// Executes commands in their order.
    pub fn execute(
        &mut self,
        commands: &[WorkerCommand],
        jobs: &BTreeMap<JobId, Job>,
        results: &BTreeSet<TaskId>,
        run_for: impl Fn(TaskId) -> Duration,
    ) -> Vec<MachineEvent> {
        let mut events = Vec::new();
        for command in commands {
            match command {
                WorkerCommand::Launch { task, wire_number } => {
                    events.extend(self.launch(*task, *wire_number, jobs, results, &run_for));
                }
                WorkerCommand::Stop {
                    task, wire_number, ..
                } => {
                    events.extend(self.stop(*task, *wire_number));
                }
                WorkerCommand::Reap { task, wire_number } => self.reap(*task, *wire_number),
            }
        }
        events
    }

    /// Starts an attempt, unless the worker already lists it or has another attempt of the task that has not exited.
    fn launch(
        &mut self,
        task: TaskId,
        number: u64,
        jobs: &BTreeMap<JobId, Job>,
        results: &BTreeSet<TaskId>,
        run_for: &impl Fn(TaskId) -> Duration,
    ) -> Vec<MachineEvent> {
        let free = self.free(jobs);
        let existing = self.tasks.get(&task);
        if existing.is_some_and(|entry| entry.number == number) {
            return Vec::new();
        }
        self.changed = true;
        if existing.is_some_and(|entry| entry.state != TaskState::Exited) {
            // In the protocol, a heartbeat has an entry for each task and attempt. The rejection is not listed here,
            // since the other attempt goes on.
            return Vec::new();
        }
        let rejected = |cause| Task {
            number,
            state: TaskState::Exited,
            cause: Some(cause),
            left: Duration::ZERO,
        };
        let Some(job) = jobs.get(&task.job) else {
            self.tasks.insert(task, rejected(ExitCause::UnknownTask));
            return Vec::new();
        };
        if !free.fits(&job.need) {
            self.tasks.insert(task, rejected(ExitCause::NoRoom));
            return Vec::new();
        }
        let cached = self.images.contains(&*job.image.0);
        let entry = Task {
            number,
            state: TaskState::Fetching,
            cause: None,
            left: if cached {
                Duration::ZERO
            } else {
                IMAGE_FETCH_TIME
            },
        };
        self.tasks.insert(task, entry);
        if cached {
            return self.start_with_image(task, jobs, results, run_for);
        }
        Vec::new()
    }

    /// Stops an attempt that has not exited.
    fn stop(&mut self, task: TaskId, number: u64) -> Option<MachineEvent> {
        let entry = self.tasks.get_mut(&task)?;
        if entry.number != number || entry.state == TaskState::Exited {
            return None;
        }
        let was_started = matches!(entry.state, TaskState::Running | TaskState::Waiting);
        entry.state = TaskState::Exited;
        entry.cause = Some(ExitCause::Stopped);
        self.changed = true;
        was_started.then_some(MachineEvent::Ended(task, false))
    }

    /// Removes an attempt that has exited.
    fn reap(&mut self, task: TaskId, number: u64) {
        let has_exited = |entry: &Task| entry.number == number && entry.state == TaskState::Exited;
        if self.tasks.get(&task).is_some_and(has_exited) {
            self.tasks.remove(&task);
        }
    }

    /// Starts a task whose image is in the cache. A task that has a result exits as done.
    fn start_with_image(
        &mut self,
        task: TaskId,
        jobs: &BTreeMap<JobId, Job>,
        results: &BTreeSet<TaskId>,
        run_for: &impl Fn(TaskId) -> Duration,
    ) -> Vec<MachineEvent> {
        self.changed = true;
        let Some(entry) = self.tasks.get_mut(&task) else {
            return Vec::new();
        };
        if results.contains(&task) {
            entry.state = TaskState::Exited;
            entry.cause = Some(ExitCause::Done);
            return vec![];
        }
        if is_gang(jobs, task) {
            entry.state = TaskState::Waiting;
            entry.left = GANG_START_TIMEOUT;
        } else {
            entry.state = TaskState::Running;
            entry.left = run_for(task);
        }
        vec![MachineEvent::Started(task)]
    }

    /// Advances the tasks by the elapsed time: images are fetched, tasks complete or fail.
    pub fn progress(
        &mut self,
        elapsed: Duration,
        jobs: &BTreeMap<JobId, Job>,
        results: &BTreeSet<TaskId>,
        run_for: impl Fn(TaskId) -> Duration,
    ) -> Vec<MachineEvent> {
        let mut events = Vec::new();
        let due: Vec<TaskId> = self
            .tasks
            .iter_mut()
            // Tasks of gangs are advanced together, in `gangs`.
            .filter(|(task, entry)| {
                entry.state == TaskState::Fetching
                    || (entry.state == TaskState::Running
                        && !is_gang(jobs, **task)
                        && !is_long_running(jobs, **task))
            })
            .filter_map(|(task, entry)| {
                entry.left = entry.left.saturating_sub(elapsed);
                entry.left.is_zero().then_some(*task)
            })
            .collect();
        for task in due {
            let Some(entry) = self.tasks.get_mut(&task) else {
                continue;
            };
            if entry.state == TaskState::Fetching {
                if let Some(job) = jobs.get(&task.job) {
                    self.images.insert(job.image.0.to_string());
                }
                events.extend(self.start_with_image(task, jobs, results, &run_for));
            } else {
                entry.state = TaskState::Exited;
                let always_fails = jobs
                    .get(&task.job)
                    .is_some_and(|job| *job.class == *FAILING_CLASS);
                let failed = self.faulty || always_fails;
                entry.cause = Some(if failed {
                    ExitCause::Error
                } else {
                    ExitCause::Done
                });
                self.changed = true;
                events.push(MachineEvent::Ended(task, !failed));
            }
        }
        events
    }

    /// Restarts the worker and ends its tasks if its lease has expired.
    pub fn check_lease(&mut self, now: Duration, lease: Duration) -> Vec<MachineEvent> {
        if now <= self.lease_renewed_at + lease {
            return Vec::new();
        }
        self.restart(now)
    }

    /// Restarts the worker: its tasks are lost and the next agent epoch begins.
    pub fn restart(&mut self, now: Duration) -> Vec<MachineEvent> {
        self.agent_epoch.0 += 1;
        self.lease_renewed_at = now;
        self.heartbeat = None;
        self.changed = true;
        self.lose_all_tasks()
    }

    /// Removes all tasks. Returns the end of each that ran.
    pub fn lose_all_tasks(&mut self) -> Vec<MachineEvent> {
        let tasks = std::mem::take(&mut self.tasks);
        tasks
            .into_iter()
            .filter(|(_, entry)| matches!(entry.state, TaskState::Running | TaskState::Waiting))
            .map(|(task, _)| MachineEvent::Ended(task, false))
            .collect()
    }
}

fn is_long_running(jobs: &BTreeMap<JobId, Job>, task: TaskId) -> bool {
    jobs.get(&task.job)
        .is_some_and(|job| *job.class == *LONG_RUNNING_CLASS)
}

fn is_gang(jobs: &BTreeMap<JobId, Job>, task: TaskId) -> bool {
    jobs.get(&task.job)
        .is_some_and(|job| job.kind == JobKind::Gang)
}
