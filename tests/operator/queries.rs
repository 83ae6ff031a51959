//! Queries over the hosts of a small fleet.

use chicoryarch::configs::operator::OperatorConfig;
use chicoryarch::operator::Answer;
use chicoryarch::operator::render;
use chicoryarch::operator::subject::ProgramRow;
use chicoryarch::operator::subject::Subject;
use chicoryarch::operator::table::Table;

use super::support::Operated;

/// Three hosts with two programs each.
fn start() -> Operated {
    start_with(&OperatorConfig::default())
}

fn start_with(cfg: &OperatorConfig) -> Operated {
    let operated = Operated::start(3, cfg);
    for (index, backend) in operated.backends.iter().enumerate() {
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
    operated
}

fn table(operated: &Operated, text: &str) -> Table {
    match operated.ok(text) {
        Answer::Table(table) => table,
        other => panic!("a table is expected, got {other:?}"),
    }
}

#[test]
fn rows_of_all_hosts_are_merged_in_order() {
    let answer = start().ok("show programs where customer = band order by calls desc limit 2");
    assert_eq!(answer.exit_code(), 0);
    insta::assert_snapshot!(render::text(&answer));
}

#[test]
fn a_host_that_does_not_answer_is_named_and_the_table_marked_incomplete() {
    let operated = start();
    operated
        .fleet
        .peers
        .disconnect(&operated.fleet.addresses[1]);
    let answer = operated.ok("show programs");
    assert_eq!(answer.exit_code(), 8);
    insta::assert_snapshot!(render::text(&answer));
    assert!(render::json(&answer).contains("\"complete\": false"));
}

#[test]
fn a_host_with_more_rows_than_it_may_send_is_named() {
    let operated = start_with(&OperatorConfig {
        max_rows: 1,
        ..OperatorConfig::default()
    });
    let answer = operated.ok("show programs");
    assert_eq!(answer.exit_code(), 8);
    let text = render::text(&answer);
    assert!(
        text.contains("incomplete: h0 has 2 rows and sent fewer"),
        "{text}"
    );
    assert!(table(&operated, "show programs limit 1").is_complete());
}

#[test]
fn what_every_host_holds_is_answered_without_the_others() {
    let operated = start();
    operated.ok("create customer choir rate=2.5");
    operated
        .fleet
        .peers
        .disconnect(&operated.fleet.addresses[1]);
    assert!(table(&operated, "show customers").is_complete());
}

#[test]
fn the_versions_show_what_each_host_applies() {
    let operated = start();
    operated.ok("create customer choir wait");
    let table = table(&operated, "show versions where version = 1");
    assert_eq!(table.rows.len(), 3);
}

#[test]
fn tables_and_json_show_the_same_rows() {
    let operated = start();
    operated.ok("create customer choir rate=2.5 shares=dc1:0.5");
    operated.ok("create customer band rate=40");
    let answer = operated.ok("show customers order by rate");
    insta::assert_snapshot!(render::text(&answer) + "\n" + &render::json(&answer));
}

#[test]
fn an_answer_survives_its_json_form() {
    let answer = start().ok("show programs");
    let text = serde_json::to_string(&answer).unwrap();
    assert_eq!(serde_json::from_str::<Answer>(&text).unwrap(), answer);
}

#[test]
fn a_field_or_value_that_does_not_fit_is_shown_at_its_place() {
    let operated = start();
    let reports: Vec<String> = [
        "show programs where colour = red",
        "show programs where calls > many",
        "show services where open = perhaps",
        "show programs order by colour",
    ]
    .iter()
    .map(|text| render::report(&operated.run(text).unwrap_err()))
    .collect();
    insta::assert_snapshot!(reports.join("\n"));
}
