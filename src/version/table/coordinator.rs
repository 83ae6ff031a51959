//! A host's state for all tables: its own, adopted tables and the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::directory::Directory;
use super::effect::Effect;
use super::effect::Input;
use super::effect::PlatformFailure;
use super::identity::Identity;
use super::member::Member;
use super::member::ServeMode;
use super::message::Committed;
use super::message::Heartbeat;
use super::message::HeartbeatReply;
use super::message::HostPiggyback;
use super::message::KnownTable;
use super::message::Piggyback;
use super::message::TablesReply;
use super::message::TablesRequest;
use super::outage::PlatformView;
use super::rows::Table;
use super::update::adopt;
use crate::configs::membership::MembershipConfig;
use crate::connection::platform::Expect;
use crate::connection::platform::Written;
use crate::ids::DataCentre;
use crate::ids::Epoch;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Partition;
use crate::units::Moment;

/// The owner of a partition according to the newest table seen by this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// The owning host.
    pub host: HostId,
    /// Listen address for other hosts.
    pub peer: SocketAddr,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Fencing token of the ownership.
    pub epoch: Epoch,
    /// Whether the owner is this process.
    pub is_self: bool,
}

/// A host as listed in a table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostInfo {
    /// The host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listen address for other hosts.
    pub peer: SocketAddr,
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// Whether the host is handing over its partitions.
    pub draining: bool,
    /// Whether the host's lease has not expired.
    pub live: bool,
}

/// A partition held by this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnPartition {
    /// Data centre of the partition.
    pub data_centre: DataCentre,
    /// The partition.
    pub partition: Partition,
    /// Fencing token.
    pub epoch: Epoch,
    /// Whether the journal is fenced and the partition is not being released.
    pub active: bool,
}

/// A host's state for all tables.
#[derive(Clone, Debug)]
pub struct Coordinator {
    cfg: MembershipConfig,
    identity: Identity,
    home: Member,
    adopted: BTreeMap<DataCentre, Member>,
    directory: Directory,
    last_listed_at: Option<Moment>,
    next_seed: usize,
    adoptions: u64,
}

impl Coordinator {
    /// Creates a coordinator that has seen no table yet.
    ///
    /// `start` comes from [`incarnation`](super::identity::incarnation).
    pub fn new(identity: Identity, start: Incarnation, cfg: MembershipConfig) -> Self {
        Self {
            home: Member::new(identity.clone(), start, cfg.clone()),
            adopted: BTreeMap::new(),
            directory: Directory::default(),
            last_listed_at: None,
            next_seed: 0,
            adoptions: 0,
            cfg,
            identity,
        }
    }

    /// The host's member in the table of its own data centre.
    pub fn home(&self) -> &Member {
        &self.home
    }

    /// The host's members: in its own table and in adopted tables.
    pub fn members(&self) -> impl Iterator<Item = (&DataCentre, &Member)> {
        let home = std::iter::once((&self.identity.data_centre, &self.home));
        home.chain(&self.adopted)
    }

    /// Number of tables adopted by writes of this host.
    pub fn adoptions(&self) -> u64 {
        self.adoptions
    }

    fn member(&self, table: &DataCentre) -> Option<&Member> {
        if *table == self.identity.data_centre {
            return Some(&self.home);
        }
        self.adopted.get(table)
    }

    fn member_mut(&mut self, table: &DataCentre) -> Option<&mut Member> {
        if *table == self.identity.data_centre {
            return Some(&mut self.home);
        }
        self.adopted.get_mut(table)
    }

    /// Newest table of a data centre seen by this host.
    pub fn table(&self, data_centre: &DataCentre) -> Option<&Table> {
        let adopted = self.member(data_centre).and_then(Member::known_table);
        adopted.or_else(|| self.directory.get(data_centre))
    }

    /// The owner of a partition. `None` if no table with the partition has been
    /// seen.
    pub fn owner(&self, data_centre: &DataCentre, partition: Partition) -> Option<Owner> {
        let table = self.table(data_centre)?;
        let row = table.partition(partition)?;
        let host = table.hosts.get(&row.owner)?;
        let is_self = row.owner == self.identity.host && row.incarnation == self.home.incarnation();
        Some(Owner {
            host: row.owner.clone(),
            peer: host.peer,
            caller: host.caller,
            epoch: row.epoch,
            is_self,
        })
    }

    /// How this host may serve a partition at `now`.
    pub fn serve_mode(
        &self,
        data_centre: &DataCentre,
        partition: Partition,
        now: Moment,
    ) -> ServeMode {
        match self.member(data_centre) {
            Some(member) if !self.home.is_superseded() => member.serve_mode(partition, now),
            _ => ServeMode::No,
        }
    }

    /// All partitions held by this host.
    pub fn own_partitions(&self) -> Vec<OwnPartition> {
        let mut own = Vec::new();
        for (data_centre, member) in self.members() {
            let holdings = member.holdings();
            own.extend(holdings.iter().map(|(partition, holding)| OwnPartition {
                data_centre: data_centre.clone(),
                partition,
                epoch: holding.epoch,
                active: holdings.is_active(partition),
            }));
        }
        own
    }

