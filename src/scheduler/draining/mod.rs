//! The leader's part of draining: presents the fleet to the planner of `dappleshore-drain`, records its decisions and
//! carries them out.
//!
//! An eviction is recorded before its task is told to stop. From then on, any leader acts on the record: it stops the
//! old attempt, reserves capacity for the replacement, and releases the replacement once the old attempt is proven
//! ended.

mod fleet_view;
mod replacement;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use dappleshore_drain::disruption::Disruptions;
use dappleshore_drain::planner::{
    DrainProgress, Event, NoCapacity, PlannerLimits, Records, Reservation, ServiceState,
};
use dappleshore_drain::settings::TeamSettings;
use dappleshore_drain::{
    Budgets, DrainId, DrainRecord, DrainSettings, Effect, Ledger, MachineView, Planner, TeamBudget,
};
use tracing::info;

use fleet_view::{FleetView, placed_attempts};
use replacement::add_unplaced_demand;

use super::capacity_view::CapacityView;
use super::{HOLDER_STATUS_TTL, Plan, Scheduler};
use crate::domain::{Attempt, BlockId, Job, JobKind, MachineId, Now, TaskId, Team, Zone, since};
use crate::leader_context::LeaderContext;
use crate::leader_writer::{LeaderWriter, WriteTurn};
use crate::provisioning::Provisioner;
use crate::store::cache::{version_of, without_versions};
use crate::store::records::{
    FencedModule, MachineState, drain_budget_key, drain_key, drain_ledger_key,
};
use crate::store::{StoreRequest, StoreResponse, Transaction, Versioned, WatchCache, WriterState};

/// The maximum encoded size of one ledger entry.
const MAX_LEDGER_ENTRY_BYTES: usize = 192;
/// The interval for writing ledgers without new evictions, in which only losses or ended tasks have changed.
const LEDGER_UPKEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the drain planner on the leader, and records its decisions.
#[derive(Debug)]
pub struct DrainCoordinator {
    settings: DrainSettings,
    planner: Planner,
    writer: LeaderWriter,
    /// The machines with capacity reserved for the replacements of evicted tasks.
    reservations: BTreeMap<TaskId, MachineId>,
    /// Tasks whose eviction is in a transaction that is not confirmed yet.
    unconfirmed_evictions: BTreeSet<TaskId>,
    /// Evicted tasks without capacity for a replacement, and the reason.
    without_capacity: BTreeMap<TaskId, NoCapacity>,
    /// The effects that the latest planner run returned, to be recorded.
    planned_effects: Vec<Effect>,
    /// When ledgers were last written, or losses last cleaned up without any drain.
    last_upkeep: Option<Instant>,
    /// Evictions sent to be recorded in this term.
    evictions_this_term: u64,
}

impl DrainCoordinator {
    /// Creates a coordinator without decisions, for a new leader.
    pub fn new(now: Now, settings: DrainSettings) -> Self {
        DrainCoordinator {
            settings,
            planner: Planner::default(),
            writer: LeaderWriter::new(
                FencedModule::Draining,
                WriterState::Unconfirmed {
                    since: now.monotonic,
                },
            ),
            reservations: BTreeMap::new(),
            unconfirmed_evictions: BTreeSet::new(),
            without_capacity: BTreeMap::new(),
            planned_effects: Vec::new(),
            last_upkeep: None,
            evictions_this_term: 0,
        }
    }

    /// Returns the budgets in force.
    pub fn budgets(&self, cache: &WatchCache) -> Budgets {
        effective_budgets(&self.settings, cache)
    }

    /// Returns the progress of each drain.
    pub fn progress(&self) -> &BTreeMap<DrainId, DrainProgress> {
        self.planner.progress()
    }

    /// Returns the disruptions at the latest planner run.
    pub fn disruptions(&self) -> &Disruptions {
        self.planner.disruptions()
    }

    /// Returns the machine states that the latest planner run calls for.
    pub fn desired_machine_states(&self) -> BTreeMap<MachineId, MachineState> {
        let machine_state = |effect: &Effect| match effect {
            Effect::Cordon(machine) => Some((machine.clone(), MachineState::Cordoned)),
            Effect::Uncordon(machine) => Some((machine.clone(), MachineState::InService)),
            Effect::Return(machine) => Some((machine.clone(), MachineState::Returning)),
            Effect::WriteLedger { .. } | Effect::WriteRecord { .. } | Effect::Reserve(_) => None,
        };
        self.planned_effects
            .iter()
            .filter_map(machine_state)
            .collect()
    }

