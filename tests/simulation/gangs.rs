//! Gangs as workers run them under the published protocol: the tasks wait for each other, run and end together, and
//! detect the loss of a member.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{Job, JobId, JobKind, Priority, Resources, TaskId};
use dappleshore::workers::wire::{ExitCause, TaskState};

use super::cluster::{FAULTS_END, Faults, SimulatedCluster, Size, array};
use super::machine::{Machine, MachineEvent};

/// Time after which the tasks of a running gang detect the loss of a member.
const MEMBER_LOSS_TIMEOUT: Duration = Duration::from_secs(5);

/// One start of a gang: its job and the number of the attempt.
type GangStart = (JobId, u64);

/// The running gangs and the completed ones.
#[derive(Default)]
pub struct Gangs {
    running: BTreeMap<GangStart, RunningGang>,
    pub completed: BTreeSet<JobId>,
    /// Number of starts in which all tasks ran together.
    pub started: usize,
}

struct RunningGang {
    remaining: Duration,
    /// When the loss of a member was first seen.
    member_lost_at: Option<Duration>,
}

/// A gang task on a machine.
#[derive(Clone)]
struct Member {
    machine: String,
    task: TaskId,
    state: TaskState,
    /// Whether its machine hangs.
    hung: bool,
}

impl Gangs {
    /// Advances all gangs by `elapsed`. Returns the events with their machines.
    pub fn step(
        &mut self,
        now: Duration,
        elapsed: Duration,
        machines: &mut BTreeMap<String, Machine>,
        jobs: &BTreeMap<JobId, Job>,
        run_for: impl Fn(TaskId) -> Duration,
    ) -> Vec<(String, MachineEvent)> {
        let mut events = Vec::new();
        let members = members(now, machines, jobs);
        for (start, members) in &members {
            let size = jobs[&start.0].tasks as usize;
            if self.running.contains_key(start) {
                continue;
            }
            let ready = |member: &&Member| member.state == TaskState::Waiting && !member.hung;
            if members.iter().filter(ready).count() == size {
                let first = TaskId {
                    job: start.0,
                    index: 0,
                };
                self.running.insert(
                    *start,
                    RunningGang {
                        remaining: run_for(first),
                        member_lost_at: None,
                    },
                );
                self.started += 1;
                members
                    .iter()
                    .for_each(|member| set_state(machines, member, TaskState::Running, None));
            } else {
                events.extend(expire_waiting(elapsed, members, machines));
            }
        }
        for (start, running) in &mut self.running {
            let size = jobs[&start.0].tasks as usize;
            let members = members.get(start).cloned().unwrap_or_default();
            let complete = members.len() == size && members.iter().all(|member| !member.hung);
            if !complete || running.member_lost_at.is_some() {
                let lost_at = *running.member_lost_at.get_or_insert(now);
                if now >= lost_at + MEMBER_LOSS_TIMEOUT {
                    for member in members.iter().filter(|member| !member.hung) {
                        events.push(end_task(machines, member, ExitCause::GangMemberLost));
                    }
                }
                continue;
            }
            running.remaining = running.remaining.saturating_sub(elapsed);
            if running.remaining.is_zero() {
                self.completed.insert(start.0);
                for member in &members {
                    events.push(end_task(machines, member, ExitCause::Done));
                }
            }
        }
        self.running
            .retain(|start, _| members.contains_key(start) && !self.completed.contains(&start.0));
        events
    }
}

/// The gang tasks on machines that have not exited, by start.
fn members(
    now: Duration,
    machines: &BTreeMap<String, Machine>,
    jobs: &BTreeMap<JobId, Job>,
) -> BTreeMap<GangStart, Vec<Member>> {
    let mut members: BTreeMap<GangStart, Vec<Member>> = BTreeMap::new();
    for (id, machine) in machines {
        for (task_id, task) in &machine.tasks {
            let of_gang = jobs
                .get(&task_id.job)
                .is_some_and(|job| job.kind == JobKind::Gang);
            if !of_gang || task.state == TaskState::Exited {
                continue;
            }
            members
                .entry((task_id.job, task.number))
                .or_default()
                .push(Member {
                    machine: id.clone(),
                    task: *task_id,
                    state: task.state,
                    hung: !machine.runs(now),
                });
        }
    }
    members
}