    /// Newest table of each data centre seen by this host.
    pub fn tables(&self) -> impl Iterator<Item = &Table> {
        let others = self.directory.iter().map(|committed| &committed.table);
        self.home.known_table().into_iter().chain(others)
    }

    /// All known hosts, each from the table of its own data centre.
    pub fn hosts(&self) -> Vec<HostInfo> {
        self.tables().flat_map(home_hosts).collect()
    }

    /// Digests last received from the hosts of this data centre.
    pub fn piggybacks(&self) -> Vec<HostPiggyback> {
        let reported = self.home.piggybacks();
        reported
            .map(|(host, piggyback)| HostPiggyback {
                host: host.clone(),
                piggyback,
            })
            .collect()
    }

    /// Sets the digests sent with this host's heartbeats and replies.
    pub fn set_piggyback(&mut self, piggyback: Piggyback) {
        self.home.set_piggyback(piggyback);
    }

    /// Starts handing over all partitions.
    pub fn begin_drain(&mut self) {
        self.home.begin_drain();
        for member in self.adopted.values_mut() {
            member.begin_drain();
        }
    }

    /// Whether a drain is complete: no partition is left that another host could
    /// receive.
    pub fn is_drained(&self) -> bool {
        self.members().all(|(_, member)| member.is_drained())
    }

    /// Marks a partition as active once its journal is fenced under `epoch`.
    pub fn mark_active(&mut self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        if let Some(member) = self.member_mut(data_centre) {
            member.mark_active(partition, epoch);
        }
    }

    /// Marks a partition under hand-over as no longer served.
    pub fn mark_released(&mut self, data_centre: &DataCentre, partition: Partition, epoch: Epoch) {
        if let Some(member) = self.member_mut(data_centre) {
            member.mark_released(partition, epoch);
        }
    }

