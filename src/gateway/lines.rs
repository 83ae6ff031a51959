//! Locations of a program's lines: the engine at which each session of the
//! program last ran, which caches the session's prompt.
//!
//! The turns of a program arrive at different hosts. Its home host keeps the
//! locations and sends them with the tokens that a host draws for a turn, so
//! that the turn can go to an engine that need not prefill the whole prompt.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::attempt::Call;
use super::call::ProgramMeta;
use super::context::Cx;
use super::context::Gateway;
use super::exchange;
use super::exchange::LINE_METHOD;
use crate::connection::platform::Platform;
use crate::units::Moment;

/// Maximum number of sessions that are kept for a program; the least recently
/// moved are dropped.
const MAX_LINES: usize = 8;
/// Maximum number of engines that are named for a session without a location of
/// its own.
const MAX_CANDIDATES: usize = 3;

#[derive(Clone, Debug, Eq, PartialEq)]
struct Line {
    session: u64,
    endpoint: Box<str>,
}

/// Engines at which the sessions of one program last ran.
#[derive(Clone, Debug, Default)]
pub struct LineLocations {
    /// Most recently moved first.
    recent: Vec<Line>,
}

impl LineLocations {
    /// Records that a session runs at an engine; `false` if that is known.
    pub fn record(&mut self, session: u64, endpoint: &str) -> bool {
        let line = Line {
            session,
            endpoint: endpoint.into(),
        };
        if self.recent.contains(&line) {
            return false;
        }
        self.recent.retain(|line| line.session != session);
        self.recent.insert(0, line);
        self.recent.truncate(MAX_LINES);
        true
    }

    /// Returns the engines that are likely to cache the session's prompt: the
    /// one where it last ran, or those of the program's other sessions, since
    /// the prompt of a new session begins with that of its parent.
    pub fn candidates(&self, session: u64) -> Vec<&str> {
        let own = self.recent.iter().find(|line| line.session == session);
        if let Some(line) = own {
            return vec![&line.endpoint];
        }
        let mut candidates: Vec<&str> = Vec::new();
        for line in &self.recent {
            if candidates.len() < MAX_CANDIDATES && !candidates.contains(&&*line.endpoint) {
                candidates.push(&line.endpoint);
            }
        }
        candidates
    }
}

/// Tells the home host of a program where one of its sessions runs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LineReport {
    /// Program id.
    pub program: String,
    /// Key of the session, from [`session_key`].
    pub session: u64,
    /// Id of the engine.
    pub endpoint: String,
}

/// Returns a key of a program's session that is equal on every host.
pub fn session_key(program: &ProgramMeta) -> u64 {
    super::hash_of(&program.session)
}

/// Records where a turn runs, and tells the program's home host if the session
/// has moved.
pub fn report<P: Platform>(cx: &Cx<P>, call: &Call, endpoint: &str) {
    let Some(program) = &call.meta.program else {
        return;
    };
    if call.meta.prompt.is_none() || program.budget.is_none() {
        return;
    }
    let session = session_key(program);
    let id: Arc<str> = (&*program.id).into();
    let home = cx.accounts.with_account(&id, |account| {
        let has_moved = account.lines.record(session, endpoint);
        account.drawn_from.clone().filter(|_| has_moved)
    });
    let Some(home) = home else {
        return;
    };
    let report = LineReport {
        program: id.to_string(),
        session,
        endpoint: endpoint.to_owned(),
    };
    let context = Arc::clone(cx);
    cx.spawner.detach(async move {
        // Without the report, the session's next turn may prefill its prompt.
        let _reply: Option<()> = exchange::call_peer(&context, &home, LINE_METHOD, &report).await;
    });
}

/// Records the report of another host.
pub fn receive_report<P: Platform>(cx: &Gateway<P>, report: &LineReport) {
    let id: Arc<str> = report.program.as_str().into();
    cx.accounts.with_account(&id, |account| {
        account.lines.record(report.session, &report.endpoint)
    });
}

/// Counts a turn's prompt, up to its last part, as cached at the engines where
/// the program's lines ran.
pub fn expect_cached<P: Platform>(cx: &Gateway<P>, call: &Call, endpoints: &[String]) {
    let stated = call.meta.cacheable_parts(call.route.is_sticky).len();
    let parts = call.cacheable_parts();
    // The last stated part is new; the text of earlier turns is not.
    let cached = &parts[..parts.len() - stated.min(1)];
    if cached.is_empty() {
        return;
    }
    let Some(pool) = cx.pools.get(&call.service) else {
        return;
    };
    let mut pool = pool.lock();
    for endpoint in endpoints {
        pool.expect_cached(endpoint, cached, Moment::now());
    }
}
