//! Checks whether this host's own paths lead to the endpoints.
//!
//! A host that reaches no endpoint of a service asks other hosts whether they
//! do. Only then it counts as cut off: endpoints that are down, or silent for
//! everybody, are no fault of its paths.

use std::future::Future;
use std::io::ErrorKind;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;
use jsonrpsee_core::RegisterMethodError;
use jsonrpsee_core::server::RpcModule;
use jsonrpsee_types::ErrorObjectOwned;
use parking_lot::Mutex;
use serde::Serialize;

use super::context::Cx;
use super::context::Gateway;
use super::directory::Endpoint;
use super::exchange;
use super::placing::Pool;
use crate::connection::platform::Platform;
use crate::ids::HostId;
use crate::protection::paths::Due;
use crate::protection::paths::Probed;
use crate::units::Moment;

/// Asks a host whether it reaches the endpoints of a service.
const REACHES_METHOD: &str = "gateway.reaches";
/// Number of endpoints that a check probes together.
const CHECK_PROBES: usize = 4;
/// Number of endpoints that a host probes which is cut off.
const REGAIN_PROBES: usize = 2;
/// Number of hosts that are asked together.
const ASKED_HOSTS: usize = 6;
/// Time limit of their replies: longer than that of a probe.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Age up to which this host's last contact with an endpoint answers another
/// host's question without a probe.
const CONTACT_TTL: Duration = Duration::from_millis(500);
/// Time for which a stream of a host that is cut off may be silent before it
/// goes on through another host.
pub const MAX_CUT_OFF_SILENCE: Duration = Duration::from_millis(400);
/// Interval at which the paths are looked after.
const PERIOD: Duration = Duration::from_millis(100);

#[derive(Serialize)]
struct CheckLine<'a> {
    service: &'a str,
    probed: Probed,
    endpoints: Vec<&'a str>,
    /// Time since an endpoint of the service last sent something.
    silent_ms: Option<u128>,
    /// Calls that wait for something from an endpoint.
    waiting: u32,
    asked: usize,
    /// Host that reaches the service; `None` if none of those asked does.
    reached_by: Option<&'a HostId>,
}

#[derive(Serialize)]
struct RegainedLine<'a> {
    service: &'a str,
    cut_ms: u128,
}

/// A call that waits for an endpoint on a connection of this host.
#[derive(Debug)]
pub struct PathWait(Arc<Mutex<Pool>>);

impl PathWait {
    /// Counts a call that begins to wait.
    pub fn begin(pool: Arc<Mutex<Pool>>) -> Self {
        pool.lock().path.begin_wait(Moment::now());
        Self(pool)
    }

    /// Records that the endpoint has sent something.
    pub fn record_heard(&self) {
        self.0.lock().path.record_heard(Moment::now());
    }

    /// Waits until this host has been cut off for `grace`, by a cut in which its
    /// connections are silent.
    pub async fn path_lost(&self, grace: Duration) {
        loop {
            let silent_cut = self.0.lock().path.silent_cut();
            // The channel carries no items; `recv` returns when it is closed.
            let _closed = silent_cut.recv().await;
            Timer::after(grace).await;
            if self.0.lock().path.is_cut_off() {
                return;
            }
        }
    }
}

impl Drop for PathWait {
    fn drop(&mut self) {
        self.0.lock().path.end_wait();
    }
}

/// Registers the method by which hosts ask each other.
///
/// # Errors
///
/// Returns an error if the method's name is taken.
pub fn register<P: Platform>(module: &mut RpcModule<Cx<P>>) -> Result<(), RegisterMethodError> {
    module.register_async_method(REACHES_METHOD, |params, cx, _| async move {
        let service: Box<str> = params.one()?;
        Ok::<_, ErrorObjectOwned>(reaches(&cx, &service).await)
    })?;
    Ok(())
}

/// Looks after the paths to all services until the process ends.
pub async fn run<P: Platform>(cx: Cx<P>) {
    loop {
        Timer::after(PERIOD).await;
        for (service, pool) in cx.pools.all() {
            let due = pool.lock().path.begin_due(Moment::now());
            let cx = Arc::clone(&cx);
            let spawner = cx.spawner.clone();
            match due {
                Some(Due::Check) => spawner.detach(async move {
                    check(&cx, &service).await;
                }),
                Some(Due::Probe) => spawner.detach(async move {
                    probe_again(&cx, &service, &pool).await;
                }),
                None => (),
            }
        }
    }
}

/// Checks the paths to a service, unless that was done just now. Returns
/// `false` if this host is cut off from it.
pub async fn check<P: Platform>(cx: &Gateway<P>, service: &str) -> bool {
    let Some(pool) = cx.pools.get(service) else {
        return true;
    };
    let lock = pool.lock().path.check_lock();
    let _turn = lock.lock().await;
    {
        let path = &pool.lock().path;
        if path.is_cut_off() || path.is_checked(Moment::now()) {
            return !path.is_cut_off();
        }
    }
    let targets = targets(cx, &pool, CHECK_PROBES);
    let probed = match targets.is_empty() {
        // Endpoints that are not listed tell nothing of the paths.
        true => Probed::Reached,
        false => probe(cx, &targets).await,
    };
    let (asked, reached_by) = match probed {
        Probed::Reached => (0, None),
        Probed::Refused | Probed::Silent => ask_others(cx, service).await,
    };
    let now = Moment::now();
    let mut pool = pool.lock();
    let line = CheckLine {
        service,
        probed,
        endpoints: targets.iter().map(|endpoint| &*endpoint.id).collect(),
        silent_ms: pool.path.silent_for(now).map(|silent| silent.as_millis()),
        waiting: pool.path.waiting(),
        asked,
        reached_by: reached_by.as_ref(),
    };
    if pool.path.record_check(probed, reached_by.is_some(), now) {
        pool.forgive();
        cx.metrics.paths_lost.inc();
        cx.log.state("paths-lost", &line);
    } else if probed != Probed::Reached {
        cx.log.request("paths-unclear", &line);
    }
    !pool.path.is_cut_off()
}

