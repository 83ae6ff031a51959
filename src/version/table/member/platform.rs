//! Reads and conditional writes of the table.

use super::Member;
use super::ReadPurpose;
use crate::connection::platform::Expect;
use crate::connection::platform::Written;
use crate::units::Moment;
use crate::version::table::effect::Effect;
use crate::version::table::effect::PlatformFailure;
use crate::version::table::message::Committed;
use crate::version::table::outage::PlatformView;
use crate::version::table::rows::Table;
use crate::version::table::update::UpdateContext;
use crate::version::table::update::row_from_heartbeat;

impl Member {
    pub(super) fn read(&mut self, purpose: ReadPurpose) -> Vec<Effect> {
        if self.call_in_flight {
            return Vec::new();
        }
        self.call_in_flight = true;
        self.read_purpose = Some(purpose);
        vec![Effect::Read {
            table: self.table.clone(),
        }]
    }

    pub(super) fn write(&mut self, now: Moment) -> Vec<Effect> {
        self.is_writer = true;
        if self.call_in_flight {
            return Vec::new();
        }
        if !self.is_newest {
            return self.read(ReadPurpose::Write);
        }
        let Some(committed) = &self.committed else {
            return Vec::new();
        };
        let expect = Expect::At(committed.version);
        let table = Box::new(self.next_table(now, &committed.table));
        self.call_in_flight = true;
        vec![Effect::Write { expect, table }]
    }

    fn next_table(&self, now: Moment, base: &Table) -> Table {
        let mut heartbeats = self.heartbeats.clone();
        heartbeats.insert(self.identity.host.clone(), self.heartbeat());
        let context = UpdateContext {
            now,
            cfg: &self.cfg,
            observations: &self.observations,
            heartbeats: &heartbeats,
        };
        context.next_table(base)
    }

    fn bootstrap(&mut self) -> Vec<Effect> {
        self.call_in_flight = true;
        self.is_writer = true;
        let row = row_from_heartbeat(&self.heartbeat());
        let host = self.identity.host.clone();
        let table = Box::new(Table::bootstrap(host, row, self.cfg.partitions));
        let expect = Expect::Absent;
        vec![Effect::Write { expect, table }]
    }

    /// Handles the outcome of a read.
    pub fn on_read(
        &mut self,
        now: Moment,
        outcome: Result<Option<Committed>, PlatformFailure>,
    ) -> Vec<Effect> {
        self.call_in_flight = false;
        let purpose = self.read_purpose.take();
        let Ok(found) = outcome else {
            self.record_platform(now, PlatformView::Out);
            return Vec::new();
        };
        self.record_platform(now, PlatformView::Reachable);
        let Some(committed) = found else {
            return self.on_missing_table();
        };
        let mut effects = self.on_committed(now, committed);
        self.is_newest = true;
        match purpose {
            None => {}
            Some(ReadPurpose::Join) => effects.extend(self.send_or_write(now)),
            Some(ReadPurpose::Write) => effects.extend(self.write(now)),
            Some(ReadPurpose::Probe(host)) => {
                self.suspect(now, host);
                effects.extend(self.send_or_write(now));
            }
        }
        effects
    }

    fn on_missing_table(&mut self) -> Vec<Effect> {
        let is_home = self.identity.data_centre == self.table;
        // A table that has disappeared is never recreated, because its epochs
        // would restart below those already used.
        if is_home && self.committed.is_none() {
            self.bootstrap()
        } else {
            Vec::new()
        }
    }

    /// Handles the outcome of a write.
    pub fn on_written(
        &mut self,
        now: Moment,
        table: Table,
        outcome: Result<Written, PlatformFailure>,
    ) -> Vec<Effect> {
        self.call_in_flight = false;
        match outcome {
            Ok(Written::Done(version)) => {
                self.record_platform(now, PlatformView::Reachable);
                self.incarnation_committed = true;
                let effects = self.on_committed(now, Committed { version, table });
                self.is_newest = true;
                self.drop_committed_heartbeats();
                effects
            }
            Ok(Written::Conflict) => {
                self.record_platform(now, PlatformView::Reachable);
                self.is_newest = false;
                if self.retried {
                    return Vec::new();
                }
                self.retried = true;
                let purpose = match self.committed {
                    Some(_) => ReadPurpose::Write,
                    None => ReadPurpose::Join,
                };
                self.read(purpose)
            }
            Err(PlatformFailure::NoAnswer) => {
                self.record_platform(now, PlatformView::Out);
                Vec::new()
            }
        }
    }

    fn record_platform(&mut self, now: Moment, view: PlatformView) {
        self.platform = view;
        self.platform_seen_at = now;
        self.is_newest &= view != PlatformView::Out;
    }

    fn drop_committed_heartbeats(&mut self) {
        let Some(committed) = &self.committed else {
            return;
        };
        let hosts = &committed.table.hosts;
        self.heartbeats.retain(|host, heartbeat| {
            let position = (heartbeat.incarnation, heartbeat.sequence);
            hosts
                .get(host)
                .is_some_and(|row| (row.incarnation, row.sequence) < position)
        });
    }
}
