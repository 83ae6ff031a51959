//! The deployment of the soak test and the faults injected into it.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use chicoryarch_standins::fleet::EndpointStandin;
use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::endpoint::Run;
use chicoryarch_standins::fleet::objects::StoreFaults;
use chicoryarch_standins::fleet::proxy::Cut;
use chicoryarch_standins::fleet::proxy::Mode;
use chicoryarch_standins::fleet::proxy::Proxy;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;

use super::callers;
use super::fleet::Addresses;
use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::configuration;

/// Events of each engine stream.
pub(crate) const EVENTS: u64 = 4;

/// A store, endpoints, and gateways that reach the store through proxies.
pub(crate) struct Deployment {
    rng: ChaCha8Rng,
    pub(crate) fleet: Fleet,
    pub(crate) endpoints: Vec<EndpointStandin>,
    pub(crate) proxies: Vec<Proxy>,
    pub(crate) gateways: Vec<Gateway>,
    /// Paths of each gateway to the endpoints; empty if it reaches them directly.
    links: Vec<Vec<Proxy>>,
    version: u64,
}

pub(crate) fn behaviour(is_engine: bool) -> Behaviour {
    Behaviour {
        events: if is_engine { EVENTS } else { 0 },
        pause: Duration::from_millis(5),
        ..Behaviour::default()
    }
}

impl Deployment {
    pub(crate) fn new(seed: u64, gateways: usize) -> Self {
        Self::start(seed, gateways, false)
    }

    /// Starts gateways that have paths of their own to the endpoints.
    pub(crate) fn with_own_paths(seed: u64, gateways: usize) -> Self {
        Self::start(seed, gateways, true)
    }

