//! Computes the changes that operators' requests make to the stored records, without side effects.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_domain::{BlockId, InstanceTypeName, MachineId, Team, Zone};

use crate::budget::{Limit, TeamBudget};
use crate::fleet::MachineView;
use crate::id::DrainId;
use crate::operator::{Problem, ProblemKind, Request};
use crate::record::{DrainRecord, MAX_ENDED_RECORDS, MAX_RECORDS_IN_EFFECT, Phase, Purpose};
use crate::scope::{MachineAttributes, Scope};

/// A change to a stored record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates or replaces a drain's record.
    PutDrain(DrainId, DrainRecord),
    /// Deletes a drain's record.
    DeleteDrain(DrainId),
    /// Creates or replaces a team's budget.
    PutBudget(Team, TeamBudget),
    /// Deletes a team's budget.
    DeleteBudget(Team),
}

/// The state and limits that a request is checked against.
pub struct RequestContext<'a> {
    /// The leader's clock in Unix milliseconds.
    pub now_ms: u64,
    /// The stored drains and cordons.
    pub drains: &'a BTreeMap<DrainId, DrainRecord>,
    /// The budgets that operators set by request.
    pub budgets: &'a BTreeMap<Team, TeamBudget>,
    /// All machines.
    pub machines: &'a [MachineView],
    /// All blocks.
    pub blocks: BTreeSet<BlockId>,
    /// All machine types that the cloud offers.
    pub types: BTreeSet<InstanceTypeName>,
    /// All zones.
    pub zones: BTreeSet<Zone>,
    /// The teams of the settings.
    pub teams: BTreeSet<Team>,
    /// Maximum number of changes in a transaction.
    pub max_changes: usize,
    /// Whether a record fits into a stored value.
    pub fits_value: &'a dyn Fn(&DrainRecord) -> bool,
}

/// Maximum length of a class name.
const MAX_CLASS_CHARACTERS: usize = 64;
/// Maximum number of classes of a team that have their own budgets.
const MAX_CLASS_BUDGETS: usize = 16;

fn invalid(message: String) -> Problem {
    Problem::new(ProblemKind::Invalid, message)
}

fn refused(message: String) -> Problem {
    Problem::new(ProblemKind::Refused, message)
}

/// Computes the changes that a request requires. There are none if the records already match the request.
///
/// # Errors
///
/// The request is invalid, names something that does not exist, or conflicts with the stored records.
pub fn changes(request: &Request, context: &RequestContext<'_>) -> Result<Vec<Change>, Problem> {
    match request {
        Request::Start {
            id,
            scope,
            purpose,
            return_machines,
            step,
        } => {
            let (scope, now_ms) = (scope.clone(), context.now_ms);
            let record = DrainRecord::new(scope, *purpose, *return_machines, *step, now_ms);
            start(id, record, context)
        }
        Request::Uncordon { scope } => uncordon(scope, context),
        Request::Cancel { id } => cancel(id, context),
        Request::Resume { id } => resume(id, context),
        Request::List { id } => match id {
            Some(id) => find_record(id, context).map(|_| Vec::new()),
            None => Ok(Vec::new()),
        },
        Request::Budgets => Ok(Vec::new()),
        Request::SetBudget { team, class, limit } => {
            set_budget(team, class.as_deref(), *limit, context)
        }
        Request::ClearBudget { team, class } => clear_budget(team, class.as_deref(), context),
    }
}

/// Finds the record that a start request refers to: the one with the same id, or one in progress with the same request.
pub fn find_existing<'a>(
    id: &'a DrainId,
    record: &DrainRecord,
    drains: &'a BTreeMap<DrainId, DrainRecord>,
) -> Option<&'a DrainId> {
    if drains.contains_key(id) {
        return Some(id);
    }
    let is_equivalent = |(_, other): &(&DrainId, &DrainRecord)| {
        other.is_in_progress() && other.has_same_request(record)
    };
    drains.iter().find(is_equivalent).map(|(id, _)| id)
}

