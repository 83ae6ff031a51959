//! What lives for one call: identify, admit, order, place, dispatch, answer.

pub mod answer;
pub mod call;
pub mod cost;
pub mod limit;
pub mod outcome;
pub mod place;
pub mod queue;
pub mod receive;
pub mod retry;
