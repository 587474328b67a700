use super::*;

#[test]
fn what_was_recorded_is_shown() {
    let mut metrics = Metrics::new();
    for value in 1..=100 {
        metrics.accept_ms.record(value);
    }
    metrics.accept_ms.record(u64::MAX);
    metrics.transaction("block", &StoreResponse::Conflict);
    metrics.refused(503);
    metrics.refused(503);
    metrics
        .gauges
        .insert("waiting{team=\"red\"}".to_owned(), 3.0);
    let text = metrics.show();
    for line in [
        "accept_ms_count 101",
        "accept_ms{quantile=\"p50\"} 51",
        "start_ms{quantile=\"p99\"} 0",
        "refused{status=\"503\"} 2",
        "transactions{slice=\"block\",outcome=\"conflict\"} 1",
        "waiting{team=\"red\"} 3",
    ] {
        assert!(
            text.lines().any(|shown| shown == line),
            "{line} is not in\n{text}"
        );
    }
}
