//! Simulation of hosts, a platform and a network in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryarch::configs::membership::MembershipConfig;
use chicoryarch::connection::platform::Expect;
use chicoryarch::connection::platform::Written;
use chicoryarch::ids::DataCentre;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Partition;
use chicoryarch::ids::Version;
use chicoryarch::units::Moment;
use chicoryarch::version::table::Coordinator;
use chicoryarch::version::table::Effect;
use chicoryarch::version::table::Identity;
use chicoryarch::version::table::Input;
use chicoryarch::version::table::PartitionEvent;
use chicoryarch::version::table::PlatformFailure;
use chicoryarch::version::table::ServeMode;
use chicoryarch::version::table::Table;
use chicoryarch::version::table::incarnation;
use chicoryarch::version::table::message::Committed;
use chicoryarch::version::table::message::Heartbeat;
use chicoryarch::version::table::message::TablesRequest;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Largest deviation of a host's clock rate, in parts per million.
const MAX_DRIFT_PPM: i64 = 150_000;
const MAX_LATENCY_US: u64 = 20_000;
const MAX_SLOW_WRITE_US: u64 = 900_000;

pub(crate) fn config() -> MembershipConfig {
    MembershipConfig {
        heartbeat_period: Duration::from_millis(100),
        lease_ttl: Duration::from_millis(500),
        drift_margin: Duration::from_millis(180),
        adoption_timeout: Duration::from_millis(2_000),
        removal_timeout: Duration::from_millis(3_000),
        refresh_period: Duration::from_millis(300),
        partitions: 5,
        ..MembershipConfig::default()
    }
}

/// A fault to inject or to repair.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    Kill(usize),
    Restart(usize),
    /// Starts a second process under the name of one that is still running.
    StartDuplicate(usize),
    Freeze(usize),
    Resume(usize),
    CutHosts(usize, usize),
    CutPlatform(usize),
    CutDataCentre,
    HealCuts,
    PlatformOut,
    PlatformRestored,
    LoseAnswers(u8),
    SlowWrites(u8),
    Drain(usize),
}

enum Job {
    Tick,
    Perform(Effect),
    Deliver(Input),
    Heartbeat {
        from: usize,
        heartbeat: Box<Heartbeat>,
    },
    Tables {
        from: usize,
        request: TablesRequest,
    },
    Confirm(PartitionEvent),
}

struct Process {
    slot: usize,
    coordinator: Option<Coordinator>,
    frozen_at: Option<u64>,
    backlog: Vec<Job>,
    drift_ppm: i64,
    offset_us: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Stats {
    pub(crate) steps: u64,
    pub(crate) commits: u64,
    pub(crate) takeovers: u64,
    pub(crate) handovers: u64,
    pub(crate) adoptions: u64,
    pub(crate) platform_calls: u64,
    pub(crate) platform_bytes: u64,
    pub(crate) messages: u64,
    pub(crate) message_bytes: u64,
    pub(crate) full: u64,
    pub(crate) repeatable_only: u64,
}

pub(crate) struct Simulation {
    cfg: MembershipConfig,
    now: u64,
    rng: ChaCha8Rng,
    slots: Vec<Identity>,
    processes: Vec<Process>,
    jobs: BTreeMap<(u64, u64), (usize, Job)>,
    next_job: u64,
    platform: BTreeMap<DataCentre, Committed>,
    newest: u64,
    platform_out: bool,
    lost_answers: u8,
    slow_writes: u8,
    cut_hosts: BTreeSet<(usize, usize)>,
    cut_platform: BTreeSet<usize>,
    gained: BTreeMap<(DataCentre, Partition, Epoch), usize>,
    pub(crate) stats: Stats,
}

fn identity(slot: usize, data_centre: &str) -> Identity {
    let port = u16::try_from(slot).expect("there are few hosts") + 1;
    Identity {
        host: format!("h{slot}").parse().expect("a valid name"),
        data_centre: data_centre.parse().expect("a valid name"),
        peer: SocketAddr::from(([127, 0, 0, 1], port)),
        caller: SocketAddr::from(([127, 0, 0, 2], port)),
    }
}

impl Simulation {
    pub(crate) fn new(cfg: MembershipConfig, seed: u64, data_centres: &[(&str, usize)]) -> Self {
        let places = data_centres
            .iter()
            .flat_map(|(name, hosts)| std::iter::repeat_n(*name, *hosts));
        let slots: Vec<_> = places.enumerate().map(|(i, dc)| identity(i, dc)).collect();
        let mut simulation = Self {
            cfg,
            now: 1_000_000,
            rng: ChaCha8Rng::seed_from_u64(seed),
            processes: Vec::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            platform: BTreeMap::new(),
            newest: 0,
            platform_out: false,
            lost_answers: 0,
            slow_writes: 0,
            cut_hosts: BTreeSet::new(),
            cut_platform: BTreeSet::new(),
            gained: BTreeMap::new(),
            stats: Stats::default(),
            slots,
        };
        for slot in 0..simulation.slots.len() {
            simulation.start(slot);
        }
        simulation
    }