/// Ends the tasks that have waited too long for the rest of their gang.
fn expire_waiting(
    elapsed: Duration,
    members: &[Member],
    machines: &mut BTreeMap<String, Machine>,
) -> Vec<(String, MachineEvent)> {
    let mut events = Vec::new();
    let waiting = members
        .iter()
        .filter(|member| member.state == TaskState::Waiting && !member.hung);
    for member in waiting {
        let machine = machines
            .get_mut(&member.machine)
            .expect("the member is on a machine");
        let task = machine
            .tasks
            .get_mut(&member.task)
            .expect("the member is on a machine");
        task.left = task.left.saturating_sub(elapsed);
        if task.left.is_zero() {
            events.push(end_task(machines, member, ExitCause::GangIncomplete));
        }
    }
    events
}

fn set_state(
    machines: &mut BTreeMap<String, Machine>,
    member: &Member,
    state: TaskState,
    cause: Option<ExitCause>,
) {
    let machine = machines
        .get_mut(&member.machine)
        .expect("the member is on a machine");
    machine.changed = true;
    let task = machine
        .tasks
        .get_mut(&member.task)
        .expect("the member is on a machine");
    task.state = state;
    task.cause = cause;
}

fn end_task(
    machines: &mut BTreeMap<String, Machine>,
    member: &Member,
    cause: ExitCause,
) -> (String, MachineEvent) {
    set_state(machines, member, TaskState::Exited, Some(cause));
    let event = MachineEvent::Ended(member.task, cause == ExitCause::Done);
    (member.machine.clone(), event)
}

/// A gang with this number of tasks, placed in one zone if `one_zone` is set.
pub fn gang(tasks: u32, cpus: f64, one_zone: bool) -> Job {
    Job {
        kind: JobKind::Gang,
        tasks,
        need: Resources {
            cpus,
            gpus: 0.0,
            memory_gb: 1.0,
        },
        one_zone,
        checkpoint_every_s: 20.0,
        checkpoint_s: 2.0,
        ..array("gang", "blue", Priority::Standard)
    }
}

/// Submits `count` gangs of different sizes, one every 9 s from `from_s` on.
pub fn submit_gangs(cluster: &mut SimulatedCluster, from_s: u64, count: u64) {
    for n in 0..count {
        cluster.plan(Duration::from_secs(from_s + n * 9), move |cluster| {
            let tasks = [2, 3, 6, 4][n as usize % 4];
            cluster.add_gang(gang(tasks, 1.0, n % 2 == 0));
        });
    }
}

fn check(seed: u64, faults: Faults) {
    let mut cluster = SimulatedCluster::new(seed, faults, FAULTS_END, Size::SMALL);
    submit_gangs(&mut cluster, 15, 14);
    cluster.run_until(Duration::from_secs(420));
    cluster.check_end(seed);
    let gangs = cluster.gangs();
    assert_eq!(
        gangs.completed.len(),
        14,
        "seed {seed}: not all gangs completed"
    );
    assert!(gangs.started >= 14, "seed {seed}");
}

#[test]
fn gangs_complete_without_faults() {
    for seed in 600..=603 {
        check(seed, Faults::default());
    }
}

#[test]
fn gangs_complete_while_controllers_crash() {
    let faults = Faults {
        crash: 10.0,
        crash_all: 50.0,
        delayed_requests: 0.02,
        lost_responses: 0.02,
        copies: 0.02,
        ..Faults::default()
    };
    for seed in 610..=617 {
        check(seed, faults);
    }
}

#[test]
fn gangs_complete_while_machines_die_and_hang() {
    let faults = Faults {
        machine_dies: 12.0,
        machine_hangs: 10.0,
        spot_taken: 12.0,
        machine_restarts: 20.0,
        responses_blocked: 30.0,
        delayed_requests: 0.01,
        crash: 40.0,
        ..Faults::default()
    };
    for seed in 620..=627 {
        check(seed, faults);
    }
}

#[test]
fn gangs_complete_under_all_faults() {
    for seed in 630..=635 {
        check(seed, Faults::all());
    }
}
