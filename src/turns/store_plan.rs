//! Which archive hosts are sent a record, in which form, until enough have it.

use std::sync::Arc;
use std::time::Duration;

use super::placement;
use super::placement::ArchiveHost;
use super::placement::Demand;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::units::Moment;

/// Rate at which a record arrives at least, in bytes a second. Links of entry hosts
/// carry 2.75 MB/s or more, which several copies share.
const MIN_BYTES_PER_S: usize = 1_000_000;

/// What a record holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// The text of the turn alone, for a host that has the turn before it.
    Last,
    /// The text of the whole chain.
    Whole,
}

/// A record that is to be sent to a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Index of the host.
    pub host: usize,
    /// What the record holds.
    pub form: Form,
    /// Hosts that the record names as its holders.
    pub holders: Vec<HostId>,
}

/// How fit a host is to store records.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fitness {
    /// It answers and has room.
    Sound,
    /// It did not answer, or had no room, of late. It is used if no other is left.
    Doubtful,
    /// It stores no records.
    Unfit,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// Sent; must be answered by this moment.
    Sent(Moment),
    /// Replaced since it did not answer in time; it may still do so.
    Late,
    Stored,
    Failed,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    host: usize,
    form: Form,
    progress: Progress,
}

impl Holder {
    /// Whether it has the record, or is expected to.
    const fn is_active(&self) -> bool {
        matches!(self.progress, Progress::Sent(_) | Progress::Stored)
    }
}

/// The hosts that store one record.
#[derive(Debug)]
pub struct StorePlan {
    hosts: Arc<[ArchiveHost]>,
    order: Vec<usize>,
    demand: Demand,
    last_timeout: Duration,
    whole_timeout: Duration,
    /// Hosts that have the turn before; `None` if there is none.
    previous: Option<Vec<HostId>>,
    holders: Vec<Holder>,
    replaced: u64,
}

/// What a plan decides upon.
#[derive(Debug)]
pub struct PlanInput<'a> {
    /// Listed hosts.
    pub hosts: Arc<[ArchiveHost]>,
    /// Program whose turn is stored.
    pub program: &'a str,
    /// Own data centre.
    pub own: &'a DataCentre,
    /// Holders of the turn before; `None` for the first turn of a chain.
    pub previous: Option<&'a [HostId]>,
    /// Number of hosts that must store the record.
    pub demand: Demand,
    /// Time after which a host that has not answered is replaced, beside that to
    /// receive the record.
    pub holder_timeout: Duration,
    /// Length of the turn's own text, in bytes.
    pub last_bytes: usize,
    /// Length of the whole text, in bytes.
    pub whole_bytes: usize,
}

impl StorePlan {
    /// Creates a plan. The holders of the turn before come first if they are
    /// sound, then the others as ranked for the program.
    pub fn new(input: PlanInput<'_>, fitness: impl Fn(&ArchiveHost) -> Fitness) -> Self {
        let PlanInput {
            hosts,
            program,
            own,
            previous,
            demand,
            holder_timeout,
            last_bytes,
            whole_bytes,
        } = input;
        let mut order = placement::rank(&hosts, program, own);
        order.retain(|index| fitness(&hosts[*index]) != Fitness::Unfit);
        let held = previous.unwrap_or_default();
        // The sort is stable, so that hosts stay ranked for the program.
        order.sort_by_cached_key(|index| {
            let host = &hosts[*index];
            let position = held.iter().position(|name| *name == host.name);
            (fitness(host), position.unwrap_or(usize::MAX))
        });
        Self {
            hosts,
            order,
            demand,
            last_timeout: holder_timeout + transfer_time(last_bytes),
            whole_timeout: holder_timeout + transfer_time(whole_bytes),
            previous: previous.map(<[HostId]>::to_vec),
            holders: Vec::new(),
            replaced: 0,
        }
    }

    /// Returns a host of the plan.
    pub fn host(&self, index: usize) -> &ArchiveHost {
        &self.hosts[index]
    }

