//! Simulates hosts, operators and the platform as plain values that run the
//! production decision code.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use chicoryarch::connection::platform::Nonce;
use chicoryarch::connection::platform::Object;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Version;
use chicoryarch::process::distribution::Standing;
use chicoryarch::process::distribution::in_force::Confirmations;
use chicoryarch::process::distribution::platform::bundle_of;
use chicoryarch::process::distribution::proposal::Base;
use chicoryarch::process::distribution::proposal::Proposal;
use chicoryarch::process::distribution::proposal::WriteStatus;
use chicoryarch::process::distribution::proposal::parse_base;
use chicoryarch::process::distribution::proposal::parse_item;
use chicoryarch::process::distribution::standing::Term;
use chicoryarch::process::distribution::standing::TermStanding;
use chicoryarch::process::distribution::withdraw::RecordPlan;
use chicoryarch::process::distribution::withdraw::plan_record;
use chicoryarch::units::Moment;
use chicoryarch::version::catalogue::Bundle;
use chicoryarch::version::catalogue::Catalogue;
use chicoryarch::version::catalogue::Document;
use chicoryarch::version::catalogue::Item;
use chicoryarch::version::catalogue::ObjectId;
use chicoryarch::version::catalogue::Snapshot;
use chicoryarch::version::catalogue::Tombstone;
use chicoryarch::version::objects::Customer;
use chicoryarch::version::objects::KeyRef;
use chicoryarch::version::objects::KeySet;
use chicoryarch::version::objects::Record;

use super::support::customer;
use super::support::customer_id;
use super::support::key;
use super::support::key_set;
use super::support::keys_id;
use super::support::secret;
use super::support::stamp;

pub(crate) const HOSTS: usize = 4;
pub(crate) const OPERATORS: usize = 2;
pub(crate) const CUSTOMERS: [&str; 2] = ["choir", "band"];
pub(crate) const EVERY_HOST: usize = (1 << HOSTS) - 1;
pub(crate) const KEYS: [&str; 2] = ["desk", "box"];

/// Kind of change that an operator makes.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Intent {
    Change,
    Remove,
    Grant(usize),
}

/// One event of a run; indices wrap around the number of existing items.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Read(usize, usize, usize, Intent),
    Write(usize, bool, bool),
    LateWrite(usize),
    Settle(usize),
    Confirm(usize, bool),
    StopWaiting(usize),
    Withdraw(usize, usize, usize),
    RecordWithdrawals(usize),
    Deliver(usize, bool),
    DropMessage(usize),
    Watch(usize, usize),
    List(usize),
    Exchange(usize, usize),
    Save(usize),
    Freeze(usize),
    Lapse(usize),
    RefreshView(usize),
    Thaw(usize),
    Restart(usize),
    CatchUp(usize, usize),
    SetPlatformDown(bool),
}

#[derive(Default)]
struct PlatformModel {
    objects: BTreeMap<ObjectId, Object>,
    history: Vec<(ObjectId, Object)>,
    is_down: bool,
}

impl PlatformModel {
    fn write(&mut self, proposal: &Proposal) -> Option<Version> {
        let present = self.objects.get(&proposal.id).map(|object| object.version);
        if present != proposal.base_version {
            return None;
        }
        let version = Version(self.history.len() as u64 + 1);
        let object = Object {
            name: proposal.id.name.clone(),
            version,
            value: proposal.encode(),
        };
        self.objects.insert(proposal.id.clone(), object.clone());
        self.history.push((proposal.id.clone(), object));
        Some(version)
    }
}

#[derive(Default)]
struct Host {
    catalogue: Catalogue,
    disk: Option<Bundle>,
    has_disk: bool,
    frozen: bool,
    listed: bool,
    term: u64,
    standing: TermStanding,
    /// The list of live hosts as last requested by this host, and when.
    view: Vec<usize>,
    viewed_at: u64,
    versions: BTreeMap<ObjectId, Version>,
    withdrawn_keys: BTreeSet<KeyRef>,
}

impl Host {
    fn apply(&mut self, bundle: Bundle) {
        let applied = self.catalogue.apply(bundle);
        if !applied.withdrawn.is_empty() {
            self.save();
        }
        self.withdrawn_keys.extend(applied.withdrawn);
    }

    fn save(&mut self) {
        if self.has_disk {
            self.disk = Some(self.catalogue.bundle());
        }
    }