    fn start(&mut self, slot: usize) {
        // The wall clock of a start may be lower than that of an earlier start, as
        // after a clock step.
        let wall = Duration::from_millis(self.rng.random_range(0..3));
        let start = incarnation(wall, self.rng.random());
        let coordinator = Coordinator::new(self.slots[slot].clone(), start, self.cfg.clone());
        self.processes.push(Process {
            slot,
            coordinator: Some(coordinator),
            frozen_at: None,
            backlog: Vec::new(),
            drift_ppm: self.rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
            offset_us: self.rng.random_range(0..1_000_000_000),
        });
        let process = self.processes.len() - 1;
        self.schedule(process, Job::Tick, MAX_LATENCY_US);
    }

    /// The newest process of a host, which receives messages to its address.
    fn newest_process(&self, slot: usize) -> usize {
        let found = self.processes.iter().rposition(|p| p.slot == slot);
        found.expect("every slot has been started")
    }

    fn local_time(&self, process: usize) -> Moment {
        let p = &self.processes[process];
        let rate = 1_000_000 + p.drift_ppm;
        let elapsed =
            u128::from(self.now) * u128::try_from(rate).expect("the rate is positive") / 1_000_000;
        let elapsed = u64::try_from(elapsed).expect("the run is short");
        Moment::from_start(Duration::from_micros(p.offset_us + elapsed))
    }

    fn schedule(&mut self, process: usize, job: Job, max_us: u64) {
        let at = self.now + self.rng.random_range(1..=max_us);
        self.next_job += 1;
        self.jobs.insert((at, self.next_job), (process, job));
    }

