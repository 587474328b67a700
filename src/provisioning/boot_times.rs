//! How long machines of a type take to boot, as measured.
//!
//! Owned by the boot tracker, which reports each machine that came up and the ages of those that have not. All times are
//! from the cloud's grant to the worker's first report.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::domain::InstanceTypeName;

/// The boots that an estimate rests on: the last ones.
const SAMPLES: usize = 21;
/// The stated boot time counts as so many boots, so that the first few measured ones don't decide alone.
const PRIOR: usize = 3;
/// A machine that takes more than this many times as long as expected is late.
const LATE: f64 = 2.0;
/// A machine that takes more than this many times as long as expected, and [`NEVER_EXTRA`] more, never comes up.
const NEVER: f64 = 3.0;
/// Added to that, for short boot times.
const NEVER_EXTRA: Duration = Duration::from_secs(10);

/// Boot times by machine type. An estimate is a median, so that a few machines that come up late, at once or never don't
/// move it, while it follows as soon as most of them do.
#[derive(Debug, Default)]
pub(super) struct BootTimes {
    measured: BTreeMap<InstanceTypeName, VecDeque<Duration>>,
    expected: BTreeMap<InstanceTypeName, Duration>,
}

impl BootTimes {
    /// Notes that a machine has come up.
    pub(super) fn record(&mut self, type_name: &InstanceTypeName, took: Duration) {
        let samples = self.measured.entry(type_name.clone()).or_default();
        samples.push_back(took);
        if samples.len() > SAMPLES {
            samples.pop_front();
        }
    }

    /// Updates the estimate for a type. `booting`: the ages of its machines that are not up yet. They are known to take
    /// at least that long, which counts as soon as it is longer than usual: when all machines are late, none has to come
    /// up before that is noticed.
    pub(super) fn update(
        &mut self,
        type_name: &InstanceTypeName,
        stated: Duration,
        booting: &[Duration],
    ) {
        let measured = self.measured.get(type_name).into_iter().flatten().copied();
        let mut known: Vec<Duration> = std::iter::repeat_n(stated, PRIOR).chain(measured).collect();
        let usual = median(&mut known);
        known.extend(booting.iter().copied().filter(|age| *age > usual));
        self.expected.insert(type_name.clone(), median(&mut known));
    }

    /// The boot time to expect; the stated one as long as nothing is known.
    pub(super) fn expected(&self, type_name: &InstanceTypeName, stated: Duration) -> Duration {
        self.expected.get(type_name).copied().unwrap_or(stated)
    }

    /// Whether a machine of this age that is not up should no longer be waited for when machines are short. It may come
    /// up all the same.
    pub(super) fn is_late(
        &self,
        type_name: &InstanceTypeName,
        stated: Duration,
        age: Duration,
    ) -> bool {
        age > self.patience(type_name, stated).mul_f64(LATE)
    }

    /// Whether a machine of this age that is not up never will be.
    pub(super) fn is_lost(
        &self,
        type_name: &InstanceTypeName,
        stated: Duration,
        age: Duration,
    ) -> bool {
        age > self.patience(type_name, stated).mul_f64(NEVER) + NEVER_EXTRA
    }

    /// Boots that were quick for a while are no reason to give up one that takes its usual time.
    fn patience(&self, type_name: &InstanceTypeName, stated: Duration) -> Duration {
        self.expected(type_name, stated).max(stated)
    }
}

fn median(values: &mut [Duration]) -> Duration {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

#[cfg(test)]
mod tests;
