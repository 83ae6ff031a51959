//! Owners, stewards and engines as plain values in virtual time.

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
use chicoryarch::version::engine_memory::Home;
use chicoryarch::version::engine_memory::HomeProgram;
use chicoryarch::version::engine_memory::Placement;
use chicoryarch::version::engine_memory::ReleaseOrder;
use chicoryarch::version::engine_memory::Review;
use chicoryarch::version::engine_memory::Standing;
use chicoryarch::version::engine_memory::Uses;
use chicoryarch::version::engine_memory::Verdict;

pub(crate) const PARTITIONS: usize = 2;
pub(crate) const ENGINES: usize = 2;
/// Hosts that review an engine at once, when their views of the table differ.
pub(crate) const STEWARDS: usize = 2;
pub(crate) const LISTS_KEPT: usize = 4;
const GRACE: Duration = Duration::from_millis(100);
const IDLE: Duration = Duration::from_millis(500);

/// What happens to a release order on its way.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Arrives,
    AnswerLost,
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
        steward: usize,
    },
    Deliver {
        order: usize,
        fate: Fate,
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
        steward: usize,
        lag: usize,
        gaps: u64,
    },
    Open {
        partition: usize,
    },
    Replace {
        engine: usize,
        steward: usize,
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
    pub(crate) kept_unknown: u64,
    pub(crate) owner_releases: u64,
    pub(crate) refused: u64,
    pub(crate) steward_releases: u64,
    pub(crate) takeovers: u64,
    pub(crate) uncached: u64,
}

struct Owner {
    epoch: Epoch,
    serves: bool,
    uses: Uses,
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
    highest: [Epoch; PARTITIONS],
    lists: VecDeque<BTreeSet<CacheHandle>>,
    last_use: BTreeMap<CacheHandle, u64>,
}

struct Call {
    program: usize,
    engine: usize,
    handle: CacheHandle,
    cached: bool,
}

struct Order {
    engine: usize,
    order: ReleaseOrder,
    owner: Option<Epoch>,
    sent: u64,
}