    /// Runs the simulation for a span of virtual time.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + u64::try_from(span.as_micros()).expect("the run is short");
        while let Some(entry) = self.jobs.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), (process, job)) = entry.remove_entry();
            self.now = at;
            self.execute(process, job);
            self.stats.steps += 1;
            self.check_owners();
        }
        self.now = end;
    }

    fn execute(&mut self, process: usize, job: Job) {
        // Effects of a process that is frozen later still reach their targets.
        if let Job::Perform(effect) = job {
            return self.perform(process, effect);
        }
        if self.processes[process].coordinator.is_none() {
            return self.refuse(process, job);
        }
        if self.processes[process].frozen_at.is_some() {
            self.processes[process].backlog.push(job);
            return;
        }
        match job {
            Job::Tick => {
                self.step(process, Input::Tick);
                let period = self.cfg.heartbeat_period.as_micros();
                let at = self.now + u64::try_from(period).expect("the period is short");
                self.next_job += 1;
                self.jobs.insert((at, self.next_job), (process, Job::Tick));
            }
            Job::Deliver(input) => self.step(process, input),
            Job::Heartbeat { from, heartbeat } => self.answer_heartbeat(process, from, *heartbeat),
            Job::Tables { from, request } => {
                let reply = self.coordinator(process).on_tables_request(&request);
                self.deliver(from, Input::Fetched(Some(reply)));
            }
            Job::Confirm(event) => self.confirm(process, &event),
            Job::Perform(_) => unreachable!("handled above"),
        }
    }

    fn coordinator(&mut self, process: usize) -> &mut Coordinator {
        let coordinator = self.processes[process].coordinator.as_mut();
        coordinator.expect("the process is running")
    }

    /// Fails requests to a process that has been killed.
    fn refuse(&mut self, process: usize, job: Job) {
        match job {
            Job::Heartbeat { from, heartbeat } => {
                let table = heartbeat.table;
                let host = self.slots[self.processes[process].slot].host.clone();
                self.deliver(from, Input::Unreachable { table, host });
            }
            Job::Tables { from, .. } => self.deliver(from, Input::Fetched(None)),
            _ => {}
        }
    }

    fn deliver(&mut self, process: usize, input: Input) {
        self.schedule(process, Job::Deliver(input), MAX_LATENCY_US);
    }

    fn answer_heartbeat(&mut self, process: usize, from: usize, heartbeat: Heartbeat) {
        let now = self.local_time(process);
        let table = heartbeat.table.clone();
        let host = self.slots[self.processes[process].slot].host.clone();
        let reply = self.coordinator(process).on_heartbeat(now, heartbeat);
        self.stats.message_bytes += json_bytes(&reply);
        let cut = self.is_cut(self.processes[process].slot, self.processes[from].slot);
        let input = match reply.map(Box::new) {
            Some(reply) if !cut => Input::Replied { table, host, reply },
            _ => Input::Unreachable { table, host },
        };
        self.deliver(from, input);
    }

    fn step(&mut self, process: usize, input: Input) {
        let now = self.local_time(process);
        let coordinator = self.coordinator(process);
        let effects = coordinator.step(now, input);
        for effect in effects {
            match effect {
                Effect::Notify(event) => self.record_event(process, event),
                Effect::Write { .. } if self.slow_writes > 0 => self.delay_write(process, effect),
                effect => self.schedule(process, Job::Perform(effect), MAX_LATENCY_US),
            }
        }
    }

    /// Reports a write as failed and lets it take effect later.
    fn delay_write(&mut self, process: usize, effect: Effect) {
        self.slow_writes -= 1;
        if let Effect::Write { table, .. } = &effect {
            let outcome = Err(PlatformFailure::NoAnswer);
            let table = table.clone();
            self.deliver(process, Input::Written { table, outcome });
        }
        self.schedule(process, Job::Perform(effect), MAX_SLOW_WRITE_US);
    }

    fn record_event(&mut self, process: usize, event: PartitionEvent) {
        if let PartitionEvent::Gained {
            data_centre,
            partition,
            epoch,
        } = &event
        {
            let key = (data_centre.clone(), *partition, *epoch);
            let first = *self.gained.entry(key).or_insert(process);
            assert_eq!(first, process, "two processes gained the same epoch");
        }
        self.schedule(process, Job::Confirm(event), MAX_LATENCY_US);
    }

    fn confirm(&mut self, process: usize, event: &PartitionEvent) {
        let coordinator = self.coordinator(process);
        match event {
            PartitionEvent::Gained {
                data_centre,
                partition,
                epoch,
            } => coordinator.mark_active(data_centre, *partition, *epoch),
            PartitionEvent::Lost {
                data_centre,
                partition,
                epoch,
                handover: true,
            } => {
                coordinator.mark_released(data_centre, *partition, *epoch);
                self.stats.handovers += 1;
            }
            PartitionEvent::Lost { .. } => self.stats.takeovers += 1,
        }
    }

    fn perform(&mut self, process: usize, effect: Effect) {
        match effect {
            Effect::Read { table } => {
                let found = self.platform.get(&table).cloned();
                let outcome = self.platform_call(process).map(|()| found);
                self.deliver(process, Input::Read { table, outcome });
            }
            Effect::List => {
                let all = self.platform.values().cloned().collect();
                let listed = self.platform_call(process).ok().map(|()| all);
                self.deliver(process, Input::Listed(listed));
            }
            Effect::Write { expect, table } => {
                let outcome = self.write(process, expect, &table);
                self.deliver(process, Input::Written { table, outcome });
            }
            Effect::Send {
                to,
                heartbeat,
                host,
            } => self.send(process, to, host, heartbeat),
            Effect::Fetch { from, request } => match self.reachable_process(process, from) {
                Some(to) => {
                    let from = process;
                    self.schedule(to, Job::Tables { from, request }, MAX_LATENCY_US);
                }
                None => self.deliver(process, Input::Fetched(None)),
            },
            Effect::Notify(_) => {}
        }
    }

    fn platform_call(&mut self, process: usize) -> Result<(), PlatformFailure> {
        self.stats.platform_calls += 1;
        let cut = self.cut_platform.contains(&self.processes[process].slot);
        if self.platform_out || cut {
            return Err(PlatformFailure::NoAnswer);
        }
        Ok(())
    }

    fn write(
        &mut self,
        process: usize,
        expect: Expect,
        table: &Table,
    ) -> Result<Written, PlatformFailure> {
        self.platform_call(process)?;
        self.stats.platform_bytes += json_bytes(table);
        let known = self.platform.get(&table.data_centre);
        let fits = match expect {
            Expect::Absent => known.is_none(),
            Expect::At(version) => known.is_some_and(|known| known.version == version),
        };
        if !fits {
            return Ok(Written::Conflict);
        }
        if let Some(known) = known {
            table.assert_follows(&known.table);
        }
        self.stats.commits += 1;
        self.newest += 1;
        let version = Version(self.newest);
        let slot = &self.slots[self.processes[process].slot];
        let foreign = slot.data_centre != table.data_centre;
        let adopts = |known: &Committed| !known.table.hosts.contains_key(&slot.host);
        if foreign && known.is_some_and(adopts) {
            self.stats.adoptions += 1;
        }
        let committed = Committed {
            version,
            table: table.clone(),
        };
        self.platform.insert(table.data_centre.clone(), committed);
        if self.lost_answers > 0 {
            self.lost_answers -= 1;
            return Err(PlatformFailure::NoAnswer);
        }
        Ok(Written::Done(version))
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.cut_hosts.contains(&(a.min(b), a.max(b)))
    }

    /// The running process at an address, if the network path is not cut.
    fn reachable_process(&self, process: usize, to: SocketAddr) -> Option<usize> {
        let from = self.processes[process].slot;
        let slot = self.slots.iter().position(|s| s.peer == to)?;
        let cut = self.is_cut(from, slot);
        let to = self.newest_process(slot);
        let runs = self.processes[to].coordinator.is_some();
        (!cut && runs).then_some(to)
    }

    fn send(&mut self, process: usize, to: SocketAddr, host: HostId, heartbeat: Box<Heartbeat>) {
        let table = heartbeat.table.clone();
        let reached = self.reachable_process(process, to);
        let frozen = reached.is_some_and(|to| self.processes[to].frozen_at.is_some());
        if reached.is_none() || frozen {
            self.deliver(process, Input::Unreachable { table, host });
        }
        self.stats.messages += 1;
        self.stats.message_bytes += json_bytes(&heartbeat);
        if let Some(to) = reached {
            let from = process;
            self.schedule(to, Job::Heartbeat { from, heartbeat }, MAX_LATENCY_US);
        }
    }

    /// Asserts that at most one process serves all calls of a partition.
    fn check_owners(&mut self) {
        let mut full = BTreeMap::new();
        for process in 0..self.processes.len() {
            let now = self.local_time(process);
            let Some(coordinator) = &self.processes[process].coordinator else {
                continue;
            };
            for own in coordinator.own_partitions() {
                let serve = coordinator.serve_mode(&own.data_centre, own.partition, now);
                self.stats.repeatable_only += u64::from(serve == ServeMode::RepeatableOnly);
                if serve != ServeMode::Full {
                    continue;
                }
                self.stats.full += 1;
                let other = full.insert((own.data_centre, own.partition), process);
                assert_eq!(
                    other, None,
                    "process {process} serves a partition together with another process"
                );
            }
        }
    }

    pub(crate) fn fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Kill(slot) => self.kill(slot),
            Fault::Restart(slot) => {
                self.kill(slot);
                self.start(slot);
            }
            Fault::StartDuplicate(slot) => self.start(slot),
            Fault::Freeze(slot) => {
                let process = self.newest_process(slot);
                let now = self.now;
                self.processes[process].frozen_at.get_or_insert(now);
            }
            Fault::Resume(slot) => self.resume(self.newest_process(slot)),
            Fault::CutHosts(a, b) => {
                self.cut_hosts.insert((a.min(b), a.max(b)));
            }
            Fault::CutPlatform(slot) => {
                self.cut_platform.insert(slot);
            }
            Fault::CutDataCentre => self.cut_data_centre(),
            Fault::HealCuts => {
                self.cut_hosts.clear();
                self.cut_platform.clear();
            }
            Fault::PlatformOut => self.platform_out = true,
            Fault::PlatformRestored => self.platform_out = false,
            Fault::LoseAnswers(n) => self.lost_answers = n,
            Fault::SlowWrites(n) => self.slow_writes = n,
            Fault::Drain(slot) => {
                let process = self.newest_process(slot);
                if self.processes[process].coordinator.is_some() {
                    self.coordinator(process).begin_drain();
                }
            }
        }
    }

    fn kill(&mut self, slot: usize) {
        for process in self.processes.iter_mut().filter(|p| p.slot == slot) {
            process.coordinator = None;
            process.backlog.clear();
        }
    }

    /// Cuts the first data centre from the platform and all other data centres.
    fn cut_data_centre(&mut self) {
        let first = self.slots[0].data_centre.clone();
        for a in 0..self.slots.len() {
            if self.slots[a].data_centre != first {
                continue;
            }
            self.cut_platform.insert(a);
            for b in 0..self.slots.len() {
                if self.slots[b].data_centre != first {
                    self.cut_hosts.insert((a.min(b), a.max(b)));
                }
            }
        }
    }

    fn resume(&mut self, process: usize) {
        let Some(at) = self.processes[process].frozen_at.take() else {
            return;
        };
        // The slowest clock runs at 85% of the true rate.
        let min_elapsed = Duration::from_micros(self.now - at).mul_f64(0.85);
        if min_elapsed > self.cfg.lease_ttl {
            self.assert_serves_nothing(process);
        }
        for job in std::mem::take(&mut self.processes[process].backlog) {
            self.schedule(process, job, MAX_LATENCY_US);
        }
    }

    fn assert_serves_nothing(&self, process: usize) {
        let now = self.local_time(process);
        let Some(coordinator) = &self.processes[process].coordinator else {
            return;
        };
        for own in coordinator.own_partitions() {
            let serve = coordinator.serve_mode(&own.data_centre, own.partition, now);
            assert_eq!(
                serve,
                ServeMode::No,
                "a resumed host serves calls before renewing its lease"
            );
        }
    }

    /// Ends all faults and restarts hosts that were killed, drained or superseded.
    pub(crate) fn heal(&mut self) {
        self.platform_out = false;
        self.lost_answers = 0;
        self.slow_writes = 0;
        self.cut_hosts.clear();
        self.cut_platform.clear();
        for process in 0..self.processes.len() {
            self.resume(process);
        }
        for slot in 0..self.slots.len() {
            if !self.is_serving(slot) {
                self.kill(slot);
                self.start(slot);
            }
        }
    }

    /// Whether the host is running and none of its processes is draining or
    /// superseded.
    fn is_serving(&self, slot: usize) -> bool {
        let of_slot = self.processes.iter().filter(|p| p.slot == slot);
        let running: Vec<_> = of_slot.filter_map(|p| p.coordinator.as_ref()).collect();
        let is_ending = |c: &&Coordinator| c.home().is_draining() || c.home().is_superseded();
        !running.is_empty() && !running.iter().any(is_ending)
    }

    /// Asserts that each partition is served by a host of its own data centre and
    /// that the hosts of a data centre hold equal shares.
    pub(crate) fn assert_settled(&self) {
        let mut loads: BTreeMap<usize, usize> = BTreeMap::new();
        for process in 0..self.processes.len() {
            let Some(coordinator) = &self.processes[process].coordinator else {
                continue;
            };
            if coordinator.home().is_superseded() {
                continue;
            }
            let now = self.local_time(process);
            let slot = self.processes[process].slot;
            loads.entry(slot).or_default();
            for own in coordinator.own_partitions() {
                let serve = coordinator.serve_mode(&own.data_centre, own.partition, now);
                assert_eq!(
                    serve,
                    ServeMode::Full,
                    "host {slot} holds {own:?} but does not serve it"
                );
                assert_eq!(own.data_centre, self.slots[slot].data_centre);
                *loads.entry(slot).or_default() += 1;
            }
        }
        let served: usize = loads.values().sum();
        let expected = self.platform.len() * usize::from(self.cfg.partitions);
        assert_eq!(served, expected, "not every partition is served");
        for (slot, load) in &loads {
            let data_centre = &self.slots[*slot].data_centre;
            let peers = loads
                .iter()
                .filter(|(other, _)| self.slots[**other].data_centre == *data_centre);
            let least = peers.map(|(_, load)| *load).min().unwrap_or_default();
            assert!(
                *load <= least + 1,
                "host {slot} holds {load} partitions, another one {least}"
            );
        }
    }
}

fn json_bytes(value: &impl Serialize) -> u64 {
    let encoded = serde_json::to_vec(value).expect("typed values serialize");
    u64::try_from(encoded.len()).expect("the length fits into u64")
}
