//! Executes the effects of the membership coordinator.

use std::future::Future;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use async_channel::Receiver;
use async_io::Timer;
use chicoryarch_net::Spawner;
use futures_lite::future;
use log::warn;

use super::counters::increment;
use super::handle::Membership;
use super::rpc::HEARTBEAT_METHOD;
use super::rpc::TABLES_METHOD;
use crate::configs::membership::MembershipConfig;
use crate::connection::peer::Peers;
use crate::connection::platform;
use crate::connection::platform::Object;
use crate::connection::platform::Platform;
use crate::connection::platform::PlatformError;
use crate::connection::platform::Written;
use crate::ids::Incarnation;
use crate::process::timers::Timers;
use crate::version::table::Coordinator;
use crate::version::table::Effect;
use crate::version::table::Identity;
use crate::version::table::Input;
use crate::version::table::PartitionEvent;
use crate::version::table::PlatformFailure;
use crate::version::table::Table;
use crate::version::table::incarnation;
use crate::version::table::message::Committed;
use crate::version::table::rows::TABLE_KIND;

/// Platform calls time out after the lease's time to live divided by this.
const CALL_TIMEOUT_DIVISOR: u32 = 2;

/// Starts heartbeats. Returns the handle and the receiver of this host's
/// partition events.
pub fn start<P: Platform, Q: Peers>(
    identity: Identity,
    cfg: &MembershipConfig,
    platform: P,
    peers: Q,
    timers: Timers,
    spawner: &Spawner,
) -> (Membership, Receiver<PartitionEvent>) {
    let (tx, rx) = async_channel::unbounded();
    let coordinator = Coordinator::new(identity, generate_incarnation(), cfg.clone());
    let membership = Membership::new(coordinator, tx);
    let driver = Driver {
        membership: membership.clone(),
        platform,
        peers,
        spawner: spawner.clone(),
        call_timeout: cfg.lease_ttl / CALL_TIMEOUT_DIVISOR,
    };
    spawner.detach(driver.run(timers, cfg.heartbeat_period));
    (membership, rx)
}

fn generate_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    incarnation(since_epoch.unwrap_or_default(), rand::random())
}

#[derive(Clone, Debug)]
struct Driver<P, Q> {
    membership: Membership,
    platform: P,
    peers: Q,
    spawner: Spawner,
    call_timeout: Duration,
}

impl<P: Platform, Q: Peers> Driver<P, Q> {
    async fn run(self, timers: Timers, period: Duration) {
        let ticks = timers.subscribe(period).await;
        loop {
            self.handle(Input::Tick);
            let ticked = async { ticks.recv().await.is_ok() };
            let stopped = async {
                self.membership.wait_until_stopped().await;
                false
            };
            if !future::or(ticked, stopped).await {
                return;
            }
        }
    }

    /// Processes an input and spawns the execution of each effect.
    fn handle(&self, input: Input) {
        for effect in self.membership.step(input) {
            let driver = self.clone();
            self.spawner.detach(driver.execute(effect));
        }
    }

    /// Executes an effect and all effects that follow from its outcome.
    async fn execute(self, effect: Effect) {
        let mut effects = vec![effect];
        while let Some(effect) = effects.pop() {
            let Some(input) = self.perform(effect).await else {
                continue;
            };
            if self.membership.is_stopped() {
                return;
            }
            effects.extend(self.membership.step(input));
        }
    }

    async fn perform(&self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Read { table } => {
                let outcome = self.read(table.as_str()).await;
                Some(Input::Read { table, outcome })
            }
            Effect::Write { expect, table } => {
                let outcome = self.write(expect, &table).await;
                Some(Input::Written { table, outcome })
            }
            Effect::Send {
                host,
                to,
                heartbeat,
            } => {
                increment(&self.membership.counters().heartbeats_sent);
                let table = heartbeat.table.clone();
                match self.peers.call(to, HEARTBEAT_METHOD, &*heartbeat).await {
                    Ok(reply) => Some(Input::Replied { table, host, reply }),
                    Err(_) => {
                        increment(&self.membership.counters().heartbeats_unanswered);
                        Some(Input::Unreachable { table, host })
                    }
                }
            }
            Effect::List => Some(Input::Listed(self.list().await)),
            Effect::Fetch { from, request } => {
                let reply = self.peers.call(from, TABLES_METHOD, &request).await;
                Some(Input::Fetched(reply.ok()))
            }
            // `Membership::step` has already published partition events.
            Effect::Notify(_) => None,
        }
    }

    async fn read(&self, name: &str) -> Result<Option<Committed>, PlatformFailure> {
        increment(&self.membership.counters().table_reads);
        let read = platform::read_value::<Table>(&self.platform, TABLE_KIND, name);
        let found = self.with_timeout(read).await?;
        Ok(found.map(|(version, table)| Committed { version, table }))
    }

    async fn write(
        &self,
        expect: platform::Expect,
        table: &Table,
    ) -> Result<Written, PlatformFailure> {
        let counters = self.membership.counters();
        increment(&counters.table_writes);
        let name = table.data_centre.as_str();
        let write = platform::write_value(&self.platform, TABLE_KIND, name, expect, table);
        let written = self.with_timeout(write).await?;
        if written == Written::Conflict {
            increment(&counters.table_conflicts);
        }
        Ok(written)
    }

    async fn list(&self) -> Option<Vec<Committed>> {
        increment(&self.membership.counters().table_lists);
        let list = self.platform.list(TABLE_KIND, "");
        let changes = self.with_timeout(list).await.ok()?;
        Some(changes.objects.iter().filter_map(decode).collect())
    }

    async fn with_timeout<T>(
        &self,
        call: impl Future<Output = platform::Result<T>>,
    ) -> Result<T, PlatformFailure> {
        let timeout = async {
            Timer::after(self.call_timeout).await;
            Err(PlatformError::UnknownOutcome)
        };
        let failed = |_| {
            increment(&self.membership.counters().platform_failures);
            PlatformFailure::NoAnswer
        };
        future::or(call, timeout).await.map_err(failed)
    }
}

fn decode(object: &Object) -> Option<Committed> {
    match platform::decode(TABLE_KIND, object) {
        Ok(table) => Some(Committed {
            version: object.version,
            table,
        }),
        Err(e) => {
            warn!("membership: ignoring table {}: {e}", object.name);
            None
        }
    }
}
