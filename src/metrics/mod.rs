//! What operators watch: counters and histograms of this process, shown on the peer address and in the log.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::store::StoreResponse;

/// Longer times are counted as this long.
const LONGEST_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Times in milliseconds, or in microseconds where the name says so.
#[derive(Debug)]
pub struct Times(Histogram<u64>);

impl Times {
    fn new() -> Self {
        // Fails only for bounds or digits out of range, and these are constants.
        match Histogram::new_with_bounds(1, LONGEST_MS, SIGNIFICANT_DIGITS) {
            Ok(histogram) => Times(histogram),
            Err(problem) => unreachable!("{problem}"),
        }
    }

    pub fn record(&mut self, value: u64) {
        self.0.saturating_record(value.clamp(1, LONGEST_MS));
    }

    pub fn quantile(&self, quantile: f64) -> u64 {
        if self.0.is_empty() {
            0
        } else {
            self.0.value_at_quantile(quantile)
        }
    }

    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

#[derive(Debug)]
pub struct Metrics {
    /// From a submission's arrival to its acceptance.
    pub accept_ms: Times,
    /// From a job's acceptance to each of its tasks running, as their holder sees it.
    pub start_ms: Times,
    /// Processing of one event: a leader's round is the longest kind.
    pub step_us: Times,
    /// Answers to users that were not 200 or 201.
    pub refused: BTreeMap<u16, u64>,
    /// Transactions, by the slice that sent them and what became of them.
    pub transactions: BTreeMap<(&'static str, &'static str), u64>,
    /// Values of the moment: queue per team, machines by state.
    pub gauges: BTreeMap<String, f64>,
}

impl Metrics {
    pub fn new() -> Self {
        Metrics {
            accept_ms: Times::new(),
            start_ms: Times::new(),
            step_us: Times::new(),
            refused: BTreeMap::new(),
            transactions: BTreeMap::new(),
            gauges: BTreeMap::new(),
        }
    }

    pub fn record_event_duration(&mut self, duration: Duration) {
        self.step_us
            .record(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX));
    }

    pub fn refused(&mut self, status: u16) {
        *self.refused.entry(status).or_default() += 1;
    }

    pub fn transaction(&mut self, slice: &'static str, outcome: &StoreResponse) {
        let became = match outcome {
            StoreResponse::Committed { .. } => "committed",
            StoreResponse::Conflict => "conflict",
            StoreResponse::Refused => "refused",
            _ => "unknown",
        };
        *self.transactions.entry((slice, became)).or_default() += 1;
    }

    /// One value a line.
    pub fn show(&self) -> String {
        let mut text = String::new();
        let times = [
            ("accept_ms", &self.accept_ms),
            ("start_ms", &self.start_ms),
            ("step_us", &self.step_us),
        ];
        for (name, times) in times {
            // Writing to a String can't fail.
            let _ = writeln!(text, "{name}_count {}", times.count());
            for (label, quantile) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("max", 1.0)] {
                let _ = writeln!(
                    text,
                    "{name}{{quantile=\"{label}\"}} {}",
                    times.quantile(quantile)
                );
            }
        }
        for (status, count) in &self.refused {
            let _ = writeln!(text, "refused{{status=\"{status}\"}} {count}");
        }
        for ((slice, became), count) in &self.transactions {
            let _ = writeln!(
                text,
                "transactions{{slice=\"{slice}\",outcome=\"{became}\"}} {count}"
            );
        }
        for (name, value) in &self.gauges {
            let _ = writeln!(text, "{name} {value}");
        }
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

#[cfg(test)]
mod tests;
