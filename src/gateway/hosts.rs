//! Registration of this host in the platform's store, and removal of hosts that
//! no longer respond.

use std::collections::HashSet;
use std::time::Duration;

use async_io::Timer;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::exchange;
use super::roster;
use super::roster::Founders;
use super::roster::HostEntry;
use super::roster::Peer;
use crate::connection::platform;
use crate::connection::platform::Expect;
use crate::connection::platform::Platform;
use crate::connection::platform::Written;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::process::events::unix_ms;
use crate::units::Moment;

/// Delay before writing this host's entry is retried.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time that founders give the preferred writer of their list before they write
/// it themselves.
const FOUNDERS_WAIT: Duration = Duration::from_millis(800);
/// Number of reads after which a host does without the list of founders.
const MAX_FOUNDERS_READS: usize = 8;
/// Interval between two checks for unresponsive hosts.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(2);

#[derive(Serialize)]
struct HostLine<'a> {
    name: &'a str,
}

/// Writes this host's entry and learns the list of founders. A founder agrees on
/// it with the others.
pub async fn register_host<P: Platform>(cx: Cx<P>) {
    let is_founder = write_until_stored(&cx, cx.cfg.place.first_start).await;
    if !is_founder {
        learn_founders(&cx).await;
        return;
    }
    Timer::after(cx.cfg.join_notice).await;
    let key = super::hash_of(roster::FOUNDERS_NAME);
    if !cx.roster.lock().is_preferred_home(key) {
        Timer::after(FOUNDERS_WAIT).await;
    }
    loop {
        if let Some(founders) = read_or_write_founders(&cx).await {
            cx.log.state("founders-agreed", &founders);
            cx.accounts.set_founders(founders, true);
            return;
        }
        wait_for_store(&cx).await;
    }
}

/// Reads the list of founders, whom other hosts ask for extra turns.
async fn learn_founders<P: Platform>(cx: &Gateway<P>) {
    let (kind, name) = (roster::FOUNDERS_KIND, roster::FOUNDERS_NAME);
    for _ in 0..MAX_FOUNDERS_READS {
        match platform::read_value::<Founders>(&cx.store, kind, name).await {
            Ok(Some((_, founders))) => return cx.accounts.set_founders(founders, false),
            // They may not have agreed yet.
            Ok(None) => drop(Timer::after(cx.cfg.join_notice).await),
            Err(e) => {
                log::debug!("cannot read the list of founders yet: {e}");
                wait_for_store(cx).await;
            }
        }
    }
}

/// Writes this host's entry again after other hosts removed it.
pub async fn register_again<P: Platform>(cx: Cx<P>) {
    write_until_stored(&cx, false).await;
}

/// Retries until this host's entry is stored. Returns whether the process is
/// the host's first.
async fn write_until_stored<P: Platform>(cx: &Cx<P>, is_first_start: bool) -> bool {
    let mut entry = HostEntry {
        peers: cx.cfg.peers,
        data_centre: cx.cfg.place.data_centre.clone(),
        incarnation: Incarnation(unix_ms()),
        is_founder: is_first_start,
        divides_tokens: true,
        passes_on: false,
    };
    // Assuming that a host has no entry at its first start saves a read.
    let mut is_new = is_first_start;
    while !try_write_entry(cx, &mut entry, is_new).await {
        is_new = false;
        wait_for_store(cx).await;
    }
    entry.is_founder
}

/// Waits before a call to the store is repeated. While the store is
/// unreachable, its return is detected by watches and probes.
async fn wait_for_store<P: Platform>(cx: &Gateway<P>) {
    Timer::after(REGISTER_RETRY_DELAY).await;
    while !cx.store_contact.is_up() {
        Timer::after(REGISTER_RETRY_DELAY).await;
    }
}

