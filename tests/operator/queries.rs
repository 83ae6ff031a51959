//! Queries over all hosts of a small in-process fleet.

use chicoryarch::configs::operator::OperatorConfig;
use chicoryarch::operator::Answer;
use chicoryarch::operator::render;
use chicoryarch::operator::subject::ProgramRow;
use chicoryarch::operator::subject::Subject;
use chicoryarch::operator::table::Table;

use super::support::OperatorFixture;

/// Starts three hosts with two programs each.
fn start() -> OperatorFixture {
    start_with(&OperatorConfig::default())
}

fn start_with(cfg: &OperatorConfig) -> OperatorFixture {
    let fixture = OperatorFixture::start(3, cfg);
    for (index, backend) in fixture.backends.iter().enumerate() {
        let program = |calls: u64, customer: &str| ProgramRow {
            program: format!("dc1.{index}.{calls:016x}"),
            customer: customer.to_owned(),
            calls,
            host: format!("h{index}"),
            ..ProgramRow::default()
        };
        let calls = index as u64;
        let rows = vec![
            program(calls, "choir").into(),
            program(calls + 10, "band").into(),
        ];
        backend.rows.lock().insert(Subject::Programs, rows);
    }
    fixture
}

fn query_table(fixture: &OperatorFixture, text: &str) -> Table {
    match fixture.run_ok(text) {
        Answer::Table(table) => table,
        other => panic!("expected a table, got {other:?}"),
    }
}

#[test]
fn rows_of_all_hosts_are_merged_in_order() {
    let answer = start().run_ok("show programs where customer = band order by calls desc limit 2");
    assert_eq!(answer.exit_code(), 0);
    insta::assert_snapshot!(render::text(&answer));
}

#[test]
fn a_host_that_does_not_answer_is_named_and_the_table_marked_incomplete() {
    let fixture = start();
    fixture.fleet.peers.disconnect(&fixture.fleet.addresses[1]);
    let answer = fixture.run_ok("show programs");
    assert_eq!(answer.exit_code(), 8);
    insta::assert_snapshot!(render::text(&answer));
    assert!(render::json(&answer).contains("\"complete\": false"));
}

#[test]
fn a_host_that_truncates_its_rows_is_listed() {
    let fixture = start_with(&OperatorConfig {
        max_rows: 1,
        ..OperatorConfig::default()
    });
    let answer = fixture.run_ok("show programs");
    assert_eq!(answer.exit_code(), 8);
    let text = render::text(&answer);
    assert!(
        text.contains("incomplete: h0 has 2 rows and sent fewer"),
        "{text}"
    );
    assert!(query_table(&fixture, "show programs limit 1").is_complete());
}

#[test]
fn configuration_queries_need_no_other_host() {
    let fixture = start();
    fixture.run_ok("create customer choir rate=2.5");
    fixture.fleet.peers.disconnect(&fixture.fleet.addresses[1]);
    assert!(query_table(&fixture, "show customers").is_complete());
}

#[test]
fn versions_list_every_host() {
    let fixture = start();
    fixture.run_ok("create customer choir wait");
    let table = query_table(&fixture, "show versions where version = 1");
    assert_eq!(table.rows.len(), 3);
}

#[test]
fn tables_and_json_show_the_same_rows() {
    let fixture = start();
    fixture.run_ok("create customer choir rate=2.5 shares=dc1:0.5");
    fixture.run_ok("create customer band rate=40");
    let answer = fixture.run_ok("show customers order by rate");
    insta::assert_snapshot!(render::text(&answer) + "\n" + &render::json(&answer));
}

#[test]
fn an_answer_round_trips_through_json() {
    let answer = start().run_ok("show programs");
    let text = serde_json::to_string(&answer).unwrap();
    assert_eq!(serde_json::from_str::<Answer>(&text).unwrap(), answer);
}

#[test]
fn a_field_or_value_that_does_not_fit_is_shown_at_its_place() {
    let fixture = start();
    let reports: Vec<String> = [
        "show programs where colour = red",
        "show programs where calls > many",
        "show services where open = perhaps",
        "show programs order by colour",
    ]
    .iter()
    .map(|text| render::report(&fixture.run(text).unwrap_err()))
    .collect();
    insta::assert_snapshot!(reports.join("\n"));
}
