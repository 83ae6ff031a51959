//! The tasks that keep a running host up to date.

use std::time::Duration;

use async_io::Timer;
use rand::seq::IndexedRandom;

use super::Distribution;
use super::HostAddress;
use super::Hosts;
use super::driver::count;
use super::in_force::Confirmations;
use super::in_force::InForce;
use super::platform::bundle_of;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::Version;
use crate::process::timers::Timers;
use crate::units::Moment;
use crate::version::catalogue::ObjectId;
use crate::version::objects::Kind;

/// Pause between two rounds of asking hosts for a version.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Starts the tasks; they run as long as the process.
    pub fn start(&self, timers: &Timers) {
        for kind in Kind::ALL {
            self.spawner.detach(self.clone().watch(kind));
        }
        self.spawner.detach(self.clone().poll(timers.clone()));
        self.spawner.detach(self.clone().relist(timers.clone()));
        self.spawner.detach(self.clone().exchange(timers.clone()));
        self.spawner.detach(self.clone().offer(timers.clone()));
        self.spawner.detach(self.clone().keep_saved());
    }

    /// Waits until every live host applies at least this version of an object,
    /// or until the deadline; hosts that become live meanwhile are asked too.
    pub async fn wait_in_force(
        &self,
        id: &ObjectId,
        version: Version,
        deadline: Moment,
    ) -> InForce {
        let own = self.hosts.own().id.clone();
        self.save().await;
        let mut confirmations = Confirmations::new(version);
        loop {
            let listed_at = self.hosts.listed_at();
            let others = self.hosts.others();
            let ids = others.iter().map(|host| host.id.clone());
            confirmations.list(ids.chain([own.clone()]), listed_at);
            let applied = self.configuration.applied_version(id);
            confirmations.report(&own, applied, Moment::now());
            self.ask_versions(id, others, &mut confirmations).await;
            let summary = confirmations.summary();
            if summary.is_complete() || Moment::now() >= deadline {
                return summary;
            }
            let pause = CONFIRM_PAUSE.min(Moment::now().until(deadline));
            Timer::after(pause).await;
        }
    }

    /// Hands the object to the hosts that have not confirmed it; each answers
    /// with the version that it then applies.
    async fn ask_versions(
        &self,
        id: &ObjectId,
        others: Vec<HostAddress>,
        confirmations: &mut Confirmations,
    ) {
        let open = |host: &HostAddress| !confirmations.has(&host.id);
        let hosts: Vec<HostAddress> = others.into_iter().filter(open).collect();
        let bundle = self
            .configuration
            .read(|catalogue| catalogue.with_references(id));
        let reach = self.spread(&bundle, hosts).await;
        for (host, versions) in reach.reached {
            let applied = versions.first().copied().flatten();
            confirmations.report(&host.id, applied, Moment::now());
        }
    }

    /// Follows one kind at the platform, while this host is a watcher.
    async fn watch(self, kind: Kind) {
        let mut since = Version(0);
        loop {
            if !self.hosts.is_watcher() || self.watch_once(kind, &mut since).await.is_err() {
                Timer::after(self.cfg.retry).await;
            }
        }
    }

    async fn watch_once(
        &self,
        kind: Kind,
        since: &mut Version,
    ) -> crate::connection::platform::Result<()> {
        let wait = self.cfg.watch_wait;
        let watched = self.platform.watch(kind.as_str(), *since, wait).await;
        let changes = self.note(watched)?;
        count(&self.counters.watches);
        let bundle = bundle_of(kind, &changes.objects);
        let applied = self.apply_durably(bundle.clone()).await;
        if applied.has_changes() {
            self.spread_near(bundle);
        }
        *since = changes.upto.max(*since);
        Ok(())
    }

    /// Lists everything if no news reached this host otherwise.
    async fn poll(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.poll).await;
        while let Ok(now) = ticks.recv().await {
            if self.contact.age(now) > self.cfg.poll {
                self.list_all().await;
            }
        }
    }

    /// Lists everything now and then, in case a watch missed a change.
    async fn relist(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.relist).await;
        while ticks.recv().await.is_ok() {
            if self.hosts.is_watcher() {
                self.list_all().await;
            }
        }
    }

    /// Compares with one host after another, chosen at random.
    async fn exchange(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.exchange).await;
        while ticks.recv().await.is_ok() {
            let others = self.hosts.others();
            let chosen = others.choose(&mut rand::rng()).cloned();
            if let Some(host) = chosen {
                // A failure is counted; the next turn takes another host.
                let _unreached = self.exchange_with(&host).await;
            }
        }
    }

    /// Offers withdrawals to the platform until it holds them.
    async fn offer(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.retry).await;
        while ticks.recv().await.is_ok() {
            if self.hosts.is_watcher() {
                self.record_all().await;
            }
        }
    }

    /// Saves after changes, at most once a period.
    async fn keep_saved(self) {
        let changes = self.configuration.subscribe();
        while changes.recv().await.is_ok() {
            self.save().await;
            Timer::after(self.cfg.save).await;
        }
    }
}
