//! Rate limiter of one customer at one host.
//!
//! Admits or refuses calls, borrows tokens from other hosts and grants tokens to
//! them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use crate::configs::limit::LimitConfig;
use crate::ids::CustomerId;
use crate::ids::HostId;
use crate::ids::Version;
use crate::request::limit::allotments::AllotmentHistory;
use crate::request::limit::allotments::Allotments;
use crate::request::limit::amount::Amount;
use crate::request::limit::borrowed::BorrowedTokens;
use crate::request::limit::candidate::Candidate;
use crate::request::limit::candidate::list_candidates;
use crate::request::limit::demand::Demand;
use crate::request::limit::estimate::Estimates;
use crate::request::limit::message::GrantId;
use crate::request::limit::message::GrantReply;
use crate::request::limit::message::GrantReport;
use crate::request::limit::message::GrantRequest;
use crate::request::limit::own::OwnBuckets;
use crate::request::limit::own::shorten_for_drift;
use crate::request::limit::view::View;
use crate::units::Moment;
use crate::version::objects::Customer;

/// Lower bound of `retry_after` in a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

/// Upper bound of `retry_after` in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Inputs common to all steps of the limiter.
#[derive(Clone, Copy, Debug)]
pub struct Env<'a> {
    /// Current time on this host's clock.
    pub now: Moment,
    /// Settings of the limiter.
    pub cfg: &'a LimitConfig,
    /// Hosts and leases as this host currently sees them.
    pub view: &'a View,
}

/// Identifies a call that waits for a token; unique within its limiter.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Result of taking a token for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// A token was taken; the call may run.
    Admit,
    /// No token is available; the next one is expected after this time.
    Refuse(Duration),
    /// The call waits for tokens of other hosts; [`Effect::Admit`] or
    /// [`Effect::Refuse`] with this ticket follows.
    Wait(Ticket),
}

/// Action that the driver must carry out after a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Admits a waiting call.
    Admit {
        /// Ticket of the call.
        ticket: Ticket,
        /// Rounds of requests that the call waited for.
        rounds: u32,
    },
    /// Refuses a waiting call.
    Refuse {
        /// Ticket of the call.
        ticket: Ticket,
        /// Time after which a token is expected to be available.
        retry_after: Duration,
    },
    /// Sends a request to another host. The driver then calls
    /// [`CustomerLimiter::handle_reply`] or
    /// [`CustomerLimiter::handle_error`].
    Send {
        /// Receiver of the request.
        host: HostId,
        /// Address at which the receiver listens for peers.
        address: SocketAddr,
        /// Request to send.
        request: GrantRequest,
    },
}

/// Tokens refilled and lost between two calls of
/// [`CustomerLimiter::take_stats`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TokenStats {
    /// Tokens refilled in the buckets of this host.
    pub refilled: Amount,
    /// Borrowed tokens that expired unspent.
    pub expired: Amount,
    /// Tokens granted to other hosts that expired before a report on them
    /// arrived.
    pub unreported: Amount,
}

/// State of a customer's limiter as shown to operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Summary {
    /// Version of the customer object in use.
    pub version: Version,
    /// Rate over all hosts, in calls per second.
    pub rate: f64,
    /// Burst over all hosts, in calls.
    pub burst: f64,
    /// Tokens in the buckets of this host.
    pub tokens: f64,
    /// Tokens granted to this host by other hosts and not yet spent.
    pub borrowed: f64,
    /// Tokens granted to other hosts and not yet spent, returned or expired.
    pub lent: f64,
    /// Whether this host owns the customer's bucket in its data centre.
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

/// Rate limiter of one customer at one host.
#[derive(Clone, Debug)]
pub struct CustomerLimiter {
    customer: CustomerId,
    session: u64,
    version: Version,
    limits: Customer,
    allotments: AllotmentHistory,
    own: OwnBuckets,
    /// Earliest end of a period in which a floor is unused; the allotments
    /// shrink at that time.
    floors_unused_until: Option<Moment>,
    borrowed: BorrowedTokens,
    demand: Demand,
    candidates: Vec<Candidate>,
    estimates: Estimates,
    pending: BTreeMap<u64, Pending>,
    next_sequence: u64,
    waiters: VecDeque<Waiter>,
    next_ticket: u64,
    /// No tokens are requested from other hosts before this time, because the
    /// last round of requests brought too few.
    backoff_until: Moment,
    stats: TokenStats,
}

