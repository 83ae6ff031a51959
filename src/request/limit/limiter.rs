//! Limit of one customer at one host: admits, refuses, asks and grants.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::configs::limit::LimitConfig;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::Version;
use crate::request::limit::amount::Amount;
use crate::request::limit::candidate::Candidate;
use crate::request::limit::candidate::candidates;
use crate::request::limit::demand::Demand;
use crate::request::limit::estimate::Estimates;
use crate::request::limit::message::GrantId;
use crate::request::limit::message::GrantReply;
use crate::request::limit::message::GrantReport;
use crate::request::limit::message::GrantRequest;
use crate::request::limit::own::OwnBuckets;
use crate::request::limit::own::shortened;
use crate::request::limit::prefetched::Prefetched;
use crate::request::limit::terms::AllotmentLog;
use crate::request::limit::terms::Allotments;
use crate::request::limit::view::View;
use crate::units::Moment;
use crate::version::objects::Customer;

/// Shortest time that a refused caller is told to wait.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What every step is given: the time, the settings and the hosts.
#[derive(Clone, Copy, Debug)]
pub struct Env<'a> {
    /// The present moment.
    pub now: Moment,
    /// Settings.
    pub cfg: &'a LimitConfig,
    /// Hosts and leases.
    pub view: &'a View,
}

/// Number of a call that waits for tokens.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Outcome of a call's request for a token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may run.
    Admit,
    /// No token; the next one is expected after this time.
    Refuse(Duration),
    /// Other hosts are asked; an effect with this ticket follows.
    Wait(Ticket),
}

/// What the caller of a step has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Lets a waiting call run; `rounds` of requests were made for it.
    Admit {
        /// The call.
        ticket: Ticket,
        /// Rounds of requests that it waited for.
        rounds: u32,
    },
    /// Refuses a waiting call.
    Refuse {
        /// The call.
        ticket: Ticket,
        /// Time after which a token is expected.
        retry_after: Duration,
    },
    /// Sends a request to another host; [`CustomerLimiter::handle_reply`] or
    /// [`CustomerLimiter::handle_failure`] follows.
    Send {
        /// Host that is asked.
        host: HostId,
        /// Where it listens.
        address: SocketAddr,
        /// The request.
        request: GrantRequest,
    },
}

/// Tokens refilled and lost since the last look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Tokens refilled in this host's own buckets.
    pub refilled: Amount,
    /// Held tokens that expired unspent.
    pub expired: Amount,
    /// Granted tokens that no report accounted for.
    pub unreported: Amount,
}

/// An account as operators see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Version of the customer's object.
    pub version: Version,
    /// Rate over all hosts, calls a second.
    pub rate: f64,
    /// Burst over all hosts, calls.
    pub burst: f64,
    /// Tokens in this host's own buckets.
    pub tokens: f64,
    /// Tokens that other hosts granted to this one.
    pub borrowed: f64,
    /// Tokens that this host granted to others.
    pub lent: f64,
    /// True if this host owns the bucket of its data centre.
    pub owner: bool,
}

#[derive(Clone, Debug)]
struct Pending {
    host: HostId,
    sent_at: Moment,
    wanted: Amount,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    ticket: Ticket,
    rounds: u32,
}

/// Limit of one customer at one host.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    customer: CustomerId,
    session: u64,
    version: Version,
    terms: Customer,
    allotments: AllotmentLog,
    own: OwnBuckets,
    /// Next moment at which the allotments change by themselves.
    floors_unused_until: Option<Moment>,
    prefetched: Prefetched,
    demand: Demand,
    candidates: Vec<Candidate>,
    estimates: Estimates,
    pending: BTreeMap<u64, Pending>,
    next_sequence: u64,
    waiters: VecDeque<Waiter>,
    next_ticket: u64,
    dry_until: Moment,
    changes: Changes,
}

impl CustomerLimiter {
    /// Creates an account; `session` must differ from that of any earlier
    /// account of the customer at this host.
    ///
    /// Its own buckets refill only after tokens granted by an earlier process
    /// have expired.
    pub fn new(
        env: Env<'_>,
        customer: CustomerId,
        session: u64,
        version: Version,
        terms: Customer,
    ) -> Self {
        let allotments = Allotments::divide(&terms, &env.view.data_centre, env.view, env.cfg);
        let mut limiter = Self {
            customer,
            session,
            version,
            terms,
            allotments: AllotmentLog::new(allotments),
            own: OwnBuckets::new(env.now + env.cfg.token_ttl),
            floors_unused_until: None,
            prefetched: Prefetched::default(),
            demand: Demand::default(),
            candidates: Vec::new(),
            estimates: Estimates::default(),
            pending: BTreeMap::new(),
            next_sequence: 0,
            waiters: VecDeque::new(),
            next_ticket: 0,
            dry_until: Moment::default(),
            changes: Changes::default(),
        };
        limiter.set_view(env);
        limiter
    }

