//! Rate limits of customers over all hosts, with messages that take no time.

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

/// How a customer's rate is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LimitKind {
    /// Each host refills an equal part.
    StaticSplit,
    /// One bucket for each data centre, without borrowing between them.
    OwnerOnly,
    /// The limiter in the tree.
    Conserved,
}

/// An ordinary token bucket.
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

    /// Takes a token, or says when there will be one.
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

/// Limits of all customers at all hosts.
pub(crate) struct Limits {
    kind: LimitKind,
    data_centres: usize,
    buckets: Vec<Vec<Bucket>>,
    accounts: Vec<Vec<CustomerLimiter>>,
    views: Vec<View>,
    cfg: LimitConfig,
    names: BTreeMap<HostId, usize>,
}

impl Limits {
    /// Limits with a rate and burst for each customer.
    pub(crate) fn new(kind: LimitKind, deployment: &Deployment, terms: &[(f64, f64)]) -> Self {
        let (hosts, dcs) = (deployment.hosts, deployment.data_centres);
        let parts = match kind {
            LimitKind::StaticSplit => hosts,
            LimitKind::OwnerOnly | LimitKind::Conserved => dcs,
        };
        let part = |terms: &(f64, f64)| Bucket::new(terms.0 / parts as f64, terms.1 / parts as f64);
        let buckets = terms.iter().map(|t| vec![part(t); parts]).collect();
        let cfg = LimitConfig::default();
        let views: Vec<_> = (0..hosts).map(|host| view(deployment, host)).collect();
        let account = |customer: usize, view: &View| {
            let env = Env {
                now: Moment::default(),
                cfg: &cfg,
                view,
            };
            let (rate, burst) = terms[customer];
            let terms = Customer {
                rate,
                burst,
                ..Customer::default()
            };
            CustomerLimiter::new(env, name(customer), 1, Version(1), terms)
        };
        let accounts = (0..terms.len()).map(|c| views.iter().map(|v| account(c, v)).collect());
        Self {
            kind,
            data_centres: dcs,
            buckets,
            accounts: accounts.collect(),
            names: views
                .iter()
                .enumerate()
                .map(|(n, v)| (v.host.clone(), n))
                .collect(),
            views,
            cfg,
        }
    }

    /// Takes a token for a call at a host, or says when to come back.
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

    /// Returns idle tokens; called once in a while.
    pub(crate) fn maintain(&mut self, now: Moment) {
        if self.kind != LimitKind::Conserved {
            return;
        }
        for customer in 0..self.accounts.len() {
            for host in 0..self.views.len() {
                let mut effects = Vec::new();
                let (accounts, env) = self.at(now, host, customer);
                accounts[host].maintain(env, &mut effects);
                self.deliver(now, host, customer, effects);
            }
        }
    }

    fn at(
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
        let (accounts, env) = self.at(now, host, customer);
        let decision = accounts[host].take(env, &mut effects);
        let outcomes = self.deliver(now, host, customer, effects);
        match decision {
            Decision::Admit => Ok(()),
            Decision::Refuse(after) => Err(after),
            Decision::Wait(ticket) => {
                outcomes
                    .into_iter()
                    .find(|(waiting, _)| *waiting == ticket)
                    .expect("messages that take no time decide at once")
                    .1
            }
        }
    }

    fn deliver(
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
                    let to = self.names[&to];
                    let (accounts, env) = self.at(now, to, customer);
                    let answer = accounts[to].grant(env, &request);
                    let mut more = Vec::new();
                    let (accounts, env) = self.at(now, host, customer);
                    accounts[host].handle_reply(env, &request.id, &answer, &mut more);
                    effects.extend(more);
                }
            }
        }
        outcomes
    }
}

/// Name of a customer.
pub(crate) fn name(customer: usize) -> CustomerId {
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
