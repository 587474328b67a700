//! The responses to users, and when they are sent.

use super::*;
use crate::cloud::wire::InstanceTypeList;
use crate::cloud::wire::tests::instance_type;
use crate::config::tests::SETTINGS;
use crate::job_api::wire::tests::{encode_fields, sample_fields};
use crate::placement::tests::job;
use crate::store::Change;
use crate::store::records::encode;

struct JobApiHarness {
    config: Config,
    catalog: InstanceCatalog,
    cache: WatchCache,
    rate_limiter: RequestRateLimiter<RequestId>,
    job_api: JobApi,
    now: Now,
}

impl JobApiHarness {
    fn new() -> Self {
        let config = Config::parse("s.toml", SETTINGS).expect("the sample settings are valid");
        let mut catalog = InstanceCatalog::default();
        catalog.handle_response(Some(InstanceTypeList {
            types: vec![instance_type()],
        }));
        let now = Now::read();
        let mut rate_limiter =
            RequestRateLimiter::new(&config.state_limits, config.controller_count(), now);
        rate_limiter.record_response(now, &StoreResponse::Missing { revision: 1 });
        JobApiHarness {
            config,
            catalog,
            cache: WatchCache::loaded_for_tests(),
            rate_limiter,
            job_api: JobApi::new(),
            now,
        }
    }

    fn advance_clock(&mut self, elapsed: Duration) {
        self.now = Now {
            monotonic: self.now.monotonic + elapsed,
            wall: self.now.wall + elapsed,
        };
    }

    fn start_outage(&mut self) {
        self.advance_clock(Duration::from_secs(5));
        self.rate_limiter
            .record_response(self.now, &StoreResponse::Refused);
    }

    /// Submits the sample job with changed fields. Returns the status of the response if it is known at once.
    fn submit(&mut self, changed_fields: &[(&'static str, ciborium::Value)]) -> Option<u16> {
        let mut fields = sample_fields();
        fields.push(("berthKinds", ciborium::Value::Null));
        for (name, value) in changed_fields {
            fields.retain(|(known, _)| known != name);
            fields.push((name, value.clone()));
        }
        fields.dedup_by_key(|(name, _)| *name);
        let mut context = Context {
            config: &self.config,
            catalog: &self.catalog,
            cache: &mut self.cache,
            rate_limiter: &mut self.rate_limiter,
            store_tag: |id| id,
        };
        let response = self
            .job_api
            .submit(self.now, 1, &encode_fields(&fields), &mut context)?;
        if let Response::Problem {
            status: 429 | 503,
            retry_after,
            ..
        } = response
        {
            assert!(
                retry_after.is_some(),
                "a 429 or 503 response has a retry delay"
            );
        }
        let (Response::State { status, .. } | Response::Problem { status, .. }) = response;
        Some(status)
    }
}

/// An outage of the state service must not turn the rejection of an invalid job into a retry.
#[test]
fn invalid_jobs_are_rejected_at_once_during_an_outage() {
    let mut harness = JobApiHarness::new();
    let any_type = ("berthKinds", ciborium::Value::Null);
    let never_fits = [any_type.clone(), ("cpus", 17.0.into())];
    let incomplete = [any_type.clone(), ("entries", ciborium::Value::Null)];
    let fits = [any_type];
    assert_eq!(harness.submit(&never_fits), Some(422));
    assert_eq!(harness.submit(&incomplete), Some(400));
    assert_eq!(
        harness.submit(&fits),
        None,
        "a valid job is answered after its commit"
    );
    harness.start_outage();
    assert_eq!(harness.submit(&never_fits), Some(422));
    assert_eq!(harness.submit(&incomplete), Some(400));
    assert_eq!(harness.submit(&fits), Some(503));
    harness.catalog = InstanceCatalog::default();
    assert_eq!(
        harness.submit(&never_fits),
        Some(503),
        "without instance types the job can't be checked"
    );
}

/// An accepted job stays accepted, also if its submission would be rejected under the present instance types.
#[test]
fn a_repeated_submission_of_an_accepted_job_is_never_rejected() {
    let mut harness = JobApiHarness::new();
    let id = JobId(412);
    let key = job_key(id);
    harness.cache.apply(Change {
        key: key.clone(),
        version: 1,
        value: Some(encode(&JobRecord::Open(job(1, 17.0)))),
    });
    let never_fits = [("berthKinds", ciborium::Value::Null), ("cpus", 17.0.into())];
    assert_eq!(
        harness.submit(&never_fits),
        None,
        "an accepted job is answered once the cache is refreshed"
    );
    harness.start_outage();
    assert_eq!(harness.submit(&never_fits), Some(503));
    let end = JobRecord::Ended(crate::domain::JobOutcome::Done, 1);
    harness.cache.apply(Change {
        key,
        version: 2,
        value: Some(encode(&end)),
    });
    assert_eq!(
        harness.submit(&never_fits),
        Some(200),
        "a final state is reported from a cache of any age"
    );
}

/// Other controllers learn of a cancellation only after its commit, with the version that the commit produced.
#[test]
fn a_cancellation_is_announced_after_its_commit() {
    let mut harness = JobApiHarness::new();
    let id = JobId(412);
    harness.cache.apply(Change {
        key: job_key(id),
        version: 3,
        value: Some(encode(&JobRecord::Open(job(1, 1.0)))),
    });
    let recorded_ms = harness.now.unix_ms();
    let mut context = Context {
        config: &harness.config,
        catalog: &harness.catalog,
        cache: &mut harness.cache,
        rate_limiter: &mut harness.rate_limiter,
        store_tag: |id| id,
    };
    assert_eq!(
        harness
            .job_api
            .cancel(harness.now, 5, "j-000412", &mut context),
        None
    );
    assert_eq!(
        harness
            .job_api
            .committed_cancellation(5, &StoreResponse::Committed { revision: 4 }),
        None,
        "no transaction was sent yet"
    );
    let transaction = Transaction::default();
    harness
        .job_api
        .pending
        .get_mut(&5)
        .expect("the cancellation is pending")
        .state = RequestState::Committing {
        transaction,
        recorded_ms,
    };
    for outcome in [
        StoreResponse::Unknown,
        StoreResponse::Conflict,
        StoreResponse::Refused,
    ] {
        assert_eq!(
            harness.job_api.committed_cancellation(5, &outcome),
            None,
            "{outcome:?}"
        );
    }
    let cancelled = harness
        .job_api
        .committed_cancellation(5, &StoreResponse::Committed { revision: 4 });
    assert_eq!(cancelled, Some(CancelledJob::new(id, 4, recorded_ms)));
}