    /// Handles another host's heartbeat. `None` if this host has no member in the
    /// table or its process is superseded.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: Heartbeat) -> Option<HeartbeatReply> {
        let others = self.directory.digest();
        let table = heartbeat.table.clone();
        let member = self.member_mut(&table)?;
        let reply = member.on_heartbeat(now, heartbeat)?;
        Some(HeartbeatReply { others, ..reply })
    }

    /// Handles another host's request for tables.
    pub fn on_tables_request(&self, request: &TablesRequest) -> TablesReply {
        let mut tables = self.directory.newer_tables(request);
        let home = self.home.committed();
        tables.extend(home.filter(|c| request.is_missing(&c.table)).cloned());
        TablesReply { tables }
    }

    /// Processes an input and returns the effects to execute.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Effect> {
        let effects = match input {
            Input::Tick => self.tick(now),
            Input::Read { table, outcome } => match self.member_mut(&table) {
                Some(member) => member.on_read(now, outcome),
                None => Vec::new(),
            },
            Input::Written { table, outcome } => self.on_written(now, *table, outcome),
            Input::Replied { table, host, reply } => self.on_reply(now, &table, &host, *reply),
            Input::Unreachable { table, host } => match self.member_mut(&table) {
                Some(member) => member.on_unreachable(now, host),
                None => Vec::new(),
            },
            Input::Listed(tables) => self.on_listed(now, tables),
            Input::Fetched(reply) => self.on_fetched(now, reply),
        };
        self.update_adopted(now, effects)
    }

    fn tick(&mut self, now: Moment) -> Vec<Effect> {
        let mut effects = self.home.tick(now);
        for member in self.adopted.values_mut() {
            effects.extend(member.tick(now));
        }
        effects.extend(self.fetch_from_seed());
        if self.is_list_due(now) {
            self.reset_if_stale(now);
            self.last_listed_at = Some(now);
            effects.push(Effect::List);
        }
        effects
    }

    /// Requests tables from the next seed if the host starts while the platform
    /// is out.
    fn fetch_from_seed(&mut self) -> Option<Effect> {
        let is_out = self.home.platform() == PlatformView::Out;
        if self.home.known_table().is_some() || !is_out {
            return None;
        }
        let seeds = &self.cfg.seeds;
        let from = *seeds.get(self.next_seed % seeds.len().max(1))?;
        self.next_seed += 1;
        let request = self.request();
        Some(Effect::Fetch { from, request })
    }

    /// Request for tables newer than those seen by this host.
    fn request(&self) -> TablesRequest {
        let home = self.home.known_table().into_iter();
        let others = self.directory.iter().map(|committed| &committed.table);
        TablesRequest {
            known: home.chain(others).map(KnownTable::from_table).collect(),
        }
    }

    fn is_list_due(&self, now: Moment) -> bool {
        let due = |at: Moment| now.since(at) >= self.cfg.refresh_period;
        self.home.is_writer() && self.last_listed_at.is_none_or(due)
    }

    /// Resets the adoption timers of the other tables if they have not been
    /// listed for two refresh periods.
    fn reset_if_stale(&mut self, now: Moment) {
        let paused = |at: Moment| now.since(at) >= self.cfg.refresh_period * 2;
        if self.last_listed_at.is_none_or(paused) {
            self.directory.reset_timers(now);
        }
    }

    fn on_written(
        &mut self,
        now: Moment,
        table: Table,
        outcome: Result<Written, PlatformFailure>,
    ) -> Vec<Effect> {
        let data_centre = table.data_centre.clone();
        if let Some(member) = self.member_mut(&data_centre) {
            return member.on_written(now, table, outcome);
        }
        if let Ok(Written::Done(version)) = outcome {
            self.adoptions += 1;
            self.directory.observe(now, Committed { version, table });
        }
        Vec::new()
    }

    fn on_reply(
        &mut self,
        now: Moment,
        table: &DataCentre,
        host: &HostId,
        reply: HeartbeatReply,
    ) -> Vec<Effect> {
        let others = reply.others;
        let Some(member) = self.member_mut(table) else {
            return Vec::new();
        };
        let mut effects = member.on_reply(now, host, reply);
        if *table == self.identity.data_centre && others > self.directory.digest() {
            effects.extend(self.fetch(host));
        }
        effects
    }

    fn fetch(&self, host: &HostId) -> Option<Effect> {
        let row = self.home.known_table()?.hosts.get(host)?;
        Some(Effect::Fetch {
            from: row.peer,
            request: self.request(),
        })
    }

    fn on_listed(&mut self, now: Moment, tables: Option<Vec<Committed>>) -> Vec<Effect> {
        let Some(tables) = tables else {
            // Without a list, heartbeats may have advanced unseen.
            self.directory.reset_timers(now);
            return Vec::new();
        };
        let mut effects = self.observe(now, tables);
        effects.extend(self.adopt_lapsed(now));
        effects
    }

    fn on_fetched(&mut self, now: Moment, reply: Option<TablesReply>) -> Vec<Effect> {
        match reply {
            Some(reply) => self.observe(now, reply.tables),
            None => Vec::new(),
        }
    }

    fn observe(&mut self, now: Moment, tables: Vec<Committed>) -> Vec<Effect> {
        let mut effects = Vec::new();
        for committed in tables {
            let data_centre = committed.table.data_centre.clone();
            if data_centre == self.identity.data_centre {
                effects.extend(self.home.on_committed(now, committed));
                continue;
            }
            if let Some(member) = self.adopted.get_mut(&data_centre) {
                effects.extend(member.on_committed(now, committed.clone()));
            }
            self.directory.observe(now, committed);
        }
        effects
    }

    fn adopt_lapsed(&self, now: Moment) -> Vec<Effect> {
        let Some(home) = self.home.known_table() else {
            return Vec::new();
        };
        let lapsed = self.directory.lapsed(now, &self.cfg);
        lapsed
            .into_iter()
            .filter_map(|committed| {
                let table = Box::new(adopt(&committed.table, home)?);
                let expect = Expect::At(committed.version);
                Some(Effect::Write { expect, table })
            })
            .collect()
    }

    /// Adds members for tables that list this host as adopter and drops members
    /// of tables that no longer do.
    fn update_adopted(&mut self, now: Moment, mut effects: Vec<Effect>) -> Vec<Effect> {
        for committed in self.adopted.values().filter_map(Member::committed) {
            self.directory.observe_newer(now, committed);
        }
        for committed in self.newly_adopted() {
            effects.extend(self.join_adopted(now, committed));
        }
        let host = &self.identity.host;
        self.adopted.retain(|_, member| {
            let table = member.known_table();
            table.is_none_or(|table| table.hosts.contains_key(host))
        });
        effects
    }

    fn newly_adopted(&self) -> Vec<Committed> {
        let incarnation = self.home.incarnation();
        let lists_self = |committed: &&Committed| {
            let row = committed.table.hosts.get(&self.identity.host);
            row.is_some_and(|row| row.incarnation == incarnation)
        };
        self.directory
            .iter()
            .filter(|c| !self.adopted.contains_key(&c.table.data_centre))
            .filter(lists_self)
            .cloned()
            .collect()
    }

    fn join_adopted(&mut self, now: Moment, committed: Committed) -> Vec<Effect> {
        let data_centre = committed.table.data_centre.clone();
        let mut member = self.home.adopter(data_centre.clone());
        let effects = member.on_committed(now, committed);
        self.adopted.insert(data_centre, member);
        effects
    }
}

fn home_hosts(table: &Table) -> impl Iterator<Item = HostInfo> {
    let home = table.hosts.iter().filter(|(_, row)| !table.is_foreign(row));
    home.map(|(host, row)| HostInfo {
        host: host.clone(),
        data_centre: row.data_centre.clone(),
        peer: row.peer,
        caller: row.caller,
        incarnation: row.incarnation,
        draining: row.draining,
        live: !row.lapsed,
    })
}
