//! Adapter to the users' platform.
//!
//! This module decodes the platform's settings, headers, objects and store
//! protocol into the project's own types. Names of the platform's interface
//! appear in no other module, and this module makes no scheduling decisions.

pub mod endpoints;
pub mod ingress;
pub mod registry;
pub mod routes;
pub mod settings;
pub mod store;

pub use store::ObjectStore;

/// Kinds of objects that the platform's operators and endpoints write.
pub mod kinds {
    /// The operators' configuration; the kind has a single object, [`CURRENT`].
    pub const CONFIGURATION: &str = "config";
    /// Name of the object that holds the configuration in force.
    pub const CURRENT: &str = "main";
    /// Endpoints, each registered by its own entry.
    pub const ENDPOINTS: &str = "servers";
    /// Requests to send nothing to the endpoints of a data centre, named by data
    /// centre.
    pub const EVACUATIONS: &str = "evacuations";
    /// Requests to empty and retire a host that has a disk, named by host; a
    /// retired host stores no state.
    pub const RETIREMENTS: &str = "retirements";
}
