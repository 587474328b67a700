use ciborium::cbor;

use super::*;

fn reply(status: u16, value: ciborium::Value) -> Reply {
    Reply {
        status,
        body: encode_body(&value).into(),
    }
}

#[test]
fn a_transaction_is_encoded_as_the_protocol_requires() {
    let txn = Transaction {
        conditions: vec![("a/b".into(), 0)],
        changes: vec![
            TransactionChange::Put {
                key: "a/b".into(),
                value: 3.into(),
                lease: Some(7),
            },
            TransactionChange::Delete { key: "c/d".into() },
        ],
    };
    let request = http_request(&StoreRequest::Commit(txn));
    let sent: Value = decode_body(&request.body).expect("the body is CBOR");
    let expected = cbor!({
        "when" => [{"k" => "a/b", "amended" => 0}],
        "apply" => [{"put" => "a/b", "value" => 3, "tenure" => 7}, {"remove" => "c/d"}]
    });
    assert_eq!(sent, expected.expect("a valid CBOR value"));
}

#[test]
fn each_status_is_parsed_as_its_response() {
    let commit = StoreRequest::Commit(Transaction::default());
    assert_eq!(parse_response(&commit, None), StoreResponse::Unknown);
    assert_eq!(
        parse_response(&commit, Some(&reply(503, Value::Null))),
        StoreResponse::Refused
    );
    assert_eq!(
        parse_response(&commit, Some(&reply(200, Value::Null))),
        StoreResponse::Unknown
    );
    let revision = cbor!({"ledgerLine" => 9}).expect("a valid CBOR value");
    assert_eq!(
        parse_response(&commit, Some(&reply(200, revision.clone()))),
        StoreResponse::Committed { revision: 9 }
    );
    assert_eq!(
        parse_response(&commit, Some(&reply(409, revision.clone()))),
        StoreResponse::Conflict
    );
    let get = StoreRequest::Get { key: "k".into() };
    assert_eq!(
        parse_response(&get, Some(&reply(404, revision))),
        StoreResponse::Missing { revision: 9 }
    );
    let watch = StoreRequest::Watch {
        prefix: "c/".into(),
        after: 3,
        wait: Duration::ZERO,
    };
    let events = cbor!({"ledgerLine" => 9, "news" => [
        {"put" => "c/9", "value" => {"x" => 1}, "amended" => 9}, {"remove" => "c/d", "amended" => 8}]});
    let StoreResponse::WatchEvents {
        revision: 9,
        changes,
    } = parse_response(
        &watch,
        Some(&reply(200, events.expect("a valid CBOR value"))),
    )
    else {
        panic!("expected watch events");
    };
    assert_eq!(changes.len(), 2);
    assert_eq!(
        (
            changes[1].key.as_str(),
            changes[1].version,
            &changes[1].value
        ),
        ("c/d", 8, &None)
    );
    assert_eq!(
        parse_response(&watch, Some(&reply(410, Value::Null))),
        StoreResponse::Compacted
    );
}
