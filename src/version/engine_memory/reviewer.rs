//! Selects the host that reviews an engine's caches.

use sha2::Digest;
use sha2::Sha256;

use crate::ids::EndpointId;
use crate::ids::HostId;

/// Selects the reviewer of an engine by rendezvous hashing over live hosts;
/// `None` if there are no hosts.
///
/// When a host joins or leaves, only the engines that it reviews are
/// reassigned. Two hosts with different membership views may both review an
/// engine, which is harmless because releases are idempotent.
pub fn select_reviewer<'a>(
    endpoint: &EndpointId,
    hosts: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    let weighted = hosts.into_iter().map(|host| (weight(endpoint, host), host));
    weighted.max().map(|(_, host)| host)
}

fn weight(endpoint: &EndpointId, host: &HostId) -> [u8; 32] {
    let mut hash = Sha256::new();
    // Names contain no slash, so different pairs have different texts.
    hash.update(format!("{endpoint}/{host}"));
    hash.finalize().into()
}
