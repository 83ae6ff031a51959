//! State that all tasks of a gateway share.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use async_channel::Receiver;
use async_channel::Sender;
use chicoryarch_net::Client;
use chicoryarch_net::Spawner;
use chicoryarch_net::buffered::BodyMemory;
use parking_lot::Mutex;
use parking_lot::RwLock;
use serde::Serialize;

use super::accounts::Accounts;
use super::contact::HostContact;
use super::contact::ScoutReports;
use super::contact::StoreContact;
use super::directory::Directory;
use super::directory::Endpoint;
use super::following::FollowState;
use super::freshness::Freshness;
use super::held_parts::HeldParts;
use super::isolation::SpentPrograms;
use super::metrics::GatewayMetrics;
use super::origins::Origins;
use super::placing::Pool;
use super::rate::Rates;
use super::roster::Peer;
use super::roster::Roster;
use super::routes::Configuration;
use super::transfers::Transfers;
use crate::balance::Balance;
use crate::balance::shared::MAX_REPORTS;
use crate::balance::shared::SendBudget;
use crate::balance::shared::SharedReport;
use crate::configs::gateway::GatewayConfig;
use crate::connection::peer::HttpPeers;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::ids::Version;
use crate::lists::SharedList;
use crate::lists::archives::Archives;
use crate::lists::evacuations::Evacuations;
use crate::process::events::EventLog;
use crate::protection::announced_limit::SharedLimit;
use crate::protection::cold;
use crate::protection::cold::ColdCause;
use crate::protection::cold::ColdRule;
use crate::protection::evacuation::Evacuated;
use crate::protection::helpers::Helpers;
use crate::protection::homes::Homes;
use crate::protection::limit_bucket::LimitBuckets;
use crate::protection::listed_versions::ListedVersions;
use crate::protection::suspects::Suspects;
use crate::readiness::Conditions;
use crate::readiness::Readiness;
use crate::readiness::Reason;
use crate::turns::Turns;
use crate::units::Moment;

/// The configuration in force, decoded and as text.
#[derive(Debug, Default)]
pub struct InForce {
    /// Decoded routing table.
    pub table: Configuration,
    /// Text of the configuration, as sent to other hosts.
    pub text: Arc<str>,
}

#[derive(Serialize)]
struct DivertingLine {
    reason: Option<Reason>,
}

#[derive(Serialize)]
struct EvacuationLine<'a> {
    data_centre: &'a str,
    is_evacuated: bool,
    /// Whether an endpoint or a host is listed in it.
    is_known: bool,
    /// Whether the contents of its entry are no JSON object.
    is_unexpected: bool,
}

#[derive(Serialize)]
struct ColdLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    cause: ColdCause,
}

/// Limits of the retry time of callers that another host will serve. The longest is
/// what callers accept: a third of a time limit of 4 s.
const MIN_DIVERTED_RETRY: Duration = Duration::from_millis(50);
const MAX_DIVERTED_RETRY: Duration = Duration::from_millis(1300);
/// Maximum factor by which retry times differ, so that callers do not return at
/// the same moment.
const RETRY_SPREAD: f64 = 1.1;

/// Age above which a limit that an endpoint has announced is not told to other
/// hosts.
const MAX_TOLD_AGE: Duration = Duration::from_secs(10);
/// Maximum number of limits in one message to another host.
const MAX_TOLD_LIMITS: usize = 128;

/// Endpoint pools by service, each with its own lock.
#[derive(Debug, Default)]
pub struct Pools {
    by_service: RwLock<HashMap<Arc<str>, Arc<Mutex<Pool>>>>,
    /// Whether there has been a list of endpoints.
    is_listed: AtomicBool,
    /// Room for engines' reports in messages to other hosts.
    report_budget: Mutex<SendBudget>,
}

impl Pools {
    /// Returns the pool of a service; `None` if none of its endpoints was ever
    /// listed.
    pub fn get(&self, service: &str) -> Option<Arc<Mutex<Pool>>> {
        self.by_service.read().get(service).cloned()
    }

