//! Adapter to the users' platform.
//!
//! Everything here translates: settings, headers, objects and the store's
//! protocol are decoded once into the project's own types. No other module
//! knows a name of the platform's interface, and nothing here decides.

pub mod endpoints;
pub mod ingress;
pub mod registry;
pub mod routes;
pub mod settings;
pub mod store;

pub use store::ObjectStore;

/// Kinds of objects that the platform's operators and endpoints write.
pub mod kinds {
    /// The operators' configuration, one object.
    pub const CONFIGURATION: &str = "config";
    /// Name of the object that holds the configuration in force.
    pub const CURRENT: &str = "main";
    /// Entries that endpoints write about themselves.
    pub const ENDPOINTS: &str = "servers";
    /// Requests to empty a host that has a disk, named by host.
    pub const RETIREMENTS: &str = "retirements";
}
