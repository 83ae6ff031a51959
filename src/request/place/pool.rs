//! Pool of the endpoints of one service, and the choice of an endpoint.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::demand::Demand;
use super::demand::RunOutcome;
use super::demand::RunResult;
use super::health::HealthState;
use super::member::Member;
use super::member::Run;
use super::occupancy::Occupancy;
use super::prefix::Prefix;
use super::prefix::PrefixIndex;
use super::speed::CallSize;
use super::speed::Rates;
use super::speed::SpeedEstimate;
use super::speed::Timing;
use crate::configs::place::PlaceConfig;
use crate::ids::DataCentre;
use crate::ids::EndpointId;
use crate::ids::ProgramId;
use crate::request::answer::Usage;
use crate::units::Moment;
use crate::version::catalogue::ConfiguredEndpoint;
use crate::version::objects::Endpoint;

/// Lower bound of the expected success rate; keeps expected times finite.
const MIN_SUCCESS: f64 = 0.05;

/// Identifies a call in flight within a pool.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

/// An endpoint with a free slot for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// State of the program's prompt prefix at the endpoint.
    pub prefix: Prefix,
    /// Expected time from dispatch until the answer is complete.
    pub expected: Duration,
}

/// Result of the choice of an endpoint for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The call can start now at this endpoint.
    Place(Offer),
    /// The call waits for a full endpoint that has its prefix cached.
    Hold {
        /// Name of the endpoint.
        endpoint: EndpointId,
        /// Latest time of the next choice.
        until: Moment,
    },
    /// No endpoint has a free slot for the call.
    Full,
}

/// State of an endpoint, as listed for operators.
#[derive(Clone, Debug)]
pub struct EndpointRow {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Configured number of concurrent calls.
    pub slots: u32,
    /// Current concurrency limit.
    pub limit: u32,
    /// Number of slots reserved for interactive calls.
    pub reserved: u32,
    /// Number of calls of this host in progress, of all services.
    pub in_flight: u32,
    /// Number of calls of other hosts by the last load report; 0 if that is too
    /// old.
    pub remote_calls: u32,
    /// Estimated time per unit of work, in seconds.
    pub rates: Rates,
    /// Expected fraction of calls that fail, from 0 to 1.
    pub failure_rate: f64,
    /// Health state.
    pub health: HealthState,
    /// False if the endpoint is draining or removed from the configuration and
    /// only completes the calls in progress.
    pub serving: bool,
}

/// Number of calls that wait for each full endpoint, within one step.
pub(super) type Holds = BTreeMap<EndpointId, u32>;

/// Pool of the endpoints of one service.
#[derive(Clone, Debug)]
pub struct Pool {
    cfg: PlaceConfig,
    data_centre: DataCentre,
    members: BTreeMap<EndpointId, Member>,
    prefixes: PrefixIndex,
    speed: SpeedEstimate,
    call_size: CallSize,
    next_run_id: u64,
}

impl Pool {
    /// Creates an empty pool for a host in `data_centre`.
    pub fn new(cfg: PlaceConfig, data_centre: DataCentre) -> Self {
        Self {
            cfg,
            data_centre,
            members: BTreeMap::new(),
            prefixes: PrefixIndex::default(),
            speed: SpeedEstimate::default(),
            call_size: CallSize::default(),
            next_run_id: 0,
        }
    }

    /// Applies the configured endpoints.
    ///
    /// `occupancy` returns the shared count of calls of a new endpoint. Removed
    /// endpoints stay in the pool until their calls have ended.
    pub fn set_endpoints(
        &mut self,
        endpoints: &[ConfiguredEndpoint],
        mut occupancy: impl FnMut(&EndpointId) -> Arc<Occupancy>,
    ) {
        for member in self.members.values_mut() {
            member.serving = false;
        }
        for ConfiguredEndpoint { id, endpoint } in endpoints {
            let round_trip = self.round_trip(endpoint);
            match self.members.get_mut(id) {
                Some(member) => member.update(endpoint, round_trip),
                None => {
                    let occupancy = occupancy(id);
                    let member =
                        Member::new(id.clone(), Arc::clone(endpoint), occupancy, round_trip);
                    self.members.insert(id.clone(), member);
                }
            }
        }
        self.remove_drained();
    }

    /// Whether any endpoint accepts calls.
    pub fn is_serving(&self) -> bool {
        self.members.values().any(|member| member.serving)
    }

    /// Whether any endpoint has a free slot for an interactive or ordinary
    /// call.
    pub fn has_room(&self, now: Moment, interactive: bool) -> bool {
        let mut usable = self.usable_members(now);
        usable.any(|member| member.has_room(now, interactive, &self.cfg))
    }