    /// Returns all pools with the names of their services.
    pub fn all(&self) -> Vec<(Arc<str>, Arc<Mutex<Pool>>)> {
        let pools = self.by_service.read();
        let pools = pools.iter();
        pools
            .map(|(service, pool)| (Arc::clone(service), Arc::clone(pool)))
            .collect()
    }

    /// Returns the services that this host is cut off from.
    pub fn cut_off_services(&self) -> Vec<Arc<str>> {
        let pools = self.by_service.read();
        let cut_off = pools
            .iter()
            .filter(|(_, pool)| pool.lock().path.is_cut_off());
        cut_off.map(|(service, _)| Arc::clone(service)).collect()
    }

    /// Returns the limits to tell other hosts, the latest first.
    pub fn limits(&self, now: Moment) -> Vec<SharedLimit> {
        let pools = self.by_service.read();
        let pools = pools.values();
        let mut limits: Vec<_> = pools
            .flat_map(|pool| pool.lock().limits(MAX_TOLD_AGE, now))
            .collect();
        limits.sort_unstable_by_key(|limit| limit.age_ms);
        limits.truncate(MAX_TOLD_LIMITS);
        limits
    }

    /// Records the limits that another host tells and returns those that this
    /// host did not know.
    pub fn learn_limits<'a>(&self, told: &'a [SharedLimit], now: Moment) -> Vec<&'a SharedLimit> {
        let is_new = |limit: &&SharedLimit| {
            let pool = self.get(&limit.service);
            pool.is_some_and(|pool| pool.lock().learn_limit(limit, now))
        };
        told.iter().filter(is_new).collect()
    }

    /// Returns the engines' reports to send in a message to another host, which has
    /// `told` some itself.
    pub fn reports_to_send(
        &self,
        told: &[SharedReport],
        bytes_per_s: f64,
        now: Moment,
    ) -> Vec<SharedReport> {
        let reports = {
            let pools = self.by_service.read();
            let recent = pools.values().map(|pool| pool.lock().recent_reports(now));
            recent.flatten().collect()
        };
        let mut budget = self.report_budget.lock();
        budget.select(reports, told, bytes_per_s, now)
    }

    /// Records the engines' reports that another host has sent and returns how many
    /// are later than those that this host knew.
    pub fn learn_reports(&self, told: &[SharedReport], now: Moment) -> usize {
        let is_later = |report: &&SharedReport| {
            let pool = self.get(&report.service);
            pool.is_some_and(|pool| pool.lock().learn_report(report, now))
        };
        told.iter().take(MAX_REPORTS).filter(is_later).count()
    }

    /// Updates all pools with the listed endpoints. Returns the endpoints that have
    /// become cold.
    pub fn replace(&self, endpoints: &[Arc<Endpoint>]) -> Vec<(Arc<Endpoint>, ColdCause)> {
        let now = Moment::now();
        let mut newly_cold = Vec::new();
        let mut pools = self.by_service.write();
        let is_first = !self.is_listed.swap(true, Ordering::AcqRel);
        let listed: HashSet<&Arc<str>> = endpoints.iter().map(|e| &e.service).collect();
        for service in listed {
            pools
                .entry(Arc::clone(service))
                .or_insert_with(|| match is_first {
                    true => Arc::default(),
                    false => Arc::new(Mutex::new(Pool::of_new_service())),
                });
        }
        for (service, pool) in pools.iter() {
            let own = endpoints.iter().filter(|e| e.service == *service);
            newly_cold.extend(pool.lock().replace(own.cloned(), now));
        }
        newly_cold
    }

    /// Records that the evacuation of a data centre has ended.
    pub fn record_evacuation_end(&self, data_centre: &str, now: Moment) {
        for pool in self.by_service.read().values() {
            pool.lock().record_evacuation_end(data_centre, now);
        }
    }
}

/// The list of endpoints and its version.
#[derive(Debug, Default)]
pub struct EndpointList {
    /// Endpoints by id.
    pub directory: Directory,
    /// Store version up to which changes are applied; `None` before the first
    /// list.
    pub upto: Option<Version>,
    /// Store version up to which there are no further changes, as far as is
    /// known.
    pub seen: Option<Version>,
    /// Versions that endpoints were listed with.
    pub versions: ListedVersions,
}