    fn start(seed: u64, gateways: usize, has_own_paths: bool) -> Self {
        let fleet = Fleet::new();
        let endpoints = vec![
            fleet.endpoint("p1", "plain", behaviour(false)),
            fleet.endpoint("p2", "plain", behaviour(false)),
            fleet.endpoint("e1", "engine", behaviour(true)),
            fleet.endpoint("e2", "engine", behaviour(true)),
        ];
        let mut links = Vec::new();
        let start = |_| {
            if !has_own_paths {
                return Proxy::start(&fleet.spawner, fleet.store.addr());
            }
            let own: Vec<Proxy> = endpoints.iter().map(|e| fleet.link(e.addr())).collect();
            let pairs = endpoints.iter().zip(&own);
            let replaced: Vec<_> = pairs.map(|(e, link)| (e.addr(), link.address())).collect();
            links.push(own);
            Proxy::start(&fleet.spawner, fleet.store_view(&replaced))
        };
        let proxies: Vec<Proxy> = (0..gateways).map(start).collect();
        let gateways: Vec<Gateway> = proxies
            .iter()
            .enumerate()
            .map(|(n, proxy)| {
                let addresses = Addresses {
                    callers: fleet.free_address(),
                    ready: fleet.free_address(),
                    peers: fleet.free_address(),
                };
                fleet.start_gateway_at(&gateway_name(n), addresses, proxy.address(), &[], true)
            })
            .collect();
        for gateway in &gateways {
            gateway.wait_ready(&fleet);
        }
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            fleet,
            endpoints,
            proxies,
            gateways,
            links,
            version: 1,
        }
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let gateways = self.gateways.iter();
        gateways.map(|gateway| gateway.addresses.callers).collect()
    }

    /// All requests that endpoints ran.
    pub(crate) fn runs(&self) -> Vec<Run> {
        self.endpoints
            .iter()
            .flat_map(EndpointStandin::runs)
            .collect()
    }

    /// Injects random faults, which may overlap, for a duration; then lifts
    /// those that are still active.
    pub(crate) fn inject(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            match !self.links.is_empty() && self.rng.random_bool(0.4) {
                true => self.cut_or_heal(),
                false => self.inject_one(),
            }
            thread::sleep(Duration::from_millis(self.rng.random_range(20..400)));
        }
        for proxy in &self.proxies {
            proxy.set(Mode::Forward);
        }
        for link in self.links.iter().flatten() {
            link.heal();
        }
        self.fleet.store.set_faults(StoreFaults::default());
        for (n, endpoint) in self.endpoints.iter().enumerate() {
            endpoint.set_behaviour(behaviour(n >= 2));
        }
        for gateway in &self.gateways {
            gateway.signal(Signal::CONT);
        }
    }

    /// Cuts a gateway off from some or all endpoints, or ends its cuts.
    fn cut_or_heal(&mut self) {
        let gateway = self.rng.random_range(0..self.links.len());
        let cut = match self.rng.random_range(0..4) {
            0 => Some(Cut::Silent),
            1 => Some(Cut::Reset),
            2 => Some(Cut::Refuse),
            _ => None,
        };
        let is_cut = [0, 2].map(|_| self.rng.random_bool(0.8));
        for (n, link) in self.links[gateway].iter().enumerate() {
            match cut {
                Some(cut) if is_cut[n / 2] => link.cut(cut),
                Some(_) => (),
                None => link.heal(),
            }
        }
    }

    fn inject_one(&mut self) {
        let gateway = self.rng.random_range(0..self.gateways.len());
        match self.rng.random_range(0..12) {
            0 => self.restart(gateway, Signal::KILL),
            1 => self.restart(gateway, Signal::TERM),
            2 => self.gateways[gateway].signal(Signal::STOP),
            3 | 4 => {
                for gateway in &self.gateways {
                    gateway.signal(Signal::CONT);
                }
            }
            5 => self.gateways[gateway].signal(Signal::HUP),
            6 | 7 => {
                let mode = match self.rng.random_range(0..6) {
                    0 => Mode::Delay(Duration::from_millis(self.rng.random_range(1..300))),
                    1 => Mode::StallReplies,
                    2 => Mode::Reset,
                    3 => Mode::Stall,
                    _ => Mode::Forward,
                };
                self.proxies[gateway].set(mode);
            }
            8 => self.fleet.store.set_faults(StoreFaults {
                is_unavailable: self.rng.random_bool(0.4),
                lost_answers: self.rng.random_range(0..3),
                page_size: self.rng.random_range(0..3),
                write_time: Duration::from_millis(self.rng.random_range(0..100)),
                ..StoreFaults::default()
            }),
            9 => self.fleet.store.compact_history(),
            10 => {
                self.version += 1;
                let changed = configuration(self.version);
                self.fleet.store.put("config", "main", changed);
            }
            _ => {
                let n = self.rng.random_range(0..self.endpoints.len());
                let count = |rng: &mut ChaCha8Rng| rng.random_range(0..3);
                let lost_answers = count(&mut self.rng);
                let faulty = Behaviour {
                    lost_answers,
                    // Without a draw of its own, so that seeds keep their faults.
                    limit: (lost_answers == 2).then_some("8.0"),
                    broken_streams: count(&mut self.rng),
                    refused_requests: count(&mut self.rng),
                    mismatched_answers: count(&mut self.rng),
                    ..behaviour(n >= 2)
                };
                self.endpoints[n].set_behaviour(faulty);
            }
        }
    }

    /// Stops a gateway and starts it again at the same addresses.
    fn restart(&mut self, n: usize, signal: Signal) {
        self.gateways[n].signal(Signal::CONT);
        let addresses = self.gateways[n].addresses;
        if signal == Signal::TERM {
            self.gateways[n].signal(signal);
            // The process is killed if it has not exited by then.
            thread::sleep(Duration::from_millis(self.rng.random_range(0..800)));
        }
        self.gateways[n].kill();
        self.gateways[n] = start_again(&self.fleet, n, addresses, &self.proxies[n]);
    }

    /// Whether every gateway serves a call before `limit` has passed.
    pub(crate) fn is_served_within(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let mut calls = 0;
        self.addresses().into_iter().all(|address| {
            while Instant::now() < end {
                calls += 1;
                if callers::is_served(address, calls) {
                    return true;
                }
                thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

/// Starts a gateway again at the addresses that it had.
pub(crate) fn start_again(fleet: &Fleet, n: usize, addresses: Addresses, store: &Proxy) -> Gateway {
    fleet.start_gateway_at(&gateway_name(n), addresses, store.address(), &[], false)
}

fn gateway_name(n: usize) -> String {
    format!("g{n}")
}
