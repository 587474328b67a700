//! Prints replies as text or as JSON. The schema of the JSON is in `docs/schemas`.

use dappleshore_drain::operator::{BudgetStatus, DrainStatus, Problem, Reply};
use schemars::JsonSchema;
use serde::Serialize;

/// What `--json` writes.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Shown {
    /// Of `cordon`, `drain` and `drains`.
    Drains(Vec<DrainStatus>),
    /// Of `budget`.
    Budgets(Vec<BudgetStatus>),
    /// Of `uncordon`: the drains and cordons that no longer hold these machines.
    Uncordoned(Vec<String>),
    /// In place of an answer.
    Problem(Problem),
}

impl From<&Reply> for Shown {
    fn from(reply: &Reply) -> Self {
        match reply {
            Reply::Drains(drains) => Shown::Drains(drains.clone()),
            Reply::Budgets(budgets) => Shown::Budgets(budgets.clone()),
            Reply::Uncordoned { records } => {
                Shown::Uncordoned(records.iter().map(ToString::to_string).collect())
            }
            Reply::Problem(problem) => Shown::Problem(problem.clone()),
            Reply::NotLeader { leader, .. } => Shown::Problem(Problem::new(
                dappleshore_drain::operator::ProblemKind::Unavailable,
                format!("{leader} leads"),
            )),
        }
    }
}

/// Prints a reply on standard output.
pub fn print_reply(reply: &Reply, json: bool) {
    let shown = Shown::from(reply);
    if json {
        println!("{}", to_json(&shown));
        return;
    }
    match shown {
        Shown::Drains(drains) if drains.is_empty() => println!("no drains"),
        Shown::Drains(drains) => drains
            .iter()
            .for_each(|drain| println!("{}", drain_line(drain))),
        Shown::Budgets(budgets) => budgets
            .iter()
            .for_each(|budget| println!("{}", budget_line(budget))),
        Shown::Uncordoned(records) if records.is_empty() => println!("nothing held them"),
        Shown::Uncordoned(records) => println!("no longer held by {}", records.join(", ")),
        Shown::Problem(problem) => println!("{problem}"),
    }
}

/// Prints a problem in one line on standard error, and with `json` also as JSON on standard output.
pub fn print_problem(problem: &Problem, json: bool) {
    if json {
        println!("{}", to_json(&Shown::Problem(problem.clone())));
    }
    eprintln!("{problem}");
}

fn to_json(shown: &Shown) -> String {
    // These types can always be serialized as JSON.
    serde_json::to_string(shown).unwrap_or_default()
}

fn drain_line(drain: &DrainStatus) -> String {
    let reason = drain.reason.as_ref();
    let reason = reason.map_or(String::new(), |reason| format!(" ({reason})"));
    format!(
        "{}: {} of {}: {}{reason}; {} of {} machines empty, {} tasks left, {} on their way",
        drain.id,
        drain.purpose,
        drain.scope,
        drain.state.as_str(),
        drain.empty,
        drain.machines,
        drain.tasks_left,
        drain.outstanding,
    )
}

fn budget_line(budget: &BudgetStatus) -> String {
    let class = budget.class.as_ref();
    let class = class.map_or(String::new(), |class| format!(", class {class}"));
    format!(
        "{}{class}: {} ({}): {} of {} tasks disrupted, {} allowed",
        budget.team, budget.limit, budget.source, budget.disrupted, budget.tasks, budget.allowed
    )
}

#[cfg(test)]
mod tests;
