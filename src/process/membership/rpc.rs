//! RPC methods for other hosts.

use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use jsonrpsee_types::error::INVALID_REQUEST_CODE;

use super::handle::Membership;
use crate::version::table::Heartbeat;
use crate::version::table::message::TablesRequest;

/// Method that handles a [`Heartbeat`].
pub const HEARTBEAT_METHOD: &str = "membership.heartbeat";

/// Method that returns tables with a newer ownership version than the caller
/// has seen.
pub const TABLES_METHOD: &str = "membership.tables";

/// Method that returns the digests that the called host has received from the
/// hosts of its data centre.
pub const PIGGYBACKS_METHOD: &str = "membership.piggybacks";

/// Builds the membership methods, to be merged into the RPC module of the peer
/// port.
///
/// # Panics
///
/// If a method name is registered twice, which the constants rule out.
pub fn rpc_module(membership: Membership) -> RpcModule<Membership> {
    let mut module = RpcModule::new(membership);
    register(&mut module).expect("method names are distinct");
    module
}

fn register(module: &mut RpcModule<Membership>) -> Result<(), jsonrpsee_core::RegisterMethodError> {
    module.register_method(HEARTBEAT_METHOD, |params, membership, _| {
        let heartbeat: Heartbeat = params.one()?;
        membership.on_heartbeat(heartbeat).ok_or_else(not_in_table)
    })?;
    module.register_method(TABLES_METHOD, |params, membership, _| {
        let request: TablesRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(membership.on_tables_request(&request))
    })?;
    module.register_method(PIGGYBACKS_METHOD, |_, membership, _| {
        Ok::<_, ErrorObjectOwned>(membership.piggybacks())
    })?;
    Ok(())
}

fn not_in_table() -> ErrorObjectOwned {
    let message = "this host has no part in the table";
    ErrorObjectOwned::owned(INVALID_REQUEST_CODE, message, None::<()>)
}