impl CustomerLimiter {
    /// Creates a limiter. `session` must differ from that of every earlier
    /// limiter of the customer at this host.
    ///
    /// The buckets start to refill only after tokens granted by an earlier
    /// process have expired.
    pub fn new(
        env: Env<'_>,
        customer: CustomerId,
        session: u64,
        version: Version,
        limits: Customer,
    ) -> Self {
        let allotments = Allotments::divide(&limits, &env.view.data_centre, env.view, env.cfg);
        let mut limiter = Self {
            customer,
            session,
            version,
            limits,
            allotments: AllotmentHistory::new(allotments),
            own: OwnBuckets::new(env.now + env.cfg.token_ttl),
            floors_unused_until: None,
            borrowed: BorrowedTokens::default(),
            demand: Demand::default(),
            candidates: Vec::new(),
            estimates: Estimates::default(),
            pending: BTreeMap::new(),
            next_sequence: 0,
            waiters: VecDeque::new(),
            next_ticket: 0,
            backoff_until: Moment::default(),
            stats: TokenStats::default(),
        };
        limiter.set_view(env);
        limiter
    }

    /// Earliest time at which this host's buckets refill.
    pub fn refills_from(&self) -> Moment {
        self.own.not_before()
    }

    /// Applies a newer version of the customer object; ignores older ones.
    pub fn set_limits(&mut self, env: Env<'_>, version: Version, limits: Customer) {
        self.refresh(env);
        if version > self.version {
            self.version = version;
            self.limits = limits;
            self.update_allotments(env);
        }
    }

    /// Applies a view in which hosts or leases have changed.
    pub fn set_view(&mut self, env: Env<'_>) {
        self.refresh(env);
        self.update_allotments(env);
        self.renew_leases(env);
    }

    /// Applies a view that differs from the previous one only in its leases.
    pub fn renew_leases(&mut self, env: Env<'_>) {
        self.refresh(env);
        let owns = env.view.owns(&self.customer);
        let allotments = self.allotments.effective(env.now, env.cfg.spread);
        self.own.update_leases(env.now, env.view, owns, allotments);
        self.apply_allotments(env.now, env);
    }

    fn update_allotments(&mut self, env: Env<'_>) {
        let here = &env.view.data_centre;
        let allotments = Allotments::divide(&self.limits, here, env.view, env.cfg);
        self.allotments.record(env.now, allotments);
        let candidates = list_candidates(&self.customer, &self.limits, env.view, env.cfg);
        if candidates != self.candidates {
            self.candidates = candidates;
            self.estimates.clear();
        }
        self.apply_allotments(env.now, env);
    }

    /// Refills the buckets up to the current time. Allotments are updated at
    /// every moment in between at which a floor stopped being unused.
    fn refresh(&mut self, env: Env<'_>) {
        while let Some(until) = self.floors_unused_until.filter(|until| *until <= env.now) {
            self.apply_allotments(until, env);
        }
        self.apply_allotments(env.now, env);
    }

    fn apply_allotments(&mut self, at: Moment, env: Env<'_>) {
        let unused: Vec<_> = env.view.unused_floor_ends(at).collect();
        let until = unused.iter().copied().min();
        let allotments = self.allotments.effective(at, env.cfg.spread);
        let allotments = allotments.with_unused(unused.len());
        self.own.set_allotments(at, allotments, until);
        self.floors_unused_until = until;
    }

    /// Takes one token for a call. If there is none, queues the call while tokens
    /// are requested from other hosts, or refuses it if a request is unlikely to
    /// bring any.
    pub fn take(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) -> Decision {
        self.demand.record(env.now);
        self.refresh(env);
        self.admit_waiters(env, effects);
        if self.waiters.is_empty() && self.spend_one(env) {
            self.prefetch(env, effects);
            return Decision::Admit;
        }
        let ticket = self.enqueue();
        let shortfall = self.shortfall(env);
        if shortfall > Amount::ZERO {
            let requested = self.can_borrow(env) && self.request_tokens(env, shortfall, effects);
            if !requested {
                self.waiters.pop_back();
                return Decision::Refuse(self.retry_after(env));
            }
        }
        Decision::Wait(ticket)
    }

    /// Grants tokens to another host.
    pub fn grant(&mut self, env: Env<'_>, request: &GrantRequest) -> GrantReply {
        self.refresh(env);
        let reserve = self.demand.expected_within(env.now, env.cfg.prefetch_span);
        self.own.grant(env.now, request, reserve, env.cfg)
    }

