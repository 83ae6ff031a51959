//! The driver of the rate limiter, with peers in the same process.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use chicoryarch_net::Spawner;
use jsonrpsee_core::server::RpcModule;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::connection::peer::PeerError;
use chicoryarch::connection::peer::Peers;
use chicoryarch::connection::peer::Result;
use chicoryarch::ids::CustomerId;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Version;
use chicoryarch::process::rates::RateLimiter;
use chicoryarch::process::rates::register;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::request::outcome::Ran;
use chicoryarch::request::outcome::Reason;
use chicoryarch::units::Moment;
use chicoryarch::version::objects::Customer;

/// Length of the hosts' leases, beyond the duration of any test.
const LEASE_TTL: Duration = Duration::from_secs(60);

/// Peers that call each other's modules directly. A missing module is an
/// unreachable host.
#[derive(Clone, Default)]
struct LocalPeers {
    modules: Arc<Mutex<HashMap<SocketAddr, RpcModule<()>>>>,
}

impl Peers for LocalPeers {
    fn call<P, R>(
        &self,
        to: SocketAddr,
        method: &'static str,
        params: &P,
    ) -> impl Future<Output = Result<R>> + Send
    where
        P: Serialize + Sync,
        R: DeserializeOwned + Send,
    {
        let request = json!({"jsonrpc": "2.0", "id": 1, "method": method, "params": [params]});
        let module = self.modules.lock().get(&to).cloned();
        async move {
            let unreachable = || PeerError::Unreachable("no such host".to_owned());
            let module = module.ok_or_else(unreachable)?;
            let sent = module.raw_json_request(&request.to_string(), 1).await;
            let (response, _) = sent.expect("a valid request");
            let response: Value = serde_json::from_str(response.get()).expect("a valid answer");
            let result = response["result"].clone();
            serde_json::from_value(result).map_err(|e| PeerError::Malformed(e.to_string()))
        }
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index + 1))
}

fn view(index: u16) -> View {
    let member = |index: u16| Member {
        host: format!("host-{index}").parse().expect("name"),
        address: address(index),
        alive: true,
        slot: None,
    };
    let name = |centre: u16| format!("dc-{centre}").parse().expect("name");
    View {
        host: member(index).host,
        data_centre: name(index),
        epoch: Epoch(1),
        members: BTreeMap::from([(name(0), vec![member(0)]), (name(1), vec![member(1)])]),
        lease_until: Some(Moment::now() + LEASE_TTL),
        settled_at: Moment::now(),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}

fn cfg() -> LimitConfig {
    LimitConfig {
        token_ttl: Duration::from_millis(100),
        idle_return: Duration::from_millis(100),
        ..LimitConfig::default()
    }
}

/// Starts two data centres of one host each, which share a burst of 20 tokens.
fn two_hosts() -> (LocalPeers, Vec<RateLimiter<LocalPeers>>, CustomerId) {
    let peers = LocalPeers::default();
    let spawner = Spawner::start(2);
    let customer: CustomerId = "choir".parse().expect("name");
    let limits = Customer {
        rate: 40.0,
        burst: 20.0,
        ..Customer::default()
    };
    let start = |index: u16| {
        let rates = RateLimiter::new(cfg(), view(index), peers.clone(), spawner.clone());
        rates.apply(&customer, Version(1), &limits);
        let mut module = RpcModule::new(());
        register(&mut module, rates.clone()).expect("a free method name");
        peers.modules.lock().insert(address(index), module);
        rates
    };
    let rates = vec![start(0), start(1)];
    (peers, rates, customer)
}

async fn wait_until_filled(rates: &RateLimiter<LocalPeers>) {
    while rates.rows()[0].summary.tokens < 10.0 {
        Timer::after(Duration::from_millis(5)).await;
    }
}

#[test]
fn calls_at_one_host_borrow_tokens_from_the_other_data_centre() {
    let (_peers, rates, customer) = two_hosts();
    block_on(async {
        wait_until_filled(&rates[0]).await;
        wait_until_filled(&rates[1]).await;
        for _ in 0..15 {
            rates[0].take(&customer).await.expect("within the burst");
        }
    });
    assert_eq!(rates[0].counters().admitted.get(), 15);
    assert!(rates[1].counters().granted_micros.get() >= 1_000_000);
}

#[test]
fn a_call_over_the_rate_is_refused_as_not_run_with_retry_after() {
    let (_peers, rates, customer) = two_hosts();
    let refusal = block_on(async {
        loop {
            if let Err(refusal) = rates[0].take(&customer).await {
                return refusal;
            }
        }
    });
    assert_eq!(refusal.reason, Reason::RateExceeded);
    assert_eq!(refusal.ran, Ran::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn an_unreachable_host_delays_no_call_beyond_the_timeout() {
    let (peers, rates, customer) = two_hosts();
    peers.modules.lock().remove(&address(1));
    block_on(async {
        wait_until_filled(&rates[0]).await;
        let mut refused = 0;
        while refused < 3 {
            refused += u32::from(rates[0].take(&customer).await.is_err());
        }
    });
    assert!(rates[0].counters().unanswered.get() > 0);
    assert!(rates[0].counters().admitted.get() >= 10);
}

#[test]
fn an_unknown_customer_is_refused() {
    let (_peers, rates, _) = two_hosts();
    let unknown = "nobody".parse().expect("name");
    let refusal = block_on(rates[0].take(&unknown)).expect_err("no such customer");
    assert_eq!(refusal.reason, Reason::RateExceeded);
}
