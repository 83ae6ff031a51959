//! Small fakes of an endpoint: service time, queue and prefix cache.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use chicoryarch::load::deployment::EndpointShape;

/// Time for each uncached prompt token at speed 1, in seconds.
pub(crate) const PREFILL: f64 = 0.000_25;
/// Time for each generated token at speed 1, in seconds.
pub(crate) const DECODE: f64 = 0.012;
/// Growth of the time of a call with the number of calls beyond the knee; above
/// 1 the endpoint also loses throughput.
const OVERLOAD: f64 = 1.5;
/// Time to move a cached token between engines, in seconds.
const MOVE: f64 = 0.000_02;

/// What runs at an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Number of the run.
    pub(crate) run: usize,
    /// Conversation, if a prefix of it may be cached.
    pub(crate) conversation: u64,
    /// Prompt tokens; 0 for a plain call.
    pub(crate) prompt: u64,
    /// Tokens to generate.
    pub(crate) completion: u64,
    /// Time of a plain call at speed 1.
    pub(crate) plain: f64,
    /// True if it goes before others in the endpoint's own queue.
    pub(crate) interactive: bool,
    /// Tokens that were moved here from another engine.
    pub(crate) moved: u64,
}

/// How long a job takes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Times {
    /// Until its first token.
    pub(crate) first: Duration,
    /// Until its end.
    pub(crate) total: Duration,
    /// Prompt tokens that were cached.
    pub(crate) cached: u64,
}

/// Prefixes by conversation; the least recently used goes first.
#[derive(Debug, Default)]
struct Cache {
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

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Fake {
    /// Its size.
    pub(crate) shape: EndpointShape,
    /// Speed now.
    pub(crate) speed: f64,
    /// True while it refuses every connection.
    pub(crate) dead: bool,
    /// Fraction of calls that it fails.
    pub(crate) failing: f64,
    /// Jobs that run.
    pub(crate) running: HashMap<usize, Job>,
    /// Jobs that wait.
    pub(crate) queued: VecDeque<Job>,
    cache: Cache,
    model: bool,
}

impl Fake {
    /// An idle endpoint.
    pub(crate) fn new(shape: &EndpointShape, model: bool) -> Self {
        Self {
            speed: shape.speed,
            shape: shape.clone(),
            dead: false,
            failing: 0.0,
            running: HashMap::new(),
            queued: VecDeque::new(),
            cache: Cache::default(),
            model,
        }
    }

    /// Adds a job to its queue.
    pub(crate) fn accept(&mut self, job: Job) {
        if job.interactive {
            let ordinary = self.queued.iter().position(|job| !job.interactive);
            self.queued
                .insert(ordinary.unwrap_or(self.queued.len()), job);
        } else {
            self.queued.push_back(job);
        }
    }

    /// Begins the next job if there is room.
    pub(crate) fn begin(&mut self) -> Option<(Job, Times)> {
        if self.running.len() >= self.shape.concurrency as usize {
            return None;
        }
        let job = self.queued.pop_front()?;
        let times = self.times(&job);
        self.running.insert(job.run, job.clone());
        Some((job, times))
    }

    /// Ends a job and keeps its prefix.
    pub(crate) fn end(&mut self, run: usize) -> Option<Job> {
        let job = self.running.remove(&run)?;
        if self.model {
            let tokens = job.prompt + job.completion;
            let capacity = self.shape.cache_tokens;
            self.cache.put(job.conversation, tokens, capacity);
        }
        Some(job)
    }

    /// Drops everything that runs and waits, and the cache.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        self.dead = true;
        self.cache = Cache::default();
        let mut lost: Vec<_> = self.running.drain().map(|(run, _)| run).collect();
        lost.extend(self.queued.drain(..).map(|job| job.run));
        lost.sort_unstable();
        lost
    }

    fn times(&mut self, job: &Job) -> Times {
        let beside = self.running.len() as f64 + 1.0;
        let slowdown = (beside / f64::from(self.shape.knee))
            .max(1.0)
            .powf(OVERLOAD)
            / self.speed;
        if !self.model {
            let total = Duration::from_secs_f64(job.plain * slowdown);
            return Times {
                first: total,
                total,
                cached: 0,
            };
        }
        let own = self.cache.get(job.conversation).min(job.prompt);
        let moved = job.moved.min(job.prompt);
        let (cached, copy) = if moved > own {
            (moved, moved as f64 * MOVE)
        } else {
            (own, 0.0)
        };
        let first = copy + (job.prompt - cached) as f64 * PREFILL * slowdown;
        let total = first + job.completion as f64 * DECODE * slowdown;
        Times {
            first: Duration::from_secs_f64(first),
            total: Duration::from_secs_f64(total),
            cached,
        }
    }
}
