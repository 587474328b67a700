//! What users are answered, and when.

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
        let config = Config::parse("s.toml", SETTINGS).expect("valid");
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

    fn advance_clock(&mut self, passed: Duration) {
        self.now = Now {
            monotonic: self.now.monotonic + passed,
            wall: self.now.wall + passed,
        };
    }

    fn start_outage(&mut self) {
        self.advance_clock(Duration::from_secs(5));
        self.rate_limiter
            .record_response(self.now, &StoreResponse::Refused);
    }

    /// The status of the answer that comes at once, if one does.
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
            assert!(retry_after.is_some(), "says when to come back");
        }
        let (Response::State { status, .. } | Response::Problem { status, .. }) = response;
        Some(status)
    }
}

/// A user who sent something wrong must not be kept asking because the state service is away.
#[test]
fn bad_input_is_refused_at_once_in_an_outage_as_well() {
    let mut harness = JobApiHarness::new();
    let any_type = ("berthKinds", ciborium::Value::Null);
    let never_fits = [any_type.clone(), ("cpus", 17.0.into())];
    let incomplete = [any_type.clone(), ("entries", ciborium::Value::Null)];
    let fits = [any_type];
    assert_eq!(harness.submit(&never_fits), Some(422));
    assert_eq!(harness.submit(&incomplete), Some(400));
    assert_eq!(harness.submit(&fits), None, "answered once it is committed");
    harness.start_outage();
    assert_eq!(harness.submit(&never_fits), Some(422));
    assert_eq!(harness.submit(&incomplete), Some(400));
    assert_eq!(harness.submit(&fits), Some(503));
    harness.catalog = InstanceCatalog::default();
    assert_eq!(harness.submit(&never_fits), Some(503), "can't decide");
}

/// A job that was accepted stays known, whatever is thought of it by now.
#[test]
fn a_repeated_submission_of_an_accepted_job_is_never_refused_for_good() {
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
        "answered once the copy is fresh"
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
        "what is final is told from any copy"
    );
}

/// Others are told of a cancellation only once it is committed, with the version that it was committed as.
#[test]
fn a_cancellation_is_told_once_it_is_committed() {
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
        "nothing was sent yet"
    );
    let transaction = Transaction::default();
    harness.job_api.pending.get_mut(&5).expect("asked").state = RequestState::Committing {
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