    fn restart(&mut self) {
        if !self.has_disk {
            self.withdrawn_keys.clear();
        }
        self.catalogue = Catalogue::default();
        self.standing = TermStanding::default();
        self.versions.clear();
        self.frozen = false;
        if let Some(bundle) = self.disk.clone() {
            self.catalogue.apply(bundle);
            self.raise_standing(Standing::Saved);
        }
    }

    fn term(&self) -> Option<Term> {
        self.listed.then_some(Term(self.term))
    }

    fn standing(&self) -> Standing {
        self.standing.in_term(self.term())
    }

    fn raise_standing(&mut self, source: Standing) {
        self.standing = self.standing.with_source(source, self.term(), self.term());
    }

    fn check(&mut self) {
        self.check_withdrawn();
        for (id, version, _) in self.catalogue.documents() {
            let previous = self.versions.insert(id.clone(), version);
            assert!(previous <= Some(version), "an object's version decreased");
        }
    }

    fn check_withdrawn(&self) {
        if self.withdrawn_keys.is_empty() {
            return;
        }
        let snapshot = Snapshot::build(&self.catalogue);
        for key in &self.withdrawn_keys {
            let secret = secret(key.customer.as_str(), key.key.as_str());
            let found = snapshot.identify(secret.as_bytes());
            assert_eq!(found, None, "a withdrawn key still identifies its customer");
            assert!(snapshot.is_withdrawn(key), "a withdrawal was lost");
        }
    }
}

enum Operator {
    Idle,
    Ready(usize, Proposal),
    AnswerLost(usize, Proposal),
    Accepted(usize, Item, Confirmations),
}

pub(crate) struct World {
    platform: PlatformModel,
    hosts: Vec<Host>,
    operators: Vec<Operator>,
    network: Vec<(usize, Bundle)>,
    late_writes: Vec<Proposal>,
    in_force: BTreeMap<ObjectId, Version>,
    accepted: Vec<(ObjectId, u64)>,
    refused: Vec<u64>,
    audited_count: usize,
    last_audited: BTreeMap<ObjectId, Version>,
    audited_writes: BTreeSet<(ObjectId, u64)>,
    last_nonce: u64,
    pub(crate) confirmed: u64,
    now: u64,
}

impl World {
    pub(crate) fn new() -> Self {
        let host = |index| Host {
            has_disk: index % 2 == 0,
            view: (0..HOSTS).collect(),
            listed: true,
            ..Host::default()
        };
        let mut world = Self {
            platform: PlatformModel::default(),
            hosts: (0..HOSTS).map(host).collect(),
            operators: (0..OPERATORS).map(|_| Operator::Idle).collect(),
            network: Vec::new(),
            late_writes: Vec::new(),
            in_force: BTreeMap::new(),
            accepted: Vec::new(),
            refused: Vec::new(),
            audited_count: 0,
            last_audited: BTreeMap::new(),
            audited_writes: BTreeSet::new(),
            last_nonce: 0,
            confirmed: 0,
            now: 0,
        };
        for host in &mut world.hosts {
            host.raise_standing(Standing::Current);
        }
        world
    }

    pub(crate) fn step(&mut self, step: Step) {
        self.now += 1;
        match step {
            Step::Read(op, host, name, intent) => self.read(op, host, name, intent),
            Step::Write(op, takes_effect, answered) => self.write(op, takes_effect, answered),
            Step::LateWrite(index) => self.late_write(index),
            Step::Settle(op) => self.settle(op),
            Step::Confirm(op, list_again) => self.confirm(op, list_again),
            Step::StopWaiting(op) => self.stop_waiting(op),
            Step::Withdraw(host, name, key) => self.withdraw(host, name, key),
            Step::RecordWithdrawals(host) => self.record_withdrawals(host),
            Step::Deliver(index, again) => self.deliver(index, again),
            Step::DropMessage(index) => self.drop_message(index),
            Step::Watch(host, index) => self.watch(host, index),
            Step::List(host) => self.list(host),
            Step::Exchange(to, from) => self.exchange(to, from),
            Step::Save(host) => self.hosts[host].save(),
            Step::Freeze(host) => self.hosts[host].frozen = true,
            Step::Lapse(host) => self.lapse(host),
            Step::RefreshView(hosts) => self.refresh_views(hosts),
            Step::Thaw(host) => self.thaw(host),
            Step::Restart(host) => self.hosts[host].restart(),
            Step::CatchUp(host, reached) => self.catch_up(host, reached),
            Step::SetPlatformDown(is_down) => self.platform.is_down = is_down,
        }
        self.check();
    }

