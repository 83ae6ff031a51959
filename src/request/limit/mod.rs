//! Distributed token buckets that limit each customer's rate and burst over all
//! hosts together.
//!
//! Tokens are conserved: each token is refilled in one bucket, is held at one
//! place at a time and is spent at most once. A lost message loses the tokens
//! that it carries; a repeated or late message creates none.
//! [`limiter::CustomerLimiter`] holds one customer's state at one host. It does
//! no I/O and reads no clock: each step receives the time and an event, and
//! returns the effects that the driver must carry out.

pub mod allotments;
pub mod amount;
pub mod borrowed;
pub mod bucket;
pub mod candidate;
pub mod demand;
pub mod estimate;
pub mod floor;
pub mod limiter;
pub mod message;
pub mod own;
pub mod view;

pub use amount::Amount;
pub use floor::FloorStatus;
pub use floor::FloorUse;
pub use floor::UnusedFloors;
pub use limiter::CustomerLimiter;
pub use limiter::Decision;
pub use limiter::Effect;
pub use limiter::Env;
pub use limiter::Summary;
pub use limiter::Ticket;
pub use message::GrantId;
pub use message::GrantReply;
pub use message::GrantRequest;
pub use view::FloorLease;
pub use view::Member;
pub use view::View;