fn start(
    id: &DrainId,
    record: DrainRecord,
    context: &RequestContext<'_>,
) -> Result<Vec<Change>, Problem> {
    if let Some(other) = context.drains.get(id) {
        if other.has_same_request(&record) {
            return Ok(Vec::new());
        }
        return Err(refused(format!(
            "id `{id}` is already used by another request: {} of {}",
            purpose_name(other.purpose),
            other.scope
        )));
    }
    check_scope(&record.scope, context)?;
    if record.step.is_some_and(|step| step.resolve(u64::MAX) == 0) {
        return Err(invalid(
            "step must be at least 1 or a share above 0%: a step of 0 empties no machine"
                .to_owned(),
        ));
    }
    if record.return_machines && record.purpose == Purpose::Cordon {
        return Err(invalid(
            "a cordon can't return machines: use a drain".to_owned(),
        ));
    }
    if find_existing(id, &record, context.drains).is_some() {
        return Ok(Vec::new());
    }
    if !(context.fits_value)(&record) {
        return Err(refused(format!(
            "{} exceeds the size of one record: use a block, a type or a zone, or several shorter lists",
            record.scope
        )));
    }
    let in_effect = context
        .drains
        .values()
        .filter(|record| record.is_in_effect())
        .count();
    if in_effect >= MAX_RECORDS_IN_EFFECT {
        return Err(refused(format!(
            "the maximum of {MAX_RECORDS_IN_EFFECT} drains and cordons in effect is reached: cancel or uncordon some first"
        )));
    }
    let mut changes = vec![Change::PutDrain(id.clone(), record)];
    changes.extend(oldest_ended(context).map(Change::DeleteDrain));
    Ok(changes)
}

fn purpose_name(purpose: Purpose) -> &'static str {
    match purpose {
        Purpose::Cordon => "a cordon",
        Purpose::Drain => "a drain",
    }
}

/// The oldest ended record, if the maximum number of them is reached and it must be deleted.
fn oldest_ended(context: &RequestContext<'_>) -> Option<DrainId> {
    let ended = || {
        context
            .drains
            .iter()
            .filter(|(_, record)| !record.is_in_effect())
    };
    if ended().count() < MAX_ENDED_RECORDS {
        return None;
    }
    ended()
        .min_by_key(|(_, record)| record.requested_ms)
        .map(|(id, _)| id.clone())
}

fn check_scope(scope: &Scope, context: &RequestContext<'_>) -> Result<(), Problem> {
    let unknown = |kind: &str, name: &dyn std::fmt::Display| {
        Err(invalid(format!("there is no {kind} `{name}`")))
    };
    match scope {
        Scope::Machines(machines) => {
            if machines.is_empty() {
                return Err(invalid("the list of machines is empty".to_owned()));
            }
            let exists =
                |id: &&MachineId| context.machines.iter().any(|machine| machine.id == **id);
            match machines.iter().find(|id| !exists(id)) {
                Some(id) => unknown("machine", id),
                None => Ok(()),
            }
        }
        Scope::Block(block) if !context.blocks.contains(block) => unknown("block", block),
        Scope::Type(name) if !context.types.contains(name) => unknown("machine type", name),
        Scope::Zone(zone) if !context.zones.contains(zone) => unknown("zone", zone),
        Scope::Block(_) | Scope::Type(_) | Scope::Zone(_) => Ok(()),
    }
}

fn find_record<'a>(
    id: &DrainId,
    context: &'a RequestContext<'_>,
) -> Result<&'a DrainRecord, Problem> {
    context
        .drains
        .get(id)
        .ok_or_else(|| Problem::new(ProblemKind::NotFound, format!("there is no drain `{id}`")))
}

fn cancel(id: &DrainId, context: &RequestContext<'_>) -> Result<Vec<Change>, Problem> {
    let record = find_record(id, context)?;
    match record.phase {
        Phase::Cancelled | Phase::Uncordoned => Ok(Vec::new()),
        Phase::Done => Err(refused(format!(
            "`{id}` is done and can't be cancelled: put its machines back into service with `uncordon`"
        ))),
        Phase::Active | Phase::Halted { .. } => {
            let record = DrainRecord {
                phase: Phase::Cancelled,
                ..record.clone()
            };
            Ok(vec![Change::PutDrain(id.clone(), record)])
        }
    }
}

fn resume(id: &DrainId, context: &RequestContext<'_>) -> Result<Vec<Change>, Problem> {
    let record = find_record(id, context)?;
    match record.phase {
        Phase::Active => Ok(Vec::new()),
        Phase::Halted { .. } => {
            let record = DrainRecord {
                phase: Phase::Active,
                resumed_ms: context.now_ms,
                ..record.clone()
            };
            Ok(vec![Change::PutDrain(id.clone(), record)])
        }
        Phase::Done | Phase::Cancelled | Phase::Uncordoned => {
            Err(refused(format!("`{id}` has ended and can't be resumed")))
        }
    }
}

