//! Tests of the cloud's protocol, and an instance type for the tests of other modules.

use ciborium::cbor;

use super::*;

/// Returns an instance type with 16 CPUs in zone `a`.
pub fn instance_type() -> InstanceType {
    InstanceType {
        name: "large".into(),
        cpus: Amount(16.0),
        gpus: Amount(0.0),
        memory_gb: Amount(64.0),
        cache_gb: Amount(20.0),
        fetch_gb_per_s: Amount(1.0),
        price: Amount(1.0),
        spot_price: Amount(0.3),
        boot_s: Amount(10.0),
        zones: vec!["a".into()],
    }
}

#[test]
fn a_response_without_capacity_differs_from_an_outage() {
    let scale_out = CloudRequest::ScaleOut(ScaleOutRequest {
        request: "r-1-1".into(),
        type_name: "g8".into(),
        zone: "a".into(),
        spot: false,
        count: 2,
    });
    let reply = |error: &str| Reply {
        status: 503,
        body: encode_body(&cbor!({"error" => error}).expect("valid CBOR")).into(),
    };
    assert_eq!(
        parse_response(&scale_out, Some(&reply("no capacity"))),
        CloudResponse::NoCapacity
    );
    assert_eq!(
        parse_response(&scale_out, Some(&reply("trouble"))),
        CloudResponse::Refused
    );
    assert_eq!(parse_response(&scale_out, None), CloudResponse::Unknown);
}
