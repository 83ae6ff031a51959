//! The gateway: routes callers' requests to endpoints.
//!
//! The platform stores the configuration, the list of endpoints and all
//! durable records. Every host serves every request on its own; hosts
//! coordinate only the rates of customers ([`quota`]) and the budgets of
//! programs ([`budget`]).

use sha2::Digest;
use sha2::Sha256;

pub mod accounts;
pub mod answer;
pub mod archive;
pub mod attempt;
pub mod budget;
pub mod call;
pub mod choice;
pub mod contact;
pub mod context;
pub mod crashes;
pub mod departures;
pub mod directory;
pub mod dispatch;
pub mod draw_messages;
pub mod entry;
pub mod event_stream;
pub mod exchange;
pub mod follow;
pub mod following;
pub mod freshness;
pub mod held_parts;
pub mod home_balance;
pub mod hop;
pub mod hop_port;
pub mod hosts;
pub mod isolation;
pub mod limit_draws;
pub mod lines;
pub mod load_curve;
pub mod metrics;
pub mod origins;
pub mod paths;
pub mod placing;
pub mod prefixes;
pub mod quota;
pub mod rate;
pub mod refusal;
pub mod relay;
pub mod reservation;
pub mod resumption;
pub mod roster;
pub mod routes;
pub mod serve;
pub mod transfers;
pub mod updates;

/// Returns a hash of a name that is equal on every host.
fn hash_of(name: &str) -> u64 {
    let digest = Sha256::digest(name);
    let first: [u8; 8] = digest[..8].try_into().expect("a digest has 32 bytes");
    u64::from_be_bytes(first)
}

/// Maps random bits to a number in `0..1`.
#[allow(
    clippy::cast_precision_loss,
    reason = "the upper 53 bits fit a double exactly"
)]
fn fraction(seed: u64) -> f64 {
    (seed >> 11) as f64 / (1u64 << 53) as f64
}
