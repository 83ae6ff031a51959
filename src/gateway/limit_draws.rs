//! Requests to endpoints that have announced a limit.
//!
//! Each such request needs a token. The tokens of one endpoint are made at one
//! host, its home: a host of the endpoint's data centre, so that a host which
//! can reach the endpoint can mostly reach the home too.
//!
//! A host that gets no reply in time asks the next home. The first may only be
//! slow, and reply to others, so the next one makes a part of the tokens until
//! it has found the first silent for some time.

use std::time::Duration;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::directory::Endpoint;
use super::exchange;
use super::roster::Home;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::protection::limit_bucket::Draw;
use crate::protection::limit_bucket::EndpointProcess;
use crate::protection::limit_bucket::KnownLimit;
use crate::units::Moment;

/// Draws a token for a request to an endpoint with a limit.
const DRAW_LIMIT_METHOD: &str = "gateway.draw_limit";
/// Number of homes that are tried: one that does not reply is replaced by the
/// next.
const MAX_HOMES: usize = 2;
/// Time for which a home must not have responded to the next one until that
/// makes all tokens. It is longer than the interval at which silent hosts are
/// probed, with a longer time limit than that of a draw.
const HOME_GONE_AFTER: Duration = Duration::from_secs(3);
/// Part of the tokens that a home makes for each one before it. All homes
/// together then make at most half as many again as the limit allows, which is
/// what endpoints bear.
const NEXT_HOME_SHARE: f64 = 1.0 / 3.0;
/// Time for which an endpoint is not used after no home has replied.
const NO_HOME_WAIT: Duration = Duration::from_millis(100);

/// Asks the home of an endpoint for a token.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct DrawLimitRequest {
    from: HostId,
    endpoint: EndpointProcess,
    /// Limit that the sender knows, in requests per second.
    per_s: f64,
    /// Time in milliseconds since the endpoint last confirmed it.
    age_ms: u64,
    is_first_turn: bool,
}

/// Reply with the result of a draw.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct DrawLimitReply {
    /// Time in milliseconds after which the sender may draw again; `None` if
    /// the token is granted.
    wait_ms: Option<u64>,
}

/// Registers the method that other hosts call to draw tokens.
///
/// # Errors
///
/// Returns an error if the method's name is taken.
pub fn register<P: Platform>(module: &mut RpcModule<Cx<P>>) -> Result<(), RegisterMethodError> {
    module.register_method(DRAW_LIMIT_METHOD, |params, cx, _| {
        let req: DrawLimitRequest = params.one()?;
        cx.record_message(&req.from);
        let limit = KnownLimit {
            per_s: req.per_s,
            answered_at: Moment::now().minus(Duration::from_millis(req.age_ms)),
        };
        let wait_ms = match draw_here(cx, req.endpoint, limit, req.is_first_turn) {
            Draw::Granted => None,
            Draw::Denied { wait } => Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX)),
        };
        Ok::<_, ErrorObjectOwned>(DrawLimitReply { wait_ms })
    })?;
    Ok(())
}

/// Draws a token for a request to an endpoint from the endpoint's home.
pub async fn draw<P: Platform>(
    cx: &Gateway<P>,
    endpoint: &Endpoint,
    limit: KnownLimit,
    is_first_turn: bool,
) -> Draw {
    let process = EndpointProcess {
        id: endpoint.id.clone(),
        started_ms: endpoint.started_ms,
    };
    let key = super::hash_of(&endpoint.id);
    for _ in 0..MAX_HOMES {
        let now = Moment::now();
        let home = cx.roster.lock().home_near(key, &endpoint.data_centre, now);
        let peer = match home {
            Home::Own => return draw_here(cx, process, limit, is_first_turn),
            Home::Other(peer) => peer,
        };
        let age = now.since(limit.answered_at);
        let req = DrawLimitRequest {
            from: cx.cfg.place.host.clone(),
            endpoint: process.clone(),
            per_s: limit.per_s,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            is_first_turn,
        };
        let reply =
            exchange::call_peer::<_, _, DrawLimitReply>(cx, &peer, DRAW_LIMIT_METHOD, &req).await;
        match reply.map(|reply| reply.wait_ms) {
            Some(None) => return Draw::Granted,
            Some(Some(wait_ms)) => {
                let wait = Duration::from_millis(wait_ms);
                return Draw::Denied { wait };
            }
            None => (),
        }
    }
    Draw::Denied { wait: NO_HOME_WAIT }
}

fn draw_here<P>(
    cx: &Gateway<P>,
    endpoint: EndpointProcess,
    limit: KnownLimit,
    is_first_turn: bool,
) -> Draw {
    let key = super::hash_of(&endpoint.id);
    let data_centre = {
        let listed = cx.endpoint_list.lock();
        let endpoint = listed.directory.get(&endpoint.id);
        endpoint.map_or_else(Box::default, |endpoint| endpoint.data_centre.clone())
    };
    let share = {
        let roster = cx.roster.lock();
        let before = roster.homes_before(key, &data_centre, HOME_GONE_AFTER, Moment::now());
        let count = i32::try_from(before.len()).unwrap_or(i32::MAX);
        let share = roster.responsive_share() * NEXT_HOME_SHARE.powi(count);
        drop(roster);
        cx.stood_in_for.lock().extend(before);
        share
    };
    let mut buckets = cx.limit_buckets.lock();
    buckets.draw(endpoint, limit, share, is_first_turn, Moment::now())
}