    /// Time at which the next ejection ends; `None` if no endpoint is ejected.
    pub fn next_probe(&self, now: Moment) -> Option<Moment> {
        let serving = self.members.values().filter(|member| member.serving);
        let ends = serving.filter_map(|member| match member.health.state(now) {
            HealthState::Ejected(until) => Some(until),
            HealthState::Healthy | HealthState::Probing => None,
        });
        ends.min()
    }

    /// Expected duration of a call at an endpoint of average speed that has the
    /// longest known prefix of the program cached.
    pub fn expected_duration(&self, demand: &Demand) -> Duration {
        let rates = self.speed.means();
        if demand.prompt_bytes == 0 {
            return Duration::from_secs_f64(rates.plain);
        }
        let prompt = self.call_size.prompt_tokens(demand.prompt_bytes);
        let holders = demand
            .conversation
            .as_ref()
            .map(|c| self.prefixes.holders(c));
        let held = holders.into_iter().flatten().map(|holder| holder.tokens);
        let uncached = prompt.saturating_sub(held.max().unwrap_or_default());
        let seconds = uncached as f64 * rates.prefill + self.call_size.completion() * rates.decode;
        Duration::from_secs_f64(seconds)
    }

    /// Chooses an endpoint for a call that was queued at `since`.
    pub fn choose(&self, now: Moment, demand: &Demand, since: Moment) -> Choice {
        self.choose_with_holds(now, demand, since, &Holds::new())
    }

