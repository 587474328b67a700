//! The provisioning rule of the design: a square-root margin over the present demand.

/// How many machines to order (positive) or return (negative) for `n` machines' worth of demand when `m` are
/// there or on order: ceil(n + e*sqrt(n) - m), or ceil(m - n - e*sqrt(n)) the other way.
///
/// `factor` widens the margin; 1 is the least that the rule's source allows.
pub fn change(n: f64, m: u32, eta: f64, factor: f64) -> i64 {
    let margin = headroom(n, eta) * factor.max(1.0);
    let short = n + margin - f64::from(m);
    // The room of many small tasks adds up to a whole machine only nearly.
    let ceil = |value: f64| (value - 1e-9).ceil() as i64;
    if short > 1e-9 {
        ceil(short)
    } else {
        -ceil(-short)
    }
}

/// e*sqrt(n) with e = 2*sqrt(eta/(1+eta)), the least that formula (12) allows.
pub fn headroom(n: f64, eta: f64) -> f64 {
    2.0 * (eta / (1.0 + eta)).sqrt() * n.max(0.0).sqrt()
}

#[cfg(test)]
mod tests;