async fn probe_again<P: Platform>(cx: &Gateway<P>, service: &str, pool: &Mutex<Pool>) {
    let targets = targets(cx, pool, REGAIN_PROBES);
    let probed = probe(cx, &targets).await;
    let regained = {
        let mut pool = pool.lock();
        let regained = pool.path.record_probe(probed, Moment::now());
        if regained.is_some() {
            pool.forgive();
        }
        regained
    };
    if let Some(length) = regained {
        let line = RegainedLine {
            service,
            cut_ms: length.as_millis(),
        };
        cx.log.state("paths-regained", &line);
    }
}

/// Whether this host reaches the endpoints of a service by its own paths.
async fn reaches<P: Platform>(cx: &Gateway<P>, service: &str) -> bool {
    let Some(pool) = cx.pools.get(service).filter(|_| !cx.is_draining()) else {
        return false;
    };
    {
        let path = &pool.lock().path;
        if path.is_cut_off() || path.is_reached_within(CONTACT_TTL, Moment::now()) {
            return !path.is_cut_off();
        }
    }
    let targets = targets(cx, &pool, CHECK_PROBES);
    probe(cx, &targets).await == Probed::Reached
}

/// Whether this host reaches an endpoint other than the given one: of the same
/// service or, if it has no other, of any.
pub async fn reaches_another<P: Platform>(cx: &Gateway<P>, endpoint: &Endpoint) -> bool {
    let others = |pool: &Mutex<Pool>| {
        let mut targets = targets(cx, pool, CHECK_PROBES);
        targets.retain(|target| target.id != endpoint.id);
        targets
    };
    let pool = cx.pools.get(&endpoint.service);
    let mut targets = pool.map(|pool| others(&pool)).unwrap_or_default();
    if targets.is_empty() {
        let pools = cx.pools.all();
        targets = pools.iter().flat_map(|(_, pool)| others(pool)).collect();
    }
    probe(cx, &targets).await == Probed::Reached
}

fn targets<P>(cx: &Gateway<P>, pool: &Mutex<Pool>, count: usize) -> Vec<Arc<Endpoint>> {
    let local = cx.cfg.place.data_centre.as_str();
    pool.lock().probe_targets(local, count)
}

/// Opens connections to endpoints until one is open, and closes them.
async fn probe<P>(cx: &Gateway<P>, targets: &[Arc<Endpoint>]) -> Probed {
    let is_silent = AtomicBool::new(false);
    let connect = |endpoint: &Arc<Endpoint>| {
        let address = endpoint.address;
        let is_silent = &is_silent;
        async move {
            let expire = async {
                Timer::after(cx.cfg.connect_timeout).await;
                Err(ErrorKind::TimedOut.into())
            };
            let connected = future::or(TcpStream::connect(address), expire).await;
            let is_refused = |e: &std::io::Error| e.kind() == ErrorKind::ConnectionRefused;
            if connected.as_ref().is_err_and(|e| !is_refused(e)) {
                is_silent.store(true, Ordering::Relaxed);
            }
            connected.ok().map(drop)
        }
    };
    match first_result(targets.iter().map(connect)).await {
        Some(()) => Probed::Reached,
        None if is_silent.load(Ordering::Relaxed) => Probed::Silent,
        None => Probed::Refused,
    }
}

/// Asks other hosts whether they reach a service. Returns how many were asked
/// and the first that does.
async fn ask_others<P: Platform>(cx: &Gateway<P>, service: &str) -> (usize, Option<HostId>) {
    let mut others = cx.roster.lock().other_hosts(Moment::now());
    others.truncate(ASKED_HOSTS);
    let ask = |peer| async move {
        let reply = exchange::call_peer_within::<_, _, bool>(
            cx,
            peer,
            REACHES_METHOD,
            &service,
            ASK_TIMEOUT,
        );
        reply.await?.then(|| peer.host.clone())
    };
    let reached_by = first_result(others.iter().map(ask)).await;
    (others.len(), reached_by)
}

/// Runs futures together until one of them returns a value, and drops the
/// others.
async fn first_result<T, F>(futures: impl Iterator<Item = F>) -> Option<T>
where
    F: Future<Output = Option<T>>,
{
    let mut pending: Vec<Pin<Box<F>>> = futures.map(Box::pin).collect();
    future::poll_fn(|cx| {
        let mut first = None;
        pending.retain_mut(|f| {
            if first.is_some() {
                return false;
            }
            match f.as_mut().poll(cx) {
                Poll::Ready(result) => {
                    first = result;
                    false
                }
                Poll::Pending => true,
            }
        });
        match first.is_some() || pending.is_empty() {
            true => Poll::Ready(first.take()),
            false => Poll::Pending,
        }
    })
    .await
}
