//! Processing of one call: authentication, admission, ordering, placement,
//! dispatch and answer.

pub mod answer;
pub mod call;
pub mod completion;
pub mod cost;
pub mod dispatch;
pub mod entry;
pub mod held;
pub mod limit;
pub mod once;
pub mod outcome;
pub mod permit;
pub mod place;
pub mod programs;
pub mod queue;
pub mod receive;
pub mod retry;
pub mod run;
