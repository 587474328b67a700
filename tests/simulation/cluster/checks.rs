//! Checks of the simulated cluster beyond the rules: accepted jobs are finished, and no job waits although a suitable
//! machine has capacity.

use super::*;

impl SimulatedCluster {
    /// Checks at the end of a run that no rule was violated, all accepted jobs are finished and enough work was done
    /// for the run to be meaningful.
    pub fn check_end(&self, seed: u64) {
        assert!(
            self.rules.violations.is_empty(),
            "seed {seed}: {:?}",
            self.rules.violations
        );
        assert!(
            self.rules.started > 50,
            "seed {seed}: only {} tasks were started",
            self.rules.started
        );
        let unfinished = self.rules.unfinished();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: jobs were accepted and are neither done nor cancelled: {unfinished:?}"
        );
        assert_eq!(
            self.rules.running(),
            0,
            "seed {seed}: tasks of finished jobs still run"
        );
        assert_eq!(
            self.tasks_listed(),
            0,
            "seed {seed}: workers still list tasks of finished jobs"
        );
        assert!(
            self.jobs_reported() > 20,
            "seed {seed}: only {} jobs were accepted",
            self.jobs_reported()
        );
        assert_eq!(self.rules.unserved(), [] as [&str; 0], "seed {seed}");
    }

    /// The cordoned machines, according to the records that a controller has.
    pub(super) fn cordoned(&self) -> BTreeSet<String> {
        let machines = self
            .any_cache()
            .into_iter()
            .flat_map(|cache| &cache.machines);
        let cordoned = machines.filter(|(_, machine)| machine.state == MachineState::Cordoned);
        cordoned.map(|(id, _)| id.0.to_string()).collect()
    }

    /// Records the jobs that wait although a suitable machine has capacity and their team is below its limit.
    pub(super) fn check_idle_capacity(&mut self) {
        let cordoned = self.cordoned();
        let mut free: Vec<(&Machine, Resources)> = Vec::new();
        for machine in self
            .machines
            .values()
            .filter(|machine| machine.is_ready(self.now) && !cordoned.contains(&machine.id))
        {
            free.push((machine, machine.free(&self.jobs)));
        }
        let mut waiting = BTreeSet::new();
        for id in self.rules.waiting() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let mut listed_by_zone: BTreeMap<&Zone, u32> = BTreeMap::new();
            for machine in self.machines.values() {
                let of_job = TaskId { job: id, index: 0 }..=TaskId {
                    job: id,
                    index: u32::MAX,
                };
                let listed_here = machine
                    .tasks
                    .range(of_job)
                    .filter(|(_, entry)| entry.state != TaskState::Exited);
                *listed_by_zone.entry(&machine.zone).or_default() += listed_here.count() as u32;
            }
            let listed_total: u32 = listed_by_zone.values().sum();
            if listed_total + self.rules.done(id) >= job.tasks {
                continue;
            }
            if job.kind == JobKind::Gang {
                let could_start = listed_total == 0
                    && self.gang_fits(job, &free)
                    && self.rules.team_has_capacity(id);
                waiting.extend(could_start.then_some(id));
                continue;
            }
            let fits = |machine: &Machine, resources: &Resources| {
                let here = listed_by_zone.get(&machine.zone).copied().unwrap_or(0);
                job.allows_type(&machine.type_name)
                    && job.allows_zone(&machine.zone)
                    && job.allows_capacity_type(machine.capacity_type)
                    && here < job.zone_limit()
                    && (!job.one_zone || here == listed_total)
                    && resources.fits(&job.need)
            };
            if self.rules.team_has_capacity(id)
                && free
                    .iter()
                    .any(|(machine, resources)| fits(machine, resources))
            {
                waiting.insert(id);
            }
        }
        self.rules
            .record_waiting_despite_capacity(self.now, waiting);
    }

    /// Whether these machines have capacity for all tasks of a gang at once.
    pub(super) fn gang_fits(&self, job: &Job, free: &[(&Machine, Resources)]) -> bool {
        let mut zones: BTreeMap<Option<&Zone>, u32> = BTreeMap::new();
        for (machine, resources) in free {
            let is_allowed = job.allows_type(&machine.type_name)
                && job.allows_zone(&machine.zone)
                && job.allows_capacity_type(machine.capacity_type);
            if is_allowed {
                let zone = job.one_zone.then_some(&machine.zone);
                *zones.entry(zone).or_default() += resources.max_tasks(&job.need);
            }
        }
        zones.values().any(|count| *count >= job.tasks)
    }

    /// Number of jobs whose user has received a status.
    pub fn jobs_reported(&self) -> usize {
        self.users
            .iter()
            .filter(|user| self.rules.reported_status(user.job).is_some())
            .count()
    }

    /// Number of tasks that workers list and that have not exited.
    pub fn tasks_listed(&self) -> usize {
        let listed = |machine: &Machine| {
            machine
                .tasks
                .values()
                .filter(|entry| entry.state != TaskState::Exited)
                .count()
        };
        self.machines.values().map(listed).sum()
    }
}
