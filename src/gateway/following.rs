//! Decides whether a host lists and watches objects in the platform's store
//! itself or gets them from the scouts of its data centre.

use std::time::Duration;

/// What a host knows when it decides, for one kind of objects.
#[derive(Clone, Copy, Debug)]
pub struct FollowState {
    /// Time since the process started.
    pub age: Duration,
    /// Age before which the host does not list the objects.
    pub list_delay: Duration,
    /// Age up to which the host waits for a scout's report.
    pub scout_wait: Duration,
    /// Whether it has a list of the objects.
    pub is_listed: bool,
    /// Whether it has a list of the hosts, from which the scouts follow.
    pub knows_hosts: bool,
    /// Whether any scout of its data centre is known.
    pub has_scouts: bool,
    /// Whether it is a scout itself.
    pub is_scout: bool,
    /// Whether a scout has recently reported that it reaches the store.
    pub is_reported: bool,
    /// Whether the store has answered this host since the scouts' reports
    /// ended.
    pub is_confirmed: bool,
}

impl FollowState {
    /// Whether the host calls the store.
    ///
    /// Each host lists the objects once, so that it can serve soon after its
    /// start. After that, scouts watch for the others. If every host watched
    /// until it heard from a scout, a start of the whole fleet would report each
    /// new host to all hosts. When the scouts' reports end, the host first probes
    /// the store, which is likely to be down.
    pub fn calls_store(&self) -> bool {
        if !self.is_listed {
            return self.age >= self.list_delay;
        }
        let is_waiting = self.age < self.scout_wait;
        if !self.knows_hosts && is_waiting {
            return false;
        }
        let follows_scouts = self.has_scouts && (self.is_reported || is_waiting);
        self.is_scout || (!follows_scouts && self.is_confirmed)
    }
}