    /// Adds the gauges of draining to the metrics.
    pub fn record_gauges(&self, cache: &WatchCache, gauges: &mut BTreeMap<String, f64>) {
        let mut states: BTreeMap<&str, f64> = BTreeMap::new();
        for progress in self.progress().values() {
            *states.entry(progress.state.name().as_str()).or_default() += 1.0;
        }
        for (state, count) in states {
            gauges.insert(format!("drains{{state=\"{state}\"}}"), count);
        }
        let budgets = self.budgets(cache);
        for (team, count) in self.disruptions().teams() {
            let allowed = budgets.team_limit(team).resolve(count.tasks);
            let disrupted = count.disrupted as f64;
            gauges.insert(format!("drain_disrupted{{team=\"{team}\"}}"), disrupted);
            gauges.insert(format!("drain_budget{{team=\"{team}\"}}"), allowed as f64);
        }
        gauges.insert(
            "drain_evictions".to_owned(),
            self.evictions_this_term as f64,
        );
    }

    /// Whether there are no drain records and all ledgers are empty.
    fn is_idle(&self, cache: &WatchCache) -> bool {
        let mut ledgers = cache.drain_ledgers.values();
        cache.drains.is_empty() && ledgers.all(|ledger| ledger.value.is_empty())
    }

    /// Builds the transaction that records the planned effects.
    fn build_transaction(
        &self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &WatchCache,
    ) -> Option<Transaction> {
        let mut txn = self.writer.begin(leader, cache);
        let mut evicting_drains: BTreeSet<&DrainId> = BTreeSet::new();
        let max_changes = leader.max_changes.max(1);
        let upkeep_due = self
            .last_upkeep
            .is_none_or(|at| since(now, at) >= LEDGER_UPKEEP_INTERVAL);
        for effect in &self.planned_effects {
            if txn.changes.len() >= max_changes {
                break;
            }
            match effect {
                Effect::WriteLedger { team, ledger } => {
                    let stored = cache.drain_ledgers.get(team);
                    let added = new_evictions(stored, ledger);
                    if added.is_empty() && !upkeep_due {
                        continue;
                    }
                    evicting_drains.extend(added.iter().map(|eviction| &eviction.drain));
                    let key = drain_ledger_key(team);
                    txn = txn
                        .require_version(key.clone(), version_of(stored))
                        .require_version(
                            drain_budget_key(team),
                            version_of(cache.drain_budgets.get(team)),
                        );
                    // Empty ledgers are not deleted: after a deletion, a transaction prepared before the ledger was
                    // created could still commit, and spend budget that has been spent since.
                    txn = txn.put(key, ledger);
                }
                Effect::WriteRecord { id, record } => {
                    let key = drain_key(id);
                    evicting_drains.remove(id);
                    txn = txn
                        .require_version(key.clone(), version_of(cache.drains.get(id)))
                        .put(key, record);
                }
                Effect::Cordon(_)
                | Effect::Uncordon(_)
                | Effect::Return(_)
                | Effect::Reserve(_) => {}
            }
        }
        // A drain that was cancelled or halted since the plan was made must not evict more tasks.
        for id in evicting_drains {
            let key = drain_key(id);
            if !txn.conditions.iter().any(|(known, _)| *known == key) {
                txn = txn.require_version(key, version_of(cache.drains.get(id)));
            }
        }
        (!txn.changes.is_empty()).then_some(txn)
    }

    /// Logs new evictions and changes of drain records.
    fn log_planned_effects(&self, cache: &WatchCache) {
        for effect in &self.planned_effects {
            match effect {
                Effect::WriteLedger { team, ledger } => {
                    for eviction in new_evictions(cache.drain_ledgers.get(team), ledger) {
                        let job = eviction.target.job();
                        let checkpoint_possible = cache
                            .open_jobs
                            .get(&job)
                            .is_some_and(|open| can_checkpoint(&open.job));
                        let checkpoint = if checkpoint_possible {
                            "saved before the stop"
                        } else {
                            "not available"
                        };
                        info!(drain = %eviction.drain, %team, %job, evicted = ?eviction.target, machine = %eviction.machine, checkpoint, "recording eviction");
                    }
                }
                Effect::WriteRecord { id, record } => {
                    info!(drain = %id, phase = ?record.phase, "recording drain phase");
                }
                _ => {}
            }
        }
    }
}

