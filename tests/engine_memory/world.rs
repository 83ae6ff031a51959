//! Simulation of owners, reviewers and engines in virtual time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use chicoryarch::ids::CustomerId;
use chicoryarch::ids::EndpointId;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Partition;
use chicoryarch::ids::ProgramId;
use chicoryarch::units::Moment;
use chicoryarch::version::engine_memory::CacheHandle;
use chicoryarch::version::engine_memory::CacheLocations;
use chicoryarch::version::engine_memory::CacheStatus;
use chicoryarch::version::engine_memory::EngineRelease;
use chicoryarch::version::engine_memory::OwnerState;
use chicoryarch::version::engine_memory::ProgramState;
use chicoryarch::version::engine_memory::ProgramStatus;
use chicoryarch::version::engine_memory::ReleaseRequest;
use chicoryarch::version::engine_memory::Review;

pub(crate) const PARTITIONS: usize = 2;
pub(crate) const ENGINES: usize = 2;
/// Hosts that review the same engine, as happens when their membership views
/// differ.
pub(crate) const REVIEWERS: usize = 2;
pub(crate) const MAX_KEPT_LISTS: usize = 4;
const GRACE: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_millis(500);

/// Delivery of a release request and its response.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Delivery {
    Arrives,
    ResponseLost,
    Lost,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    Advance {
        ms: u64,
    },
    Call {
        program: usize,
        engine: usize,
    },
    Confirm {
        engine: usize,
        reviewer: usize,
    },
    Deliver {
        request: usize,
        delivery: Delivery,
    },
    End {
        program: usize,
        event_lost: bool,
    },
    Finish {
        call: usize,
    },
    List {
        engine: usize,
        reviewer: usize,
        lag: usize,
        gaps: u64,
    },
    Open {
        partition: usize,
    },
    Reset {
        engine: usize,
        reviewer: usize,
    },
    Serve {
        partition: usize,
        serves: bool,
    },
    Sweep {
        partition: usize,
    },
    TakeOver {
        partition: usize,
    },
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) unknown_statuses: u64,
    pub(crate) owner_releases: u64,
    pub(crate) rejected: u64,
    pub(crate) reviewer_releases: u64,
    pub(crate) takeovers: u64,
    pub(crate) uncached_calls: u64,
}

struct Owner {
    epoch: Epoch,
    serves: bool,
    locations: CacheLocations,
}

struct Program {
    id: ProgramId,
    partition: usize,
    ended: bool,
    busy: bool,
    event_lost: bool,
}

struct Engine {
    cache: BTreeSet<CacheHandle>,
    checks_fence: bool,
    highest_fence: [Epoch; PARTITIONS],
    lists: VecDeque<BTreeSet<CacheHandle>>,
    last_use: BTreeMap<CacheHandle, u64>,
}

struct Call {
    program: usize,
    engine: usize,
    handle: CacheHandle,
    cached: bool,
}

struct SentRequest {
    engine: usize,
    request: ReleaseRequest,
    owner: Option<Epoch>,
    sent_at: u64,
}

pub(crate) struct World {
    now: Moment,
    sequence: u64,
    owners: Vec<Owner>,
    programs: Vec<Program>,
    engines: Vec<Engine>,
    reviews: Vec<[Review; REVIEWERS]>,
    calls: Vec<Call>,
    requests: Vec<SentRequest>,
    pub(crate) totals: Totals,
}

fn endpoint(engine: usize) -> EndpointId {
    format!("engine-{engine}").parse().expect("a valid name")
}

