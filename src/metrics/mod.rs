//! The metrics of this process: counters, histograms and gauges.
//!
//! The controller and the service record them; the listener for controllers serves them, and the log contains a summary
//! once a minute. A restart resets them.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::store::StoreResponse;

/// Longer durations are recorded as this value, in the unit of the histogram.
const MAX_RECORDED_DURATION: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;
/// The exported quantiles with their labels.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)];

/// A histogram of durations, in milliseconds or microseconds according to the suffix of the metric's name.
#[derive(Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    fn new() -> Self {
        // Fails only if the bounds or digits are out of range, and they are valid constants.
        match Histogram::new_with_bounds(1, MAX_RECORDED_DURATION, SIGNIFICANT_DIGITS) {
            Ok(histogram) => DurationHistogram(histogram),
            Err(problem) => unreachable!("{problem}"),
        }
    }

    /// Records a duration.
    pub fn record(&mut self, value: u64) {
        self.0
            .saturating_record(value.clamp(1, MAX_RECORDED_DURATION));
    }

    /// The value at this quantile, from 0 to 1, of the recorded durations; 0 if there are none.
    pub fn quantile(&self, quantile: f64) -> u64 {
        if self.0.is_empty() {
            0
        } else {
            self.0.value_at_quantile(quantile)
        }
    }

    /// The number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// The labels of a transaction counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TransactionLabels {
    /// The module that sent the transaction.
    pub module: &'static str,
    /// `committed`, `conflict`, `refused` or `unknown`.
    pub outcome: &'static str,
}

/// The metrics of one process. [`Display`] writes one value per line.
#[derive(Debug)]
pub struct Metrics {
    /// Time from a submission's arrival to its acceptance.
    pub accept_ms: DurationHistogram,
    /// Time from a job's acceptance until each of its tasks runs, as observed by the holder of the task's block.
    pub start_ms: DurationHistogram,
    /// Processing time of one event. The events with a leader's round take longest.
    pub event_duration_us: DurationHistogram,
    /// Responses to users with a status other than 200 and 201, by status.
    pub error_responses: BTreeMap<u16, u64>,
    /// Transactions sent to the state service.
    pub transactions: BTreeMap<TransactionLabels, u64>,
    /// Current values, such as waiting tasks per team and machines by state. The leader sets them.
    pub gauges: BTreeMap<String, f64>,
}

impl Metrics {
    /// Creates metrics without recorded values.
    pub fn new() -> Self {
        Metrics {
            accept_ms: DurationHistogram::new(),
            start_ms: DurationHistogram::new(),
            event_duration_us: DurationHistogram::new(),
            error_responses: BTreeMap::new(),
            transactions: BTreeMap::new(),
            gauges: BTreeMap::new(),
        }
    }

    /// Records the processing time of an event.
    pub fn record_event_duration(&mut self, duration: Duration) {
        self.event_duration_us
            .record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
    }

    /// Counts a response to a user with a status other than 200 and 201.
    pub fn record_refusal(&mut self, status: u16) {
        *self.error_responses.entry(status).or_default() += 1;
    }

    /// Counts a transaction of this module by its outcome.
    pub fn record_transaction(&mut self, module: &'static str, response: &StoreResponse) {
        let outcome = match response {
            StoreResponse::Committed { .. } => "committed",
            StoreResponse::Conflict => "conflict",
            StoreResponse::Refused => "refused",
            _ => "unknown",
        };
        let labels = TransactionLabels { module, outcome };
        *self.transactions.entry(labels).or_default() += 1;
    }
}

impl Display for Metrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let histograms = [
            ("accept_ms", &self.accept_ms),
            ("start_ms", &self.start_ms),
            ("step_us", &self.event_duration_us),
        ];
        for (name, histogram) in histograms {
            writeln!(formatter, "{name}_count {}", histogram.count())?;
            for (label, quantile) in QUANTILES {
                let value = histogram.quantile(quantile);
                writeln!(formatter, "{name}{{quantile=\"{label}\"}} {value}")?;
            }
        }
        for (status, count) in &self.error_responses {
            writeln!(formatter, "refused{{status=\"{status}\"}} {count}")?;
        }
        for (TransactionLabels { module, outcome }, count) in &self.transactions {
            writeln!(
                formatter,
                "transactions{{module=\"{module}\",outcome=\"{outcome}\"}} {count}"
            )?;
        }
        for (name, value) in &self.gauges {
            writeln!(formatter, "{name} {value}")?;
        }
        Ok(())
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

#[cfg(test)]
mod tests;
