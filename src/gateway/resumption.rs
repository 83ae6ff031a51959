//! Decides where a stream may go on that a caller takes up.

use std::time::Duration;

use serde::Serialize;

use super::attempt::Call;
use super::contact;
use super::context::Cx;
use super::origins;
use super::origins::StreamOrigin;
use super::refusal::Refusal;
use super::refusal::Result;
use super::updates::ListedEndpoints;
use super::updates::ObjectKind;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::platform::kinds;
use crate::units::Moment;

/// Retry time of a caller whose stream has no known origin, since a host that
/// did not answer in time may do so then.
const UNKNOWN_ORIGIN_RETRY: Duration = Duration::from_millis(100);
/// Time that the store may wait for a change when it is asked for those that
/// there are.
const PROOF_WAIT: Duration = Duration::from_millis(1);

#[derive(Serialize)]
struct ResumeLine<'a> {
    request: &'a str,
    resumed_attempt: Option<&'a str>,
    version: Option<&'a str>,
    /// Whether this host or another knew where the stream began; otherwise the
    /// version is the only one that its service has had of late.
    is_recorded: bool,
}

/// Returns where a call must run: at the service and version that began its
/// stream. `None` if the call begins a stream, or is none.
///
/// # Errors
///
/// A refusal if the origin is not known, or if the route does not lead to its
/// service any more.
pub async fn required_origin<P: Platform>(cx: &Cx<P>, call: &Call) -> Result<Option<StreamOrigin>> {
    if !call.meta.resumes_stream() {
        return Ok(None);
    }
    let recorded = origins::find(cx, origins::stream_key(call)).await;
    let is_recorded = recorded.is_some();
    let origin = match recorded {
        Some(origin) => Some(origin).filter(|origin| call.route.leads_to(&origin.service)),
        None => sole_origin(cx, call).await,
    };
    let line = ResumeLine {
        request: &call.meta.id,
        resumed_attempt: call.meta.resumed_attempt.as_deref(),
        version: origin.as_ref().map(|origin| &*origin.version),
        is_recorded,
    };
    cx.log.request("stream-resumed", &line);
    let unknown = || {
        let detail = "the version that began the stream is not known or not in use";
        Refusal::not_run(detail, UNKNOWN_ORIGIN_RETRY)
    };
    origin.map(Some).ok_or_else(unknown)
}

/// Returns the only origin that streams of the call's route can have; `None` if
/// there are several or this host may not know of all.
async fn sole_origin<P: Platform>(cx: &Cx<P>, call: &Call) -> Option<StreamOrigin> {
    let may_be_sole = || {
        let mut listed = cx.endpoint_list.lock();
        let now = Moment::now();
        listed.record_versions(now);
        listed.versions.sole(&call.service, now).cloned()
    };
    if call.route.targets.len() > 1 || may_be_sole().is_none() {
        return None;
    }
    if !prove_listed(cx, call.received).await {
        return None;
    }
    Some(StreamOrigin {
        service: call.service.clone(),
        version: may_be_sole()?,
    })
}

/// Asks the store for changes of the endpoints that this host has not seen.
/// Returns whether its list now shows all changes up to `since`. A host that was
/// cut off or stood still cannot tell by itself.
async fn prove_listed<P: Platform>(cx: &Cx<P>, since: Moment) -> bool {
    let mut proved_at = cx.list_proved_at.lock().await;
    // One call serves all that waited for it.
    if *proved_at >= since {
        return true;
    }
    let Some(seen) = cx.endpoint_list.lock().seen else {
        return false;
    };
    if !cx.store_contact.is_up() {
        return false;
    }
    let started = Moment::now();
    match cx.store.watch(kinds::ENDPOINTS, seen, PROOF_WAIT).await {
        Ok(changes) => {
            contact::mark_store_reachable(cx);
            match changes.objects.is_empty() && changes.removed.is_empty() {
                true => ListedEndpoints::confirm(cx, changes.upto.max(seen)),
                false => ListedEndpoints::apply_changes(cx, changes),
            }
            *proved_at = started;
            true
        }
        // The host follows the list, and begins anew by itself.
        Err(PlatformError::HistoryLost) => false,
        Err(e) => {
            contact::mark_store_lost(cx, &e);
            contact::check_store(cx);
            false
        }
    }
}
