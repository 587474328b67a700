use super::*;
use crate::config::tests::SETTINGS;
use crate::provisioning::Flavors;
use crate::provisioning::wire::FlavorList;
use crate::provisioning::wire::tests::flavor;
use crate::store::records::{Member, encode, member_key};
use crate::store::{Change, TxnChange};

/// A controller that can't do a holder's work must not win blocks back at once: they would go to and fro.
#[test]
fn blocks_leave_a_holder_that_is_cut_off_and_stay_away_longer_each_time() {
    let config = Config::parse("s.toml", SETTINGS).expect("valid");
    let policy = Policy::defaults(&config);
    let mut flavors = Flavors::default();
    flavors.answered(Some(FlavorList {
        types: vec![flavor()],
    }));
    let start = Now::read();
    let at = |seconds: u64| Now {
        steady: start.steady + Duration::from_secs(seconds),
        ..start
    };
    let mut cache = WatchCache::following();
    let other = config.peers[0].name.clone();
    for (version, controller) in [(1, &config.name), (2, &other)] {
        let change = Change {
            key: member_key(controller),
            version,
            value: Some(encode(&Member { boot: 1, format: 0 })),
        };
        cache.apply(change);
    }
    let mut granting = Granting::new();
    let mut version = 2;
    // Grants what is due and commits it. Returns how many blocks the other one holds.
    let mut grant = |granting: &mut Granting, now: Now| {
        let lead = Lead {
            config: &config,
            policy: &policy,
            flavors: &flavors,
            term: 1,
            version: 1,
            batch: 16,
            spare: true,
        };
        for _ in 0..40 {
            granting.heard_from(now, &other, 1);
            granting.writer = Writer::Idle;
            let Some(Op::Commit(txn)) = granting.poll(now, &lead, &mut cache) else {
                break;
            };
            version += 1;
            for change in txn.changes {
                let TxnChange::Put { key, value, .. } = change else {
                    panic!("{change:?}")
                };
                cache.apply(Change {
                    key,
                    version,
                    value: Some(value),
                });
            }
        }
        cache
            .grants
            .values()
            .filter(|grant| grant.value.holder == other)
            .count()
    };
    grant(&mut granting, at(0));
    granting.writer = Writer::Idle;
    assert!(grant(&mut granting, at(1)) > 0);
    granting.unfit(at(10), &other);
    assert_eq!(grant(&mut granting, at(10)), 0);
    assert_eq!(grant(&mut granting, at(39)), 0);
    assert!(grant(&mut granting, at(41)) > 0);
    granting.unfit(at(50), &other);
    assert_eq!(grant(&mut granting, at(100)), 0, "twice as long");
    assert!(grant(&mut granting, at(111)) > 0);
    // If nobody can do it, things stay as they are.
    granting.unfit(at(120), &other);
    granting.unfit(at(120), &config.name);
    assert!(grant(&mut granting, at(121)) > 0);
}
