//! Measures the cost of the configuration by its size. Prints figures and
//! checks none of them.

use std::hint::black_box;
use std::time::Instant;

use chicoryarch::version::catalogue::Bundle;
use chicoryarch::version::catalogue::Configuration;
use chicoryarch::version::catalogue::Item;
use chicoryarch::version::catalogue::ObjectId;
use chicoryarch::version::objects::Endpoint;
use chicoryarch::version::objects::EndpointState;
use chicoryarch::version::objects::Kind;

use super::support::customer;
use super::support::customer_id;
use super::support::item;
use super::support::key_set;
use super::support::keys_id;
use super::support::secret;

const SIZES: [u64; 4] = [360, 720, 1_440, 2_880];
const ROUNDS: u64 = 200;

fn endpoint(index: u64) -> Item {
    let value = Endpoint {
        address: "127.0.0.1:80".parse().unwrap(),
        data_centre: "dc1".parse().unwrap(),
        services: [format!("service-{}", index % 8).parse().unwrap()].into(),
        concurrency: 8,
        checks_fence: true,
        state: EndpointState::Serving,
        host: None,
    };
    item(
        ObjectId::new(Kind::Endpoint, format!("e{index}")),
        index + 1,
        value,
    )
}

/// Items of `size` endpoints, with one customer and its two keys for every ten.
fn items(size: u64) -> Vec<Item> {
    let mut items: Vec<Item> = (0..size).map(endpoint).collect();
    for index in 0..size / 10 {
        let name = format!("c{index}");
        items.push(item(customer_id(&name), index + 1, customer(5.0)));
        let keys = key_set(&name, &["desk", "box"]);
        items.push(item(keys_id(&name), index + 1, keys));
    }
    items
}

fn bundle(items: Vec<Item>) -> Bundle {
    Bundle {
        items,
        tombstones: Vec::new(),
    }
}

fn encoded_len(bundle: &Bundle) -> usize {
    serde_json::to_vec(bundle).unwrap().len()
}

fn mean_micros(rounds: u64, mut work: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for round in 0..rounds {
        work(round);
    }
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

#[test]
#[ignore = "prints figures"]
fn print_the_cost_by_size() {
    println!("endpoints objects all_bytes digest_bytes pull_bytes change_us identify_us");
    for size in SIZES {
        let configuration = Configuration::default();
        let all = bundle(items(size));
        let (objects, all_bytes) = (all.items.len(), encoded_len(&all));
        configuration.apply(all);
        let old_digest = configuration.digest();
        let change = |round| {
            let changed = item(customer_id("c0"), 10_000 + round, customer(6.0));
            configuration.apply(bundle(vec![changed]));
        };
        let change_us = mean_micros(ROUNDS, change);
        let pulled = configuration.read(|catalogue| catalogue.difference(&old_digest));
        let digest_bytes = serde_json::to_vec(&old_digest).unwrap().len();
        let secret = secret("c1", "desk");
        let identify_us = mean_micros(100_000, |_| {
            black_box(configuration.identify(black_box(secret.as_bytes())));
        });
        println!(
            "{size} {objects} {all_bytes} {digest_bytes} {} {change_us:.0} {identify_us:.2}",
            encoded_len(&pulled)
        );
    }
}