    /// Ends all faults, lets all hosts catch up and checks that they agree.
    pub(crate) fn finish(&mut self) {
        self.platform.is_down = false;
        for host in 0..HOSTS {
            self.thaw(host);
            self.catch_up(host, EVERY_HOST);
            self.record_withdrawals(host);
        }
        for host in (0..HOSTS).chain(0..HOSTS) {
            self.catch_up(host, EVERY_HOST);
        }
        self.check();
        let digest = self.hosts[0].catalogue.digest().summary();
        for host in &self.hosts {
            assert_eq!(
                host.catalogue.digest().summary(),
                digest,
                "hosts hold different configurations"
            );
        }
        self.check_recorded();
    }

    /// Checks that the platform holds every withdrawal that a host has applied.
    fn check_recorded(&self) {
        for key in self.hosts.iter().flat_map(|host| &host.withdrawn_keys) {
            let id = keys_id(key.customer.as_str());
            let base: Base<KeySet> = parse_base(self.platform.objects.get(&id)).unwrap();
            let recorded = &base.record.value.unwrap().keys[&key.key];
            assert!(recorded.withdrawn, "a withdrawal is not recorded");
        }
    }

    fn read(&mut self, op: usize, host: usize, name: usize, intent: Intent) {
        let idle = matches!(self.operators[op], Operator::Idle);
        if !idle || self.platform.is_down || self.hosts[host].frozen {
            return;
        }
        let name = CUSTOMERS[name];
        let id = match intent {
            Intent::Grant(_) => keys_id(name),
            Intent::Change | Intent::Remove => customer_id(name),
        };
        self.last_nonce += 1;
        let writer = Nonce(self.last_nonce);
        let found = self.platform.objects.get(&id);
        let proposal = match intent {
            Intent::Change => {
                customer_change(&id, found, Some(customer(self.last_nonce as f64)), writer)
            }
            Intent::Remove => customer_change(&id, found, None, writer),
            Intent::Grant(key) => grant(&id, found, name, KEYS[key], writer),
        };
        if let Some(proposal) = proposal {
            self.operators[op] = Operator::Ready(host, proposal);
        }
    }

    fn write(&mut self, op: usize, takes_effect: bool, answered: bool) {
        let Operator::Ready(host, proposal) = self.take_operator(op) else {
            return;
        };
        if self.platform.is_down {
            self.refused.push(proposal.writer.0);
            return;
        }
        if !takes_effect {
            self.late_writes.push(proposal.clone());
            self.operators[op] = Operator::AnswerLost(host, proposal);
            return;
        }
        let written = self.platform.write(&proposal);
        match written {
            _ if !answered => self.operators[op] = Operator::AnswerLost(host, proposal),
            Some(version) => self.accept(op, host, proposal.writer, proposal.item(version)),
            None => self.refused.push(proposal.writer.0),
        }
    }

    fn late_write(&mut self, index: usize) {
        if self.late_writes.is_empty() || self.platform.is_down {
            return;
        }
        let proposal = self.late_writes.remove(index % self.late_writes.len());
        self.platform.write(&proposal);
    }

    fn settle(&mut self, op: usize) {
        let (Operator::AnswerLost(host, proposal), false) =
            (self.take_operator(op), self.platform.is_down)
        else {
            return;
        };
        match proposal.write_status(self.platform.objects.get(&proposal.id)) {
            WriteStatus::Accepted(item) => self.accept(op, host, proposal.writer, item),
            WriteStatus::Conflict(_) => self.refused.push(proposal.writer.0),
            WriteStatus::Unknown => {}
            WriteStatus::Pending => {
                if let Some(version) = self.platform.write(&proposal) {
                    self.accept(op, host, proposal.writer, proposal.item(version));
                }
            }
        }
    }

    fn accept(&mut self, op: usize, host: usize, writer: Nonce, item: Item) {
        self.accepted.push((item.id.clone(), writer.0));
        let bundle = Bundle {
            items: vec![item.clone()],
            tombstones: Vec::new(),
        };
        self.hosts[host].apply(bundle.clone());
        self.send_to_others(host, &bundle);
        let confirmations = Confirmations::new(item.version);
        self.operators[op] = Operator::Accepted(host, item, confirmations);
    }

