//! Tests of the changes that operators' requests make to the records, and of the requests that are refused.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_domain::{MachineId, Team};
use dappleshore_drain::operator::{Problem, ProblemKind, Request};
use dappleshore_drain::planner::{MachineView, ServiceState};
use dappleshore_drain::record::{MAX_ENDED_RECORDS, MAX_RECORDS_IN_EFFECT};
use dappleshore_drain::requests::{Change, RequestContext, changes};
use dappleshore_drain::{DrainId, DrainRecord, Limit, Phase, Purpose, Scope, TeamBudget};

#[derive(Default)]
struct StoredRecords {
    drains: BTreeMap<DrainId, DrainRecord>,
    budgets: BTreeMap<Team, TeamBudget>,
}

fn id(text: &str) -> DrainId {
    text.parse().expect("the id is valid")
}

fn zone(name: &str) -> Scope {
    Scope::Zone(name.into())
}

fn machines(names: &[&str]) -> Scope {
    Scope::Machines(names.iter().map(|name| MachineId::from(*name)).collect())
}

fn start(name: &str, scope: Scope, purpose: Purpose) -> Request {
    Request::Start {
        id: id(name),
        scope,
        purpose,
        return_machines: false,
        step: None,
    }
}

impl StoredRecords {
    /// Applies the changes of a request and returns their number. There are machines `m-0` to `m-3`, two in each of the
    /// zones `a` and `b`.
    fn apply(&mut self, request: &Request) -> Result<usize, Problem> {
        let views: Vec<MachineView> = (0..4)
            .map(|n| MachineView {
                id: format!("m-{n}").as_str().into(),
                block: "x.0".into(),
                type_name: "small".into(),
                zone: if n < 2 { "a".into() } else { "b".into() },
                state: ServiceState::InService,
                usable: true,
                failed: false,
                tasks: Vec::new(),
                has_pending_releases: false,
            })
            .collect();
        let context = RequestContext {
            now_ms: 1000 + self.drains.len() as u64,
            drains: &self.drains,
            budgets: &self.budgets,
            machines: &views,
            blocks: ["x.0".into()].into(),
            types: ["small".into()].into(),
            zones: ["a".into(), "b".into()].into(),
            teams: ["red".into(), "the blue".into()].into(),
            max_changes: 4,
            fits_value: &|record| record.except.len() < 2,
        };
        let changes = changes(request, &context)?;
        let count = changes.len();
        for change in changes {
            match change {
                Change::PutDrain(id, record) => {
                    self.drains.insert(id, record);
                }
                Change::DeleteDrain(id) => {
                    self.drains.remove(&id);
                }
                Change::PutBudget(team, budget) => {
                    self.budgets.insert(team, budget);
                }
                Change::DeleteBudget(team) => {
                    self.budgets.remove(&team);
                }
            }
        }
        Ok(count)
    }

    fn refusal(&mut self, request: &Request) -> ProblemKind {
        self.apply(request)
            .expect_err("the request is refused")
            .kind
    }
}

#[test]
fn repeating_a_request_changes_nothing() {
    let mut records = StoredRecords::default();
    let start_request = start("disk", zone("a"), Purpose::Drain);
    assert_eq!(records.apply(&start_request), Ok(1));
    assert_eq!(
        records.apply(&start_request),
        Ok(0),
        "a request with the same id"
    );
    let other = start("other", zone("a"), Purpose::Drain);
    assert_eq!(
        records.apply(&other),
        Ok(0),
        "the same request with another id"
    );
    let different = start("disk", zone("b"), Purpose::Drain);
    assert_eq!(records.refusal(&different), ProblemKind::Refused);
    for (request, changes) in [
        (Request::Cancel { id: id("disk") }, 1),
        (Request::Cancel { id: id("disk") }, 0),
        (start_request, 0),
    ] {
        assert_eq!(records.apply(&request), Ok(changes), "{request:?}");
    }
    assert_eq!(records.drains[&id("disk")].phase, Phase::Cancelled);
}

#[test]
fn unknown_names_are_refused() {
    let mut records = StoredRecords::default();
    for scope in [
        machines(&["m-0", "m-9"]),
        machines(&[]),
        zone("z"),
        Scope::Type("huge".into()),
        Scope::Block("y.7".into()),
    ] {
        let start_request = start("disk", scope, Purpose::Drain);
        assert_eq!(
            records.refusal(&start_request),
            ProblemKind::Invalid,
            "{start_request:?}"
        );
    }
    for request in [
        Request::Cancel { id: id("none") },
        Request::Resume { id: id("none") },
        Request::List {
            id: Some(id("none")),
        },
    ] {
        assert_eq!(
            records.refusal(&request),
            ProblemKind::NotFound,
            "{request:?}"
        );
    }
}

