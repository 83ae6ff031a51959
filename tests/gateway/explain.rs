//! Collects the log lines of a request or program from several hosts. Foreign
//! and truncated lines are ignored.

use chicoryarch::cli::explain::find_lines;

const FIRST: &str = r#"{"at_ms":3,"host":"a","event":"answered","request":"r1","program":"p"}
not a line of ours
  12.5 a {"at_ms":1,"host":"a","event":"attempt-failed","request":"r1"}
{"at_ms":2,"host":"a","event":"answered","request":"r2","program":"q"}
"#;
const SECOND: &str = r#"{"at_ms":2,"host":"b","event":"budget-granted","program":"p"}
{"at_ms":4,"host":"b","event":"answered","requ"#;

fn events(id: &str) -> Vec<String> {
    let trail = find_lines(id, [FIRST, SECOND].into_iter());
    let event = |fields: &serde_json::Map<String, serde_json::Value>| {
        format!(
            "{} {}",
            fields["at_ms"],
            fields["event"].as_str().unwrap_or_default()
        )
    };
    trail.iter().map(event).collect()
}

#[test]
fn lines_of_a_request_are_sorted_by_time() {
    assert_eq!(events("r1"), ["1 attempt-failed", "3 answered"]);
}

#[test]
fn lines_of_a_program_come_from_all_hosts() {
    assert_eq!(events("p"), ["2 budget-granted", "3 answered"]);
    assert!(events("unknown").is_empty());
}