    /// Runs one round of confirmations, with the list of live hosts that the
    /// confirming host holds.
    fn confirm(&mut self, op: usize, list_again: bool) {
        if let (Operator::Accepted(confirming, ..), true) = (&self.operators[op], list_again) {
            self.refresh_views(1 << confirming);
        }
        let Operator::Accepted(confirming, item, confirmations) = &mut self.operators[op] else {
            return;
        };
        let confirming = &self.hosts[*confirming];
        if confirming.frozen || !confirming.listed {
            return;
        }
        let view = confirming.view.clone();
        let viewed_at = Moment::from_start(Duration::from_secs(confirming.viewed_at));
        confirmations.set_hosts(view.iter().map(|index| host_id(*index)), viewed_at);
        for index in view {
            let host = &mut self.hosts[index];
            if host.frozen {
                continue;
            }
            host.apply(Bundle {
                items: vec![item.clone()],
                tombstones: Vec::new(),
            });
            host.save();
            let applied = host.catalogue.applied_version(&item.id);
            let now = Moment::from_start(Duration::from_secs(self.now));
            confirmations.record(&host_id(index), applied, now);
        }
        if confirmations.summary().is_complete() {
            let known = self.in_force.entry(item.id.clone()).or_default();
            *known = item.version.max(*known);
            self.confirmed += 1;
            self.operators[op] = Operator::Idle;
        }
    }

    fn stop_waiting(&mut self, op: usize) {
        if let Operator::Accepted(..) = self.operators[op] {
            self.operators[op] = Operator::Idle;
        }
    }