    /// Returns the records to send now: at first to as many hosts as must store
    /// it, later in place of those that failed or are late.
    pub fn due(&mut self, now: Moment) -> Vec<Assignment> {
        for holder in &mut self.holders {
            if let Progress::Sent(until) = holder.progress
                && until <= now
            {
                holder.progress = Progress::Late;
                self.replaced += 1;
            }
        }
        let mut chosen = self.active();
        let before = chosen.len();
        let order = self.unused();
        self.demand.complete(&self.hosts, &order, &mut chosen);
        let names = self.names(&chosen);
        let added = chosen[before..].to_vec();
        let assign = |host: usize| {
            let form = self.form_for(&self.hosts[host].name);
            Assignment {
                host,
                form,
                holders: names.clone(),
            }
        };
        let due: Vec<Assignment> = added.into_iter().map(assign).collect();
        for assignment in &due {
            let progress = Progress::Sent(now + self.timeout(assignment.form));
            self.holders.push(Holder {
                host: assignment.host,
                form: assignment.form,
                progress,
            });
        }
        due
    }

    /// Returns the hosts that have not answered in time.
    pub fn late(&self) -> Vec<usize> {
        let late = self.holders.iter();
        let late = late.filter(|h| h.progress == Progress::Late);
        late.map(|h| h.host).collect()
    }

    /// When a host that has not answered by then is replaced.
    pub fn next_check_at(&self) -> Option<Moment> {
        let sent = self.holders.iter().filter_map(|h| match h.progress {
            Progress::Sent(until) => Some(until),
            Progress::Late | Progress::Stored | Progress::Failed => None,
        });
        sent.min()
    }

    /// Records that a host has stored the record.
    pub fn record_stored(&mut self, host: usize) {
        self.set(host, Progress::Stored);
    }

    /// Records that a host has not and will not.
    pub fn record_failed(&mut self, host: usize) {
        let is_late = |h: &Holder| h.host == host && h.progress == Progress::Late;
        if !self.holders.iter().any(is_late) {
            self.replaced += 1;
        }
        self.set(host, Progress::Failed);
    }

    /// Records that a host lacks the turn before. Returns the record with the
    /// whole text for it; `None` if it has been sent that already, and has failed.
    pub fn record_missing(&mut self, host: usize, now: Moment) -> Option<Assignment> {
        let is_last = |h: &Holder| h.host == host && h.form == Form::Last;
        if self.previous.is_none() || !self.holders.iter().any(is_last) {
            self.record_failed(host);
            return None;
        }
        let until = now + self.timeout(Form::Whole);
        for holder in self.holders.iter_mut().filter(|h| h.host == host) {
            holder.form = Form::Whole;
            holder.progress = Progress::Sent(until);
        }
        Some(Assignment {
            host,
            form: Form::Whole,
            holders: self.names(&self.active()),
        })
    }

    /// Whether enough hosts have stored the record.
    pub fn is_done(&self) -> bool {
        self.demand.is_met(&self.hosts, &self.stored())
    }

    /// Returns the hosts that have stored the record.
    pub fn stored_by(&self) -> Vec<HostId> {
        self.names(&self.stored())
    }

    /// Number of hosts that were replaced.
    pub const fn replaced(&self) -> u64 {
        self.replaced
    }

    const fn timeout(&self, form: Form) -> Duration {
        match form {
            Form::Last => self.last_timeout,
            Form::Whole => self.whole_timeout,
        }
    }

    fn form_for(&self, host: &HostId) -> Form {
        match &self.previous {
            Some(previous) if previous.contains(host) => Form::Last,
            _ => Form::Whole,
        }
    }

    fn set(&mut self, host: usize, progress: Progress) {
        for holder in self.holders.iter_mut().filter(|h| h.host == host) {
            holder.progress = progress;
        }
    }

    fn active(&self) -> Vec<usize> {
        let active = self.holders.iter().filter(|h| h.is_active());
        active.map(|h| h.host).collect()
    }

    fn stored(&self) -> Vec<usize> {
        let stored = self.holders.iter();
        let stored = stored.filter(|h| h.progress == Progress::Stored);
        stored.map(|h| h.host).collect()
    }

    fn unused(&self) -> Vec<usize> {
        let is_used = |index: &usize| self.holders.iter().any(|h| h.host == *index);
        let order = self.order.iter().copied();
        order.filter(|index| !is_used(index)).collect()
    }

    fn names(&self, hosts: &[usize]) -> Vec<HostId> {
        let names = hosts.iter().map(|index| self.hosts[*index].name.clone());
        names.collect()
    }
}

fn transfer_time(bytes: usize) -> Duration {
    let micros = bytes.saturating_mul(1_000_000) / MIN_BYTES_PER_S;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
