//! Switches that apply to a number of requests.

/// Counts down, and tells whether anything was left.
pub(crate) fn spend(left: &mut u32) -> bool {
    if *left == 0 {
        return false;
    }
    *left -= 1;
    true
}
