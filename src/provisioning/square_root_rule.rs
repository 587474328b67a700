//! The scale-out rule: the demand for machines plus a margin that grows with its square root.
//!
//! Pure functions of numbers. The provisioner applies the rule to each pool in each of its rounds; the scheduler uses
//! the margin alone, to keep that many machines free of best-effort work.
//!
//! The source is the square-root staffing rule, formula (12) of the paper that the design is based on:
//! `n + e * sqrt(n)` machines for a demand of `n`, with `e` at least `2 * sqrt(eta / (1 + eta))`, where `eta` is a
//! machine's boot time divided by the mean run time of a task.

/// Differences smaller than this are rounding errors: the fractions of many small tasks add up to a whole machine only
/// approximately.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Number of machines to rent (positive) or to return (negative): `ceil(n + e * sqrt(n) - m)`, or the negative of
/// `ceil(m - n - e * sqrt(n))`.
///
/// `demand` is `n` in machines, `machines` is `m`: the existing and the requested ones. `headroom_factor` multiplies
/// the margin; a factor below 1, the minimum of the rule's source, counts as 1.
#[must_use]
pub fn machines_to_add(demand: f64, machines: u32, eta: f64, headroom_factor: f64) -> i64 {
    let margin = headroom(demand, eta) * headroom_factor.max(1.0);
    let shortfall = demand + margin - f64::from(machines);
    let ceil = |value: f64| (value - ROUNDING_TOLERANCE).ceil() as i64;
    if shortfall > ROUNDING_TOLERANCE {
        ceil(shortfall)
    } else {
        -ceil(-shortfall)
    }
}

/// The minimum margin over a demand, in machines: `e * sqrt(n)` with `e = 2 * sqrt(eta / (1 + eta))`.
#[must_use]
pub fn headroom(demand: f64, eta: f64) -> f64 {
    2.0 * (eta / (1.0 + eta)).sqrt() * demand.max(0.0).sqrt()
}

#[cfg(test)]
mod tests;