impl World {
    pub(crate) fn new(checks_fence: bool) -> Self {
        let owner = || Owner {
            epoch: Epoch(1),
            serves: true,
            locations: CacheLocations::default(),
        };
        let engine = || Engine {
            cache: BTreeSet::new(),
            checks_fence,
            highest_fence: [Epoch(0); PARTITIONS],
            lists: VecDeque::new(),
            last_use: BTreeMap::new(),
        };
        Self {
            now: Moment::default(),
            sequence: 0,
            owners: (0..PARTITIONS).map(|_| owner()).collect(),
            programs: Vec::new(),
            engines: (0..ENGINES).map(|_| engine()).collect(),
            reviews: (0..ENGINES).map(|_| Default::default()).collect(),
            calls: Vec::new(),
            requests: Vec::new(),
            totals: Totals::default(),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        self.sequence += 1;
        match step {
            Step::Advance { ms } => self.now += Duration::from_millis(ms),
            Step::Call { program, engine } => self.call(program, engine),
            Step::Confirm { engine, reviewer } => self.confirm(engine, reviewer),
            Step::Deliver { request, delivery } => self.deliver(request, delivery),
            Step::End {
                program,
                event_lost,
            } => self.end(program, event_lost),
            Step::Finish { call } => self.finish(call),
            Step::List {
                engine,
                reviewer,
                lag,
                gaps,
            } => self.list(engine, reviewer, lag, gaps),
            Step::Open { partition } => self.open(partition),
            Step::Reset { engine, reviewer } => self.reviews[engine][reviewer] = Review::default(),
            Step::Serve { partition, serves } => self.owners[partition].serves = serves,
            Step::Sweep { partition } => self.sweep(partition),
            Step::TakeOver { partition } => self.take_over(partition),
        }
        for engine in &mut self.engines {
            engine.lists.push_front(engine.cache.clone());
            engine.lists.truncate(MAX_KEPT_LISTS);
        }
    }

    fn open(&mut self, partition: usize) {
        let id = ProgramId {
            data_centre: "north".parse().expect("a valid name"),
            partition: Partition(u16::try_from(partition).expect("few partitions")),
            random: self.sequence,
        };
        self.programs.push(Program {
            id,
            partition,
            ended: false,
            busy: false,
            event_lost: false,
        });
    }

    fn handle(&self, program: &Program) -> CacheHandle {
        CacheHandle {
            customer: CustomerId::open().clone(),
            program: program.id.clone(),
            epoch: self.owners[program.partition].epoch,
        }
    }

    fn call(&mut self, program: usize, engine: usize) {
        let index = program % self.programs.len().max(1);
        let Some(program) = self.programs.get(index) else {
            return;
        };
        let handle = self.handle(program);
        let owner = &mut self.owners[program.partition];
        if program.ended || program.busy || !owner.serves {
            return;
        }
        let cached = owner
            .locations
            .record_dispatch(self.now, &handle, &endpoint(engine));
        if cached {
            self.engines[engine]
                .last_use
                .insert(handle.clone(), self.sequence);
        } else {
            self.totals.uncached_calls += 1;
        }
        self.programs[index].busy = true;
        self.calls.push(Call {
            program: index,
            engine,
            handle,
            cached,
        });
    }

    fn finish(&mut self, call: usize) {
        if self.calls.is_empty() {
            return;
        }
        let call = self.calls.swap_remove(call % self.calls.len());
        let partition = self.programs[call.program].partition;
        let accepted = self.engines[call.engine].check_fence(partition, call.handle.epoch);
        if accepted && call.cached {
            self.engines[call.engine].cache.insert(call.handle.clone());
        }
        if call.handle.epoch == self.owners[partition].epoch {
            self.programs[call.program].busy = false;
            self.report_end(call.program);
        }
    }

    fn end(&mut self, program: usize, event_lost: bool) {
        if self.programs.is_empty() {
            return;
        }
        let index = program % self.programs.len();
        let program = &mut self.programs[index];
        if !program.ended && self.owners[program.partition].serves {
            program.ended = true;
            program.event_lost = event_lost;
            self.report_end(index);
        }
    }

    fn report_end(&mut self, index: usize) {
        let program = &self.programs[index];
        if !program.ended || program.busy || program.event_lost {
            return;
        }
        let handle = self.handle(program);
        let releases = self.owners[program.partition]
            .locations
            .remove_ended(&handle);
        self.send_releases(releases);
    }

    fn take_over(&mut self, partition: usize) {
        let owner = &mut self.owners[partition];
        owner.epoch = owner.epoch.next();
        owner.locations = CacheLocations::default();
        owner.serves = true;
        for program in self
            .programs
            .iter_mut()
            .filter(|p| p.partition == partition)
        {
            program.busy = false;
        }
        self.totals.takeovers += 1;
    }

    fn owner_state(&self, handle: &CacheHandle) -> OwnerState {
        let owner = &self.owners[usize::from(handle.program.partition.0)];
        let program = self.programs.iter().find(|p| p.id == handle.program);
        OwnerState {
            serving_epoch: owner.serves.then_some(owner.epoch),
            program: program.map(|p| ProgramState {
                customer: handle.customer.clone(),
                ended: p.ended,
                busy: p.busy,
            }),
        }
    }

    /// Whether a call may still use the handle.
    fn is_live(&self, handle: &CacheHandle) -> bool {
        let owner = &self.owners[usize::from(handle.program.partition.0)];
        let program = self.programs.iter().find(|p| p.id == handle.program);
        owner.epoch == handle.epoch && program.is_some_and(|p| !p.ended || p.busy)
    }

    fn sweep(&mut self, partition: usize) {
        let mut locations = std::mem::take(&mut self.owners[partition].locations);
        let releases = locations.sweep(self.now, IDLE, |handle| {
            ProgramStatus::of(&self.owner_state(handle), handle)
        });
        self.owners[partition].locations = locations;
        assert!(
            releases.is_empty() || self.owners[partition].serves,
            "invariant: nothing is released while its owner cannot be queried"
        );
        self.send_releases(releases);
    }

    fn send_releases(&mut self, releases: Vec<EngineRelease>) {
        for release in releases {
            let number = release.endpoint.as_str().strip_prefix("engine-");
            self.totals.owner_releases += 1;
            self.requests.push(SentRequest {
                engine: number.and_then(|n| n.parse().ok()).expect("an engine"),
                owner: Some(release.request.handle.epoch),
                request: release.request,
                sent_at: self.sequence,
            });
        }
    }

    fn list(&mut self, engine: usize, reviewer: usize, lag: usize, gaps: u64) {
        let lists = &self.engines[engine].lists;
        let list = lists.get(lag.min(lists.len().saturating_sub(1)));
        let list = list.cloned().unwrap_or_default().into_iter().enumerate();
        let shown = list.filter(|(index, _)| gaps >> (index % 64) & 1 == 0);
        let listed: BTreeSet<CacheHandle> = shown.map(|(_, handle)| handle).collect();
        self.reviews[engine][reviewer].retain_listed(&listed);
        for handle in listed {
            let status = self.owner_state(&handle).cache_status(&handle);
            self.totals.unknown_statuses += u64::from(status == CacheStatus::Unknown);
            self.reviews[engine][reviewer].record_status(self.now, &handle, status);
        }
    }

    fn confirm(&mut self, engine: usize, reviewer: usize) {
        for handle in self.reviews[engine][reviewer].due_caches(self.now, GRACE) {
            let status = self.owner_state(&handle).cache_status(&handle);
            let review = &mut self.reviews[engine][reviewer];
            let Some(request) = review.confirm_release(self.now, GRACE, &handle, status) else {
                continue;
            };
            let owner = &self.owners[usize::from(handle.program.partition.0)];
            assert!(
                owner.serves && request.fence == owner.epoch,
                "invariant: nothing is released while its owner cannot be queried"
            );
            self.totals.reviewer_releases += 1;
            self.requests.push(SentRequest {
                engine,
                request,
                owner: None,
                sent_at: self.sequence,
            });
        }
    }

    fn deliver(&mut self, request: usize, delivery: Delivery) {
        if self.requests.is_empty() {
            return;
        }
        let sent = self.requests.swap_remove(request % self.requests.len());
        let arrives = !matches!(delivery, Delivery::Lost);
        let accepted = arrives && self.release(&sent);
        let released = accepted && matches!(delivery, Delivery::Arrives);
        let owner = &mut self.owners[usize::from(sent.request.handle.program.partition.0)];
        if sent.owner == Some(owner.epoch) {
            let release = EngineRelease {
                endpoint: endpoint(sent.engine),
                request: sent.request,
            };
            owner.locations.record_outcome(&release, released);
        }
    }

    fn release(&mut self, sent: &SentRequest) -> bool {
        let handle = &sent.request.handle;
        let last_use = self.engines[sent.engine].last_use.get(handle).copied();
        if self.is_live(handle) {
            assert!(
                sent.owner.is_some() && last_use.unwrap_or_default() <= sent.sent_at,
                "invariant: no live handle is released"
            );
        }
        let is_user =
            |call: &Call| call.cached && call.engine == sent.engine && call.handle == *handle;
        assert!(
            !self.is_live(handle) || !self.calls.iter().any(is_user),
            "invariant: no handle of a running call is released"
        );
        let engine = &mut self.engines[sent.engine];
        let partition = usize::from(handle.program.partition.0);
        let accepted = engine.check_fence(partition, sent.request.fence);
        if accepted {
            engine.cache.remove(handle);
        } else {
            self.totals.rejected += 1;
        }
        accepted
    }

    /// Stops all faults and checks that every unused cache is released.
    pub(crate) fn settle(&mut self) {
        for partition in 0..PARTITIONS {
            self.apply(Step::Serve {
                partition,
                serves: true,
            });
        }
        while !self.calls.is_empty() {
            self.apply(Step::Finish { call: 0 });
        }
        for _ in 0..4 {
            self.fault_free_round();
        }
        for engine in &self.engines {
            let unused = engine.cache.iter().find(|handle| !self.is_live(handle));
            assert_eq!(
                unused, None,
                "invariant: unused caches are released in the end"
            );
        }
        self.apply(Step::Advance { ms: 1000 });
        self.fault_free_round();
        let held = self.engines.iter().map(|engine| engine.cache.len());
        assert_eq!(
            held.sum::<usize>(),
            0,
            "invariant: idle caches are released"
        );
    }

    fn fault_free_round(&mut self) {
        for partition in 0..PARTITIONS {
            self.apply(Step::Sweep { partition });
        }
        for engine in 0..ENGINES {
            for reviewer in 0..REVIEWERS {
                self.apply(Step::List {
                    engine,
                    reviewer,
                    lag: 0,
                    gaps: 0,
                });
                self.apply(Step::Confirm { engine, reviewer });
            }
        }
        while !self.requests.is_empty() {
            self.apply(Step::Deliver {
                request: 0,
                delivery: Delivery::Arrives,
            });
        }
        self.apply(Step::Advance { ms: 100 });
    }
}

impl Engine {
    fn check_fence(&mut self, partition: usize, fence: Epoch) -> bool {
        let highest = &mut self.highest_fence[partition];
        let accepted = !self.checks_fence || fence >= *highest;
        *highest = fence.max(*highest);
        accepted
    }
}