/// Returns the evictions in the ledger that are not stored yet.
fn new_evictions<'l>(
    stored: Option<&Versioned<Ledger>>,
    ledger: &'l Ledger,
) -> Vec<&'l dappleshore_drain::Eviction> {
    let is_new = |eviction: &&dappleshore_drain::Eviction| {
        stored.is_none_or(|stored| !stored.value.evictions.contains(eviction))
    };
    ledger.evictions.iter().filter(is_new).collect()
}

/// Whether a task of the job can save its progress when it is stopped. False for gangs: an incomplete gang cannot save.
fn can_checkpoint(job: &Job) -> bool {
    job.kind != JobKind::Gang && job.checkpoint_every_s > 0.0
}

/// Returns the budgets from the settings, and those that operators have set.
fn effective_budgets(settings: &DrainSettings, cache: &WatchCache) -> Budgets {
    let team_budget = |(team, team_settings): (&String, &TeamSettings)| {
        let budget = TeamBudget {
            limit: team_settings.budget,
            classes: team_settings.classes.clone(),
        };
        (Team::from(team.as_str()), budget)
    };
    Budgets {
        default: settings.budget,
        settings: settings.teams.iter().map(team_budget).collect(),
        requested: without_versions(&cache.drain_budgets),
    }
}

/// Returns the recorded machines with their tasks, for the planner and operator requests.
pub fn machine_views(
    cache: &WatchCache,
    usable: impl Fn(&MachineId) -> bool,
    failed: impl Fn(&MachineId) -> bool,
    has_pending_releases: impl Fn(&MachineId) -> bool,
) -> Vec<MachineView> {
    let mut machines: BTreeMap<&MachineId, MachineView> = BTreeMap::new();
    for (id, machine) in &cache.machines {
        let state = match machine.state {
            MachineState::InService => ServiceState::InService,
            MachineState::Cordoned => ServiceState::Cordoned,
            MachineState::Returning => ServiceState::Returning,
        };
        let view = MachineView {
            id: id.clone(),
            block: machine.block.clone(),
            type_name: machine.type_name.clone(),
            zone: machine.zone.clone(),
            state,
            usable: usable(id),
            failed: failed(id),
            tasks: Vec::new(),
            has_pending_releases: has_pending_releases(id),
        };
        machines.insert(id, view);
    }
    for live in cache.live_placements() {
        if let Some(machine) = machines.get_mut(live.id) {
            machine.tasks.extend(live.attempts());
        }
    }
    machines.into_values().collect()
}

impl Scheduler {
    /// Returns the scheduler with draining enabled.
    pub fn with_draining(mut self, draining: DrainCoordinator) -> Self {
        self.draining = Some(draining);
        self
    }

    /// Returns the drain coordinator, or `None` if draining is disabled.
    pub fn draining(&self) -> Option<&DrainCoordinator> {
        self.draining.as_ref()
    }

    /// Records an attempt as lost if it has ended without completing its task, unless it was told to stop or failed.
    pub(super) fn record_lost_attempt(&mut self, now: Now, attempt: Attempt, machine: &MachineId) {
        if self.draining.is_none() {
            return;
        }
        let failed = self.failures.failed_on(attempt.task.job, machine);
        if failed || self.is_stop_requested(&attempt) {
            return;
        }
        if let Some(draining) = &mut self.draining {
            let event = Event::<FleetView<'_, '_>>::AttemptLost(attempt);
            draining.planner.handle(now, event);
        }
    }

    /// Whether the attempt is told to stop in any block.
    fn is_stop_requested(&self, attempt: &Attempt) -> bool {
        let mut blocks = self.block_states.values();
        blocks.any(|block_state| block_state.stop_requests.contains_key(attempt))
    }

    /// Counts the job's other tasks by zone: placed, released, or with reserved capacity.
    fn other_tasks_per_zone(&self, cache: &WatchCache, task: TaskId) -> BTreeMap<Zone, u32> {
        let mut tasks_per_zone: BTreeMap<Zone, u32> = BTreeMap::new();
        let placements = cache.job_placements(task.job).iter();
        let others = placements.filter(|((index, _), _)| *index != task.index);
        for machine in others.filter_map(|(_, placement)| cache.machines.get(&placement.machine)) {
            *tasks_per_zone.entry(machine.zone.clone()).or_default() += 1;
        }
        for (block, block_state) in &self.block_states {
            let is_other_task = |release: &&super::block_state::Release| {
                let released = release.attempt.task;
                released.job == task.job && released.index != task.index
            };
            let count = block_state.releases.values().filter(is_other_task).count() as u32;
            if let Some(lease) = cache.block_leases.get(block).filter(|_| count > 0) {
                *tasks_per_zone.entry(lease.value.zone.clone()).or_default() += count;
            }
        }
        let reservations = self
            .draining
            .iter()
            .flat_map(|draining| &draining.reservations);
        for (other, machine) in reservations {
            let is_assigned =
                placed_attempts(cache, *other).next().is_some() || self.is_released(*other);
            let is_counted = other.job == task.job && other.index != task.index && !is_assigned;
            if let Some(machine) = cache.machines.get(machine).filter(|_| is_counted) {
                *tasks_per_zone.entry(machine.zone.clone()).or_default() += 1;
            }
        }
        tasks_per_zone
    }