impl EndpointList {
    /// Records that changes up to a store version are applied.
    pub fn advance(&mut self, upto: Version) {
        self.upto = self.upto.max(Some(upto));
        self.seen = self.seen.max(self.upto);
    }

    /// Records that a list of store version `upto` has no changes up to `seen`.
    pub fn confirm(&mut self, upto: Option<Version>, seen: Option<Version>) {
        if upto.is_some() && self.upto == upto {
            self.seen = self.seen.max(seen);
        }
    }

    /// Records that the versions of all endpoints are listed.
    pub fn record_versions(&mut self, now: Moment) {
        self.versions.forget(now);
        for endpoint in self.directory.endpoints() {
            self.versions
                .record(&endpoint.service, &endpoint.version, now);
        }
    }
}

/// Times of a drain.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainTimes {
    /// Until when all requests are taken.
    pub taken_until: Moment,
    /// When those that are still open are ended.
    pub ends_at: Moment,
}

impl DrainTimes {
    /// Whether a request with this deadline is taken. A late one must end before the
    /// drain does.
    pub fn admits(self, now: Moment, deadline: Moment) -> bool {
        now <= self.taken_until || deadline <= self.ends_at
    }
}

/// The time limit of a drain, for which requests wait.
#[derive(Debug)]
pub struct DrainLimit {
    tx: Sender<()>,
    rx: Receiver<()>,
    times: OnceLock<DrainTimes>,
}

impl Default for DrainLimit {
    fn default() -> Self {
        let (tx, rx) = async_channel::bounded(1);
        let times = OnceLock::new();
        Self { tx, rx, times }
    }
}

impl DrainLimit {
    /// Sets the times of the drain, which begins.
    pub fn begin(&self, times: DrainTimes) {
        // A second signal changes nothing.
        let _first = self.times.set(times);
    }

    /// Whether a request with this deadline is taken.
    pub fn admits(&self, now: Moment, deadline: Moment) -> bool {
        let times = self.times.get();
        times.is_none_or(|times| times.admits(now, deadline))
    }

    /// Marks the time limit as reached.
    pub fn end(&self) {
        self.tx.close();
    }

    /// Waits for the time limit.
    pub async fn wait(&self) {
        // The channel carries no items; `recv` returns when it is closed.
        let _closed = self.rx.recv().await;
    }
}

/// Shared state of one gateway.
#[derive(Debug)]
pub struct Gateway<P> {
    /// Settings read at the start.
    pub cfg: GatewayConfig,
    /// When the process started.
    pub started: Moment,
    /// Spawns background tasks.
    pub spawner: Spawner,
    /// Client of the platform's store.
    pub store: P,
    /// Hosts that keep callers' turns.
    pub archives: Arc<SharedList<Archives>>,
    /// Turns that callers continue by their ids.
    pub turns: Turns<P>,
    /// Data centres whose endpoints get no calls.
    pub evacuations: SharedList<Evacuations>,
    /// The evacuations that this host acts on.
    pub evacuated: Mutex<Evacuated>,
    /// Whether the store answers this host's requests.
    pub store_contact: StoreContact,
    /// When this host last heard from another data centre.
    pub remote_contact: HostContact,
    /// When this host last heard from any other host.
    pub peer_contact: HostContact,
    /// Whether callers are better served by other hosts.
    pub readiness: Readiness,
    /// Reports from the hosts that follow the store.
    pub scout_reports: ScoutReports,
    /// HTTP client for endpoints.
    pub client: Client,
    /// RPC client for other hosts.
    pub peers: HttpPeers,
    /// Configuration that requests are routed by.
    pub in_force: ArcSwap<InForce>,
    /// Transfers of the configuration between hosts.
    pub transfers: Transfers,
    /// Age of what this host knows of the configuration.
    pub freshness: Freshness,
    /// Endpoints as listed by the store or by other hosts.
    pub endpoint_list: Mutex<EndpointList>,
    /// When the last call was sent that showed the list of endpoints to be up to
    /// date; locked while such a call is under way.
    pub list_proved_at: async_lock::Mutex<Moment>,
    /// Endpoint pools for the choice of endpoints.
    pub pools: Pools,
    /// Known hosts.
    pub roster: Mutex<Roster>,
    /// Rate limits of customers.
    pub rates: Rates,
    /// Token budgets of programs.
    pub accounts: Accounts,
    /// Parts of programs' tokens that this process holds outside of balances.
    pub held_parts: HeldParts,
    /// Programs that have spent their budget.
    pub spent: SpentPrograms,
    /// Tokens for endpoints with limits that this host is the home of.
    pub limit_buckets: Mutex<LimitBuckets>,
    /// Hosts in whose place this one has handed out tokens, which are probed.
    pub stood_in_for: Mutex<HashSet<Peer>>,
    /// Hosts that may forward calls while this one is cut off.
    pub helpers: Arc<Mutex<Helpers>>,
    /// Number of other hosts' calls that this host is forwarding.
    pub forwarded: Arc<AtomicUsize>,
    /// Requests under which endpoints have ended.
    pub suspects: Mutex<Suspects>,
    /// Versions that began streams.
    pub origins: Origins,
    /// Memory of request bodies, from their reception until the call ends.
    pub request_memory: BodyMemory,
    /// Memory of endpoints' answers, until they are sent to the callers.
    pub answer_memory: BodyMemory,
    /// Memory of large events of streams, until they are sent to the callers.
    pub event_memory: BodyMemory,
    /// Set when the process has received a signal to stop.
    pub is_draining: AtomicBool,
    /// Ends the requests that are still open when a drain is out of time.
    pub drain_limit: DrainLimit,
    /// Structured event log.
    pub log: EventLog,
    /// Metrics of this gateway.
    pub metrics: GatewayMetrics,
}

