//! Two hosts share the partitions of a table; one dies and the other takes
//! over.
//!
//! The coordinators run without sockets, threads or a clock: time is a value,
//! the store is a variable, and each effect is executed immediately.
//!
//! ```text
//! cargo run --example leases
//! ```

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use chicoryarch::configs::membership::MembershipConfig;
use chicoryarch::connection::platform::Expect;
use chicoryarch::connection::platform::Written;
use chicoryarch::ids::HostId;
use chicoryarch::ids::Version;
use chicoryarch::units::Moment;
use chicoryarch::version::table::Coordinator;
use chicoryarch::version::table::Effect;
use chicoryarch::version::table::Identity;
use chicoryarch::version::table::Input;
use chicoryarch::version::table::PartitionEvent;
use chicoryarch::version::table::incarnation;
use chicoryarch::version::table::message::Committed;

/// Hosts and the table that they share through conditional writes.
#[derive(Default)]
struct Fleet {
    hosts: BTreeMap<HostId, Coordinator>,
    table: Option<Committed>,
}

impl Fleet {
    fn start(&mut self, name: &str, port: u16) {
        let identity = Identity {
            host: name.parse().expect("a valid name"),
            data_centre: "east".parse().expect("a valid name"),
            peer: SocketAddr::from(([127, 0, 0, 1], port)),
            caller: SocketAddr::from(([127, 0, 0, 1], port + 1)),
        };
        let cfg = MembershipConfig {
            partitions: 4,
            ..MembershipConfig::default()
        };
        let host = identity.host.clone();
        let start = incarnation(Duration::from_millis(1), u64::from(port));
        self.hosts
            .insert(host, Coordinator::new(identity, start, cfg));
    }

    /// Runs one heartbeat period of every host.
    fn tick(&mut self, now: Moment) {
        let names: Vec<HostId> = self.hosts.keys().cloned().collect();
        for name in names {
            let mut inputs = VecDeque::from([Input::Tick]);
            while let Some(input) = inputs.pop_front() {
                let Some(host) = self.hosts.get_mut(&name) else {
                    break;
                };
                for effect in host.step(now, input) {
                    inputs.extend(self.execute(now, &name, effect));
                }
            }
        }
    }

    fn execute(&mut self, now: Moment, name: &HostId, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Read { table } => {
                let outcome = Ok(self.table.clone());
                Some(Input::Read { table, outcome })
            }
            Effect::Write { expect, table } => {
                let current = self.table.as_ref().map_or(Version(0), |c| c.version);
                let fits = match expect {
                    Expect::Absent => current == Version(0),
                    Expect::At(version) => current == version,
                };
                if !fits {
                    let outcome = Ok(Written::Conflict);
                    return Some(Input::Written { table, outcome });
                }
                let version = current.next();
                self.table = Some(Committed {
                    version,
                    table: (*table).clone(),
                });
                let outcome = Ok(Written::Done(version));
                Some(Input::Written { table, outcome })
            }
            Effect::Send {
                host, heartbeat, ..
            } => {
                let table = heartbeat.table.clone();
                let receiver = self.hosts.get_mut(&host);
                let reply = receiver.and_then(|h| h.on_heartbeat(now, *heartbeat));
                Some(match reply.map(Box::new) {
                    Some(reply) => Input::Replied { table, host, reply },
                    None => Input::Unreachable { table, host },
                })
            }
            Effect::List | Effect::Fetch { .. } => None,
            Effect::Notify(event) => {
                println!("{:>5} s {name}: {event:?}", now.since_start().as_secs());
                self.confirm(name, &event);
                None
            }
        }
    }

    /// Confirms a change of ownership immediately. A host that serves calls
    /// first fences its journal or finishes its calls.
    fn confirm(&mut self, name: &HostId, event: &PartitionEvent) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        match event {
            PartitionEvent::Gained {
                data_centre,
                partition,
                epoch,
            } => host.mark_active(data_centre, *partition, *epoch),
            PartitionEvent::Lost {
                data_centre,
                partition,
                epoch,
                ..
            } => host.mark_released(data_centre, *partition, *epoch),
        }
    }
}

fn main() {
    let mut fleet = Fleet::default();
    fleet.start("a", 7000);
    fleet.start("b", 7010);
    for second in 1..=8 {
        fleet.tick(Moment::from_start(Duration::from_secs(second)));
    }
    println!("host a dies");
    fleet.hosts.retain(|host, _| host.as_str() != "a");
    for second in 9..=18 {
        fleet.tick(Moment::from_start(Duration::from_secs(second)));
    }
}
