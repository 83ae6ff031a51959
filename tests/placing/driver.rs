//! Tests of `process::placing`: calls that wait for a slot as futures.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use chicoryarch_net::Spawner;
use futures_lite::future;

use chicoryarch::configs::place::PlaceConfig;
use chicoryarch::configs::queue::QueueConfig;
use chicoryarch::ids::EndpointId;
use chicoryarch::process::placing::Candidates;
use chicoryarch::process::placing::Demand;
use chicoryarch::process::placing::Placing;
use chicoryarch::process::placing::RunOutcome;
use chicoryarch::process::placing::Slot;
use chicoryarch::request::outcome::Reason;
use chicoryarch::request::outcome::Refusal;
use chicoryarch::request::outcome::Result;
use chicoryarch::units::Moment;
use chicoryarch::units::Tokens;
use chicoryarch::version::objects::EndpointState;
use parking_lot::Mutex;

use crate::fixtures::endpoint;
use crate::fixtures::id;
use crate::fixtures::plain_call;

/// Time limit of a test and deadline of its calls; no assertion depends on it.
const HANG_GUARD: Duration = Duration::from_secs(60);

struct Fixture {
    placing: Placing,
    spawner: Spawner,
    candidates: Arc<Mutex<Result<Candidates>>>,
}

impl Fixture {
    fn new(slots: &[u32]) -> Self {
        let spawner = Spawner::start(2);
        let dc = "dc".parse().expect("a valid name");
        let (queue, place) = (QueueConfig::default(), PlaceConfig::default());
        let fixture = Self {
            placing: Placing::new(queue, place, dc, spawner.clone()),
            spawner,
            candidates: Arc::new(Mutex::new(Ok(Candidates::default()))),
        };
        fixture.serve(slots);
        fixture
    }

    fn serve(&self, slots: &[u32]) {
        let all = slots.iter().enumerate();
        let all = all.map(|(n, slots)| endpoint(n, *slots, EndpointState::Serving));
        *self.candidates.lock() = Ok(all.collect());
    }

    fn acquire(&self, demand: Demand) -> async_executor::Task<Result<Slot>> {
        let placing = self.placing.clone();
        let candidates = Arc::clone(&self.candidates);
        self.spawner.spawn(async move {
            let candidates = || candidates.lock().clone();
            placing.acquire(&demand, candidates).await
        })
    }

    /// Polls until exactly `count` calls wait.
    async fn until_waiting(&self, count: usize) {
        while self.placing.rows().waiting.len() != count {
            Timer::after(Duration::from_millis(1)).await;
        }
    }
}

fn demand(number: u64) -> Demand {
    Demand {
        deadline: Moment::now() + HANG_GUARD,
        ..plain_call(0, number)
    }
}

fn run(test: impl Future<Output = ()>) {
    let guard = async {
        Timer::after(HANG_GUARD).await;
        panic!("the test hangs");
    };
    block_on(future::or(test, guard));
}

fn finish(slot: Slot) {
    slot.finish(RunOutcome::Answered, Tokens(1));
}

#[test]
fn a_waiting_call_gets_a_released_slot() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let second = fixture.acquire(demand(2));
        fixture.until_waiting(1).await;
        finish(first);
        let second = second.await.expect("the slot was released");
        assert!(!second.waited.is_zero());
        assert_eq!(fixture.placing.counters().waited.get(), 1);
    });
}

#[test]
fn a_dropped_waiting_call_leaves_the_queue() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let second = fixture.acquire(demand(2));
        let third = fixture.acquire(demand(3));
        fixture.until_waiting(2).await;
        second.cancel().await;
        fixture.until_waiting(1).await;
        finish(first);
        third.await.expect("the slot was released");
    });
}

#[test]
fn a_call_is_refused_when_its_deadline_passes() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let _first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let late = Demand {
            deadline: Moment::now() + Duration::from_millis(20),
            ..demand(2)
        };
        let refused = fixture.acquire(late).await.expect_err("nothing is free");
        assert_eq!(refused.reason, Reason::Overloaded);
        assert!(refused.retry_after.is_some());
        assert_eq!(fixture.placing.counters().expired.get(), 1);
    });
}

#[test]
fn a_configuration_change_refuses_calls_with_a_withdrawn_key() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let _first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let second = fixture.acquire(demand(2));
        fixture.until_waiting(1).await;
        let withdrawn = Refusal::not_run(Reason::Unauthorized, "withdrawn");
        *fixture.candidates.lock() = Err(withdrawn);
        fixture.placing.recheck_waiting();
        let refused = second.await.expect_err("the key is withdrawn");
        assert_eq!(refused.reason, Reason::Unauthorized);
        assert!(fixture.placing.rows().waiting.is_empty());
    });
}

#[test]
fn a_configuration_change_offers_new_endpoints_to_waiting_calls() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let _first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let second = fixture.acquire(demand(2));
        fixture.until_waiting(1).await;
        fixture.serve(&[1, 1]);
        fixture.placing.recheck_waiting();
        let second = second.await.expect("an endpoint came");
        assert_eq!(second.id, id(1));
    });
}

#[test]
fn a_service_without_endpoints_refuses_at_once() {
    run(async {
        let fixture = Fixture::new(&[]);
        let refused = fixture.acquire(demand(1)).await.expect_err("none");
        assert_eq!(refused.reason, Reason::NoEndpoint);
    });
}

#[test]
fn an_endpoint_that_only_returns_server_errors_is_ejected() {
    run(async {
        let fixture = Fixture::new(&[4]);
        for n in 0..3 {
            let mut slot = fixture.acquire(demand(n)).await.expect("a slot is free");
            slot.record_answer_start(http::StatusCode::INTERNAL_SERVER_ERROR);
            finish(slot);
        }
        assert_eq!(fixture.placing.counters().ejected.get(), 1);
    });
}

#[test]
fn services_that_share_an_endpoint_share_its_slots() {
    run(async {
        let fixture = Fixture::new(&[1]);
        let mut shared = endpoint(0, 1, EndpointState::Serving);
        let other: chicoryarch::ids::ServiceId = "other".parse().expect("a valid name");
        let mut value = (*shared.endpoint).clone();
        value.services.insert(other.clone());
        shared.endpoint = Arc::new(value);
        *fixture.candidates.lock() = Ok([shared].into_iter().collect());
        let first = fixture.acquire(demand(1)).await.expect("a slot is free");
        let second = fixture.acquire(Demand {
            service: other,
            ..demand(2)
        });
        fixture.until_waiting(1).await;
        finish(first);
        second.await.expect("the slot was released");
    });
}

#[test]
fn every_call_gets_one_slot_under_contention() {
    run(async {
        let fixture = Fixture::new(&[2, 3]);
        let running: Arc<Mutex<std::collections::HashMap<EndpointId, u32>>> = Arc::default();
        let calls = (0..400).map(|n| {
            let slot = fixture.acquire(demand(n % 7));
            let running = Arc::clone(&running);
            fixture.spawner.spawn(async move {
                let slot = slot.await.expect("there is room in the queue");
                let slots = slot.endpoint.concurrency;
                let now = {
                    let mut running = running.lock();
                    let count = running.entry(slot.id.clone()).or_default();
                    *count += 1;
                    *count
                };
                assert!(now <= slots, "{now} calls at {slots} slots");
                future::yield_now().await;
                *running.lock().get_mut(&slot.id).expect("it is there") -= 1;
                finish(slot);
            })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await;
        }
        let counters = fixture.placing.counters();
        assert_eq!(counters.immediate.get() + counters.waited.get(), 400);
    });
}
