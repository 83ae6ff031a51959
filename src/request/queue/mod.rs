//! Fair queue of calls that wait for an endpoint.
//!
//! Customers share the endpoints by start-time fair queueing. Each customer has
//! a virtual time that advances by its attained service divided by its weight,
//! and the customer with the lowest virtual time goes next. A customer that was
//! idle starts at the queue's virtual time, so it gains no credit. If its own
//! virtual time is later, it keeps that, so its charges are not lost. Within a
//! customer, interactive calls go before ordinary ones; of either kind, the
//! program with the least attained service goes first, with ageing. The queue
//! does no I/O and reads no clock.

pub mod attained;
pub mod drain;
pub mod fair;
pub mod flow;

pub use attained::AttainedService;
pub use fair::Charge;
pub use fair::Entry;
pub use fair::FairQueue;
pub use fair::JoinedCall;
pub use fair::Overload;
pub use fair::Refused;
pub use fair::Result;
pub use fair::Ticket;
pub use fair::WaitingRow;
pub use flow::Class;