    fn refresh_views(&mut self, hosts: usize) {
        let listed = |index: &usize| self.hosts[*index].listed;
        let view: Vec<usize> = (0..HOSTS).filter(listed).collect();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            if hosts & (1 << index) != 0 && !host.frozen {
                host.view = view.clone();
                host.viewed_at = self.now;
            }
        }
    }

    fn withdraw(&mut self, host: usize, name: usize, key_name: usize) {
        let (name, key_name) = (CUSTOMERS[name], KEYS[key_name]);
        let known = self.hosts[host].catalogue.document(&keys_id(name));
        let Some((_, Document::Keys(_, record))) = known else {
            return;
        };
        let has = |set: &std::sync::Arc<KeySet>| set.keys.contains_key(&key_name.parse().unwrap());
        if self.hosts[host].frozen || !record.value.as_ref().is_some_and(has) {
            return;
        }
        let bundle = Bundle {
            items: Vec::new(),
            tombstones: vec![Tombstone {
                key: key(name, key_name),
                stamp: Some(stamp("withdraw")),
            }],
        };
        self.hosts[host].apply(bundle.clone());
        self.send_to_others(host, &bundle);
    }

    fn record_withdrawals(&mut self, host: usize) {
        if self.platform.is_down || self.hosts[host].frozen {
            return;
        }
        let waiting: Vec<Tombstone> = self.hosts[host]
            .catalogue
            .unrecorded_withdrawals()
            .cloned()
            .collect();
        for tombstone in waiting {
            let id = keys_id(tombstone.key.customer.as_str());
            let base: Base<KeySet> = parse_base(self.platform.objects.get(&id)).unwrap();
            if let RecordPlan::Write(proposal) = plan_record(&id, base, &tombstone) {
                self.platform.write(&proposal).unwrap();
            }
            self.list(host);
        }
    }

    fn send_to_others(&mut self, from: usize, bundle: &Bundle) {
        for to in (0..HOSTS).filter(|to| *to != from) {
            self.network.push((to, bundle.clone()));
        }
    }

    fn deliver(&mut self, index: usize, again: bool) {
        if self.network.is_empty() {
            return;
        }
        let index = index % self.network.len();
        let (to, bundle) = self.network[index].clone();
        if self.hosts[to].frozen {
            return;
        }
        if !again {
            self.network.swap_remove(index);
        }
        self.hosts[to].apply(bundle);
    }

    fn drop_message(&mut self, index: usize) {
        if !self.network.is_empty() {
            self.network.swap_remove(index % self.network.len());
        }
    }

    /// Sends any past state of the platform, so that watches may be late or
    /// repeated.
    fn watch(&mut self, host: usize, index: usize) {
        if self.platform.is_down || self.platform.history.is_empty() {
            return;
        }
        let (id, object) = &self.platform.history[index % self.platform.history.len()];
        let bundle = bundle_of(id.kind, std::slice::from_ref(object));
        self.network.push((host, bundle));
    }

    fn list(&mut self, host: usize) {
        if self.platform.is_down || self.hosts[host].frozen {
            return;
        }
        for (id, object) in &self.platform.objects {
            let bundle = bundle_of(id.kind, std::slice::from_ref(object));
            self.hosts[host].apply(bundle);
        }
        self.hosts[host].raise_standing(Standing::Current);
    }

    fn exchange(&mut self, to: usize, from: usize) {
        if to == from || self.hosts[to].frozen || self.hosts[from].frozen {
            return;
        }
        let digest = self.hosts[to].catalogue.digest().clone();
        let bundle = self.hosts[from].catalogue.difference(&digest);
        let standing = self.hosts[from].standing();
        let host = &mut self.hosts[to];
        host.apply(bundle);
        host.raise_standing(standing);
    }

    fn lapse(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if host.frozen {
            host.listed = false;
            host.term += 1;
        }
    }

    fn thaw(&mut self, host: usize) {
        self.hosts[host].frozen = false;
    }

    fn catch_up(&mut self, index: usize, reached: usize) {
        if self.hosts[index].frozen {
            return;
        }
        self.hosts[index].listed = true;
        self.list(index);
        for other in 0..HOSTS {
            if reached & (1 << other) != 0 {
                self.exchange(index, other);
            }
        }
        self.hosts[index].save();
    }

    fn take_operator(&mut self, op: usize) -> Operator {
        std::mem::replace(&mut self.operators[op], Operator::Idle)
    }

    fn check(&mut self) {
        for host in &mut self.hosts {
            host.check();
        }
        self.check_in_force();
        self.check_audit();
    }

    fn check_in_force(&self) {
        let live = |host: &&Host| host.standing() == Standing::Current;
        for host in self.hosts.iter().filter(live) {
            for (id, version) in &self.in_force {
                let applied = host.catalogue.applied_version(id);
                assert!(applied >= Some(*version), "a version in force is missing");
            }
        }
    }

    /// Checks that every write has an audit entry that names the version before
    /// the write.
    fn check_audit(&mut self) {
        for (id, object) in &self.platform.history[self.audited_count..] {
            let item = parse_item(id, object).unwrap();
            let record: Record<serde_json::Value> = serde_json::from_value(item.record).unwrap();
            let change = record
                .changes
                .last()
                .expect("every write has an audit entry");
            let last = self.last_audited.insert(id.clone(), object.version);
            assert_eq!(
                change.old, last,
                "an audit entry names the wrong base version"
            );
            self.audited_writes.insert((id.clone(), change.writer.0));
        }
        self.audited_count = self.platform.history.len();
        for accepted in &self.accepted {
            assert!(
                self.audited_writes.contains(accepted),
                "an accepted change has no audit entry"
            );
        }
        let ran = |writer: &u64| {
            self.audited_writes
                .iter()
                .any(|(_, written)| written == writer)
        };
        assert!(
            !self.refused.iter().any(ran),
            "a change reported as not run has run"
        );
    }
}

fn host_id(index: usize) -> HostId {
    format!("h{index}").parse().unwrap()
}

fn customer_change(
    id: &ObjectId,
    found: Option<&Object>,
    value: Option<Customer>,
    writer: Nonce,
) -> Option<Proposal> {
    let base: Base<Customer> = parse_base(found).unwrap();
    let stamp = stamp("change");
    Some(Proposal::new(id.clone(), base, value, &stamp, writer))
}

fn grant(
    id: &ObjectId,
    found: Option<&Object>,
    customer: &str,
    name: &str,
    writer: Nonce,
) -> Option<Proposal> {
    let base: Base<KeySet> = parse_base(found).unwrap();
    let mut set = base.record.value.clone().unwrap_or_default();
    if set.keys.contains_key(&name.parse().unwrap()) {
        return None;
    }
    set.keys.extend(key_set(customer, &[name]).keys);
    let stamp = stamp("grant");
    Some(Proposal::new(id.clone(), base, Some(set), &stamp, writer))
}
