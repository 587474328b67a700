//! Estimates of how long machines of a type take to boot.
//!
//! Owned by the boot tracker, which reports each machine that came up and the ages of those still booting. All times
//! are measured from the cloud's grant to the worker's first report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::domain::InstanceTypeName;

/// Number of latest boots that an estimate is based on.
const MAX_SAMPLES: usize = 21;
/// The advertised boot time counts as this many boots, so that the first few measured ones don't decide alone.
const ADVERTISED_TIME_WEIGHT: usize = 3;
/// A machine is overdue after this many times the expected boot time.
const OVERDUE_FACTOR: f64 = 2.0;
/// A machine is assumed never to come up after this many times the expected boot time plus [`TIMEOUT_MARGIN`].
const TIMEOUT_FACTOR: f64 = 3.0;
/// Added to the timeout for the sake of short boot times.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(10);

/// Boot times by instance type. An estimate is a median, so that a few machines that come up late, immediately or
/// never don't change it, while it follows as soon as most of them do.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    samples: BTreeMap<InstanceTypeName, VecDeque<Duration>>,
    expected: BTreeMap<InstanceTypeName, Duration>,
}

impl BootTimes {
    /// Records the boot time of a machine that came up.
    pub(super) fn record(&mut self, type_name: &InstanceTypeName, boot_time: Duration) {
        let type_samples = self.samples.entry(type_name.clone()).or_default();
        type_samples.push_back(boot_time);
        if type_samples.len() > MAX_SAMPLES {
            type_samples.pop_front();
        }
    }

    /// Updates the estimate for a type. `booting_ages`: the ages of its machines that are not up yet. A machine takes
    /// at least its age to boot, so ages above the measured median are added to the samples. The estimate therefore
    /// rises when all machines are slow, before any of them comes up.
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

    /// The expected boot time, or the advertised one if there is no estimate yet.
    pub(super) fn expected(&self, type_name: &InstanceTypeName, advertised: Duration) -> Duration {
        self.expected.get(type_name).copied().unwrap_or(advertised)
    }

    /// Whether a machine of this age that is not up is overdue: when machines are short, a replacement is requested.
    /// The machine may still come up.
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

    /// Whether a machine of this age that is not up is assumed never to come up.
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

    /// The expected boot time, but at least the advertised one: after a series of quick boots, a machine that takes
    /// the advertised time must not be given up.
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
