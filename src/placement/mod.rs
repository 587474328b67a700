//! Chooses the machine that a task is placed on.
//!
//! Owns the ranking of machines for a task. The scheduler calls it with the machines of all blocks, the holder of a
//! block with its own; both get the same order for the same input. The functions are pure: they only read candidates
//! and a job.
//!
//! Invariants: only machines that satisfy the job's constraints and have enough free resources are ranked. The machine
//! with the shortest image fetch is preferred, then one of the capacity type intended for the job, then the one with
//! the fewest resources left over (best fit). Machines of equal rank keep the order in which they were given.

use std::cmp::Ordering;

use crate::cloud::wire::InstanceType;
use crate::domain::{CapacityType, Image, InstanceTypeName, Job, MachineId, Resources, Zone};
use crate::store::Machine;

/// A machine that accepts tasks, with the free resources that its caller knows.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The machine.
    pub machine: MachineId,
    /// The name of its instance type.
    pub type_name: InstanceTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot or an on-demand machine.
    pub capacity_type: CapacityType,
    /// The resources of its instance type.
    pub size: Resources,
    /// The part of `size` that no task uses. The caller reduces it when it places tasks.
    pub free: Resources,
    /// The images that it has fetched.
    pub images: Vec<Image>,
    /// How long it takes to fetch one gigabyte of an image, in seconds.
    pub fetch_s_per_gb: f64,
}

impl Candidate {
    /// Creates the candidate for a machine on which `used` is in use.
    pub fn new(
        id: &MachineId,
        machine: &Machine,
        instance_type: &InstanceType,
        used: &Resources,
        images: Vec<Image>,
    ) -> Self {
        let size = instance_type.resources();
        let mut free = size;
        free.subtract(used);
        Candidate {
            machine: id.clone(),
            type_name: machine.type_name.clone(),
            zone: machine.zone.clone(),
            capacity_type: machine.capacity_type,
            size,
            free,
            images,
            fetch_s_per_gb: instance_type.fetch_s_per_gb(),
        }
    }

    /// Whether the job's constraints (instance types, zone, capacity type) allow its tasks on this machine, regardless
    /// of its free resources.
    pub fn allows(&self, job: &Job) -> bool {
        job.allows_type(&self.type_name)
            && job.allows_zone(&self.zone)
            && job.allows_capacity_type(self.capacity_type)
    }
}

/// Returns the best machine with enough free resources for one task of the job, or `None` if there is none.
///
/// `allows_task_in_zone`: whether one more task of the job may run in a zone.
pub fn best_candidate<'c>(
    candidates: impl Iterator<Item = &'c Candidate>,
    job: &Job,
    allows_task_in_zone: impl Fn(&Zone) -> bool,
) -> Option<&'c Candidate> {
    candidates
        .filter(|candidate| {
            candidate.free.fits(&job.need)
                && candidate.allows(job)
                && allows_task_in_zone(&candidate.zone)
        })
        .min_by(|a, b| {
            rank(a, job)
                .partial_cmp(&rank(b, job))
                .unwrap_or(Ordering::Equal)
        })
}

/// The order of machines for tasks with the same constraints, resources and image, computed once for many tasks.
///
/// While it is used, the free resources of its candidates may only shrink: a machine that has become too full is not
/// considered again.
#[derive(Debug)]
pub struct Ranking {
    /// Indexes of the candidates, best first.
    order: Vec<usize>,
    /// The position in `order` of the first machine that may still have enough free resources.
    next: usize,
}

impl Ranking {
    /// Ranks the candidates that have enough free resources for one task of the job.
    ///
    /// `allowed`: the machines that the task may be placed on. `avoided`: those that it is placed on only if no other
    /// machine has enough free resources.
    pub fn new(
        candidates: &[Candidate],
        job: &Job,
        allowed: impl Fn(&Candidate) -> bool,
        avoided: impl Fn(&Candidate) -> bool,
    ) -> Self {
        let mut ranked: Vec<(bool, Rank, usize)> = candidates
            .iter()
            .enumerate()
            .filter(|(_, candidate)| {
                candidate.free.fits(&job.need) && candidate.allows(job) && allowed(candidate)
            })
            .map(|(index, candidate)| (avoided(candidate), rank(candidate, job), index))
            .collect();
        ranked.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        Ranking {
            order: ranked.into_iter().map(|(_, _, index)| index).collect(),
            next: 0,
        }
    }

    /// Returns the best machine that still has enough free resources for one task, or `None` if there is none left.
    ///
    /// `candidates` must be the slice that the ranking was created from, in the same order.
    pub fn best<'c>(&mut self, candidates: &'c [Candidate], job: &Job) -> Option<&'c Candidate> {
        while let Some(index) = self.order.get(self.next) {
            match candidates.get(*index) {
                Some(candidate) if candidate.free.fits(&job.need) => return Some(candidate),
                _ => self.next += 1,
            }
        }
        None
    }
}

/// Returns the indexes of the machines with enough free resources for at least one task of the job, best first.
pub fn ranked_indexes(candidates: &[Candidate], job: &Job) -> Vec<usize> {
    Ranking::new(candidates, job, |_| true, |_| false).order
}

/// How long the candidate takes to fetch the job's image, in seconds; 0 if it has the image.
pub fn image_fetch_s(candidate: &Candidate, job: &Job) -> f64 {
    rank(candidate, job).fetch_s
}

/// How well a machine suits a task. Lower is better; the fields are compared in this order.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    /// How long the fetch of the image takes, in seconds.
    fetch_s: f64,
    /// Whether the machine is an on-demand one and the job may run on spot machines.
    wastes_on_demand: bool,
    /// The resources of the machine that are left over, relative to its size.
    left_over: f64,
}

fn rank(candidate: &Candidate, job: &Job) -> Rank {
    let cached = candidate.images.contains(&job.image);
    let mut remaining = candidate.free;
    remaining.subtract(&job.need);
    Rank {
        fetch_s: if cached {
            0.0
        } else {
            job.image_gb * candidate.fetch_s_per_gb
        },
        // Jobs that may run on spot machines leave the on-demand ones to jobs that may not.
        wastes_on_demand: job.spot && !candidate.capacity_type.is_spot(),
        left_over: candidate.size.free_share(&remaining),
    }
}

#[cfg(test)]
pub(crate) mod tests;
