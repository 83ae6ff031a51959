//! The applied configuration of a host, by object and version.
//!
//! [`Catalogue`] merges bundles of objects from any source, in any order, and
//! keeps the highest version of each object. [`Snapshot`] is an immutable view
//! for the request path. [`Configuration`] is the shared handle that applies
//! bundles to the catalogue and publishes snapshots.

mod bundle;
mod configuration;
mod digest;
mod document;
mod index;
mod snapshot;
mod state;

pub use bundle::Bundle;
pub use bundle::Item;
pub use bundle::ObjectId;
pub use bundle::Tombstone;
pub use configuration::Configuration;
pub use configuration::Counters;
pub use digest::Digest;
pub use digest::Summary;
pub use document::Document;
pub use document::DocumentError;
pub use index::secret_hash;
pub use snapshot::ConfiguredEndpoint;
pub use snapshot::Snapshot;
pub use state::ApplyReport;
pub use state::Catalogue;
pub use state::RefusedItem;
