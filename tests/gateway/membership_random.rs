//! Random joins, crashes and delayed listings. Guards against hosts that
//! together refill more than a customer's rate because their lists of hosts
//! differ, and against endpoints that are dropped too early or kept too long.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use chicoryarch::gateway::directory::Directory;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::directory::EndpointState;
use chicoryarch::gateway::quota::Share;
use chicoryarch::gateway::roster::HostEntry;
use chicoryarch::gateway::roster::Roster;
use chicoryarch::gateway::routes::Rate;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Incarnation;
use chicoryarch::ids::Version;
use chicoryarch::units::Moment;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::support::at;
use super::support::endpoint;

/// Time within which all hosts see a new one.
const NOTICE: Duration = Duration::from_secs(3);
const CUSTOMERS: u64 = 6;
const GRACE: Duration = Duration::from_secs(2);

/// Entries in the store after a change.
struct Listing {
    at_ms: u64,
    version: Version,
    entries: BTreeMap<HostId, HostEntry>,
}

struct World {
    rng: ChaCha8Rng,
    now_ms: u64,
    /// Past contents of the store, oldest first.
    listings: Vec<Listing>,
    /// Rosters of the running hosts.
    running: BTreeMap<HostId, Roster>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            listings: Vec::new(),
            running: BTreeMap::new(),
        };
        for _ in 0..world.rng.random_range(1..12) {
            world.add_host();
        }
        world
    }

    fn now(&self) -> Moment {
        at(self.now_ms)
    }

    fn change(&mut self, act: impl FnOnce(&mut BTreeMap<HostId, HostEntry>)) -> Version {
        let mut entries = self
            .listings
            .last()
            .map(|listing| listing.entries.clone())
            .unwrap_or_default();
        act(&mut entries);
        let version = Version(self.listings.len() as u64 + 1);
        self.listings.push(Listing {
            at_ms: self.now_ms,
            version,
            entries,
        });
        version
    }

    /// Adds a host, which the others see within the notice period.
    fn add_host(&mut self) {
        let started = self.listings.len() as u64 + 1;
        let host: HostId = format!("host-{started}").parse().expect("a name");
        let index = self.rng.random_range(0..4);
        let entry = HostEntry {
            peers: "127.0.0.1:1".parse().expect("an address"),
            data_centre: format!("dc-{index}").parse().expect("a name"),
            incarnation: Incarnation(started),
            is_founder: false,
            divides_tokens: true,
            passes_on: false,
        };
        let mut roster = Roster::new(host.clone());
        let added = (host.clone(), entry.clone());
        let version = self.change(|entries| {
            entries.insert(added.0, added.1);
        });
        roster.set_own_entry(entry, version);
        roster.start_share_at(self.now() + NOTICE);
        self.running.insert(host, roster);
    }

    /// Stops a random host and removes its entry.
    fn stop_host(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let host = self
            .running
            .keys()
            .nth(index)
            .expect("the index is in range")
            .clone();
        self.running.remove(&host);
        self.change(|entries| {
            entries.remove(&host);
        });
    }

    /// Advances the time. Each host receives a listing that is at most
    /// `max_delay` old, and then an older one from another host, which must
    /// have no effect.
    fn advance(&mut self, ms: u64, max_delay: Duration) {
        self.now_ms += ms;
        let oldest = self
            .listings
            .iter()
            .rposition(|listing| at(listing.at_ms) + max_delay <= at(self.now_ms))
            .unwrap_or(0);
        for roster in self.running.values_mut() {
            let latest = self.rng.random_range(oldest..self.listings.len());
            let older = self.rng.random_range(0..=latest);
            for listing in [&self.listings[latest], &self.listings[older]] {
                let entries = listing.entries.clone().into_iter().collect();
                assert!(!roster.replace(listing.version, entries));
            }
        }
    }

    fn refilled(&self, customer: u64, rate: Rate) -> f64 {
        let share = |roster: &Roster| {
            let Share(share) = roster.share(customer, rate, self.now());
            share
        };
        self.running.values().map(share).sum()
    }
}

/// Endpoint entries in the store, and since when the missing ones are missing.
#[derive(Default)]
struct Entries {
    present: HashMap<String, EndpointState>,
    missing_since: HashMap<String, Moment>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn hosts_never_refill_more_than_the_rate(seed: u64, burst in 1.0..200.0f64) {
        let rate = Rate { per_s: 50.0, burst };
        let mut world = World::new(seed);
        for _ in 0..120 {
            match world.rng.random_range(0..10) {
                0 => world.add_host(),
                1 if world.running.len() > 1 => world.stop_host(),
                _ => (),
            }
            let ms = world.rng.random_range(1..1_500);
            world.advance(ms, NOTICE);
            for customer in 0..CUSTOMERS {
                let refilled = world.refilled(customer, rate);
                prop_assert!(refilled < 1.0 + 1e-9, "{refilled} at {} ms", world.now_ms);
            }
        }
        // Once all hosts have the latest listing, no part of the rate is lost
        // either.
        world.advance(8_000, Duration::ZERO);
        for customer in 0..CUSTOMERS {
            let refilled = world.refilled(customer, rate);
            prop_assert!((refilled - 1.0).abs() < 1e-9, "{refilled}");
        }
    }

    #[test]
    fn endpoints_are_kept_only_for_the_grace_period(seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut directory = Directory::default();
        let mut entries = Entries::default();
        let mut now_ms = 0;
        for _ in 0..200 {
            now_ms += rng.random_range(1..700);
            let now = at(now_ms);
            let id = format!("e{}", rng.random_range(0..6));
            match rng.random_range(0..8) {
                0..3 => {
                    let state = match rng.random_bool(0.2) {
                        true => EndpointState::Draining,
                        false => EndpointState::Ready,
                    };
                    directory.put(Endpoint { state, ..endpoint(&id, 1) });
                    entries.missing_since.remove(&id);
                    entries.present.insert(id, state);
                }
                3..5 => {
                    directory.remove(&id, now);
                    if entries.present.remove(&id).is_some() {
                        entries.missing_since.insert(id, now);
                    }
                }
                5 => directory.start_grace(now, GRACE),
                6 => {
                    // Another host imports the list that this one exports.
                    let shared = directory.export(now);
                    directory.import(shared, now);
                }
                _ => (),
            }
            directory.expire(now);
            let listed: Vec<_> = directory.endpoints().cloned().collect();
            for endpoint in &listed {
                let id = endpoint.id.to_string();
                let is_present = entries.present.contains_key(&id);
                let is_kept = entries
                    .missing_since
                    .get(&id)
                    .is_some_and(|since| now.since(*since) < GRACE);
                prop_assert!(is_present || is_kept, "{id} is listed at {now_ms} ms");
            }
            for (id, state) in &entries.present {
                let found = listed.iter().find(|endpoint| *endpoint.id == **id);
                prop_assert_eq!(found.map(|endpoint| endpoint.state), Some(*state));
            }
        }
    }
}
