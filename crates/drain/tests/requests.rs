//! What operators' requests change, and what they are refused.

use std::collections::{BTreeMap, BTreeSet};

use dappleshore_domain::{MachineId, Team};
use dappleshore_drain::operator::{Problem, ProblemKind, Request};
use dappleshore_drain::planner::{MachineView, ServiceState};
use dappleshore_drain::record::{MAX_ENDED_RECORDS, MAX_RECORDS_IN_EFFECT};
use dappleshore_drain::requests::{Change, RequestContext, changes};
use dappleshore_drain::{DrainId, DrainRecord, Limit, Phase, Purpose, Scope, TeamBudget};

#[derive(Default)]
struct Site {
    drains: BTreeMap<DrainId, DrainRecord>,
    budgets: BTreeMap<Team, TeamBudget>,
}

fn id(text: &str) -> DrainId {
    text.parse().expect("an id")
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

impl Site {
    /// Machines `m-0` to `m-3`, two in each of the zones `a` and `b`.
    fn ask(&mut self, request: &Request) -> Result<usize, Problem> {
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

    fn refused(&mut self, request: &Request) -> ProblemKind {
        self.ask(request).expect_err("refused").kind
    }
}

#[test]
fn repeating_a_request_changes_nothing() {
    let mut site = Site::default();
    let ask = start("disk", zone("a"), Purpose::Drain);
    assert_eq!(site.ask(&ask), Ok(1));
    assert_eq!(site.ask(&ask), Ok(0), "the same name");
    let other = start("other", zone("a"), Purpose::Drain);
    assert_eq!(site.ask(&other), Ok(0), "the same request");
    let different = start("disk", zone("b"), Purpose::Drain);
    assert_eq!(site.refused(&different), ProblemKind::Refused);
    for (request, changes) in [
        (Request::Cancel { id: id("disk") }, 1),
        (Request::Cancel { id: id("disk") }, 0),
        (ask, 0),
    ] {
        assert_eq!(site.ask(&request), Ok(changes), "{request:?}");
    }
    assert_eq!(site.drains[&id("disk")].phase, Phase::Cancelled);
}

#[test]
fn what_does_not_exist_is_refused_by_its_name() {
    let mut site = Site::default();
    for scope in [
        machines(&["m-0", "m-9"]),
        machines(&[]),
        zone("z"),
        Scope::Type("huge".into()),
        Scope::Block("y.7".into()),
    ] {
        let ask = start("disk", scope, Purpose::Drain);
        assert_eq!(site.refused(&ask), ProblemKind::Invalid, "{ask:?}");
    }
    for request in [
        Request::Cancel { id: id("none") },
        Request::Resume { id: id("none") },
        Request::List {
            id: Some(id("none")),
        },
    ] {
        assert_eq!(site.refused(&request), ProblemKind::NotFound, "{request:?}");
    }
}

#[test]
fn machines_go_back_into_service_one_by_one_or_all_together() {
    let mut site = Site::default();
    site.ask(&start("zone", zone("a"), Purpose::Cordon))
        .expect("taken");
    let one = Request::Uncordon {
        scope: machines(&["m-0"]),
    };
    assert_eq!(site.ask(&one), Ok(1));
    assert_eq!(site.ask(&one), Ok(0));
    let record = &site.drains[&id("zone")];
    assert_eq!(record.except, BTreeSet::from([MachineId::from("m-0")]));
    assert!(record.is_in_effect());
    let second = Request::Uncordon {
        scope: machines(&["m-1"]),
    };
    assert_eq!(
        site.refused(&second),
        ProblemKind::Refused,
        "no room for it"
    );
    assert_eq!(site.ask(&Request::Uncordon { scope: zone("a") }), Ok(1));
    assert!(!site.drains[&id("zone")].is_in_effect());
    site.ask(&start("busy", zone("b"), Purpose::Drain))
        .expect("taken");
    let busy = Request::Uncordon { scope: zone("b") };
    assert_eq!(site.refused(&busy), ProblemKind::Refused, "cancel it first");
}

#[test]
fn what_is_stored_is_bounded() {
    let mut site = Site::default();
    for n in 0..MAX_ENDED_RECORDS + 20 {
        let name = format!("d-{n}");
        site.ask(&start(&name, zone("a"), Purpose::Drain))
            .expect("taken");
        site.ask(&Request::Cancel { id: id(&name) }).expect("taken");
    }
    assert!(
        site.drains.len() <= MAX_ENDED_RECORDS + 1,
        "{}",
        site.drains.len()
    );
    assert!(
        !site.drains.contains_key(&id("d-0")),
        "the oldest goes first"
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
        site.ask(&request).expect("taken");
    }
    let more = start("more", zone("b"), Purpose::Drain);
    assert_eq!(site.refused(&more), ProblemKind::Refused);
}

#[test]
fn budgets_are_set_and_cleared() {
    let mut site = Site::default();
    let set = |class: Option<&str>, limit: &str| Request::SetBudget {
        team: "red".into(),
        class: class.map(str::to_owned),
        limit: limit.parse().expect("a limit"),
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
        assert_eq!(site.ask(&request), Ok(changes), "{request:?}");
    }
    assert!(site.budgets.is_empty());
    let of = |team: &str| Request::SetBudget {
        team: team.into(),
        class: None,
        limit: Limit::Count(1),
    };
    assert_eq!(site.refused(&of("green")), ProblemKind::Invalid);
    assert_eq!(
        site.refused(&of("the blue")),
        ProblemKind::Refused,
        "no key"
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
        let limit: Limit = text.parse().expect("a limit");
        assert_eq!(limit.resolve(9), of_nine, "{text}");
        assert_eq!(limit.to_string(), text);
    }
    for wrong in ["", "-1", "1.5", "101%", "-1%", "%", "x", "NaN%"] {
        assert!(wrong.parse::<Limit>().is_err(), "{wrong}");
    }
}
