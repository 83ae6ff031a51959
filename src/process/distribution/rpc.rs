//! RPC methods with which hosts exchange configuration.

use std::time::Duration;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use super::Distribution;
use super::Hosts;
use super::Standing;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::Version;
use crate::units::Moment;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::Digest;
use crate::version::catalogue::Summary;

/// Method that returns a hash of the configuration that a host applies.
pub const DIGEST: &str = "configuration.digest";

/// Method that returns the objects and withdrawals that the caller is missing.
pub const PULL: &str = "configuration.pull";

/// Method that sends objects or withdrawals to a host and returns the versions
/// that the host then applies.
pub const PUSH: &str = "configuration.push";

/// Result of an RPC method.
pub type Result<T> = std::result::Result<T, ErrorObjectOwned>;

/// Answer to [`DIGEST`].
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestAnswer {
    /// Hash over all versions and withdrawals that the host applies.
    pub summary: Summary,
    /// Time since the host's last contact outside its data centre.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// How current the host's configuration is.
    pub standing: Standing,
}

/// Parameters of [`PULL`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PullRequest {
    /// Digest of the configuration that the caller applies.
    pub digest: Digest,
}

/// Answer to [`PULL`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullAnswer {
    /// Objects and withdrawals that the caller may be missing.
    pub bundle: Bundle,
    /// How current the answering host's configuration is.
    pub standing: Standing,
}

/// Answer to [`PUSH`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PushAnswer {
    /// Version now applied of each pushed object, in the order of the bundle;
    /// `None` if the object is not applied or could not be saved.
    pub versions: Vec<Option<Version>>,
}

/// Registers the methods on the RPC module of a host.
///
/// # Errors
///
/// If a method of the same name is already registered.
pub fn register<C, P, Q, H>(
    module: &mut RpcModule<C>,
    distribution: &Distribution<P, Q, H>,
) -> std::result::Result<(), RegisterMethodError>
where
    C: Send + Sync + 'static,
    P: Platform,
    Q: Peers,
    H: Hosts,
{
    let host = distribution.clone();
    module.register_method(DIGEST, move |_, _, _| -> Result<DigestAnswer> {
        Ok(host.digest_answer(Moment::now()))
    })?;
    let host = distribution.clone();
    module.register_method(PULL, move |params, _, _| -> Result<PullAnswer> {
        let pull: PullRequest = params.one()?;
        Ok(host.pull_answer(&pull.digest))
    })?;
    let host = distribution.clone();
    module.register_async_method(PUSH, move |params, _, _| {
        let host = host.clone();
        async move {
            let bundle: Bundle = params.one()?;
            Result::Ok(host.handle_push(bundle).await)
        }
    })?;
    Ok(())
}
