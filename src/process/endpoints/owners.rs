//! Queries the owners of programs for the status of caches, and serves such
//! queries.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::peer;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::process::context::Cx;
use crate::units::Moment;
use crate::version::engine_memory::CacheHandle;
use crate::version::engine_memory::CacheStatus;
use crate::version::engine_memory::OwnerState;
use crate::version::engine_memory::ProgramState;
use crate::version::journal::PartitionId;
use crate::version::journal::ProgramSummary;
use crate::version::table::ServeMode;

/// RPC method by which the owner of programs returns the status of their
/// caches.
const ALIVE_METHOD: &str = "engine_memory.alive";
/// Maximum number of caches in one call of [`ALIVE_METHOD`].
const MAX_HANDLES: usize = 4096;

/// Parameters of [`ALIVE_METHOD`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct AliveParams {
    handles: Vec<CacheHandle>,
}

/// Owner of a partition in this host's membership view.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Owner {
    Local,
    Unknown,
    Peer(SocketAddr),
}

/// Queries the owners of the caches' programs for the status of the caches.
pub(super) async fn query_status<P: Platform>(
    cx: &Cx<P>,
    handles: &BTreeSet<CacheHandle>,
) -> BTreeMap<CacheHandle, CacheStatus> {
    let mut by_owner: BTreeMap<Owner, Vec<CacheHandle>> = BTreeMap::new();
    for handle in handles {
        let owner = owner_of(cx, handle);
        by_owner.entry(owner).or_default().push(handle.clone());
    }
    let mut statuses = BTreeMap::new();
    for (owner, handles) in by_owner {
        for batch in handles.chunks(MAX_HANDLES) {
            let batch_statuses = query_owner(cx, owner, batch).await;
            statuses.extend(batch.iter().cloned().zip(batch_statuses));
        }
    }
    statuses
}

fn owner_of<P: Platform>(cx: &Cx<P>, handle: &CacheHandle) -> Owner {
    let PartitionId {
        data_centre,
        partition,
    } = PartitionId::of(&handle.program);
    match cx.membership.owner(&data_centre, partition) {
        None => Owner::Unknown,
        Some(owner) if owner.is_self => Owner::Local,
        Some(owner) => Owner::Peer(owner.peer),
    }
}

async fn query_owner<P: Platform>(
    cx: &Cx<P>,
    owner: Owner,
    handles: &[CacheHandle],
) -> Vec<CacheStatus> {
    match owner {
        Owner::Unknown => vec![CacheStatus::Unknown; handles.len()],
        Owner::Local => local_status(cx, handles),
        Owner::Peer(peer) => query_peer(cx, peer, handles).await,
    }
}

async fn query_peer<P: Platform>(
    cx: &Cx<P>,
    peer: SocketAddr,
    handles: &[CacheHandle],
) -> Vec<CacheStatus> {
    let params = AliveParams {
        handles: handles.to_vec(),
    };
    let answer: peer::Result<Vec<CacheStatus>> = cx.peers.call(peer, ALIVE_METHOD, &params).await;
    match answer {
        Ok(statuses) if statuses.len() == handles.len() => statuses,
        _ => vec![CacheStatus::Unknown; handles.len()],
    }
}

fn local_status<P: Platform>(cx: &Cx<P>, handles: &[CacheHandle]) -> Vec<CacheStatus> {
    let status = |handle| owner_state(cx, handle).cache_status(handle);
    handles.iter().map(status).collect()
}

/// Returns this host's state of a cache's program and its partition.
pub(super) fn owner_state<P: Platform>(cx: &Cx<P>, handle: &CacheHandle) -> OwnerState {
    let id = PartitionId::of(&handle.program);
    let epoch = cx.journals.epoch(&id);
    let program = cx.journals.program_summary(&handle.program);
    let serve = cx
        .membership
        .serve_mode(&id.data_centre, id.partition, Moment::now());
    // The program was read within one epoch only if the epoch is unchanged.
    let is_same_epoch = cx.journals.epoch(&id) == epoch;
    OwnerState {
        serving_epoch: epoch.filter(|_| is_same_epoch && serve == ServeMode::Full),
        program: program.map(program_state),
    }
}

fn program_state(summary: ProgramSummary) -> ProgramState {
    ProgramState {
        customer: summary.customer,
        ended: summary.ended,
        busy: !summary.calls.is_empty(),
    }
}

pub(super) fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    let cx = Cx::clone(cx);
    module.register_method(ALIVE_METHOD, move |params, _, _| {
        let AliveParams { handles } = params.one()?;
        Ok::<_, ErrorObjectOwned>(local_status(&cx, &handles))
    })?;
    Ok(())
}
