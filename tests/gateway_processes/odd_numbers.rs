//! Numbers out of range in endpoints' answers.

use std::time::Duration;

use chicoryarch_standins::fleet::endpoint::Behaviour;
use http::StatusCode;

use super::fleet::Fleet;

// An idle time that the clock cannot add ended the process.
#[test]
fn numbers_out_of_range_in_answers_end_no_host() {
    let fleet = Fleet::new();
    let odd = Behaviour {
        odd_numbers: true,
        ..Behaviour::SOUND
    };
    let plain = fleet.endpoint("e1", "plain", odd);
    let mut gateway = fleet.gateway("g1");
    for n in 0..20 {
        let id = format!("r{n}");
        let answer = fleet.call(&gateway, "/once/", &[("request-id", &id)]);
        // Calls may be refused at the limits, one of which is nearly zero.
        std::thread::sleep(Duration::from_millis(50));
        let is_true = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE].contains(&answer.status);
        assert!(is_true, "{}", answer.status);
    }
    assert!(plain.runs().len() >= 10);
    assert_eq!(gateway.wait_for(Duration::ZERO), None, "it runs");
}
