//! A fake endpoint with service times, a queue and a prefix cache.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chicoryarch::load::deployment::EndpointShape;

/// Time to process an uncached prompt token at speed 1, in seconds.
pub(crate) const PREFILL_SECONDS: f64 = 0.000_25;
/// Time to generate a token at speed 1, in seconds.
pub(crate) const DECODE_SECONDS: f64 = 0.012;
/// Exponent of the slowdown beyond the knee; above 1 the endpoint also loses
/// throughput.
const OVERLOAD_EXPONENT: f64 = 1.5;
/// Time to move a cached token between engines, in seconds.
const MOVE_SECONDS: f64 = 0.000_02;

/// Work that a run puts on an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Index of the run.
    pub(crate) run: usize,
    /// Conversation whose prefix may be cached.
    pub(crate) conversation: u64,
    /// Prompt tokens; 0 for a plain call.
    pub(crate) prompt: u64,
    /// Tokens to generate.
    pub(crate) completion: u64,
    /// Service time of a plain call at speed 1, in seconds.
    pub(crate) plain_seconds: f64,
    /// Whether the job precedes ordinary jobs in the endpoint's queue.
    pub(crate) interactive: bool,
    /// Cached tokens to copy here from another engine.
    pub(crate) moved: u64,
}

/// Service times of a job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTimes {
    /// Time until the first token.
    pub(crate) first: Duration,
    /// Time until the end.
    pub(crate) total: Duration,
    /// Prompt tokens that are cached.
    pub(crate) cached: u64,
}

/// Cached tokens by conversation, with least-recently-used eviction.
#[derive(Debug, Default)]
struct Cache {
    /// Tokens and time of the last use, counted in uses.
    tokens: HashMap<u64, (u64, u64)>,
    used: u64,
    uses: u64,
}

impl Cache {
    fn get(&mut self, conversation: u64) -> u64 {
        self.uses += 1;
        let Some((tokens, last)) = self.tokens.get_mut(&conversation) else {
            return 0;
        };
        *last = self.uses;
        *tokens
    }

    fn put(&mut self, conversation: u64, tokens: u64, capacity: u64) {
        self.uses += 1;
        let old = self.tokens.insert(conversation, (tokens, self.uses));
        self.used = self.used + tokens - old.map_or(0, |(tokens, _)| tokens);
        while self.used > capacity {
            let oldest = self.tokens.iter().min_by_key(|(_, (_, last))| *last);
            let Some((oldest, (tokens, _))) = oldest.map(|(c, t)| (*c, *t)) else {
                return;
            };
            self.used -= tokens;
            self.tokens.remove(&oldest);
        }
    }
}

/// A fake endpoint.
#[derive(Debug)]
pub(crate) struct FakeEndpoint {
    /// Capacity of the endpoint.
    pub(crate) shape: EndpointShape,
    /// Current speed.
    pub(crate) speed: f64,
    /// Whether the endpoint refuses every connection.
    pub(crate) is_down: bool,
    /// Fraction of calls that fail.
    pub(crate) failure_rate: f64,
    /// Running jobs, by run.
    pub(crate) running: HashMap<usize, Job>,
    /// Waiting jobs.
    pub(crate) queued: VecDeque<Job>,
    cache: Cache,
    model: bool,
}

impl FakeEndpoint {
    /// Returns an idle endpoint.
    pub(crate) fn new(shape: &EndpointShape, model: bool) -> Self {
        Self {
            speed: shape.speed,
            shape: shape.clone(),
            is_down: false,
            failure_rate: 0.0,
            running: HashMap::new(),
            queued: VecDeque::new(),
            cache: Cache::default(),
            model,
        }
    }

    /// Adds a job to the queue.
    pub(crate) fn enqueue(&mut self, job: Job) {
        if job.interactive {
            let ordinary = self.queued.iter().position(|job| !job.interactive);
            self.queued
                .insert(ordinary.unwrap_or(self.queued.len()), job);
        } else {
            self.queued.push_back(job);
        }
    }

    /// Starts the next job if there is capacity.
    pub(crate) fn start_next(&mut self) -> Option<(Job, ServiceTimes)> {
        if self.running.len() >= self.shape.concurrency as usize {
            return None;
        }
        let job = self.queued.pop_front()?;
        let times = self.service_times(&job);
        self.running.insert(job.run, job.clone());
        Some((job, times))
    }

    /// Ends a job and caches its prefix.
    pub(crate) fn finish(&mut self, run: usize) -> Option<Job> {
        let job = self.running.remove(&run)?;
        if self.model {
            let tokens = job.prompt + job.completion;
            let capacity = self.shape.cache_tokens;
            self.cache.put(job.conversation, tokens, capacity);
        }
        Some(job)
    }

    /// Drops the cache and all jobs, and refuses connections from now on.
    /// Returns the runs that were lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.is_down = true;
        self.cache = Cache::default();
        let mut lost: Vec<_> = self.running.drain().map(|(run, _)| run).collect();
        lost.extend(self.queued.drain(..).map(|job| job.run));
        lost.sort_unstable();
        lost
    }

    fn service_times(&mut self, job: &Job) -> ServiceTimes {
        let concurrency = self.running.len() as f64 + 1.0;
        let slowdown = (concurrency / f64::from(self.shape.knee))
            .max(1.0)
            .powf(OVERLOAD_EXPONENT)
            / self.speed;
        if !self.model {
            let total = Duration::from_secs_f64(job.plain_seconds * slowdown);
            return ServiceTimes {
                first: total,
                total,
                cached: 0,
            };
        }
        let local = self.cache.get(job.conversation).min(job.prompt);
        let moved = job.moved.min(job.prompt);
        let (cached, copy_seconds) = if moved > local {
            (moved, moved as f64 * MOVE_SECONDS)
        } else {
            (local, 0.0)
        };
        let first = copy_seconds + (job.prompt - cached) as f64 * PREFILL_SECONDS * slowdown;
        let total = first + job.completion as f64 * DECODE_SECONDS * slowdown;
        ServiceTimes {
            first: Duration::from_secs_f64(first),
            total: Duration::from_secs_f64(total),
            cached,
        }
    }
}
