//! What is checked of the simulated cluster beyond the rules: nothing left undone, no job waiting beside room.

use super::*;

impl SimulatedCluster {
    /// Every rule kept, and nothing that was accepted left undone once faults have ceased.
    pub fn check_end(&self, seed: u64) {
        assert!(
            self.rules.violations.is_empty(),
            "seed {seed}: {:?}",
            self.rules.violations
        );
        assert!(
            self.rules.started > 50,
            "seed {seed}: only {} tasks started",
            self.rules.started
        );
        let unfinished = self.rules.unfinished();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: accepted and neither done nor cancelled: {unfinished:?}"
        );
        assert_eq!(
            self.rules.running(),
            0,
            "seed {seed}: tasks of jobs that are over"
        );
        assert_eq!(
            self.listed(),
            0,
            "seed {seed}: workers list tasks of jobs that are over"
        );
        assert!(
            self.jobs_told() > 20,
            "seed {seed}: {} jobs accepted",
            self.jobs_told()
        );
        assert_eq!(self.rules.unserved(), [] as [&str; 0], "seed {seed}");
    }

    /// Machines that operators keep tasks off, by what a controller knows of their requests.
    pub(super) fn cordoned(&self) -> BTreeSet<String> {
        let machines = self
            .any_cache()
            .into_iter()
            .flat_map(|cache| &cache.machines);
        let cordoned = machines.filter(|(_, machine)| machine.state == MachineState::Cordoned);
        cordoned.map(|(id, _)| id.0.to_string()).collect()
    }

    /// Jobs that wait while a machine that fits has room and their team is under its limit.
    pub(super) fn look_for_idle_room(&mut self) {
        let out_of_service = self.cordoned();
        let mut free: Vec<(&Machine, Resources)> = Vec::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.is_ready(self.now) && !out_of_service.contains(&machine.id))
        {
            free.push((machine, machine.free(&self.jobs)));
        }
        let mut beside = BTreeSet::new();
        for id in self.rules.waiting() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let mut listed: BTreeMap<&Zone, u32> = BTreeMap::new();
            for machine in self.machines.values() {
                let of_job = TaskId { job: id, index: 0 }..=TaskId {
                    job: id,
                    index: u32::MAX,
                };
                let there = machine
                    .tasks
                    .range(of_job)
                    .filter(|(_, t)| t.state != TaskState::Exited);
                *listed.entry(&machine.zone).or_default() += there.count() as u32;
            }
            let all: u32 = listed.values().sum();
            if all + self.rules.done(id) >= job.tasks {
                continue;
            }
            if job.kind == JobKind::Gang {
                let alone =
                    all == 0 && self.gang_fits(job, &free) && self.rules.team_has_capacity(id);
                beside.extend(alone.then_some(id));
                continue;
            }
            let fits = |machine: &Machine, room: &Resources| {
                let here = listed.get(&machine.zone).copied().unwrap_or(0);
                job.allows_type(&machine.type_name)
                    && job.allows_zone(&machine.zone)
                    && job.allows_capacity_type(machine.capacity_type)
                    && here < job.zone_limit()
                    && (!job.one_zone || here == all)
                    && room.fits(&job.need)
            };
            if self.rules.team_has_capacity(id)
                && free.iter().any(|(machine, room)| fits(machine, room))
            {
                beside.insert(id);
            }
        }
        self.rules.record_waiting_despite_capacity(self.now, beside);
    }

    /// Whether there is room for all tasks of a gang at once.
    pub(super) fn gang_fits(&self, job: &Job, free: &[(&Machine, Resources)]) -> bool {
        let mut zones: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for (machine, room) in free {
            let allowed = job.allows_type(&machine.type_name)
                && job.allows_zone(&machine.zone)
                && job.allows_capacity_type(machine.capacity_type);
            if allowed {
                let zone = job.one_zone.then_some(&machine.zone);
                *zones.entry(zone).or_default() += room.count_of(&job.need);
            }
        }
        zones.values().any(|count| *count >= job.tasks)
    }

    pub fn jobs_told(&self) -> usize {
        self.users
            .iter()
            .filter(|user| self.rules.reported_status(user.job).is_some())
            .count()
    }

    /// Tasks that workers still list as there.
    pub fn listed(&self) -> usize {
        let there = |m: &Machine| {
            m.tasks
                .values()
                .filter(|t| t.state != TaskState::Exited)
                .count()
        };
        self.machines.values().map(there).sum()
    }
}
