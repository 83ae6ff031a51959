//! Fault switches that apply to a limited number of requests.

/// Decrements a positive count; returns whether it was positive.
pub(crate) fn consume_one(count: &mut u32) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}