#[test]
fn machines_are_uncordoned_one_by_one_or_all_together() {
    let mut records = StoredRecords::default();
    records
        .apply(&start("zone", zone("a"), Purpose::Cordon))
        .expect("the request is accepted");
    let one = Request::Uncordon {
        scope: machines(&["m-0"]),
    };
    assert_eq!(records.apply(&one), Ok(1));
    assert_eq!(records.apply(&one), Ok(0));
    let record = &records.drains[&id("zone")];
    assert_eq!(record.except, BTreeSet::from([MachineId::from("m-0")]));
    assert!(record.is_in_effect());
    let second = Request::Uncordon {
        scope: machines(&["m-1"]),
    };
    assert_eq!(
        records.refusal(&second),
        ProblemKind::Refused,
        "the record has no space for another exception"
    );
    assert_eq!(
        records.apply(&Request::Uncordon { scope: zone("a") }),
        Ok(1)
    );
    assert!(!records.drains[&id("zone")].is_in_effect());
    records
        .apply(&start("busy", zone("b"), Purpose::Drain))
        .expect("the request is accepted");
    let busy = Request::Uncordon { scope: zone("b") };
    assert_eq!(
        records.refusal(&busy),
        ProblemKind::Refused,
        "cancel it first"
    );
}

#[test]
fn the_number_of_stored_records_is_limited() {
    let mut records = StoredRecords::default();
    for n in 0..MAX_ENDED_RECORDS + 20 {
        let name = format!("d-{n}");
        records
            .apply(&start(&name, zone("a"), Purpose::Drain))
            .expect("the request is accepted");
        records
            .apply(&Request::Cancel { id: id(&name) })
            .expect("the request is accepted");
    }
    assert!(
        records.drains.len() <= MAX_ENDED_RECORDS + 1,
        "{}",
        records.drains.len()
    );
    assert!(
        !records.drains.contains_key(&id("d-0")),
        "the oldest ended record is deleted first"
    );
    for n in 0..MAX_RECORDS_IN_EFFECT {
        let step = Some(Limit::Count(n as u32 + 1));
        let request = Request::Start {
            id: id(&format!("h-{n}")),
            scope: zone("a"),
            purpose: Purpose::Drain,
            return_machines: false,
            step,
        };
        records.apply(&request).expect("the request is accepted");
    }
    let more = start("more", zone("b"), Purpose::Drain);
    assert_eq!(records.refusal(&more), ProblemKind::Refused);
}

#[test]
fn budgets_are_set_and_cleared() {
    let mut records = StoredRecords::default();
    let set = |class: Option<&str>, limit: &str| Request::SetBudget {
        team: "red".into(),
        class: class.map(str::to_owned),
        limit: limit.parse().expect("the limit is valid"),
    };
    let clear = |class: Option<&str>| Request::ClearBudget {
        team: "red".into(),
        class: class.map(str::to_owned),
    };
    for (request, changes) in [
        (set(None, "10%"), 1),
        (set(None, "10%"), 0),
        (set(Some("lookup"), "0"), 1),
        (clear(None), 1),
        (clear(Some("lookup")), 1),
        (clear(Some("lookup")), 0),
    ] {
        assert_eq!(records.apply(&request), Ok(changes), "{request:?}");
    }
    assert!(records.budgets.is_empty());
    let set_for = |team: &str| Request::SetBudget {
        team: team.into(),
        class: None,
        limit: Limit::Count(1),
    };
    assert_eq!(records.refusal(&set_for("green")), ProblemKind::Invalid);
    assert_eq!(
        records.refusal(&set_for("the blue")),
        ProblemKind::Refused,
        "the team's name can't be part of a key"
    );
}

#[test]
fn limits_are_numbers_or_shares_rounded_down() {
    for (text, of_nine) in [
        ("0", 0),
        ("4", 4),
        ("100%", 9),
        ("50%", 4),
        ("11%", 0),
        ("12.5%", 1),
    ] {
        let limit: Limit = text.parse().expect("the limit is valid");
        assert_eq!(limit.resolve(9), of_nine, "{text}");
        assert_eq!(limit.to_string(), text);
    }
    for wrong in ["", "-1", "1.5", "101%", "-1%", "%", "x", "NaN%"] {
        assert!(wrong.parse::<Limit>().is_err(), "{wrong}");
    }
}
