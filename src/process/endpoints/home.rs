//! Asks the owners of programs whether caches are in use, and answers it.

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
use crate::version::engine_memory::Home;
use crate::version::engine_memory::HomeProgram;
use crate::version::engine_memory::Verdict;
use crate::version::journal::PartitionId;
use crate::version::journal::ProgramSummary;
use crate::version::table::ServeMode;

/// Control call that judges caches at the owner of their programs.
const ALIVE_METHOD: &str = "engine_memory.alive";
/// Caches in one control call.
const MAX_HANDLES: usize = 4096;

/// Parameters of [`ALIVE_METHOD`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct AliveParams {
    handles: Vec<CacheHandle>,
}

/// The owner of a partition, as the host that asks knows it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Owner {
    Here,
    None,
    Peer(SocketAddr),
}

/// Asks the homes of caches whether these are in use.
pub(super) async fn ask<P: Platform>(
    cx: &Cx<P>,
    handles: &BTreeSet<CacheHandle>,
) -> BTreeMap<CacheHandle, Verdict> {
    let mut by_owner: BTreeMap<Owner, Vec<CacheHandle>> = BTreeMap::new();
    for handle in handles {
        let owner = owner(cx, handle);
        by_owner.entry(owner).or_default().push(handle.clone());
    }
    let mut verdicts = BTreeMap::new();
    for (owner, handles) in by_owner {
        for batch in handles.chunks(MAX_HANDLES) {
            let answer = ask_owner(cx, owner, batch).await;
            verdicts.extend(batch.iter().cloned().zip(answer));
        }
    }
    verdicts
}

fn owner<P: Platform>(cx: &Cx<P>, handle: &CacheHandle) -> Owner {
    let PartitionId {
        data_centre,
        partition,
    } = PartitionId::of(&handle.program);
    match cx.membership.owner(&data_centre, partition) {
        None => Owner::None,
        Some(owner) if owner.is_self => Owner::Here,
        Some(owner) => Owner::Peer(owner.peer),
    }
}

async fn ask_owner<P: Platform>(cx: &Cx<P>, owner: Owner, handles: &[CacheHandle]) -> Vec<Verdict> {
    match owner {
        Owner::None => vec![Verdict::Unknown; handles.len()],
        Owner::Here => judge_all(cx, handles),
        Owner::Peer(peer) => ask_peer(cx, peer, handles).await,
    }
}

async fn ask_peer<P: Platform>(
    cx: &Cx<P>,
    peer: SocketAddr,
    handles: &[CacheHandle],
) -> Vec<Verdict> {
    let params = AliveParams {
        handles: handles.to_vec(),
    };
    let answer: peer::Result<Vec<Verdict>> = cx.peers.call(peer, ALIVE_METHOD, &params).await;
    match answer {
        Ok(verdicts) if verdicts.len() == handles.len() => verdicts,
        _ => vec![Verdict::Unknown; handles.len()],
    }
}

fn judge_all<P: Platform>(cx: &Cx<P>, handles: &[CacheHandle]) -> Vec<Verdict> {
    let judge = |handle| home(cx, handle).judge(handle);
    handles.iter().map(judge).collect()
}

/// What this host, as the owner, knows of a cache's program.
pub(super) fn home<P: Platform>(cx: &Cx<P>, handle: &CacheHandle) -> Home {
    let id = PartitionId::of(&handle.program);
    let epoch = cx.journals.epoch(&id);
    let program = cx.journals.program_summary(&handle.program);
    let serve = cx
        .membership
        .serve_mode(&id.data_centre, id.partition, Moment::now());
    // The program was read under one epoch only if it is the same afterwards.
    let is_same = cx.journals.epoch(&id) == epoch;
    Home {
        serves: epoch.filter(|_| is_same && serve == ServeMode::Full),
        program: program.map(known),
    }
}

fn known(summary: ProgramSummary) -> HomeProgram {
    HomeProgram {
        customer: summary.customer,
        ended: summary.ended,
        busy: !summary.calls.is_empty(),
    }
}

pub(super) fn register<P: Platform>(
    module: &mut RpcModule<()>,
    cx: &Cx<P>,
) -> Result<(), RegisterMethodError> {
    let host = Cx::clone(cx);
    module.register_method(ALIVE_METHOD, move |params, _, _| {
        let AliveParams { handles } = params.one()?;
        Ok::<_, ErrorObjectOwned>(judge_all(&host, &handles))
    })?;
    Ok(())
}
