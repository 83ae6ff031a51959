//! Calls to other hosts: push, digest comparison and pull.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Distribution;
use super::HostAddress;
use super::Hosts;
use super::driver::increment;
use super::rpc::DIGEST;
use super::rpc::DigestAnswer;
use super::rpc::PULL;
use super::rpc::PUSH;
use super::rpc::PullAnswer;
use super::rpc::PullRequest;
use super::rpc::PushAnswer;
use crate::connection::peer;
use crate::connection::peer::NoParams;
use crate::connection::peer::Peers;
use crate::connection::platform::Platform;
use crate::ids::Version;
use crate::units::Moment;
use crate::version::catalogue::Bundle;
use crate::version::catalogue::Catalogue;
use crate::version::catalogue::Digest;
use crate::version::catalogue::ObjectId;

/// Result of pushing a bundle to several hosts.
#[derive(Debug, Default)]
pub struct PushOutcome {
    /// Hosts that answered, with the versions that they now apply, in the order
    /// of the bundle's items.
    pub answered: Vec<(HostAddress, Vec<Option<Version>>)>,
    /// Hosts whose call failed.
    pub failed: Vec<HostAddress>,
}

impl<P: Platform, Q: Peers, H: Hosts> Distribution<P, Q, H> {
    /// The answer to a [`DIGEST`] call.
    pub fn digest_answer(&self, now: Moment) -> DigestAnswer {
        // Read before the digest: a host that is current now is also current
        // with any later digest.
        let standing = self.standing();
        DigestAnswer {
            summary: self.configuration.digest().summary(),
            age: self.contact.age(now),
            standing,
        }
    }

    /// The answer to a [`PULL`] call by a host with the given digest.
    pub fn pull_answer(&self, digest: &Digest) -> PullAnswer {
        // Read before the bundle: a host that is current now is also current
        // with any later bundle.
        let standing = self.standing();
        let difference = |catalogue: &Catalogue| catalogue.difference(digest);
        PullAnswer {
            bundle: self.configuration.read(difference),
            standing,
        }
    }

    /// Applies a pushed bundle and saves it before answering, so that confirmed
    /// versions survive a crash of this host.
    pub async fn handle_push(&self, bundle: Bundle) -> PushAnswer {
        let ids: Vec<ObjectId> = bundle.items.iter().map(|item| item.id.clone()).collect();
        self.configuration.apply(bundle);
        // Saves even if nothing changed: another call may have applied the same
        // bundle without having saved it yet.
        if !self.save().await {
            return PushAnswer {
                versions: vec![None; ids.len()],
            };
        }
        let versions = ids
            .iter()
            .map(|id| self.configuration.applied_version(id))
            .collect();
        PushAnswer { versions }
    }

    /// Pushes a bundle to the given hosts and waits for all calls to end.
    pub async fn push_to_hosts(&self, bundle: &Bundle, hosts: Vec<HostAddress>) -> PushOutcome {
        let bundle = Arc::new(bundle.clone());
        let answers = self.call_peers(hosts, move |this, host| {
            let bundle = Arc::clone(&bundle);
            async move { this.push(&host, &bundle).await }
        });
        let mut outcome = PushOutcome::default();
        for (host, answer) in answers.await {
            match answer {
                Ok(answer) => outcome.answered.push((host, answer.versions)),
                Err(_) => outcome.failed.push(host),
            }
        }
        outcome
    }

    /// Compares digests with one host and pulls the newer versions and
    /// withdrawals that it holds.
    pub(super) async fn exchange_with(&self, host: &HostAddress) -> peer::Result<()> {
        increment(&self.counters.exchanges);
        let term = self.hosts.term();
        let answer: DigestAnswer = self.call_peer(host, DIGEST, &NoParams {}).await?;
        self.record_contact(host, answer.age);
        let digest = self.configuration.digest();
        if digest.summary() == answer.summary {
            self.raise_standing(answer.standing, term);
            return Ok(());
        }
        increment(&self.counters.pulls);
        let pulled: PullAnswer = self.call_peer(host, PULL, &PullRequest { digest }).await?;
        self.apply_and_persist(pulled.bundle).await;
        self.raise_standing(pulled.standing, term);
        Ok(())
    }

    /// Exchanges with every live host.
    ///
    /// Hosts are called one at a time until one answers, and the others then
    /// concurrently, so that a host without configuration pulls everything from
    /// one host only.
    pub(super) async fn exchange_with_all(&self) {
        let mut hosts = self.hosts.live_peers();
        hosts.shuffle(&mut rand::rng());
        while let Some(host) = hosts.pop() {
            if self.exchange_with(&host).await.is_ok() {
                break;
            }
        }
        self.call_peers(hosts, |this, host| async move {
            this.exchange_with(&host).await
        })
        .await;
    }

    /// Calls the hosts concurrently, within the limit of concurrent calls.
    pub(crate) async fn call_peers<R, F, A>(
        &self,
        hosts: Vec<HostAddress>,
        call: F,
    ) -> Vec<(HostAddress, R)>
    where
        R: Send + 'static,
        F: Fn(Self, HostAddress) -> A,
        A: Future<Output = R> + Send + 'static,
    {
        let start = |host: HostAddress| {
            let answer = call(self.clone(), host.clone());
            let permits = Arc::clone(&self.call_permits);
            let task = self.spawner.spawn(async move {
                let _permit = permits.acquire_arc().await;
                answer.await
            });
            (host, task)
        };
        let tasks: Vec<_> = hosts.into_iter().map(start).collect();
        let mut answers = Vec::with_capacity(tasks.len());
        for (host, task) in tasks {
            answers.push((host, task.await));
        }
        answers
    }

    /// Pushes a bundle to all live hosts in the background.
    pub(super) fn spawn_push_to_all(&self, bundle: Bundle) {
        let this = self.clone();
        self.spawner.detach(async move {
            let hosts = this.hosts.live_peers();
            this.push_to_hosts(&bundle, hosts).await;
        });
    }

    /// Pushes a bundle in the background to the live hosts of this data centre,
    /// which do not watch the platform themselves.
    pub(super) fn spawn_push_to_data_centre(&self, bundle: Bundle) {
        let this = self.clone();
        self.spawner.detach(async move {
            let own = &this.hosts.own_address().data_centre;
            let mut hosts = this.hosts.live_peers();
            hosts.retain(|host| host.data_centre == *own);
            this.push_to_hosts(&bundle, hosts).await;
        });
    }

    async fn push(&self, host: &HostAddress, bundle: &Bundle) -> peer::Result<PushAnswer> {
        increment(&self.counters.pushes);
        self.call_peer(host, PUSH, bundle).await
    }

    /// Calls a method of one host and counts a failure.
    pub(crate) async fn call_peer<A, R>(
        &self,
        host: &HostAddress,
        method: &'static str,
        params: &A,
    ) -> peer::Result<R>
    where
        A: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let answer = self.peers.call(host.address, method, params).await;
        if answer.is_err() {
            increment(&self.counters.peer_failures);
        }
        answer
    }

    fn record_contact(&self, host: &HostAddress, age: Duration) {
        let now = Moment::now();
        if host.data_centre == self.hosts.own_address().data_centre {
            self.contact.record_relayed(now, age);
        } else {
            self.contact.record_direct(now);
        }
    }
}
