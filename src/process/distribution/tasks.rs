//! Background tasks that keep the configuration of a running host up to date.

use std::time::Duration;

use async_io::Timer;
use rand::seq::IndexedRandom;

use super::Distribution;
use super::HostAddress;
use super::Hosts;
use super::driver::increment;
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

/// Pause between two rounds of pushing a version to hosts without confirmation.
const CONFIRM_PAUSE: Duration = Duration::from_millis(100);

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// Starts the tasks; they run until the process ends.
    pub fn start(&self, timers: &Timers) {
        for kind in Kind::ALL {
            self.spawner.detach(self.clone().watch(kind));
        }
        self.spawner.detach(self.clone().poll(timers.clone()));
        self.spawner.detach(self.clone().relist(timers.clone()));
        self.spawner.detach(self.clone().exchange(timers.clone()));
        self.spawner
            .detach(self.clone().retry_recording(timers.clone()));
        self.spawner.detach(self.clone().save_on_change());
    }

    /// Waits until every live host applies at least this version of an object,
    /// or until the deadline. Hosts that become live while waiting are included.
    pub async fn wait_in_force(
        &self,
        id: &ObjectId,
        version: Version,
        deadline: Moment,
    ) -> InForce {
        let own = self.hosts.own_address().id.clone();
        self.save().await;
        let mut confirmations = Confirmations::new(version);
        loop {
            let listed_at = self.hosts.listed_at();
            let peers = self.hosts.live_peers();
            let ids = peers.iter().map(|host| host.id.clone());
            confirmations.set_hosts(ids.chain([own.clone()]), listed_at);
            let applied = self.configuration.applied_version(id);
            confirmations.record(&own, applied, Moment::now());
            self.push_unconfirmed(id, peers, &mut confirmations).await;
            let summary = confirmations.summary();
            if summary.is_complete() || Moment::now() >= deadline {
                return summary;
            }
            let pause = CONFIRM_PAUSE.min(Moment::now().until(deadline));
            Timer::after(pause).await;
        }
    }

    /// Pushes the object to the hosts that have not confirmed it and records
    /// the versions that they then apply.
    async fn push_unconfirmed(
        &self,
        id: &ObjectId,
        peers: Vec<HostAddress>,
        confirmations: &mut Confirmations,
    ) {
        let is_unconfirmed = |host: &HostAddress| !confirmations.has_confirmed(&host.id);
        let hosts: Vec<HostAddress> = peers.into_iter().filter(is_unconfirmed).collect();
        let bundle = self
            .configuration
            .read(|catalogue| catalogue.with_references(id));
        let outcome = self.push_to_hosts(&bundle, hosts).await;
        for (host, versions) in outcome.answered {
            let applied = versions.first().copied().flatten();
            confirmations.record(&host.id, applied, Moment::now());
        }
    }

    /// Watches one kind at the platform while this host is a watcher.
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
        let changes = self.record_result(watched)?;
        increment(&self.counters.watches);
        let bundle = bundle_of(kind, &changes.objects);
        let applied = self.apply_and_persist(bundle.clone()).await;
        if applied.has_changes() {
            self.spawn_push_to_data_centre(bundle);
        }
        *since = changes.upto.max(*since);
        Ok(())
    }

    /// Lists all objects when the last contact outside the data centre is older
    /// than the poll period.
    async fn poll(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.poll).await;
        while let Ok(now) = ticks.recv().await {
            if self.contact.age(now) > self.cfg.poll {
                self.list_all().await;
            }
        }
    }

    /// Lists all objects periodically, in case a watch missed a change.
    async fn relist(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.relist).await;
        while ticks.recv().await.is_ok() {
            if self.hosts.is_watcher() {
                self.list_all().await;
            }
        }
    }

    /// Exchanges with one randomly chosen host per period.
    async fn exchange(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.exchange).await;
        while ticks.recv().await.is_ok() {
            let peers = self.hosts.live_peers();
            let chosen = peers.choose(&mut rand::rng()).cloned();
            if let Some(host) = chosen {
                // The call counts failures; the next period chooses again.
                let _counted = self.exchange_with(&host).await;
            }
        }
    }

    /// Retries to record withdrawals until the platform holds them.
    async fn retry_recording(self, timers: Timers) {
        let ticks = timers.subscribe(self.cfg.retry).await;
        while ticks.recv().await.is_ok() {
            if self.hosts.is_watcher() {
                self.record_withdrawals().await;
            }
        }
    }

    /// Saves after changes, at most once per save period.
    async fn save_on_change(self) {
        let changes = self.configuration.subscribe();
        while changes.recv().await.is_ok() {
            self.save().await;
            Timer::after(self.cfg.save).await;
        }
    }
}