    /// Takes up a newer version of the customer's object; older ones are ignored.
    pub fn set_terms(&mut self, env: Env<'_>, version: Version, terms: Customer) {
        self.refresh(env);
        if version > self.version {
            self.version = version;
            self.terms = terms;
            self.divide(env);
        }
    }

    /// Takes up a changed view.
    pub fn set_view(&mut self, env: Env<'_>) {
        self.refresh(env);
        self.divide(env);
        self.renew_leases(env);
    }

    /// Takes up a view that differs from the last one only in its leases.
    pub fn renew_leases(&mut self, env: Env<'_>) {
        self.refresh(env);
        let owns = env.view.owns(&self.customer);
        let allotments = self.allotments.effective(env.now, env.cfg.spread);
        self.own.adopt(env.now, env.view, owns, allotments);
        self.allot(env.now, env);
    }

    fn divide(&mut self, env: Env<'_>) {
        let here = &env.view.data_centre;
        let allotments = Allotments::divide(&self.terms, here, env.view, env.cfg);
        self.allotments.push(env.now, allotments);
        let candidates = candidates(&self.customer, &self.terms, env.view, env.cfg);
        if candidates != self.candidates {
            self.candidates = candidates;
            self.estimates.clear();
        }
        self.allot(env.now, env);
    }

    /// Brings the buckets up to the present, through every moment at which an
    /// unused floor came into use on the way.
    fn refresh(&mut self, env: Env<'_>) {
        while let Some(until) = self.floors_unused_until.filter(|until| *until <= env.now) {
            self.allot(until, env);
        }
        self.allot(env.now, env);
    }

    fn allot(&mut self, at: Moment, env: Env<'_>) {
        let unused: Vec<_> = env.view.unused_floors_at(at).collect();
        let until = unused.iter().copied().min();
        let allotments = self.allotments.effective(at, env.cfg.spread);
        let allotments = allotments.with_unused(unused.len());
        self.own.set_allotments(at, allotments, until);
        self.floors_unused_until = until;
    }

    /// Asks for one token for a call.
    pub fn take(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) -> Decision {
        self.demand.record(env.now);
        self.refresh(env);
        self.admit_waiters(env, effects);
        if self.waiters.is_empty() && self.spend_one(env) {
            self.prefetch(env, effects);
            return Decision::Admit;
        }
        let ticket = self.enqueue();
        let short = self.short(env);
        if short > Amount::ZERO {
            let asked = self.worth_asking(env) && self.ask_for(env, short, effects);
            if !asked {
                self.waiters.pop_back();
                return Decision::Refuse(self.retry_after(env));
            }
        }
        Decision::Wait(ticket)
    }

    /// Answers a request of another host.
    pub fn handle_request(&mut self, env: Env<'_>, request: &GrantRequest) -> GrantReply {
        self.refresh(env);
        let reserve = self.demand.within(env.now, env.cfg.prefetch_span);
        self.own.grant(env.now, request, reserve, env.cfg)
    }

    /// Adds the tokens of an answer; an answer that is no longer expected, or
    /// comes a second time, adds none.
    pub fn handle_reply(
        &mut self,
        env: Env<'_>,
        id: &GrantId,
        reply: &GrantReply,
        effects: &mut Vec<Effect>,
    ) {
        self.refresh(env);
        let Some(pending) = self.take_pending(id) else {
            return;
        };
        self.estimates.record_reply(env.now, &pending.host, *reply);
        let expires = pending.sent_at + shortened(reply.ttl, env.cfg);
        if env.now < expires && reply.granted > Amount::ZERO {
            let giver = &pending.host;
            self.prefetched
                .add(env.now, giver, id.sequence, reply.granted, expires);
        } else {
            self.changes.expired += reply.granted;
        }
        self.serve_waiters(env, effects);
    }

    /// Gives up on a request that got no answer.
    pub fn handle_failure(&mut self, env: Env<'_>, id: &GrantId, effects: &mut Vec<Effect>) {
        self.refresh(env);
        if let Some(pending) = self.take_pending(id) {
            self.estimates.record_failure(env.now, &pending.host);
            self.serve_waiters(env, effects);
        }
    }

