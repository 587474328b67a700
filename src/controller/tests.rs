//! Tests of the health check for the load balancer.

use std::collections::BTreeMap;
use std::time::Duration;

use super::*;
use crate::cloud::CloudResponse;
use crate::cloud::wire::InstanceTypeList;
use crate::config::tests::SETTINGS;
use crate::domain::{ControllerName, since};
use crate::peer::{ControllerHeartbeat, Message};
use crate::provisioning;
use crate::store::{StoreResponse, cache};

/// Returns a controller that has loaded the instance types and has read an empty state service.
fn ready_controller(start: Now, ready_at: Now) -> Controller {
    let config = Config::parse("s.toml", SETTINGS).expect("the test settings are valid");
    let policy = Policy::built_in(&config);
    let mut controller = Controller::new(config, policy, 1, start);
    assert!(
        !controller.is_healthy(ready_at),
        "the cache and the catalogue are not loaded"
    );
    let list = InstanceTypeList {
        types: vec![crate::cloud::wire::tests::instance_type()],
    };
    let event = Event::CloudResponse {
        tag: provisioning::CloudRequestPurpose::RefreshCatalog,
        outcome: CloudResponse::InstanceTypes(list),
    };
    for effect in controller.handle(start, event) {
        if let Effect::Store {
            tag: tag @ StoreTag::WatchCache(cache::RequestTag::Page { .. }),
            ..
        } = effect
        {
            let event = Event::StoreResponse {
                tag,
                sent: start.monotonic,
                outcome: StoreResponse::RangePage {
                    key_values: Vec::new(),
                    more: false,
                    revision: 0,
                },
            };
            controller.handle(ready_at, event);
        }
    }
    controller
}

#[test]
fn a_controller_is_unhealthy_only_while_it_alone_cannot_reach_the_state_service() {
    let start = Now::read();
    let at = |ms| Now {
        monotonic: start.monotonic + Duration::from_millis(ms),
        ..start
    };
    let mut controller = ready_controller(start, at(5));
    assert!(controller.is_healthy(at(20)));
    controller
        .rate_limiter
        .record_response(at(2000), &StoreResponse::Refused);
    let mut is_healthy = |now: Now, reaches_state_service: bool| {
        let sequence_number = now.unix_ms()
            + u64::try_from(since(now, start.monotonic).as_millis())
                .expect("the test time fits into 64 bits");
        let (cancelled_jobs, last_received) = (Vec::new(), BTreeMap::new());
        let peer = ControllerName::from("node-1");
        let heartbeat = ControllerHeartbeat {
            controller: peer,
            incarnation: Incarnation(1),
            sequence_number,
            reaches_state_service,
            cancelled_jobs,
            lists_all_cancellations: true,
            last_received,
        };
        controller.handle(now, Event::Peer(Message::Heartbeat(heartbeat)));
        let effects = controller.handle(now, Event::Health { id: 2 });
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::RespondToHealthCheck { healthy: true, .. }))
    };
    assert!(
        is_healthy(at(2100), true),
        "the outage is shorter than ISOLATION_TIMEOUT"
    );
    assert!(
        is_healthy(at(6000), false),
        "the outage affects all controllers"
    );
    assert!(
        !is_healthy(at(6100), true),
        "only this controller can't reach the state service"
    );
}
