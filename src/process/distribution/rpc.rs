//! Control calls by which hosts exchange configuration.

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

/// Method that tells what a host applies, in one number.
pub const DIGEST: &str = "configuration.digest";

/// Method that returns what the caller lacks.
pub const PULL: &str = "configuration.pull";

/// Method that hands over objects or withdrawals and returns the versions
/// that the host then applies.
pub const PUSH: &str = "configuration.push";

/// Result of a method.
pub type Result<T> = std::result::Result<T, ErrorObjectOwned>;

/// Answer to [`DIGEST`].
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DigestAnswer {
    /// What the host applies.
    pub summary: Summary,
    /// Age of its news from outside its data centre.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age: Duration,
    /// How much its configuration can be relied on.
    pub standing: Standing,
}

/// Parameters of [`PULL`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PullRequest {
    /// What the caller applies.
    pub digest: Digest,
}

/// Answer to [`PULL`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PullAnswer {
    /// What the caller may lack.
    pub bundle: Bundle,
    /// How much it can be relied on.
    pub standing: Standing,
}

/// Answer to [`PUSH`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PushAnswer {
    /// Version now applied of each object handed over, in its order.
    pub versions: Vec<Option<Version>>,
}

/// Registers the methods of this part on a host's module.
///
/// # Errors
///
/// If a method of the same name is registered already.
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