    /// Drops expired tokens and returns idle ones; called once in a while.
    pub fn maintain(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        self.refresh(env);
        self.changes.expired += self.prefetched.expire(env.now);
        let mut returned: BTreeMap<HostId, Vec<GrantReport>> = BTreeMap::new();
        for (giver, report) in self.prefetched.return_idle(env.now, env.cfg.idle_return) {
            returned.entry(giver).or_default().push(report);
        }
        for (giver, reports) in returned {
            self.send(env, &giver, Amount::ZERO, Amount::ZERO, reports, effects);
        }
    }

    /// Takes the counts of tokens refilled and lost since the last call.
    pub fn take_changes(&mut self, env: Env<'_>) -> Changes {
        self.refresh(env);
        self.changes.refilled += self.own.take_refilled(env.now);
        self.changes.unreported += self.own.take_expired(env.now);
        std::mem::take(&mut self.changes)
    }

    /// Tokens held here that a host granted.
    pub fn held_from(&self, now: Moment, giver: &HostId) -> Amount {
        self.prefetched.level_from(now, giver)
    }

    /// The account as operators see it.
    pub fn summary(&mut self, env: Env<'_>) -> Summary {
        self.refresh(env);
        Summary {
            version: self.version,
            rate: self.terms.rate,
            burst: self.terms.burst,
            tokens: self.own.level(env.now).tokens(),
            borrowed: self.prefetched.level(env.now).tokens(),
            lent: self.own.outstanding(env.now).tokens(),
            owner: env.view.owns(&self.customer),
        }
    }

    fn take_pending(&mut self, id: &GrantId) -> Option<Pending> {
        let own = id.session == self.session;
        own.then(|| self.pending.remove(&id.sequence)).flatten()
    }

    fn local(&mut self, now: Moment) -> Amount {
        self.prefetched.level(now) + self.own.level(now)
    }

    fn spend_one(&mut self, env: Env<'_>) -> bool {
        if self.local(env.now) < Amount::ONE {
            return false;
        }
        let granted = self.prefetched.drain(env.now, Amount::ONE);
        let rest = Amount::ONE.saturating_sub(granted);
        let own = self.own.drain(env.now, rest);
        assert_eq!(granted + own, Amount::ONE, "an admitted call costs a token");
        true
    }

