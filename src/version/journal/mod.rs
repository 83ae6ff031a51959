//! The journal of one partition: once-only calls, budgets and call order.