/// Returns the list of founders, writing it if there is none; `None` if it is
/// not agreed yet.
async fn read_or_write_founders<P: Platform>(cx: &Cx<P>) -> Option<Founders> {
    let (kind, name) = (roster::FOUNDERS_KIND, roster::FOUNDERS_NAME);
    match platform::read_value::<Founders>(&cx.store, kind, name).await {
        Ok(Some((_, founders))) => return Some(founders),
        Ok(None) => (),
        Err(e) => {
            log::debug!("cannot read the list of founders yet: {e}");
            return None;
        }
    }
    let founders = cx.roster.lock().founders();
    match platform::write_value(&cx.store, kind, name, Expect::Absent, &founders).await {
        Ok(Written::Done(_)) => Some(founders),
        // Another host's list has been stored; the next attempt reads it.
        Ok(Written::Conflict) => None,
        Err(e) => {
            log::debug!("cannot write the list of founders yet: {e}");
            None
        }
    }
}

async fn try_write_entry<P: Platform>(cx: &Cx<P>, entry: &mut HostEntry, is_new: bool) -> bool {
    let name = cx.cfg.place.host.as_str();
    let before = if is_new {
        None
    } else {
        match platform::read_value::<HostEntry>(&cx.store, roster::KIND, name).await {
            Ok(before) => before,
            Err(e) => {
                log::debug!("cannot read this host's entry yet: {e}");
                return false;
            }
        }
    };
    // An earlier process of this host may have issued allowances.
    entry.is_founder &= before.is_none();
    let entry = &*entry;
    let expect = before
        .as_ref()
        .map_or(Expect::Absent, |(version, _)| Expect::At(*version));
    let written = platform::write_value(&cx.store, roster::KIND, name, expect, entry).await;
    let version = match written {
        Ok(Written::Done(version)) => version,
        Ok(Written::Conflict) => return false,
        Err(e) => {
            log::debug!("cannot write this host's entry yet: {e}");
            return false;
        }
    };
    // This write has taken the parts over, so that no other process can.
    if before.as_ref().is_some_and(|(_, before)| before.passes_on) {
        cx.accounts.inherit_extra_turns();
    }
    let now = Moment::now();
    // A host that others do not expect gives them time to reduce their shares.
    let is_expected = cx.cfg.place.first_start || before.is_some();
    let notice = if is_expected {
        Duration::ZERO
    } else {
        cx.cfg.join_notice
    };
    let mut roster = cx.roster.lock();
    roster.set_own_entry(entry.clone(), version);
    roster.start_share_at(now + notice);
    drop(roster);
    cx.log.state("host-entered", entry);
    true
}

/// Passes this process's parts of extra turns on to the host's next one.
pub async fn pass_on<P: Platform>(cx: &Gateway<P>) {
    let name = cx.cfg.place.host.as_str();
    let Ok(Some((version, entry))) =
        platform::read_value::<HostEntry>(&cx.store, roster::KIND, name).await
    else {
        return;
    };
    let entry = HostEntry {
        passes_on: true,
        ..entry
    };
    let expect = Expect::At(version);
    let written = platform::write_value(&cx.store, roster::KIND, name, expect, &entry).await;
    if !matches!(written, Ok(Written::Done(_))) {
        log::debug!("the parts of extra turns are not passed on");
    }
}

/// Probes unresponsive hosts, and removes the entries of those that do not
/// return.
pub async fn maintain_hosts<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(MAINTENANCE_PERIOD).await;
        let mut probed: HashSet<Peer> = std::mem::take(&mut *cx.stood_in_for.lock());
        probed.extend(cx.roster.lock().unresponsive_hosts());
        for peer in probed {
            exchange::exchange_with_host(&cx, &peer).await;
        }
        let expired = cx
            .roster
            .lock()
            .expired_hosts(cx.cfg.host_gone_after, Moment::now());
        if cx.store_contact.is_up() {
            for host in expired {
                remove_host(&cx, &host).await;
            }
        }
    }
}

async fn remove_host<P: Platform>(cx: &Cx<P>, host: &HostId) {
    let name = host.as_str();
    let read = cx.store.read(roster::KIND, name).await;
    let removed = match read {
        Ok(Some(object)) => cx.store.remove(roster::KIND, name, object.version).await,
        Ok(None) => Ok(Written::Conflict),
        Err(e) => Err(e),
    };
    match removed {
        Ok(_) => cx.log.state("host-removed", &HostLine { name }),
        Err(e) => log::debug!("cannot remove the entry of host {name} yet: {e}"),
    }
}
