//! Tests of a block's parts under limits on the size of a value and on the changes of a transaction.

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::*;
use crate::domain::{JobId, TaskId};
use crate::store::TransactionChange;
use crate::store::records::{encode, json_size};

const LIMITS: PartLimits = PartLimits {
    max_value_bytes: 2048,
    max_changes: 5,
    multiple_parts: true,
};

const TOKEN: FencingToken = FencingToken(4);

fn attempt(job: u64, index: u32) -> Attempt {
    Attempt {
        task: TaskId {
            job: JobId(job),
            index,
        },
        number: (9 << 20) + job * 1000 + u64::from(index),
    }
}

fn machine(n: u64) -> MachineId {
    format!("m-{n:06}").as_str().into()
}

/// Returns the parts after the transaction. Checks that it keeps to the limits.
fn commit(
    old: &Parts<BlockPlacements>,
    transaction: PartsTransaction,
    revision: u64,
) -> Parts<BlockPlacements> {
    let txn = transaction.add_to(&"a.0".into(), TOKEN, old, Transaction::default());
    assert!(
        txn.changes.len() <= LIMITS.max_changes,
        "a transaction has {} changes",
        txn.changes.len()
    );
    for change in &txn.changes {
        if let TransactionChange::Put { key, value, .. } = change {
            let size = json_size(value);
            assert!(
                size <= LIMITS.max_value_bytes,
                "the value of {key} has {size} bytes"
            );
        }
    }
    transaction.into_committed(revision)
}

fn one_part(placements: BlockPlacements) -> Parts<BlockPlacements> {
    let part = Versioned {
        value: placements,
        version: 1,
    };
    [(FIRST_PART, part)].into()
}

#[test]
fn values_and_transactions_stay_within_limits_for_random_starts_and_ends() {
    for seed in 0..3 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut parts: Parts<BlockPlacements> = Parts::new();
        let mut placed: Vec<(MachineId, Attempt)> = Vec::new();
        let mut finished: BTreeMap<JobId, BTreeSet<u32>> = BTreeMap::new();
        for step in 0..120u64 {
            let mut transaction = PartsTransaction::new(&parts, LIMITS, &BTreeSet::new());
            for _ in 0..rng.random_range(0..20) {
                if let Some((on, ended)) = placed.choose(&mut rng).cloned()
                    && transaction.remove(&on, ended, true)
                {
                    placed.retain(|(_, attempt)| *attempt != ended);
                    finished
                        .entry(ended.task.job)
                        .or_default()
                        .insert(ended.task.index);
                }
            }
            for index in 0..rng.random_range(0..30) {
                let (on, new) = (machine(rng.random_range(0..90)), attempt(step, index));
                if placed.len() < 400 && transaction.add(&on, new) {
                    placed.push((on, new));
                }
            }
            parts = commit(&parts, transaction, step + 1);
            let all = merged(&parts);
            assert_eq!(
                all.attempts().count(),
                placed.len(),
                "seed {seed}, step {step}"
            );
            assert!(
                placed
                    .iter()
                    .all(|(on, attempt)| contains_attempt(&all, on, *attempt)),
                "seed {seed}, step {step}"
            );
            for (job, done) in &finished {
                assert!(done.iter().all(|index| all.done[job].contains(*index)));
            }
        }
        assert!(parts.len() > 5, "seed {seed}: {} parts", parts.len());
    }
}

#[test]
fn an_oversized_value_is_split_over_several_transactions_without_loss() {
    let mut large = BlockPlacements::default();
    for n in 0..500 {
        large.add(&machine(n % 150), attempt(n, 0));
    }
    for n in 0..200 {
        let done = large.done.entry(JobId(700 + n)).or_default();
        (0..20).step_by(2).for_each(|index| done.insert(index));
    }
    assert!(json_size(&encode(&large)) > 10_000);
    let mut parts = one_part(large.clone());
    let mut steps = 0;
    while let Some(transaction) =
        PartsTransaction::split_oversized(&parts, LIMITS, &BTreeSet::new())
    {
        steps += 1;
        assert!(transaction.has_changes() && steps < 20, "step {steps}");
        parts = commit(&parts, transaction, steps + 1);
        // No entry is missing after any of the transactions.
        assert_same(&merged(&parts), &large);
    }
    assert!(steps > 1, "the split must need more than one transaction");
    assert!(
        !parts.contains_key(&FIRST_PART),
        "the oversized part must be deleted, because it can't be written"
    );
}

fn assert_same(found: &BlockPlacements, expected: &BlockPlacements) {
    assert_eq!(found.done, expected.done);
    let sorted = |placements: &BlockPlacements| {
        let mut all: Vec<(MachineId, Attempt)> = placements
            .attempts()
            .map(|(machine, attempt)| (machine.clone(), attempt))
            .collect();
        all.sort();
        all
    };
    assert_eq!(sorted(found), sorted(expected));
}

#[test]
fn placements_stay_in_a_single_part_where_production_allows_no_others() {
    let limits = PartLimits {
        max_changes: 1,
        multiple_parts: false,
        ..LIMITS
    };
    let mut large = BlockPlacements::default();
    (0..200).for_each(|n| {
        large.add(&machine(n), attempt(n, 0));
    });
    let parts = one_part(large);
    assert!(PartsTransaction::split_oversized(&parts, limits, &BTreeSet::new()).is_none());
    let mut transaction = PartsTransaction::new(&parts, limits, &BTreeSet::new());
    assert!(
        !transaction.add(&machine(1), attempt(900, 0)),
        "the only part has no space, and no other one is allowed"
    );
    assert!(
        transaction.remove(&machine(0), attempt(0, 0), true),
        "the removal of an ended attempt must be possible in a full part"
    );
    assert_eq!(transaction.changed().len(), 1);
}

/// Otherwise a late duplicate of the first transaction could be executed after the second one.
#[test]
fn at_most_one_of_a_transaction_of_unknown_outcome_and_the_next_one_is_executed() {
    let parts: Parts<BlockPlacements> = (0..3)
        .map(|index| {
            let mut placements = BlockPlacements::default();
            placements.add(&machine(u64::from(index)), attempt(u64::from(index), 0));
            let part = Versioned {
                value: placements,
                version: 4,
            };
            (index, part)
        })
        .collect();
    let mut unknown = PartsTransaction::new(&parts, LIMITS, &BTreeSet::new());
    unknown.remove(&machine(1), attempt(1, 0), true);
    let undecided = unknown.changed().clone();
    let mut next = PartsTransaction::new(&parts, LIMITS, &undecided);
    next.remove(&machine(2), attempt(2, 0), true);
    let keys = |transaction: &PartsTransaction| -> BTreeSet<(String, u64)> {
        let txn = transaction.add_to(&"a.0".into(), TOKEN, &parts, Transaction::default());
        txn.conditions.into_iter().collect()
    };
    assert!(keys(&unknown).is_subset(&keys(&next)));
    let written = |transaction: &PartsTransaction| transaction.changed().clone();
    assert!(written(&unknown).is_subset(&written(&next)));
}
