//! Turns that the scheduler keeps, so that a caller can continue one by its id.
//!
//! Records of turns are stored on archive hosts. Gateways hold the texts of recent
//! turns in memory and decide by themselves where a record is stored, where it is
//! looked for, and whether a turn certainly does not exist.

mod cache;
pub mod certainty;
mod client;
mod concurrent;
pub mod health;
mod key;
pub mod lookup;
pub mod metrics;
pub mod output;
pub mod placement;
pub mod record;
pub mod service;
pub mod store_plan;
pub mod tokens;

pub use cache::CachedTurn;
pub use cache::TurnCache;
pub use key::TurnKey;
pub use metrics::TurnMetrics;
pub use output::Output;
pub use service::BegunTurn;
pub use service::Dependencies;
pub use service::EndedTurn;
pub use service::MAX_ID_BYTES;
pub use service::StoreError;
pub use service::TurnRequest;
pub use service::Turns;
pub use service::Unresolved;
