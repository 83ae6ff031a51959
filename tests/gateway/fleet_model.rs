//! Hosts and model engines in virtual time, without a network.
//!
//! Engines work in steps. A step makes one token of each running request and
//! reads a chunk of prompts; what an engine read lately it need not read again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use chicoryarch::gateway::call::PromptPart;
use chicoryarch::gateway::directory::Endpoint;
use chicoryarch::gateway::placing::AttemptEnd;
use chicoryarch::gateway::placing::Criteria;
use chicoryarch::gateway::placing::Placement;
use chicoryarch::gateway::placing::Pool;
use chicoryarch::gateway::placing::ReportedLoad;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::support::at;
use super::support::endpoint;

/// Prompt tokens that an engine reads in one step at most.
const CHUNK: u64 = 512;
/// Time between two turns of a program, in microseconds.
const PAUSE_US: u64 = 100_000;

/// How engines work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Engines {
    /// Engines of each data centre.
    pub(crate) per_data_centre: usize,
    /// Requests that one runs at once.
    pub(crate) slots: u32,
    /// Time of a step with one request, in microseconds.
    pub(crate) step_us: u64,
    /// Time that each further request adds to a step, in microseconds.
    pub(crate) step_per_request_us: u64,
    /// Prompt tokens that are read in a millisecond.
    pub(crate) read_per_ms: u64,
    /// Prompt tokens that one keeps.
    pub(crate) memory_tokens: u64,
}

impl Default for Engines {
    fn default() -> Self {
        Self {
            per_data_centre: 5,
            slots: 24,
            step_us: 4_300,
            step_per_request_us: 150,
            read_per_ms: 37,
            memory_tokens: 180_000,
        }
    }
}

/// What callers ask for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Traffic {
    /// Hosts of each data centre.
    pub(crate) hosts: usize,
    /// Programs that begin in a second, by data centre.
    pub(crate) programs_per_s: [f64; 2],
    /// Turns of a program.
    pub(crate) turns: usize,
    /// Tokens of the part that programs of one subject share.
    pub(crate) shared_tokens: u64,
    /// Tokens that each turn adds.
    pub(crate) own_tokens: u64,
    /// Tokens that each turn makes.
    pub(crate) made_tokens: u32,
    /// Subjects, each with a shared part of its own.
    pub(crate) subjects: u64,
    /// Time in which programs begin, in milliseconds.
    pub(crate) for_ms: u64,
    /// Time of a program against an idle engine that is in time.
    pub(crate) stretch: f64,
}

impl Default for Traffic {
    fn default() -> Self {
        Self {
            hosts: 4,
            programs_per_s: [4.0, 4.0],
            turns: 3,
            shared_tokens: 2_560,
            own_tokens: 1_030,
            made_tokens: 40,
            subjects: 20,
            for_ms: 20_000,
            stretch: 2.6,
        }
    }
}

/// Share of the programs of each data centre that ended in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) in_time: [f64; 2],
    /// Part of the turns that ran in another data centre.
    pub(crate) crossed: f64,
}

/// How a host picks an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Policy {
    /// The one that a host uses.
    Pool,
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests of the host.
    LeastInFlight,
}

#[derive(Debug)]
struct Program {
    home: usize,
    host: usize,
    began: u64,
    turn: usize,
    parts: Vec<PromptPart>,
}

#[derive(Debug)]
struct Run {
    program: usize,
    place: Placement,
    sent: u64,
    to_read: u64,
    to_make: u32,
    is_told: bool,
}

#[derive(Debug, Default)]
struct Engine {
    running: Vec<Run>,
    waiting: VecDeque<Run>,
    cached: HashMap<u64, (u64, u64)>,
    is_stepping: bool,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Turn { program: usize },
    Stepped { engine: usize },
}

struct World {
    engines: Engines,
    traffic: Traffic,
    policy: Policy,
    listed: Vec<Arc<Endpoint>>,
    hosts: Vec<(Pool, Vec<u32>, usize)>,
    state: Vec<Engine>,
    programs: Vec<Program>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    scheduled: usize,
    ended: [[u32; 2]; 2],
    turns: [u32; 2],
}