    fn enqueue(&mut self) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let rounds = 1;
        self.waiters.push_back(Waiter { ticket, rounds });
        ticket
    }

    /// Tokens that requests under way are expected to bring.
    fn expected(&self) -> Amount {
        self.pending.values().map(|pending| pending.wanted).sum()
    }

    /// Tokens that waiting calls lack and no request under way will bring.
    fn short(&mut self, env: Env<'_>) -> Amount {
        let queued = Amount::from_whole(self.waiters.len() as u64);
        queued.saturating_sub(self.expected() + self.local(env.now))
    }

    fn admit_waiters(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        while !self.waiters.is_empty() && self.spend_one(env) {
            if let Some(Waiter { ticket, rounds }) = self.waiters.pop_front() {
                effects.push(Effect::Admit { ticket, rounds });
            }
        }
    }

    fn serve_waiters(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        self.admit_waiters(env, effects);
        if !self.waiters.is_empty() && self.expected() == Amount::ZERO {
            self.next_round(env, effects);
        }
    }

    /// Starts another round of requests for the calls that may wait for one
    /// and refuses the others.
    fn next_round(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiters);
        let worth_asking = self.worth_asking(env);
        let may_wait = |waiter: &Waiter| worth_asking && waiter.rounds < env.cfg.max_rounds;
        let (again, refused): (VecDeque<_>, VecDeque<_>) = waiting.into_iter().partition(may_wait);
        self.refuse(env, refused, effects);
        self.waiters = again;
        for waiter in &mut self.waiters {
            waiter.rounds += 1;
        }
        let short = self.short(env);
        if !self.ask_for(env, short, effects) {
            let refused = std::mem::take(&mut self.waiters);
            self.refuse(env, refused, effects);
        }
    }

    fn refuse(&mut self, env: Env<'_>, refused: VecDeque<Waiter>, effects: &mut Vec<Effect>) {
        if refused.is_empty() {
            return;
        }
        self.dry_until = env.now + env.cfg.dry_interval;
        let retry_after = self.retry_after(env);
        for Waiter { ticket, .. } in refused {
            effects.push(Effect::Refuse {
                ticket,
                retry_after,
            });
        }
    }

    /// Estimated tokens of the hosts that can be asked, the most first, without
    /// those that requests under way will take.
    fn ranked(&self, env: Env<'_>) -> Vec<(Amount, HostId, bool)> {
        let estimate = |candidate: &Candidate| {
            let assumed = candidate.assumed(env.now, env.view);
            let level = self.estimates.level(env.now, &candidate.host, assumed);
            let to_host = |pending: &&Pending| pending.host == candidate.host;
            let pending = self.pending.values().filter(to_host);
            let wanted = pending.map(|pending| pending.wanted).sum();
            let left = level.saturating_sub(wanted);
            (left, candidate.host.clone(), candidate.local_owner)
        };
        let mut ranked: Vec<_> = self.candidates.iter().map(estimate).collect();
        ranked.retain(|(level, _, _)| *level > Amount::ZERO);
        ranked.sort_by_key(|(level, _, _)| Reverse(*level));
        ranked
    }

    fn worth_asking(&mut self, env: Env<'_>) -> bool {
        if env.now < self.dry_until {
            return false;
        }
        let ranked = self.ranked(env);
        let reachable = ranked.iter().take(env.cfg.fanout);
        let reachable: Amount = reachable.map(|(level, _, _)| *level).sum();
        self.local(env.now) + reachable >= Amount::ONE
    }

    /// Asks for `need` tokens: all at the local owner if it probably has
    /// them, otherwise in parts at the hosts that probably have the most.
    ///
    /// Returns whether any host was asked.
    fn ask_for(&mut self, env: Env<'_>, need: Amount, effects: &mut Vec<Effect>) -> bool {
        let sent_before = self.next_sequence;
        let mut rest = need;
        let mut extra = self.prefetch_target(env);
        let mut ranked = self.ranked(env);
        let enough = |(level, _, local): &(Amount, HostId, bool)| *local && *level >= need;
        if let Some(local) = ranked.iter().position(enough) {
            ranked.swap(0, local);
        }
        for (level, host, _) in ranked.into_iter().take(env.cfg.fanout) {
            let part = rest.split_off(level);
            if part > Amount::ZERO {
                let extra = std::mem::take(&mut extra);
                let reports = self.prefetched.reports(&host);
                self.send(env, &host, part, extra, reports, effects);
            }
        }
        self.next_sequence > sent_before
    }

    /// Tokens to hold ahead of demand; none if they would be returned unused.
    fn prefetch_target(&self, env: Env<'_>) -> Amount {
        let held = self.demand.within(env.now, env.cfg.idle_return);
        if held < Amount::ONE.half() {
            return Amount::ZERO;
        }
        let smallest = Amount::from_whole(u64::from(env.cfg.min_prefetch));
        let largest = Amount::from_whole(u64::from(env.cfg.max_prefetch));
        let demand = self.demand.within(env.now, env.cfg.prefetch_span);
        demand.clamp(smallest, largest)
    }

    fn prefetch(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        let target = self.prefetch_target(env);
        let enough = target == Amount::ZERO || self.local(env.now) >= target.half();
        if enough || !self.pending.is_empty() || env.now < self.dry_until {
            return;
        }
        let ranked = self.ranked(env);
        let Some((level, host, _)) = ranked.first() else {
            return;
        };
        if *level >= Amount::ONE.half() {
            let reports = self.prefetched.reports(host);
            self.send(env, host, Amount::ZERO, target, reports, effects);
        }
    }

    fn send(
        &mut self,
        env: Env<'_>,
        host: &HostId,
        need: Amount,
        extra: Amount,
        reports: Vec<GrantReport>,
        effects: &mut Vec<Effect>,
    ) {
        let Some(address) = env.view.address(host) else {
            return;
        };
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let pending = Pending {
            host: host.clone(),
            sent_at: env.now,
            wanted: need + extra,
        };
        self.pending.insert(sequence, pending);
        let id = GrantId {
            holder: env.view.host.clone(),
            session: self.session,
            sequence,
        };
        let request = GrantRequest {
            customer: self.customer.clone(),
            id,
            need,
            extra,
            reports,
        };
        let host = host.clone();
        effects.push(Effect::Send {
            host,
            address,
            request,
        });
    }

    /// Time until one more token is refilled, here and at the hosts that one
    /// round of requests reaches.
    ///
    /// Parts of a token that exist now do not count: with several hosts short
    /// of tokens they are gone before a caller comes back.
    fn retry_after(&mut self, env: Env<'_>) -> Duration {
        let refill = |candidate: &Candidate| {
            let assumed = candidate.assumed(env.now, env.view);
            self.estimates.refill(env.now, &candidate.host, assumed)
        };
        let mut refills: Vec<_> = self.candidates.iter().map(refill).collect();
        refills.sort_by_key(|refill| Reverse(*refill));
        let reached: Amount = refills.into_iter().take(env.cfg.fanout).sum();
        let whole = Amount::from_tokens(self.terms.rate);
        let refill = (reached + self.own.refill(env.now)).min(whole);
        let seconds = 1.0 / refill.tokens().max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        let dry = env.now.until(self.dry_until);
        wait.max(dry).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
