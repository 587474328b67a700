use super::*;

#[test]
fn the_margin_is_the_square_root_of_the_demand_scaled_by_eta_and_headroom() {
    // e = 2*sqrt(1/2) for eta = 1.
    assert_eq!(machines_to_add(0.0, 0, 1.0, 1.0), 0);
    assert_eq!(machines_to_add(16.0, 16, 1.0, 1.0), 6);
    assert_eq!(machines_to_add(16.0, 0, 1.0, 1.0), 22);
    assert_eq!(machines_to_add(16.0, 22, 1.0, 1.0), -1);
    assert_eq!(machines_to_add(16.0, 30, 1.0, 1.0), -9);
    assert_eq!(machines_to_add(0.0, 3, 1.0, 1.0), -3);
    assert_eq!(machines_to_add(16.0, 16, 1.0, 2.0), 12);
    // Machines that boot at once need no margin.
    assert_eq!(machines_to_add(16.0, 16, 0.0, 1.0), 0);
}
