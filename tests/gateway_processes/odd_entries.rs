//! Entries that another writer left among those of the endpoints.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use chicoryarch_standins::fleet::objects::StoreFaults;
use http::StatusCode;
use serde_json::json;

use super::fleet::Fleet;
use super::fleet::Gateway;
use super::fleet::wait_until;

/// Nested deeper than a reader that recurses bears.
const DEPTH: usize = 20_000;
const FIELDS: [&str; 9] = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "born",
    "another",
];

/// Values that another writer may leave in a field.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| [open.repeat(DEPTH), close.repeat(DEPTH)].concat();
    let mut values: Vec<Vec<u8>> = vec![
        nested("[", "]").into_bytes(),
        nested("{\"a\":", "}").replacen("}", "1}", 1).into_bytes(),
        b"\"\xff\xfe\"".to_vec(),
        b"\"\x01\"".to_vec(),
        vec![b'9'; 5_000],
    ];
    let texts = [
        "1e999",
        "-1",
        "18446744073709551616",
        "1.5",
        "null",
        "true",
        "[]",
        "{}",
        "\"\"",
        "\"\\ud800\"",
        "\"127.0.0.1:99999\"",
        "\"127.0.0.1:0\"",
        "\"[::1\"",
    ];
    values.extend(texts.map(|text| text.as_bytes().to_vec()));
    values
}

/// An entry with an odd value in one field, at the address of a sound endpoint.
fn entry_with(field: &str, value: &[u8], address: &str) -> Vec<u8> {
    let sound = json!({
        "service": "plain", "address": address, "zone": "a", "version": "v1",
        "slots": 8, "state": "draining", "cold_remaining_ms": 0, "born": 1, "another": 1,
    });
    let mut entry = b"{".to_vec();
    for (n, (name, sound)) in sound.as_object().expect("an object").iter().enumerate() {
        if n > 0 {
            entry.push(b',');
        }
        entry.extend(format!("\"{name}\":").into_bytes());
        match name == field {
            true => entry.extend(value),
            false => entry.extend(sound.to_string().into_bytes()),
        }
    }
    entry.push(b'}');
    entry
}

fn odd_entries(address: &str) -> Vec<Vec<u8>> {
    let mut entries: Vec<Vec<u8>> = Vec::new();
    for field in FIELDS {
        for value in odd_values() {
            entries.push(entry_with(field, &value, address));
        }
        let twice = entry_with(field, format!("1,\"{field}\":2").as_bytes(), address);
        entries.push(twice);
    }
    entries.extend(odd_values());
    entries
}

fn leave_odd_entries(fleet: &Fleet, address: &str, round: &str) {
    for (n, entry) in odd_entries(address).iter().enumerate() {
        fleet
            .store
            .put_raw("servers", &format!("odd-{round}-{n}"), entry);
    }
    let names = ["", "\n", "\u{7f}", "ü", "a b", "a/b?c&d", "\"", "x\u{0}"];
    for name in names {
        let entry = entry_with("another", b"2", address);
        fleet.store.put_raw("servers", name, &entry);
    }
}

/// Whether a gateway follows the list: it uses an endpoint that has just joined.
fn assert_follows(fleet: &Fleet, gateways: &mut [Gateway], service: &str, id: &str) {
    let joined = fleet.endpoint(id, service, Behaviour::SOUND);
    for (n, gateway) in gateways.iter_mut().enumerate() {
        let path = if service == "plain" {
            "/once/"
        } else {
            "/turns/"
        };
        wait_until("the endpoint is used", || {
            let call = format!("{id}-{n}-{}", joined.runs().len());
            fleet.call(gateway, path, &[("request-id", &call)]);
            joined.runs().iter().any(|run| run.id == call)
        });
        assert_eq!(gateway.wait_for(Duration::ZERO), None, "it runs");
    }
}

// One entry with a byte that is no text failed the whole list, and hosts ended
// or no longer followed it.
#[test]
fn odd_entries_keep_no_host_from_following_the_list() {
    let fleet = Fleet::new();
    fleet.store.set_faults(StoreFaults {
        page_size: 40,
        ..StoreFaults::default()
    });
    let sound = fleet.endpoint("e1", "plain", Behaviour::SOUND);
    let address = sound.addr().to_string();
    leave_odd_entries(&fleet, &address, "listed");
    let names = ["g1", "g2", "g3", "g4", "g5"];
    let mut gateways = names.map(|name| fleet.gateway(name));
    std::thread::sleep(Duration::from_secs(3));
    assert_follows(&fleet, &mut gateways, "plain", "e2");
    leave_odd_entries(&fleet, &address, "watched");
    assert_follows(&fleet, &mut gateways, "engine", "e3");
    // What was sound becomes odd, and the other way round.
    let before = sound.runs().len();
    fleet.store.put_raw("servers", "e1", &odd_values()[2]);
    fleet.list("odd-listed-0", "engine", sound.addr(), "draining");
    std::thread::sleep(Duration::from_secs(1));
    for (n, gateway) in gateways.iter().enumerate() {
        for call in 0..8 {
            let id = format!("after-{n}-{call}");
            let answer = fleet.call(gateway, "/safe/", &[("request-id", &id)]);
            assert_eq!(answer.status, StatusCode::OK);
        }
    }
    assert_eq!(sound.runs().len(), before);
}

// A page of the list ended before its odd last entry, or asked for the rest by a
// name that is no part of a URL.
#[test]
fn odd_entries_on_pages_hide_no_others() {
    let fleet = Fleet::new();
    fleet
        .store
        .set_faults(chicoryarch_standins::fleet::objects::StoreFaults {
            page_size: 3,
            ..Default::default()
        });
    leave_odd_entries(&fleet, "127.0.0.1:1", "paged");
    let last = fleet.endpoint("zz", "plain", Behaviour::SOUND);
    let gateway = fleet.gateway("g1");
    let answer = fleet.call(&gateway, "/once/", &[("request-id", "r")]);
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(last.runs().len(), 1);
}
