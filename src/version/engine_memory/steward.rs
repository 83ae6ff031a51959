//! Choice of the host that reviews an engine's memory.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::EndpointId;
use crate::ids::HostId;

/// The host that reviews an engine, by rendezvous hashing over live hosts.
///
/// When a host comes or goes, only engines that it reviews change hands. Two
/// hosts with different views may both review an engine; releases are
/// idempotent, so that does no harm.
pub fn steward<'a>(
    endpoint: &EndpointId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let weighed = hosts.into_iter().map(|host| (weight(endpoint, host), host));
    weighed.max().map(|(_, host)| host)
}

fn weight(endpoint: &EndpointId, host: &HostId) -> [u8; 32] {
    let mut hash = Sha256::new();
    // Names hold no slash, so that no two pairs give the same text.
    hash.update(format!("{endpoint}/{host}"));
    hash.finalize().into()
}