    /// Adds the tokens of a reply. Duplicate replies and replies to requests
    /// that have already failed add none.
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
        let expires = pending.sent_at + shorten_for_drift(reply.ttl, env.cfg);
        if env.now < expires && reply.granted > Amount::ZERO {
            let lender = &pending.host;
            self.borrowed
                .add(env.now, lender, id.sequence, reply.granted, expires);
        } else {
            self.stats.expired += reply.granted;
        }
        self.serve_waiters(env, effects);
    }

    /// Handles a request that failed or timed out.
    pub fn handle_error(&mut self, env: Env<'_>, id: &GrantId, effects: &mut Vec<Effect>) {
        self.refresh(env);
        if let Some(pending) = self.take_pending(id) {
            self.estimates.record_failure(env.now, &pending.host);
            self.serve_waiters(env, effects);
        }
    }

    /// Drops expired tokens and returns idle ones to their lenders. Must be
    /// called periodically.
    pub fn maintain(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        self.refresh(env);
        self.stats.expired += self.borrowed.remove_expired(env.now);
        let mut returned: BTreeMap<HostId, Vec<GrantReport>> = BTreeMap::new();
        for (lender, report) in self.borrowed.remove_idle(env.now, env.cfg.idle_return) {
            returned.entry(lender).or_default().push(report);
        }
        for (lender, reports) in returned {
            self.send(env, &lender, Amount::ZERO, Amount::ZERO, reports, effects);
        }
    }

    /// Returns the tokens refilled and lost since the last call.
    pub fn take_stats(&mut self, env: Env<'_>) -> TokenStats {
        self.refresh(env);
        self.stats.refilled += self.own.take_refilled(env.now);
        self.stats.unreported += self.own.take_unreported(env.now);
        std::mem::take(&mut self.stats)
    }

    /// Unspent, unexpired tokens that this host has borrowed from `lender`.
    pub fn borrowed_from(&self, now: Moment, lender: &HostId) -> Amount {
        self.borrowed.level_from(now, lender)
    }

    /// State of the limiter as shown to operators.
    pub fn summary(&mut self, env: Env<'_>) -> Summary {
        self.refresh(env);
        Summary {
            version: self.version,
            rate: self.limits.rate,
            burst: self.limits.burst,
            tokens: self.own.level(env.now).tokens(),
            borrowed: self.borrowed.level(env.now).tokens(),
            lent: self.own.outstanding(env.now).tokens(),
            owner: env.view.owns(&self.customer),
        }
    }

    fn take_pending(&mut self, id: &GrantId) -> Option<Pending> {
        let is_current = id.session == self.session;
        is_current
            .then(|| self.pending.remove(&id.sequence))
            .flatten()
    }

    fn local_level(&mut self, now: Moment) -> Amount {
        self.borrowed.level(now) + self.own.level(now)
    }

    fn spend_one(&mut self, env: Env<'_>) -> bool {
        if self.local_level(env.now) < Amount::ONE {
            return false;
        }
        let granted = self.borrowed.take_up_to(env.now, Amount::ONE);
        let rest = Amount::ONE.saturating_sub(granted);
        let own = self.own.take_up_to(env.now, rest);
        assert_eq!(
            granted + own,
            Amount::ONE,
            "an admitted call must spend exactly one token"
        );
        true
    }

    fn enqueue(&mut self) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let rounds = 1;
        self.waiters.push_back(Waiter { ticket, rounds });
        ticket
    }

    /// Tokens requested from other hosts by requests still in flight.
    fn pending_tokens(&self) -> Amount {
        self.pending.values().map(|pending| pending.wanted).sum()
    }

    /// Tokens that waiting calls need beyond the local ones and those already
    /// requested.
    fn shortfall(&mut self, env: Env<'_>) -> Amount {
        let queued = Amount::from_whole(self.waiters.len() as u64);
        queued.saturating_sub(self.pending_tokens() + self.local_level(env.now))
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
        if !self.waiters.is_empty() && self.pending_tokens() == Amount::ZERO {
            self.next_round(env, effects);
        }
    }

    /// Starts another round of requests for the calls that may still wait and
    /// refuses the others.
    fn next_round(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        let waiting = std::mem::take(&mut self.waiters);
        let can_borrow = self.can_borrow(env);
        let may_wait = |waiter: &Waiter| can_borrow && waiter.rounds < env.cfg.max_rounds;
        let (again, refused): (VecDeque<_>, VecDeque<_>) = waiting.into_iter().partition(may_wait);
        self.refuse(env, refused, effects);
        self.waiters = again;
        for waiter in &mut self.waiters {
            waiter.rounds += 1;
        }
        let shortfall = self.shortfall(env);
        if !self.request_tokens(env, shortfall, effects) {
            let refused = std::mem::take(&mut self.waiters);
            self.refuse(env, refused, effects);
        }
    }

    fn refuse(&mut self, env: Env<'_>, refused: VecDeque<Waiter>, effects: &mut Vec<Effect>) {
        if refused.is_empty() {
            return;
        }
        self.backoff_until = env.now + env.cfg.dry_interval;
        let retry_after = self.retry_after(env);
        for Waiter { ticket, .. } in refused {
            effects.push(Effect::Refuse {
                ticket,
                retry_after,
            });
        }
    }

    /// Returns the candidates that probably have tokens, by descending
    /// estimate. Tokens already requested from a host are deducted.
    ///
    /// Each entry holds the estimate, the host and whether it is the local
    /// owner.
    fn rank_candidates(&self, env: Env<'_>) -> Vec<(Amount, HostId, bool)> {
        let estimate = |candidate: &Candidate| {
            let assumed = candidate.assumed_allotment(env.now, env.view);
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

    fn can_borrow(&mut self, env: Env<'_>) -> bool {
        if env.now < self.backoff_until {
            return false;
        }
        let ranked = self.rank_candidates(env);
        let reachable = ranked.iter().take(env.cfg.fanout);
        let reachable: Amount = reachable.map(|(level, _, _)| *level).sum();
        self.local_level(env.now) + reachable >= Amount::ONE
    }

    /// Requests `need` tokens: all from the local owner if it probably has
    /// enough, otherwise split over the hosts with the highest estimates.
    ///
    /// Returns whether any request was sent.
    fn request_tokens(&mut self, env: Env<'_>, need: Amount, effects: &mut Vec<Effect>) -> bool {
        let sent_before = self.next_sequence;
        let mut rest = need;
        let mut extra = self.prefetch_target(env);
        let mut ranked = self.rank_candidates(env);
        let enough = |(level, _, local): &(Amount, HostId, bool)| *local && *level >= need;
        if let Some(local) = ranked.iter().position(enough) {
            ranked.swap(0, local);
        }
        for (level, host, _) in ranked.into_iter().take(env.cfg.fanout) {
            let part = rest.split_off(level);
            if part > Amount::ZERO {
                let extra = std::mem::take(&mut extra);
                let reports = self.borrowed.take_reports(&host);
                self.send(env, &host, part, extra, reports, effects);
            }
        }
        self.next_sequence > sent_before
    }

    /// Tokens to hold ahead of demand. Zero if demand is so low that they would
    /// be returned unused.
    fn prefetch_target(&self, env: Env<'_>) -> Amount {
        let held = self.demand.expected_within(env.now, env.cfg.idle_return);
        if held < Amount::ONE.half() {
            return Amount::ZERO;
        }
        let smallest = Amount::from_whole(u64::from(env.cfg.min_prefetch));
        let largest = Amount::from_whole(u64::from(env.cfg.max_prefetch));
        let demand = self.demand.expected_within(env.now, env.cfg.prefetch_span);
        demand.clamp(smallest, largest)
    }

    fn prefetch(&mut self, env: Env<'_>, effects: &mut Vec<Effect>) {
        let target = self.prefetch_target(env);
        let enough = target == Amount::ZERO || self.local_level(env.now) >= target.half();
        if enough || !self.pending.is_empty() || env.now < self.backoff_until {
            return;
        }
        let ranked = self.rank_candidates(env);
        let Some((level, host, _)) = ranked.first() else {
            return;
        };
        if *level >= Amount::ONE.half() {
            let reports = self.borrowed.take_reports(host);
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

    /// Returns the time until one more token is refilled, at this host and the
    /// hosts that one round of requests reaches.
    ///
    /// Fractions of a token that exist now are ignored: when several hosts are
    /// short of tokens, others spend them before the caller retries.
    fn retry_after(&mut self, env: Env<'_>) -> Duration {
        let refill = |candidate: &Candidate| {
            let assumed = candidate.assumed_allotment(env.now, env.view);
            self.estimates.refill(env.now, &candidate.host, assumed)
        };
        let mut refills: Vec<_> = self.candidates.iter().map(refill).collect();
        refills.sort_by_key(|refill| Reverse(*refill));
        let reached: Amount = refills.into_iter().take(env.cfg.fanout).sum();
        let whole = Amount::from_tokens(self.limits.rate);
        let refill = (reached + self.own.refill(env.now)).min(whole);
        let seconds = 1.0 / refill.tokens().max(f64::MIN_POSITIVE);
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_RETRY_AFTER);
        let backoff = env.now.until(self.backoff_until);
        wait.max(backoff).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }
}
