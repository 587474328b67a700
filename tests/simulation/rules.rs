//! The rules of PROTOCOL, checked from outside: by what runs on machines and by what users are told.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dappleshore::domain::{Job, JobId, Room, TaskId, Team, Tenure, TypeName, Zone};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    Accepted,
    Done,
    Cancelled,
}

#[derive(Debug)]
pub struct Place {
    pub machine: String,
    pub type_name: TypeName,
    pub zone: Zone,
    pub tenure: Tenure,
}

#[derive(Debug)]
struct Known {
    job: Job,
    told: Option<Told>,
    cancel_asked: bool,
    cancel_told: Option<Duration>,
    done: BTreeSet<u32>,
    on: BTreeMap<u32, Vec<Place>>,
}

#[derive(Debug)]
pub struct Rules {
    jobs: BTreeMap<JobId, Known>,
    limits: BTreeMap<Team, f64>,
    cancel_within: Duration,
    pub started: usize,
    pub broken: Vec<String>,
}

impl Rules {
    pub fn new(limits: BTreeMap<Team, f64>, cancel_within: Duration) -> Self {
        Rules { jobs: BTreeMap::new(), limits, cancel_within, started: 0, broken: Vec::new() }
    }

    fn break_rule(&mut self, now: Duration, text: String) {
        self.broken.push(format!("{:.3} {text}", now.as_secs_f64()));
    }

    pub fn submitted(&mut self, id: JobId, job: Job) {
        self.jobs.entry(id).or_insert(Known {
            job,
            told: None,
            cancel_asked: false,
            cancel_told: None,
            done: BTreeSet::new(),
            on: BTreeMap::new(),
        });
    }

    pub fn cancel_asked(&mut self, id: JobId) {
        if let Some(known) = self.jobs.get_mut(&id) {
            known.cancel_asked = true;
        }
    }

    /// A task has its image and is on its machine.
    pub fn starts(&mut self, now: Duration, task: TaskId, place: Place) {
        self.started += 1;
        let Some(known) = self.jobs.get(&task.job) else {
            return self.break_rule(now, format!("invented: {task} starts but was never submitted"));
        };
        let mut wrong = Vec::new();
        if known.on.contains_key(&task.index) {
            wrong.push(format!("ran_twice: {task} starts on {} and is on {:?}", place.machine, known.on[&task.index]));
        }
        let job = &known.job;
        let others = || known.on.values().flatten();
        let in_zone = others().filter(|other| other.zone == place.zone).count() as u32;
        let elsewhere = others().any(|other| other.zone != place.zone);
        if !job.allows_type(&place.type_name)
            || !job.allows_zone(&place.zone)
            || !job.allows_tenure(place.tenure)
            || in_zone + 1 > job.zone_limit()
            || (job.one_zone && elsewhere)
        {
            wrong.push(format!("wrong_place: {task} starts on {place:?}"));
        }
        if known.cancel_told.is_some_and(|told| now > told + self.cancel_within) {
            wrong.push(format!("ran_cancelled: {task} starts on {}", place.machine));
        }
        for text in wrong {
            self.break_rule(now, text);
        }
        let team = self.jobs[&task.job].job.team.clone();
        self.jobs.get_mut(&task.job).expect("known").on.entry(task.index).or_default().push(place);
        self.check_limit(now, &team);
    }

    fn check_limit(&mut self, now: Duration, team: &Team) {
        let mut used = Room::default();
        for known in self.jobs.values().filter(|known| known.job.team == *team) {
            for _ in known.on.values().flatten() {
                used.add(&known.job.need);
            }
        }
        if used.cpus > self.limits[team] + 1e-6 {
            self.break_rule(now, format!("quota: {team} uses {}", used.cpus));
        }
    }

    pub fn ends(&mut self, task: TaskId, machine: &str, done: bool) {
        let Some(known) = self.jobs.get_mut(&task.job) else { return };
        if let Some(places) = known.on.get_mut(&task.index) {
            places.retain(|place| place.machine != machine);
            if places.is_empty() {
                known.on.remove(&task.index);
            }
        }
        if done {
            known.done.insert(task.index);
        }
    }

    /// Called after each step.
    pub fn check(&mut self, now: Duration) {
        let within = self.cancel_within;
        let late: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, known)| known.cancel_told.is_some_and(|told| now > told + within) && !known.on.is_empty())
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.break_rule(now, format!("ran_cancelled: {id} is still on {:?}", self.jobs[&id].on));
        }
    }

    /// A user is answered. `status` None: 404.
    pub fn told(&mut self, now: Duration, id: JobId, status: Option<&str>) {
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
            self.break_rule(now, format!("went_back: {id} is called cancelled, its user never asked"));
        }
    }

    pub fn refused(&mut self, now: Duration, id: JobId, status: u16) {
        if self.jobs.get(&id).is_some_and(|known| known.told.is_some()) {
            self.break_rule(now, format!("forgotten: {id} is answered {status} after it was accepted"));
        }
    }

    pub fn told_state(&self, id: JobId) -> Option<Told> {
        self.jobs.get(&id).and_then(|known| known.told)
    }

    pub fn unfinished(&self) -> Vec<JobId> {
        let open = |known: &&Known| matches!(known.told, Some(Told::Accepted));
        self.jobs.iter().filter(|(_, known)| open(known)).map(|(id, _)| *id).collect()
    }

    pub fn running(&self) -> usize {
        self.jobs.values().map(|known| known.on.values().flatten().count()).sum()
    }
}