    /// Whether an attempt of the task is released and not placed yet.
    fn is_released(&self, task: TaskId) -> bool {
        let mut releases = self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values());
        releases.any(|release| release.attempt.task == task)
    }

    /// Stops attempts that are recorded as evicted, releases replacements, reserves capacity for later ones, and plans
    /// the next evictions.
    pub(super) fn plan_drains(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
    ) {
        if self
            .draining
            .as_ref()
            .is_none_or(|draining| draining.is_idle(cache))
        {
            if let Some(draining) = &mut self.draining {
                draining.run_idle_upkeep(capacity.now, cache);
            }
            return;
        }
        let drains: BTreeMap<DrainId, DrainRecord> = without_versions(&cache.drains);
        let ledgers: BTreeMap<Team, Ledger> = without_versions(&cache.drain_ledgers);
        self.stop_evicted_attempts(capacity.now, cache, &ledgers);
        self.replace_evicted_tasks(capacity, cache, plan, &ledgers);
        self.run_planner(capacity, cache, plan, &drains, &ledgers);
        self.update_watched_attempts(cache, &ledgers);
    }

    /// Runs the planner on the current fleet and records, and keeps the effects that it returns.
    fn run_planner(
        &mut self,
        capacity: &CapacityView<'_>,
        cache: &WatchCache,
        plan: &mut Plan,
        drains: &BTreeMap<DrainId, DrainRecord>,
        ledgers: &BTreeMap<Team, Ledger>,
    ) {
        let Some(draining) = &mut self.draining else {
            return;
        };
        let mut planner = std::mem::take(&mut draining.planner);
        let draining = &*draining;
        let budgets = effective_budgets(&draining.settings, cache);
        let settings = draining.settings.clone();
        let usable = self.usable_machines(capacity.now, capacity.provisioner);
        let expecting_tasks: HashSet<&MachineId> = self
            .block_states
            .values()
            .flat_map(|block_state| block_state.releases.values())
            .map(|release| &release.machine)
            .collect();
        let machines = machine_views(
            cache,
            |id| usable.contains(id),
            |id| capacity.provisioner.is_failed(id),
            |id| expecting_tasks.contains(id),
        );
        let running = self.running_attempts(capacity.now, cache, &usable);
        let leader = capacity.leader;
        let limits = &leader.config.state_limits;
        let planner_limits = PlannerLimits {
            step: settings.step,
            capacity_timeout: settings.room_timeout_s.duration(),
            replacement_timeout: settings.replacement_timeout_s.duration(),
            max_ledger_entries: (limits.value_bytes / MAX_LEDGER_ENTRY_BYTES).max(1),
            max_ledgers_per_transaction: (leader.max_changes / 2).max(1),
        };
        // Capacity that the planner reserves lasts for this plan only; the returned effects hold the reservations.
        let mut fleet = FleetView {
            scheduler: self,
            capacity,
            cache,
            plan,
            machines,
            running,
            unplaced: Vec::new(),
        };
        let event = Event::Observed {
            records: Records {
                drains,
                ledgers,
                budgets: &budgets,
            },
            limits: planner_limits,
            fleet: &mut fleet,
        };
        let planned_effects = planner.handle(capacity.now, event);
        let unplaced = std::mem::take(&mut fleet.unplaced);
        if let Some(draining) = &mut self.draining {
            draining.planner = planner;
            draining.planned_effects = planned_effects;
        }
        for task in unplaced {
            add_unplaced_demand(
                capacity,
                cache,
                plan,
                task,
                &self.other_tasks_per_zone(cache, task),
            );
        }
    }

    /// Returns the machines that their holder has recently reported as usable.
    fn usable_machines(&self, now: Now, provisioner: &Provisioner) -> HashSet<MachineId> {
        self.recent_machine_statuses(now)
            .filter(|status| status.usable && !provisioner.is_failed(&status.machine))
            .map(|status| status.machine.clone())
            .collect()
    }

    /// Returns the numbers of the watched attempts that their holder reports as running, on usable machines.
    fn running_attempts(
        &self,
        now: Now,
        cache: &WatchCache,
        usable: &HashSet<MachineId>,
    ) -> HashSet<u64> {
        let mut running = HashSet::new();
        for (block, block_state) in &self.block_states {
            let Some((status, received_at)) = &block_state.status else {
                continue;
            };
            if since(now, *received_at) >= HOLDER_STATUS_TTL || status.running.is_empty() {
                continue;
            }
            let reported_running: HashSet<u64> = status.running.iter().copied().collect();
            let Some(placements) = cache.placements.get(block) else {
                continue;
            };
            let attempts = placements.value.attempts();
            let on_usable_machines = attempts.filter(|(machine, _)| usable.contains(*machine));
            running.extend(
                on_usable_machines
                    .map(|(_, attempt)| attempt.number)
                    .filter(|number| reported_running.contains(number)),
            );
        }
        running
    }

    /// Asks holders to report whether the attempts that the planner watches are running.
    fn update_watched_attempts(&mut self, cache: &WatchCache, ledgers: &BTreeMap<Team, Ledger>) {
        let Some(draining) = &self.draining else {
            return;
        };
        let mut watched_by_block: HashMap<&BlockId, Vec<u64>> = HashMap::new();
        for task in draining.planner.tasks_to_observe(ledgers) {
            for (attempt, machine) in placed_attempts(cache, task) {
                if let Some(machine) = cache.machines.get(machine) {
                    let of_block = watched_by_block.entry(&machine.block).or_default();
                    of_block.push(attempt.number);
                }
            }
        }
        for (block, block_state) in &mut self.block_states {
            let watched_attempts = watched_by_block.remove(block).unwrap_or_default();
            if block_state.watched_attempts != watched_attempts {
                block_state.watched_attempts = watched_attempts;
                block_state.update_pending = true;
            }
        }
    }

    /// Returns the next transaction that records evictions and drain phases, if one is due.
    pub fn next_drain_transaction(
        &mut self,
        now: Now,
        leader: &LeaderContext<'_>,
        cache: &mut WatchCache,
    ) -> Option<StoreRequest> {
        let draining = self.draining.as_mut()?;
        match draining.writer.poll(now, leader, cache) {
            WriteTurn::Wait => return None,
            WriteTurn::Fence(request) => return Some(request),
            WriteTurn::Ready => {}
        }
        draining.unconfirmed_evictions.clear();
        let txn = draining.build_transaction(now, leader, cache)?;
        draining.log_planned_effects(cache);
        draining.last_upkeep = Some(now.monotonic);
        for effect in &draining.planned_effects {
            match effect {
                Effect::Reserve(Reservation { task, machine }) => {
                    draining.unconfirmed_evictions.insert(*task);
                    draining.reservations.insert(*task, machine.clone());
                }
                Effect::WriteLedger { team, ledger } => {
                    let added = new_evictions(cache.drain_ledgers.get(team), ledger).len();
                    draining.evictions_this_term += added as u64;
                }
                _ => {}
            }
        }
        Some(draining.writer.send(leader, txn))
    }

    /// Handles the response to the drain transaction.
    pub fn handle_drain_store_response(&mut self, now: Now, outcome: &StoreResponse) {
        if let Some(draining) = &mut self.draining {
            draining.writer.record_response(now, outcome);
        }
    }
}

impl DrainCoordinator {
    /// Clears the plan while there are no drains and no recorded disruptions, and has the planner drop losses of tasks
    /// that no longer need to run.
    fn run_idle_upkeep(&mut self, now: Now, cache: &WatchCache) {
        self.planned_effects.clear();
        self.reservations.clear();
        if self
            .last_upkeep
            .is_some_and(|at| since(now, at) < LEDGER_UPKEEP_INTERVAL)
        {
            return;
        }
        self.last_upkeep = Some(now.monotonic);
        let is_needed = |task: TaskId| {
            let open = cache.open_jobs.get(&task.job);
            open.is_some_and(|open| !open.cancelled && !open.done.contains(task.index))
        };
        let event: Event<'_, FleetView<'_, '_>> = Event::NoActiveDrains {
            is_needed: &is_needed,
        };
        self.planner.handle(now, event);
    }
}