/// Handle to the shared state.
pub type Cx<P> = Arc<Gateway<P>>;

impl<P: Platform> Gateway<P> {
    /// Whether the process has received a signal to stop.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Acquire)
    }

    /// Whether this host can serve callers: it has a configuration and a list
    /// of endpoints, is not draining and not out of contact.
    pub fn is_ready(&self) -> bool {
        let is_configured = !self.in_force.load().table.is_unknown();
        let has_endpoints = self.endpoint_list.lock().upto.is_some();
        let knows_evacuations = self.cfg.evacuation.is_none() || self.evacuations.upto().is_some();
        let is_informed = is_configured && has_endpoints && knows_evacuations;
        !self.is_draining() && is_informed && self.diverts_callers().is_none()
    }

    /// Why callers are better served by other hosts; `None` if they are not.
    pub fn diverts_callers(&self) -> Option<Reason> {
        let now = Moment::now();
        if let Some(reason) = self.readiness.recent(now) {
            return reason;
        }
        let verdict = self.readiness.decide(&self.conditions(), now);
        if verdict.has_changed {
            self.metrics.set_diverting(verdict.reason.is_some());
            let line = DivertingLine {
                reason: verdict.reason,
            };
            self.log.state("callers-diverted", &line);
        }
        verdict.reason
    }

    /// Whether this host can store turns; `None` if no route keeps any, or if it has
    /// stored none of late, so that it does not know.
    pub fn can_store_turns(&self) -> Option<bool> {
        let conditions = self.conditions();
        let is_known = !conditions.can_store || self.turns.has_stored_lately(Moment::now());
        (conditions.keeps_turns && is_known).then_some(conditions.can_store)
    }

    fn conditions(&self) -> Conditions {
        let is_isolated = self.is_isolated();
        let is_asked = self.in_force.load().table.longest_retention().is_some();
        let keeps_turns = is_asked && self.archives.upto().is_some();
        // An isolated data centre reaches no archive host of another one.
        let lacks_place = is_isolated && self.cfg.fault_tolerance.data_centres > 0;
        let is_fallback = is_isolated && {
            let roster = self.roster.lock();
            let first = roster.first_data_centre();
            first.is_none_or(|first| *first == self.cfg.place.data_centre)
        };
        Conditions {
            is_out_of_contact: self.is_out_of_contact(),
            is_isolated,
            is_fallback,
            keeps_turns,
            can_store: !keeps_turns || (!lacks_place && self.turns.can_store(&Homes::default())),
        }
    }

    /// Returns the retry time of a refusal that another host may not give: the
    /// time until the load balancer sends the caller there. A caller that comes after
    /// that time finds no other host, and gets the `usual` one.
    pub fn retry_elsewhere(&self, usual: Duration) -> Duration {
        let _reason = self.diverts_callers();
        match self.readiness.diverted_in(Moment::now()) {
            Some(wait) if !wait.is_zero() => {
                let spread = rand::random_range(1.0..=RETRY_SPREAD);
                let wait = wait.mul_f64(spread);
                wait.clamp(MIN_DIVERTED_RETRY, MAX_DIVERTED_RETRY)
            }
            _ => usual,
        }
    }

    /// Whether this host appears to be cut off by itself: neither the store nor
    /// any of the other listed hosts has answered it for `isolation_after`.
    ///
    /// It has only its own parts of programs' tokens then, so callers are better
    /// served by other hosts. Hosts of a data centre that is cut off as a whole
    /// hear from each other.
    pub fn is_out_of_contact(&self) -> bool {
        if self.store_contact.is_up() {
            return false;
        }
        let silent = self.peer_contact.silent_for(Moment::now());
        silent >= self.cfg.isolation_after && self.roster.lock().len() > 1
    }

    /// Returns the evacuated data centres; `None` if operators evacuate none.
    pub fn evacuated(&self) -> Option<Evacuated> {
        self.cfg.evacuation?;
        Some(self.evacuated.lock().clone())
    }

    /// Whether the endpoints of a data centre take no new attempts.
    pub fn is_evacuated(&self, data_centre: &str) -> bool {
        self.evacuated()
            .is_some_and(|evacuated| evacuated.contains(data_centre))
    }

    /// Whether an endpoint or a host is listed in a data centre.
    fn knows_data_centre(&self, name: &str) -> bool {
        let is_listed = {
            let listed = self.endpoint_list.lock();
            let mut endpoints = listed.directory.endpoints();
            endpoints.any(|endpoint| *endpoint.data_centre == *name)
        };
        is_listed || self.roster.lock().has_data_centre(name)
    }

    /// Acts on the listed evacuations: those that have begun hold from now on, and
    /// the endpoints of data centres whose evacuation has ended count as cold.
    pub fn apply_evacuations(&self) {
        if self.cfg.evacuation.is_none() {
            return;
        }
        // Locked throughout, so that of two changes the newer is applied last.
        let mut evacuated = self.evacuated.lock();
        let next = Evacuated::new(self.evacuations.entries());
        let now = Moment::now();
        for (data_centre, _) in evacuated.begun_since(&next) {
            self.pools.record_evacuation_end(data_centre, now);
            let line = EvacuationLine {
                data_centre,
                is_evacuated: false,
                is_known: self.knows_data_centre(data_centre),
                is_unexpected: false,
            };
            self.log.state("evacuation", &line);
        }
        for (data_centre, entry) in next.begun_since(&evacuated) {
            let line = EvacuationLine {
                data_centre,
                is_evacuated: true,
                is_known: self.knows_data_centre(data_centre),
                is_unexpected: entry.is_unexpected,
            };
            self.log.state("evacuation", &line);
        }
        self.metrics.set_evacuated(next.len());
        *evacuated = next;
    }

    /// Whether this data centre appears to be isolated: the store does not
    /// answer this host, and no message has come from another data centre for
    /// `isolation_after`.
    pub fn is_isolated(&self) -> bool {
        let silent = self.remote_contact.silent_for(Moment::now());
        !self.store_contact.is_up() && silent >= self.cfg.isolation_after
    }

    /// What decides whether this host calls the store for a kind of objects.
    pub fn follow_state(&self, is_listed: bool) -> FollowState {
        let now = Moment::now();
        let scouts = self.scouts(now);
        let knows_hosts = self.roster.lock().version().is_some();
        FollowState {
            age: now.since(self.started),
            list_delay: self.list_delay(),
            scout_wait: self.cfg.scout_wait,
            is_listed,
            knows_hosts,
            has_scouts: !scouts.is_empty(),
            is_scout: self.is_among(&scouts),
            is_reported: self.scout_reports.is_current(now),
            is_confirmed: self
                .store_contact
                .answered_since(self.scout_reports.valid_until()),
        }
    }

    /// Whether the scouts' reports have ended and the store has not answered
    /// this host since.
    pub fn needs_probe(&self) -> bool {
        let state = self.follow_state(true);
        let is_waiting = state.age < state.scout_wait;
        !state.is_reported && !state.is_confirmed && !is_waiting
    }

    /// Time in milliseconds since the configuration in force was known to be the
    /// newest; `None` before the first confirmation.
    pub fn configuration_age_ms(&self) -> Option<u128> {
        let age = self.freshness.age(Moment::now());
        age.map(|age| age.as_millis())
    }

    /// Whether the list of endpoints is up to date, as far as this host can
    /// tell.
    pub fn is_current(&self) -> bool {
        self.store_contact.is_up() && (self.is_scout() || !self.needs_probe())
    }

    /// Age of the process before which it lists no objects in the store.
    fn list_delay(&self) -> Duration {
        match self.cfg.place.first_start {
            true => self.cfg.first_list_delay,
            false => Duration::ZERO,
        }
    }

    /// Whether this host has not listed any objects yet since the other hosts
    /// of the deployment are only just starting.
    pub fn is_before_first_list(&self) -> bool {
        Moment::now().since(self.started) < self.list_delay()
    }

    /// Whether this host follows the store on behalf of its data centre.
    pub fn is_scout(&self) -> bool {
        self.is_among(&self.scouts(Moment::now()))
    }

    fn is_among(&self, peers: &[Peer]) -> bool {
        peers.iter().any(|peer| peer.host == self.cfg.place.host)
    }

    /// Returns the hosts of this data centre that follow the store on behalf of
    /// the others.
    pub fn scouts(&self, now: Moment) -> Vec<Peer> {
        let roster = self.roster.lock();
        roster.scouts(&self.cfg.place.data_centre, self.cfg.scouts, now)
    }

    /// Records that a message from a host has arrived.
    pub fn record_message(&self, host: &HostId) {
        self.peer_contact.record_message(Moment::now());
        let mut roster = self.roster.lock();
        roster.mark_responsive(host);
        if roster.is_remote(host, &self.cfg.place.data_centre) {
            self.remote_contact.record_message(Moment::now());
        }
    }

    /// Updates the pools from the list of endpoints.
    pub fn refresh_pools(&self) {
        let endpoints: Vec<Arc<Endpoint>> = {
            let listed = self.endpoint_list.lock();
            listed.directory.endpoints().cloned().collect()
        };
        for (endpoint, cause) in self.pools.replace(&endpoints) {
            self.log_cold(&endpoint, cause);
        }
        if let Some(cfg) = &self.cfg.balance {
            for (_, pool) in self.pools.all() {
                let mut pool = pool.lock();
                if !pool.has_balance() {
                    pool.set_balance(Balance::new(cfg.clone(), rand::random()));
                }
            }
        }
    }

    /// What the endpoints of a service take while they are cold; `None` if they
    /// need no care.
    pub fn cold_rule(&self, service: &str) -> Option<ColdRule> {
        let spec = self.in_force.load().table.service(service)?.cold?;
        let bound = spec.per_s * self.cfg.cold_overshoot + self.cfg.cold_slack;
        let roster = self.roster.lock();
        Some(ColdRule {
            per_s: cold::divided_per_s(spec.per_s, bound, roster.len()),
            duration: spec.duration,
            revision: roster.rank_revision(Moment::now()),
        })
    }

    /// Logs that an endpoint has become cold, if its service needs care then.
    pub fn log_cold(&self, endpoint: &Endpoint, cause: ColdCause) {
        let in_force = self.in_force.load();
        let service = in_force.table.service(&endpoint.service);
        if service.is_some_and(|service| service.cold.is_some()) {
            let line = ColdLine {
                endpoint: &endpoint.id,
                service: &endpoint.service,
                cause,
            };
            self.log.request("endpoint-cold", &line);
        }
    }
}