pub(crate) struct World {
    now: Moment,
    sequence: u64,
    owners: Vec<Owner>,
    programs: Vec<Program>,
    engines: Vec<Engine>,
    reviews: Vec<[Review; STEWARDS]>,
    calls: Vec<Call>,
    orders: Vec<Order>,
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
            uses: Uses::default(),
        };
        let engine = || Engine {
            cache: BTreeSet::new(),
            checks_fence,
            highest: [Epoch(0); PARTITIONS],
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
            orders: Vec::new(),
            totals: Totals::default(),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        self.sequence += 1;
        match step {
            Step::Advance { ms } => self.now += Duration::from_millis(ms),
            Step::Call { program, engine } => self.call(program, engine),
            Step::Confirm { engine, steward } => self.confirm(engine, steward),
            Step::Deliver { order, fate } => self.deliver(order, fate),
            Step::End {
                program,
                event_lost,
            } => self.end(program, event_lost),
            Step::Finish { call } => self.finish(call),
            Step::List {
                engine,
                steward,
                lag,
                gaps,
            } => self.list(engine, steward, lag, gaps),
            Step::Open { partition } => self.open(partition),
            Step::Replace { engine, steward } => self.reviews[engine][steward] = Review::default(),
            Step::Serve { partition, serves } => self.owners[partition].serves = serves,
            Step::Sweep { partition } => self.sweep(partition),
            Step::TakeOver { partition } => self.take_over(partition),
        }
        for engine in &mut self.engines {
            engine.lists.push_front(engine.cache.clone());
            engine.lists.truncate(LISTS_KEPT);
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
        let cached = owner.uses.dispatch(self.now, &handle, &endpoint(engine));
        if cached {
            self.engines[engine]
                .last_use
                .insert(handle.clone(), self.sequence);
        } else {
            self.totals.uncached += 1;
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
        let placements = self.owners[program.partition].uses.ended(&handle);
        self.send_placements(placements);
    }

    fn take_over(&mut self, partition: usize) {
        let owner = &mut self.owners[partition];
        owner.epoch = owner.epoch.next();
        owner.uses = Uses::default();
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

    fn home(&self, handle: &CacheHandle) -> Home {
        let owner = &self.owners[usize::from(handle.program.partition.0)];
        let program = self.programs.iter().find(|p| p.id == handle.program);
        Home {
            serves: owner.serves.then_some(owner.epoch),
            program: program.map(|p| HomeProgram {
                customer: handle.customer.clone(),
                ended: p.ended,
                busy: p.busy,
            }),
        }
    }

    /// True if a call may still use the handle.
    fn is_live(&self, handle: &CacheHandle) -> bool {
        let owner = &self.owners[usize::from(handle.program.partition.0)];
        let program = self.programs.iter().find(|p| p.id == handle.program);
        owner.epoch == handle.epoch && program.is_some_and(|p| !p.ended || p.busy)
    }

    fn sweep(&mut self, partition: usize) {
        let mut uses = std::mem::take(&mut self.owners[partition].uses);
        let placements = uses.sweep(self.now, IDLE, |handle| {
            Standing::of(&self.home(handle), handle)
        });
        self.owners[partition].uses = uses;
        assert!(
            placements.is_empty() || self.owners[partition].serves,
            "invariant: nothing is released while its home cannot be asked"
        );
        self.send_placements(placements);
    }

    fn send_placements(&mut self, placements: Vec<Placement>) {
        for placement in placements {
            let number = placement.endpoint.as_str().strip_prefix("engine-");
            self.totals.owner_releases += 1;
            self.orders.push(Order {
                engine: number.and_then(|n| n.parse().ok()).expect("an engine"),
                owner: Some(placement.order.handle.epoch),
                order: placement.order,
                sent: self.sequence,
            });
        }
    }

    fn list(&mut self, engine: usize, steward: usize, lag: usize, gaps: u64) {
        let lists = &self.engines[engine].lists;
        let list = lists.get(lag.min(lists.len().saturating_sub(1)));
        let list = list.cloned().unwrap_or_default().into_iter().enumerate();
        let shown = list.filter(|(index, _)| gaps >> (index % 64) & 1 == 0);
        let held: BTreeSet<CacheHandle> = shown.map(|(_, handle)| handle).collect();
        self.reviews[engine][steward].listed(&held);
        for handle in held {
            let verdict = self.home(&handle).judge(&handle);
            self.totals.kept_unknown += u64::from(verdict == Verdict::Unknown);
            self.reviews[engine][steward].judged(self.now, &handle, verdict);
        }
    }

    fn confirm(&mut self, engine: usize, steward: usize) {
        for handle in self.reviews[engine][steward].due(self.now, GRACE) {
            let verdict = self.home(&handle).judge(&handle);
            let review = &mut self.reviews[engine][steward];
            let Some(order) = review.confirm(self.now, GRACE, &handle, verdict) else {
                continue;
            };
            let owner = &self.owners[usize::from(handle.program.partition.0)];
            assert!(
                owner.serves && order.fence == owner.epoch,
                "invariant: nothing is released while its home cannot be asked"
            );
            self.totals.steward_releases += 1;
            self.orders.push(Order {
                engine,
                order,
                owner: None,
                sent: self.sequence,
            });
        }
    }

    fn deliver(&mut self, order: usize, fate: Fate) {
        if self.orders.is_empty() {
            return;
        }
        let sent = self.orders.swap_remove(order % self.orders.len());
        let arrives = !matches!(fate, Fate::Lost);
        let accepted = arrives && self.release(&sent);
        let released = accepted && matches!(fate, Fate::Arrives);
        let owner = &mut self.owners[usize::from(sent.order.handle.program.partition.0)];
        if sent.owner == Some(owner.epoch) {
            let placement = Placement {
                endpoint: endpoint(sent.engine),
                order: sent.order,
            };
            owner.uses.settled(&placement, released);
        }
    }

    fn release(&mut self, sent: &Order) -> bool {
        let handle = &sent.order.handle;
        let used = self.engines[sent.engine].last_use.get(handle).copied();
        if self.is_live(handle) {
            assert!(
                sent.owner.is_some() && used.unwrap_or_default() <= sent.sent,
                "invariant: no live handle is released"
            );
        }
        let uses =
            |call: &Call| call.cached && call.engine == sent.engine && call.handle == *handle;
        assert!(
            !self.is_live(handle) || !self.calls.iter().any(uses),
            "invariant: no handle of a running call is released"
        );
        let engine = &mut self.engines[sent.engine];
        let partition = usize::from(handle.program.partition.0);
        let accepted = engine.check_fence(partition, sent.order.fence);
        if accepted {
            engine.cache.remove(handle);
        } else {
            self.totals.refused += 1;
        }
        accepted
    }

    /// Ends every fault, then checks that each cache nobody uses is released.
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
            self.quiet_round();
        }
        for engine in &self.engines {
            let unused = engine.cache.iter().find(|handle| !self.is_live(handle));
            assert_eq!(
                unused, None,
                "invariant: unused caches are released in the end"
            );
        }
        self.apply(Step::Advance { ms: 1000 });
        self.quiet_round();
        let held = self.engines.iter().map(|engine| engine.cache.len());
        assert_eq!(
            held.sum::<usize>(),
            0,
            "invariant: idle caches are released"
        );
    }

    fn quiet_round(&mut self) {
        for partition in 0..PARTITIONS {
            self.apply(Step::Sweep { partition });
        }
        for engine in 0..ENGINES {
            for steward in 0..STEWARDS {
                self.apply(Step::List {
                    engine,
                    steward,
                    lag: 0,
                    gaps: 0,
                });
                self.apply(Step::Confirm { engine, steward });
            }
        }
        while !self.orders.is_empty() {
            self.apply(Step::Deliver {
                order: 0,
                fate: Fate::Arrives,
            });
        }
        self.apply(Step::Advance { ms: 100 });
    }
}

impl Engine {
    fn check_fence(&mut self, partition: usize, fence: Epoch) -> bool {
        let highest = &mut self.highest[partition];
        let accepted = !self.checks_fence || fence >= *highest;
        *highest = fence.max(*highest);
        accepted
    }
}
