//! Which machine a task goes to: one that holds its image, then the one with the least room left over.

use std::cmp::Ordering;

use crate::cloud::wire::InstanceType;
use crate::domain::{CapacityType, Image, InstanceTypeName, Job, MachineId, Resources, Zone};
use crate::store::Machine;

/// A machine that takes tasks, as the leader or its holder knows it.
#[derive(Debug, Clone)]
pub struct Candidate {
    pub machine: MachineId,
    pub type_name: InstanceTypeName,
    pub zone: Zone,
    pub capacity_type: CapacityType,
    pub size: Resources,
    pub free: Resources,
    pub images: Vec<Image>,
    /// How long a fetch of a gigabyte takes here.
    pub fetch_s_per_gb: f64,
}

impl Candidate {
    /// A machine of which `taken` is in use.
    pub fn new(
        id: &MachineId,
        machine: &Machine,
        instance_type: &InstanceType,
        taken: &Resources,
        images: Vec<Image>,
    ) -> Self {
        let size = instance_type.room();
        let mut free = size;
        free.take(taken);
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

    pub fn allows(&self, job: &Job) -> bool {
        job.allows_type(&self.type_name)
            && job.allows_zone(&self.zone)
            && job.allows_capacity_type(self.capacity_type)
    }
}

/// The best of the machines that have room. `zone_open` says whether one more task of the job may go to a zone.
pub fn choose<'c>(
    candidates: impl Iterator<Item = &'c Candidate>,
    job: &Job,
    zone_open: impl Fn(&Zone) -> bool,
) -> Option<&'c Candidate> {
    candidates
        .filter(|c| c.free.fits(&job.need) && c.allows(job) && zone_open(&c.zone))
        .min_by(|a, b| {
            rank(a, job)
                .partial_cmp(&rank(b, job))
                .unwrap_or(Ordering::Equal)
        })
}

/// Machines in the order in which tasks of one shape and image go to them, worked out once for many tasks. Room
/// only shrinks while it is used, so a machine that has become too full is never looked at again.
#[derive(Debug)]
pub struct Ranking {
    order: Vec<usize>,
    next: usize,
}

impl Ranking {
    /// `allowed`: where the task may go at all. `avoided`: where it goes only if there is room nowhere else.
    pub fn new(
        candidates: &[Candidate],
        job: &Job,
        allowed: impl Fn(&Candidate) -> bool,
        avoided: impl Fn(&Candidate) -> bool,
    ) -> Self {
        let mut ranked: Vec<(bool, Rank, usize)> = candidates
            .iter()
            .enumerate()
            .filter(|(_, c)| c.free.fits(&job.need) && c.allows(job) && allowed(c))
            .map(|(index, c)| (avoided(c), rank(c, job), index))
            .collect();
        ranked.sort_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        Ranking {
            order: ranked.into_iter().map(|(_, _, index)| index).collect(),
            next: 0,
        }
    }

    /// The first that still has room.
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

/// The machines with room for at least one task, in the order in which tasks of the job go to them.
pub fn ranked_indexes(candidates: &[Candidate], job: &Job) -> Vec<usize> {
    Ranking::new(candidates, job, |_| true, |_| false).order
}

/// How long the job's image takes to fetch there.
pub fn image_fetch_s(candidate: &Candidate, job: &Job) -> f64 {
    rank(candidate, job).fetch_s
}

/// Lower is better: no fetch, the kind of machine meant for such work, little left over.
#[derive(Debug, PartialEq, PartialOrd)]
struct Rank {
    fetch_s: f64,
    misplaced: bool,
    left_over: f64,
}

fn rank(candidate: &Candidate, job: &Job) -> Rank {
    let cached = candidate.images.contains(&job.image);
    let mut left = candidate.free;
    left.take(&job.need);
    Rank {
        fetch_s: if cached {
            0.0
        } else {
            job.image_gb * candidate.fetch_s_per_gb
        },
        // Work that may run on spot machines leaves the ordinary ones to work that may not.
        misplaced: job.spot && !candidate.capacity_type.is_spot(),
        left_over: candidate.size.left_over(&left),
    }
}

#[cfg(test)]
pub mod tests;
