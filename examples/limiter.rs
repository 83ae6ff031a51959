//! Uses the limiter without sockets, with two hosts as values in one program.
//!
//! Run it with `cargo run --example limiter`.

use std::collections::BTreeMap;
use std::time::Duration;

use chicoryarch::configs::limit::LimitConfig;
use chicoryarch::ids::Epoch;
use chicoryarch::ids::Version;
use chicoryarch::request::limit::CustomerLimiter;
use chicoryarch::request::limit::Effect;
use chicoryarch::request::limit::Env;
use chicoryarch::request::limit::Member;
use chicoryarch::request::limit::UnusedFloors;
use chicoryarch::request::limit::View;
use chicoryarch::units::Moment;
use chicoryarch::version::objects::Customer;

const LEASE: Duration = Duration::from_secs(60);

fn member(index: u16) -> Member {
    Member {
        host: format!("host-{index}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 7000 + index).into(),
        alive: true,
        slot: None,
    }
}

/// Returns a host's view of two data centres with one host each.
fn view(index: u16) -> View {
    let data_centre = |index: u16| format!("dc-{index}").parse().expect("a valid name");
    View {
        host: member(index).host,
        data_centre: data_centre(index),
        epoch: Epoch(1),
        members: BTreeMap::from([0, 1].map(|i| (data_centre(i), vec![member(i)]))),
        lease_until: Some(Moment::default() + LEASE),
        settled_at: Moment::default(),
        floor: None,
        unused_floors: UnusedFloors::default(),
    }
}

fn main() {
    let cfg = LimitConfig::default();
    let views = [view(0), view(1)];
    let env = |host: usize, at: Duration| Env {
        now: Moment::from_start(at),
        cfg: &cfg,
        view: &views[host],
    };
    let account = |host: usize| {
        let customer = "choir".parse().expect("a valid name");
        let env = env(host, Duration::ZERO);
        CustomerLimiter::new(env, customer, 0, Version(1), Customer::default())
    };
    let mut accounts = [account(0), account(1)];

    // Host 0 gets all calls and borrows the tokens of host 1.
    let now = Duration::from_secs(30);
    for call in 1..=22 {
        let mut effects = Vec::new();
        let decision = accounts[0].take(env(0, now), &mut effects);
        println!("call {call}: {decision:?}");
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Send { request, .. } => {
                    let answer = accounts[1].grant(env(1, now), &request);
                    accounts[0].handle_reply(env(0, now), &request.id, &answer, &mut effects);
                }
                outcome => println!("call {call}: {outcome:?}"),
            }
        }
    }
}
