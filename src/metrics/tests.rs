use super::*;

#[test]
fn recorded_values_are_written_one_per_line() {
    let mut metrics = Metrics::new();
    for value in 1..=100 {
        metrics.accept_ms.record(value);
    }
    metrics.accept_ms.record(u64::MAX);
    metrics.record_transaction("workers", &StoreResponse::Conflict);
    metrics.record_refusal(503);
    metrics.record_refusal(503);
    metrics
        .gauges
        .insert("waiting{team=\"red\"}".to_owned(), 3.0);
    let text = metrics.to_string();
    for line in [
        "accept_ms_count 101",
        "accept_ms{quantile=\"p50\"} 51",
        "start_ms{quantile=\"p99\"} 0",
        "refused{status=\"503\"} 2",
        "transactions{module=\"workers\",outcome=\"conflict\"} 1",
        "waiting{team=\"red\"} 3",
    ] {
        assert!(
            text.lines().any(|text_line| text_line == line),
            "`{line}` is missing in\n{text}"
        );
    }
}