const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// Plays the traffic and tells how programs fared.
pub(crate) fn play(engines: Engines, traffic: Traffic, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(engines, traffic, policy, seed);
    world.schedule_programs(seed);
    while let Some(Reverse((now, _, event))) = world.events.pop() {
        match event {
            Event::Turn { program } => world.send(program, now),
            Event::Stepped { engine } => world.step(engine, now),
        }
    }
    world.outcome()
}

impl World {
    fn new(engines: Engines, traffic: Traffic, policy: Policy, seed: u64) -> Self {
        let listed: Vec<_> = (0..2 * engines.per_data_centre)
            .map(|n| {
                let mut listed = endpoint(&n.to_string(), engines.slots);
                listed.data_centre = DATA_CENTRES[n / engines.per_data_centre].into();
                Arc::new(listed)
            })
            .collect();
        let hosts = (0..2 * traffic.hosts)
            .map(|n| {
                let host = u64::try_from(n).expect("few hosts");
                let mut pool = Pool::with_seed(seed.wrapping_mul(1_000) + host);
                pool.replace(listed.iter().cloned(), at(0));
                (pool, vec![0; listed.len()], n)
            })
            .collect();
        Self {
            engines,
            traffic,
            policy,
            hosts,
            state: listed.iter().map(|_| Engine::default()).collect(),
            listed,
            programs: Vec::new(),
            events: BinaryHeap::new(),
            scheduled: 0,
            ended: [[0; 2]; 2],
            turns: [0; 2],
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn schedule_programs(&mut self, seed: u64) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        for (home, rate) in self.traffic.programs_per_s.into_iter().enumerate() {
            let mut now = 0.0;
            loop {
                now += -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
                if now > 1_000.0 * Duration::from_millis(self.traffic.for_ms).as_secs_f64() * 1e3 {
                    break;
                }
                let began = Duration::from_secs_f64(now / 1e6).as_micros();
                let began = u64::try_from(began).expect("a short run");
                let shared = PromptPart {
                    id: rng.random_range(0..self.traffic.subjects),
                    tokens: self.traffic.shared_tokens,
                };
                let program = self.programs.len();
                self.programs.push(Program {
                    home,
                    host: home * self.traffic.hosts + rng.random_range(0..self.traffic.hosts),
                    began,
                    turn: 0,
                    parts: vec![shared],
                });
                self.schedule(began, Event::Turn { program });
            }
        }
    }

    /// Sends the next turn of a program to an engine.
    fn send(&mut self, program: usize, now: u64) {
        let index = program;
        let program = &mut self.programs[index];
        program.turn += 1;
        program.parts.push(PromptPart {
            id: (u64::try_from(index).expect("few") + 1) * 1_000 + program.parts.len() as u64,
            tokens: self.traffic.own_tokens,
        });
        let host = program.host;
        let parts = program.parts.clone();
        let home = program.home;
        let place = self.choose(host, home, &parts, now);
        let engine: usize = place.endpoint.id.parse().expect("a number");
        self.hosts[host].1[engine] += 1;
        self.turns[usize::from(engine / self.engines.per_data_centre != home)] += 1;
        let to_read = self.state[engine].take_in(&parts, now, self.engines.memory_tokens);
        let run = Run {
            program: index,
            place,
            sent: now,
            to_read,
            to_make: self.traffic.made_tokens,
            is_told: false,
        };
        self.state[engine].waiting.push_back(run);
        if !self.state[engine].is_stepping {
            self.begin_step(engine, now);
        }
    }

    fn choose(&mut self, host: usize, home: usize, parts: &[PromptPart], now: u64) -> Placement {
        let count = self.listed.len();
        let (pool, in_flight, turn) = &mut self.hosts[host];
        let picked = match self.policy {
            Policy::Pool => None,
            Policy::RoundRobin => {
                *turn += 1;
                Some(*turn % count)
            }
            Policy::LeastInFlight => {
                (0..count).min_by_key(|n| (in_flight[*n], (*n + host) % count))
            }
        };
        let only = picked.map(|n| self.listed[n].id.clone());
        let criteria = Criteria {
            parts,
            only: only.as_deref(),
            ..Criteria::default()
        };
        pool.choose(&criteria, DATA_CENTRES[home], at(now / 1_000))
            .expect("engines are listed")
    }

    fn begin_step(&mut self, engine: usize, now: u64) {
        let Engines {
            slots,
            step_us,
            step_per_request_us,
            read_per_ms,
            ..
        } = self.engines;
        let state = &mut self.state[engine];
        while state.running.len() < usize::try_from(slots).expect("few slots") {
            let Some(run) = state.waiting.pop_front() else {
                break;
            };
            state.running.push(run);
        }
        state.is_stepping = !state.running.is_empty();
        if !state.is_stepping {
            return;
        }
        let mut left = CHUNK;
        let mut making = 0;
        for run in &mut state.running {
            let read = run.to_read.min(left);
            left -= read;
            run.to_read -= read;
            making += u64::from(run.to_read == 0);
        }
        let read_us = (CHUNK - left) * 1_000 / read_per_ms;
        let took = step_us + making.saturating_sub(1) * step_per_request_us + read_us;
        self.schedule(now + took, Event::Stepped { engine });
    }

    fn step(&mut self, engine: usize, now: u64) {
        let told = self.state[engine].told(self.engines.slots);
        let mut left = Vec::new();
        for mut run in std::mem::take(&mut self.state[engine].running) {
            if run.to_read == 0 {
                run.to_make -= 1;
                if !run.is_told {
                    run.is_told = true;
                    let host = self.programs[run.program].host;
                    let id = &run.place.endpoint.id;
                    self.hosts[host].0.record_load(id, told, at(now / 1_000));
                }
            }
            match run.to_make {
                0 => self.end(engine, &run, now),
                _ => left.push(run),
            }
        }
        self.state[engine].running = left;
        self.begin_step(engine, now);
    }

    fn end(&mut self, engine: usize, run: &Run, now: u64) {
        let program = &self.programs[run.program];
        let spent = Duration::from_micros(now - run.sent);
        let (pool, in_flight, _) = &mut self.hosts[program.host];
        in_flight[engine] -= 1;
        pool.record_end(&run.place, AttemptEnd::Answered, spent, at(now / 1_000));
        if program.turn < self.traffic.turns {
            let next = Event::Turn {
                program: run.program,
            };
            self.schedule(now + PAUSE_US, next);
            return;
        }
        let idle = self.idle_us();
        let aim = Duration::from_micros(idle).mul_f64(self.traffic.stretch);
        let is_late = Duration::from_micros(now - program.began) > aim;
        self.ended[program.home][usize::from(is_late)] += 1;
    }

    /// Time of a program on idle engines that read its shared part before.
    fn idle_us(&self) -> u64 {
        let turns = u64::try_from(self.traffic.turns).expect("few turns");
        let read = self.traffic.own_tokens * 1_000 / self.engines.read_per_ms;
        let made = u64::from(self.traffic.made_tokens) * self.engines.step_us;
        turns * (read + made) + (turns - 1) * PAUSE_US
    }

    fn outcome(&self) -> Outcome {
        let in_time = self
            .ended
            .map(|[in_time, late]| f64::from(in_time) / f64::from((in_time + late).max(1)));
        let [stayed, crossed] = self.turns.map(f64::from);
        Outcome {
            in_time,
            crossed: crossed / (stayed + crossed),
        }
    }
}

impl Engine {
    fn told(&self, slots: u32) -> ReportedLoad {
        ReportedLoad {
            running: u32::try_from(self.running.len()).expect("few"),
            waiting: u32::try_from(self.waiting.len()).expect("few"),
            slots,
        }
    }

    /// Tokens of a prompt that must be read; the prompt is kept from now on.
    fn take_in(&mut self, parts: &[PromptPart], now: u64, memory: u64) -> u64 {
        let known = |part: &&PromptPart| self.cached.contains_key(&part.id);
        let held: u64 = parts.iter().take_while(known).map(|part| part.tokens).sum();
        let total: u64 = parts.iter().map(|part| part.tokens).sum();
        for part in parts {
            self.cached.insert(part.id, (part.tokens, now));
        }
        while self.cached.values().map(|(tokens, _)| tokens).sum::<u64>() > memory {
            let oldest = self.cached.iter().min_by_key(|(_, (_, used))| *used);
            let oldest = *oldest.expect("memory is used").0;
            self.cached.remove(&oldest);
        }
        // The last token is always read.
        (total - held).max(1)
    }
}
