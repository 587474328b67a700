//! How long machines of a type take to boot, as measured.
//!
//! Owned by the boot tracker, which reports each machine that came up and the ages of those that have not. All times are
//! from the cloud's grant to the worker's first report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::domain::InstanceTypeName;

/// The boots that an estimate rests on: the last ones.
const MAX_SAMPLES: usize = 21;
/// The advertised boot time counts as so many boots, so that the first few measured ones don't decide alone.
const ADVERTISED_TIME_WEIGHT: usize = 3;
/// A machine that takes more than this many times as long as expected is late.
const OVERDUE_FACTOR: f64 = 2.0;
/// A machine that takes more than this many times as long as expected, and [`TIMEOUT_MARGIN`] more, never comes up.
const TIMEOUT_FACTOR: f64 = 3.0;
/// Added to that, for short boot times.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(10);

/// Boot times by machine type. An estimate is a median, so that a few machines that come up late, at once or never don't
/// move it, while it follows as soon as most of them do.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    samples: BTreeMap<InstanceTypeName, VecDeque<Duration>>,
    expected: BTreeMap<InstanceTypeName, Duration>,
}

impl BootTimes {
    /// Notes that a machine has come up.
    pub(super) fn record(&mut self, type_name: &InstanceTypeName, boot_time: Duration) {
        let type_samples = self.samples.entry(type_name.clone()).or_default();
        type_samples.push_back(boot_time);
        if type_samples.len() > MAX_SAMPLES {
            type_samples.pop_front();
        }
    }

    /// Updates the estimate for a type. `booting`: the ages of its machines that are not up yet. They are known to take
    /// at least that long, which counts as soon as it is longer than usual: when all machines are late, none has to come
    /// up before that is noticed.
    pub(super) fn update(
        &mut self,
        type_name: &InstanceTypeName,
        advertised: Duration,
        booting_ages: &[Duration],
    ) {
        let measured = self.samples.get(type_name).into_iter().flatten().copied();
        let mut boot_times: Vec<Duration> = std::iter::repeat_n(advertised, ADVERTISED_TIME_WEIGHT)
            .chain(measured)
            .collect();
        let measured_median = median(&mut boot_times);
        boot_times.extend(
            booting_ages
                .iter()
                .copied()
                .filter(|age| *age > measured_median),
        );
        self.expected
            .insert(type_name.clone(), median(&mut boot_times));
    }

    /// The boot time to expect; the advertised one as long as nothing is known.
    pub(super) fn expected(&self, type_name: &InstanceTypeName, advertised: Duration) -> Duration {
        self.expected.get(type_name).copied().unwrap_or(advertised)
    }

    /// Whether a machine of this age that is not up should no longer be waited for when machines are short. It may come
    /// up all the same.
    pub(super) fn is_overdue(
        &self,
        type_name: &InstanceTypeName,
        advertised: Duration,
        age: Duration,
    ) -> bool {
        age > self
            .conservative_estimate(type_name, advertised)
            .mul_f64(OVERDUE_FACTOR)
    }

    /// Whether a machine of this age that is not up never will be.
    pub(super) fn has_timed_out(
        &self,
        type_name: &InstanceTypeName,
        advertised: Duration,
        age: Duration,
    ) -> bool {
        age > self
            .conservative_estimate(type_name, advertised)
            .mul_f64(TIMEOUT_FACTOR)
            + TIMEOUT_MARGIN
    }

    /// Boots that were quick for a while are no reason to give up one that takes its usual time.
    fn conservative_estimate(
        &self,
        type_name: &InstanceTypeName,
        advertised: Duration,
    ) -> Duration {
        self.expected(type_name, advertised).max(advertised)
    }
}

fn median(values: &mut [Duration]) -> Duration {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests;
