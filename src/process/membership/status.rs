//! Log lines for changes of this host's membership status.

use log::info;
use log::warn;

use super::counters::Counters;
use super::counters::increment;
use crate::units::Moment;
use crate::version::table::Coordinator;

/// Membership status of this host in its own table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Status {
    leased: bool,
    degraded: bool,
    writer: bool,
    superseded: bool,
    draining: bool,
}

impl Status {
    pub(super) fn of(coordinator: &Coordinator, now: Moment) -> Self {
        let home = coordinator.home();
        Self {
            leased: home.lease_until().is_some_and(|until| now < until),
            degraded: home.is_degraded(now),
            writer: home.is_writer(),
            superseded: home.is_superseded(),
            draining: home.is_draining(),
        }
    }

    /// Sets the status and logs the changes.
    pub(super) fn update(&mut self, next: Self, counters: &Counters) {
        if self.leased && !next.leased {
            increment(&counters.leases_lapsed);
            warn!("membership: lease of this host expired");
        }
        if !self.leased && next.leased {
            info!("membership: lease of this host acquired");
        }
        if self.degraded != next.degraded {
            warn!(
                "membership: platform out, so only repeatable calls are served: {}",
                next.degraded
            );
        }
        if self.writer != next.writer {
            info!(
                "membership: this host writes the membership table: {}",
                next.writer
            );
        }
        if self.draining != next.draining {
            info!("membership: this host is draining: {}", next.draining);
        }
        if self.superseded != next.superseded {
            warn!("membership: another process uses this host name; serving no calls");
        }
        *self = next;
    }
}