    /// Like [`Self::choose`], given the calls that already wait for full
    /// endpoints.
    pub(super) fn choose_with_holds(
        &self,
        now: Moment,
        demand: &Demand,
        since: Moment,
        holds: &Holds,
    ) -> Choice {
        let has_room = |member: &&Member| member.has_room(now, demand.interactive, &self.cfg);
        let offers = self
            .candidates(now, demand)
            .filter(has_room)
            .map(|member| self.make_offer(now, member, demand));
        let Some((best_score, offer)) = offers.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return Choice::Full;
        };
        let hold = self.choose_hold(now, demand, since, best_score, holds);
        hold.unwrap_or(Choice::Place(offer))
    }

    /// Acquires a slot for a call; `None` if the endpoint has become full.
    ///
    /// # Panics
    ///
    /// If the endpoint is draining.
    pub fn start(&mut self, now: Moment, demand: &Demand, offer: &Offer) -> Option<RunId> {
        let member = self.members.get_mut(&offer.endpoint)?;
        assert!(member.serving, "a draining endpoint is never chosen");
        let max_calls = member.max_local_calls(now, demand.interactive, &self.cfg);
        if !member.occupancy.try_acquire(now, max_calls) {
            return None;
        }
        let run = RunId(self.next_run_id);
        self.next_run_id += 1;
        let running = Run::new(now, demand, offer.expected);
        member.running.insert(run, running);
        Some(run)
    }

    /// Records the start of a call's answer.
    pub fn record_answer_start(&mut self, now: Moment, endpoint: &EndpointId, run: RunId) {
        let member = self.members.get_mut(endpoint);
        if let Some(running) = member.and_then(|member| member.running.get_mut(&run)) {
            running.answer_started.get_or_insert(now);
        }
    }

    /// Releases the slot of a call and updates health and estimates.
    ///
    /// # Panics
    ///
    /// If the call is not in progress.
    pub fn finish(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        run: RunId,
        result: &RunResult,
    ) -> FinishedCall {
        let member = self.members.get_mut(endpoint);
        let member =
            member.expect("invariant: an endpoint with a call in progress stays in the pool");
        let running = member.running.remove(&run);
        let running = running.expect("invariant: each call ends once");
        member.occupancy.release(now);
        let health = match result.outcome {
            RunOutcome::Answered | RunOutcome::Rejected if member.health.record_success(now) => {
                HealthChange::Restored
            }
            RunOutcome::Failed
                if member
                    .health
                    .record_failure(now, running.started, &self.cfg) =>
            {
                HealthChange::Ejected
            }
            _ => HealthChange::None,
        };
        match result.outcome {
            RunOutcome::Answered => self.record_answer(now, endpoint, &running, result.usage),
            RunOutcome::Failed => self.remove_prefix(now, endpoint, &running),
            RunOutcome::Rejected | RunOutcome::Cancelled => {}
        }
        self.remove_drained();
        FinishedCall {
            duration: now.since(running.started),
            health,
        }
    }

    /// Removes the cached prefixes of a program that has ended.
    pub fn forget_program(&mut self, program: &ProgramId) {
        self.prefixes.remove(program);
    }

    /// State of all endpoints, as listed for operators.
    pub fn rows(&self, now: Moment) -> Vec<EndpointRow> {
        let means = self.speed.means();
        let row = |member: &Member| EndpointRow {
            endpoint: member.id.clone(),
            slots: member.endpoint.concurrency,
            limit: member.limit(&self.cfg),
            reserved: member.reserved_slots(&self.cfg),
            in_flight: member.occupancy.local_calls(),
            remote_calls: member.occupancy.remote_calls(now),
            rates: member.speed.rates(now, means, &self.cfg),
            failure_rate: member.health.failure_rate(now),
            health: member.health.state(now),
            serving: member.serving,
        };
        self.members.values().map(row).collect()
    }

    /// Configuration of an endpoint.
    pub(super) fn endpoint(&self, id: &EndpointId) -> Option<&Arc<Endpoint>> {
        self.members.get(id).map(|member| &member.endpoint)
    }

    fn round_trip(&self, endpoint: &Endpoint) -> Duration {
        2 * self.cfg.distance(&self.data_centre, &endpoint.data_centre)
    }

    /// Serving endpoints that are not ejected, or all serving endpoints if
    /// every one is ejected.
    fn usable_members(&self, now: Moment) -> impl Iterator<Item = &Member> {
        let serving = || self.members.values().filter(|member| member.serving);
        let all_ejected = serving().all(|member| member.is_ejected(now));
        serving().filter(move |member| all_ejected || !member.is_ejected(now))
    }

    /// Usable endpoints except those that failed the call before, unless there
    /// are no others.
    fn candidates<'a>(
        &'a self,
        now: Moment,
        demand: &'a Demand,
    ) -> impl Iterator<Item = &'a Member> {
        let avoided = |member: &&Member| demand.avoid.contains(&member.id);
        let all_avoided = !demand.avoid.is_empty() && self.usable_members(now).all(|m| avoided(&m));
        self.usable_members(now)
            .filter(move |m| all_avoided || !avoided(m))
    }

    /// Returns the offer of an endpoint and its score in seconds: the expected
    /// time divided by the success rate, plus the overdue time. Lower is
    /// better.
    fn make_offer(&self, now: Moment, member: &Member, demand: &Demand) -> (f64, Offer) {
        let rates = member.speed.rates(now, self.speed.means(), &self.cfg);
        let (work, prefix) = self.estimate_work(member, demand, &rates);
        let utilisation = member.utilisation(now, &self.cfg);
        // The endpoint queues calls beyond its limit.
        let excess = (utilisation - 1.0).max(0.0);
        let slowdown = 1.0 + self.cfg.load_slowdown * utilisation.min(1.0) + excess;
        let expected = member.round_trip.as_secs_f64() + work * slowdown;
        let success = (1.0 - member.health.failure_rate(now)).max(MIN_SUCCESS);
        let overdue = member.max_overdue(now, &self.cfg).as_secs_f64();
        let offer = Offer {
            endpoint: member.id.clone(),
            prefix,
            expected: Duration::from_secs_f64(expected),
        };
        (expected / success + overdue, offer)
    }

    /// Estimated work of a call at an endpoint in seconds, and the state of its
    /// prefix there.
    fn estimate_work(&self, member: &Member, demand: &Demand, rates: &Rates) -> (f64, Prefix) {
        if demand.prompt_bytes == 0 {
            return (rates.plain, Prefix::Cold);
        }
        let prompt = self.call_size.prompt_tokens(demand.prompt_bytes);
        let decode = self.call_size.completion() * rates.decode;
        let (saved, prefix) = self.prefix_saving(member, demand, prompt, rates);
        let prefill = prompt as f64 * rates.prefill;
        ((prefill - saved).max(0.0) + decode, prefix)
    }

    /// Seconds of prefill that a cached or moved prefix saves at an endpoint.
    fn prefix_saving(
        &self,
        member: &Member,
        demand: &Demand,
        prompt: u64,
        rates: &Rates,
    ) -> (f64, Prefix) {
        let Some(program) = demand.conversation.as_ref() else {
            return (0.0, Prefix::Cold);
        };
        if !self.cfg.prefix_affinity {
            return (0.0, Prefix::Cold);
        }
        let held = self.prefixes.cached_tokens(program, &member.id).min(prompt);
        let saved = held as f64 * rates.prefill;
        let move_saving = self.move_saving(program, member, prompt, rates);
        match move_saving {
            Some((gain, prefix)) if gain > saved => (gain, prefix),
            _ if held > 0 => (saved, Prefix::Held { tokens: held }),
            _ => (0.0, Prefix::Cold),
        }
    }

    /// Seconds saved by moving the longest prefix cached at another endpoint;
    /// `None` if a move saves nothing.
    fn move_saving(
        &self,
        program: &ProgramId,
        member: &Member,
        prompt: u64,
        rates: &Rates,
    ) -> Option<(f64, Prefix)> {
        if !self.cfg.move_prefixes {
            return None;
        }
        let holders = self.prefixes.holders(program).iter();
        let others = holders.filter(|holder| holder.endpoint != member.id);
        let longest = others.max_by_key(|holder| holder.tokens)?;
        let tokens = longest.tokens.min(prompt);
        let cost = self.cfg.move_per_token.as_secs_f64();
        let gain = tokens as f64 * (rates.prefill - cost);
        let from = longest.endpoint.clone();
        (gain > 0.0).then_some((gain, Prefix::Move { from, tokens }))
    }

    /// Decides whether a call waits for a full endpoint that has its prefix
    /// cached, rather than start at the best free endpoint with score
    /// `best_score`.
    ///
    /// The wait is limited to the time that the prefix saves, so a wrong
    /// estimate costs at most twice that time.
    fn choose_hold(
        &self,
        now: Moment,
        demand: &Demand,
        since: Moment,
        best_score: f64,
        holds: &Holds,
    ) -> Option<Choice> {
        let program = demand.conversation.as_ref()?;
        if !self.cfg.prefix_affinity {
            return None;
        }
        let holders = self.prefixes.holders(program).iter();
        let full = holders.filter_map(|holder| {
            let member = self.members.get(&holder.endpoint)?;
            let usable = member.serving && member.health.state(now) == HealthState::Healthy;
            let full = !member.has_room(now, demand.interactive, &self.cfg);
            let avoided = demand.avoid.contains(&member.id);
            (usable && full && !avoided).then_some(member)
        });
        let waits = full.filter_map(|member| {
            let (score, _) = self.make_offer(now, member, demand);
            let ahead = holds.get(&member.id).copied().unwrap_or_default();
            let wait = member.time_to_next_end(now).as_secs_f64() * f64::from(1 + ahead);
            let saving = best_score - score;
            let until = since + Duration::from_secs_f64(saving.max(0.0));
            (wait < saving && now < until).then_some((score + wait, member, until))
        });
        let (_, member, until) = waits.min_by(|a, b| a.0.total_cmp(&b.0))?;
        Some(Choice::Hold {
            endpoint: member.id.clone(),
            until,
        })
    }

    fn record_answer(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        running: &Run,
        usage: Option<Usage>,
    ) {
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        let timing = Timing {
            time_to_answer: running.answer_started.map(|at| at.since(running.started)),
            total: now.since(running.started),
            round_trip: member.round_trip,
        };
        if running.prompt_bytes > 0 && usage.is_none() {
            return;
        }
        let usage = usage.filter(|_| running.prompt_bytes > 0);
        let latency = member.speed.record(now, &timing, usage, &self.cfg);
        self.speed.record(now, &timing, usage, &self.cfg);
        if let Some(latency) = latency {
            let in_flight = member.occupancy.local_calls() + 1;
            let slots = member.endpoint.concurrency.max(1);
            member
                .limit
                .record_latency(now, latency, in_flight, slots, &self.cfg);
        }
        if let Some(usage) = usage {
            let smoothing = self.cfg.smoothing;
            self.call_size
                .record(now, running.prompt_bytes, &usage, smoothing);
            if let Some(program) = &running.conversation {
                let tokens = usage.prompt_tokens + usage.completion_tokens;
                let max_programs = self.cfg.max_prefixes;
                self.prefixes
                    .record(now, program, endpoint, tokens, max_programs);
            }
        }
    }

    fn remove_prefix(&mut self, now: Moment, endpoint: &EndpointId, running: &Run) {
        if let Some(program) = &running.conversation {
            let max_programs = self.cfg.max_prefixes;
            self.prefixes
                .record(now, program, endpoint, 0, max_programs);
        }
    }

    fn remove_drained(&mut self) {
        self.members
            .retain(|_, member| member.serving || !member.running.is_empty());
    }
}

/// Change of an endpoint's health state at the end of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthChange {
    /// No change.
    None,
    /// The endpoint is ejected and gets no calls for some time.
    Ejected,
    /// The endpoint has recovered and gets calls again.
    Restored,
}

/// Effects of the end of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedCall {
    /// How long the call ran.
    pub duration: Duration,
    /// Change of the endpoint's health state.
    pub health: HealthChange,
}
