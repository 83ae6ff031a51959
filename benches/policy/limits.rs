//! Rate limits of customers across all hosts; messages between hosts take no
//! time.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Version;
use chicoryarch::load::deployment::Deployment;
use chicoryarch::request::limit::CustomerLimiter;
use chicoryarch::request::limit::Decision;
use chicoryarch::request::limit::Effect;
use chicoryarch::request::limit::Env;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::Ticket;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::units::Moment;
use chicoryarch::version::objects::Customer;

/// How a customer's rate is divided among hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitKind {
    /// Each host has a bucket with an equal part.
    StaticSplit,
    /// One bucket for each data centre, without borrowing between them.
    OwnerOnly,
    /// The limiter of the hosts, which borrow tokens from each other.
    Conserved,
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        Self {
            rate,
            burst,
            level: burst,
            at: Moment::default(),
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// The time until a token is available, if there is none.
    pub(crate) fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let refill = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + refill).min(self.burst);
        self.at = now;
        if self.level >= 1.0 {
            self.level -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.level) / self.rate))
    }
}

/// Rate limits of all customers at all hosts.
pub(crate) struct Limits {
    kind: LimitKind,
    data_centres: usize,
    buckets: Vec<Vec<Bucket>>,
    accounts: Vec<Vec<CustomerLimiter>>,
    views: Vec<View>,
    cfg: LimitConfig,
    host_indices: BTreeMap<HostId, usize>,
}

impl Limits {
    /// Limits with a rate and burst (calls per second, calls) for each customer.
    pub(crate) fn new(
        kind: LimitKind,
        deployment: &Deployment,
        rate_limits: &[(f64, f64)],
    ) -> Self {
        let (hosts, dcs) = (deployment.hosts, deployment.data_centres);
        let parts = match kind {
            LimitKind::StaticSplit => hosts,
            LimitKind::OwnerOnly | LimitKind::Conserved => dcs,
        };
        let part = |limit: &(f64, f64)| Bucket::new(limit.0 / parts as f64, limit.1 / parts as f64);
        let buckets = rate_limits.iter().map(|t| vec![part(t); parts]).collect();
        let cfg = LimitConfig::default();
        let views: Vec<_> = (0..hosts).map(|host| view(deployment, host)).collect();
        let account = |customer: usize, view: &View| {
            let env = Env {
                now: Moment::default(),
                cfg: &cfg,
                view,
            };
            let (rate, burst) = rate_limits[customer];
            let settings = Customer {
                rate,
                burst,
                ..Customer::default()
            };
            CustomerLimiter::new(env, customer_name(customer), 1, Version(1), settings)
        };
        let accounts =
            (0..rate_limits.len()).map(|c| views.iter().map(|v| account(c, v)).collect());
        Self {
            kind,
            data_centres: dcs,
            buckets,
            accounts: accounts.collect(),
            host_indices: views
                .iter()
                .enumerate()
                .map(|(n, v)| (v.host.clone(), n))
                .collect(),
            views,
            cfg,
        }
    }

    /// Takes a token for a call at a host.
    ///
    /// # Errors
    ///
    /// The time after which to retry, if the call is refused.
    pub(crate) fn take(
        &mut self,
        now: Moment,
        host: usize,
        customer: usize,
    ) -> Result<(), Duration> {
        match self.kind {
            LimitKind::StaticSplit => self.buckets[customer][host].take(now),
            LimitKind::OwnerOnly => self.buckets[customer][host % self.data_centres].take(now),
            LimitKind::Conserved => self.take_conserved(now, host, customer),
        }
    }

    /// Runs the limiters' maintenance, which returns idle tokens; called
    /// periodically.
    pub(crate) fn maintain(&mut self, now: Moment) {
        if self.kind != LimitKind::Conserved {
            return;
        }
        for customer in 0..self.accounts.len() {
            for host in 0..self.views.len() {
                let mut effects = Vec::new();
                let (accounts, env) = self.account_env(now, host, customer);
                accounts[host].maintain(env, &mut effects);
                self.apply_effects(now, host, customer, effects);
            }
        }
    }

    fn account_env(
        &mut self,
        now: Moment,
        host: usize,
        customer: usize,
    ) -> (&mut Vec<CustomerLimiter>, Env<'_>) {
        let env = Env {
            now,
            cfg: &self.cfg,
            view: &self.views[host],
        };
        (&mut self.accounts[customer], env)
    }

    fn take_conserved(
        &mut self,
        now: Moment,
        host: usize,
        customer: usize,
    ) -> Result<(), Duration> {
        let mut effects = Vec::new();
        let (accounts, env) = self.account_env(now, host, customer);
        let decision = accounts[host].take(env, &mut effects);
        let outcomes = self.apply_effects(now, host, customer, effects);
        match decision {
            Decision::Admit => Ok(()),
            Decision::Refuse(after) => Err(after),
            Decision::Wait(ticket) => {
                outcomes
                    .into_iter()
                    .find(|(waiting, _)| *waiting == ticket)
                    .expect("instant messages decide immediately")
                    .1
            }
        }
    }

    fn apply_effects(
        &mut self,
        now: Moment,
        host: usize,
        customer: usize,
        effects: Vec<Effect>,
    ) -> Vec<(Ticket, Result<(), Duration>)> {
        let mut effects: std::collections::VecDeque<_> = effects.into();
        let mut outcomes = Vec::new();
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Admit { ticket, .. } => outcomes.push((ticket, Ok(()))),
                Effect::Refuse {
                    ticket,
                    retry_after,
                } => outcomes.push((ticket, Err(retry_after))),
                Effect::Send {
                    host: to, request, ..
                } => {
                    let to = self.host_indices[&to];
                    let (accounts, env) = self.account_env(now, to, customer);
                    let answer = accounts[to].grant(env, &request);
                    let mut more = Vec::new();
                    let (accounts, env) = self.account_env(now, host, customer);
                    accounts[host].handle_reply(env, &request.id, &answer, &mut more);
                    effects.extend(more);
                }
            }
        }
        outcomes
    }
}

pub(crate) fn customer_name(customer: usize) -> CustomerId {
    format!("customer-{customer}")
        .parse()
        .expect("a valid name")
}

fn view(deployment: &Deployment, host: usize) -> View {
    let dcs = deployment.data_centres;
    let dc_name = |dc: usize| format!("dc-{dc}").parse().expect("a valid name");
    let host_name = |host: usize| format!("host-{host}").parse().expect("a valid name");
    let member = |host: usize| Member {
        host: host_name(host),
        address: ([127, 0, 0, 1], 1).into(),
        alive: true,
        slot: None,
    };
    let members = |dc: usize| (dc..deployment.hosts).step_by(dcs).map(member).collect();
    View {
        host: host_name(host),
        data_centre: dc_name(host % dcs),
        epoch: Epoch(1),
        members: (0..dcs).map(|dc| (dc_name(dc), members(dc))).collect(),
        lease_until: Some(Moment::from_start(Duration::MAX)),
        settled_at: Moment::default(),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}