fn uncordon(scope: &Scope, context: &RequestContext<'_>) -> Result<Vec<Change>, Problem> {
    check_scope(scope, context)?;
    let mut changes = Vec::new();
    for (id, record) in context
        .drains
        .iter()
        .filter(|(_, record)| record.is_in_effect())
    {
        let shared = machines_in_both(scope, record, context.machines);
        let includes_record = includes_scope(scope, &record.scope);
        if shared.is_empty() && !includes_record {
            continue;
        }
        if record.purpose == Purpose::Drain && record.is_in_progress() {
            return Err(refused(format!(
                "drain `{id}` of {} is in progress: cancel it first",
                record.scope
            )));
        }
        let mut record = record.clone();
        if includes_record {
            record.phase = Phase::Uncordoned;
        } else {
            record.except.extend(shared);
        }
        if !(context.fits_value)(&record) {
            return Err(refused(format!(
                "the exceptions of `{id}` exceed the size of one record: uncordon {} as a whole",
                record.scope
            )));
        }
        changes.push(Change::PutDrain(id.clone(), record));
    }
    if changes.len() > context.max_changes {
        return Err(refused(format!(
            "{} records keep these machines out of service, more than one transaction can change: uncordon fewer at a time",
            changes.len()
        )));
    }
    Ok(changes)
}

/// The machines in the scope that the record keeps out of service.
fn machines_in_both(
    scope: &Scope,
    record: &DrainRecord,
    machines: &[MachineView],
) -> Vec<MachineId> {
    let in_both = |machine: &&MachineView| {
        let attributes = MachineAttributes {
            id: &machine.id,
            block: &machine.block,
            type_name: &machine.type_name,
            zone: &machine.zone,
        };
        record.applies_to(attributes) && scope.contains(attributes)
    };
    machines
        .iter()
        .filter(in_both)
        .map(|machine| machine.id.clone())
        .collect()
}

/// Whether a scope includes a record's whole scope, also for machines that join later.
fn includes_scope(scope: &Scope, record_scope: &Scope) -> bool {
    match (scope, record_scope) {
        (Scope::Machines(machines), Scope::Machines(record_scope)) => {
            record_scope.is_subset(machines)
        }
        (scope, record_scope) => scope == record_scope,
    }
}

fn check_team(
    team: &Team,
    class: Option<&str>,
    context: &RequestContext<'_>,
) -> Result<(), Problem> {
    if !context.teams.contains(team) {
        return Err(invalid(format!("there is no team `{team}`")));
    }
    if team.0.chars().any(|c| c.is_whitespace() || c.is_control()) {
        return Err(refused(format!(
            "the name of team `{team}` contains characters that a stored budget can't have: set the budget in the features file"
        )));
    }
    let is_valid = |class: &str| !class.is_empty() && class.len() <= MAX_CLASS_CHARACTERS;
    match class {
        Some(class) if !is_valid(class) => Err(invalid(format!(
            "a class name must have 1 to {MAX_CLASS_CHARACTERS} characters"
        ))),
        _ => Ok(()),
    }
}

fn set_budget(
    team: &Team,
    class: Option<&str>,
    limit: Limit,
    context: &RequestContext<'_>,
) -> Result<Vec<Change>, Problem> {
    check_team(team, class, context)?;
    let old = context.budgets.get(team).cloned().unwrap_or_default();
    let mut budget = old.clone();
    match class {
        Some(class) => {
            budget.classes.insert(class.to_owned(), limit);
        }
        None => budget.limit = Some(limit),
    }
    if budget.classes.len() > MAX_CLASS_BUDGETS {
        return Err(refused(format!(
            "team `{team}` has reached the maximum of {MAX_CLASS_BUDGETS} classes with their own budgets"
        )));
    }
    Ok(put_budget(team, &old, budget))
}

fn clear_budget(
    team: &Team,
    class: Option<&str>,
    context: &RequestContext<'_>,
) -> Result<Vec<Change>, Problem> {
    check_team(team, class, context)?;
    let Some(old) = context.budgets.get(team) else {
        return Ok(Vec::new());
    };
    let mut budget = old.clone();
    match class {
        Some(class) => {
            budget.classes.remove(class);
        }
        None => budget.limit = None,
    }
    Ok(put_budget(team, old, budget))
}

fn put_budget(team: &Team, old: &TeamBudget, budget: TeamBudget) -> Vec<Change> {
    if budget == *old {
        return Vec::new();
    }
    if budget.is_empty() {
        return vec![Change::DeleteBudget(team.clone())];
    }
    vec![Change::PutBudget(team.clone(), budget)]
}
