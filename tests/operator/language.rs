//! Operator language: examples, error positions and round trips of the printer
//! and parser.

use std::time::Duration;

use chicoryarch::operator::Report;
use chicoryarch::operator::language::Action;
use chicoryarch::operator::language::Assignment;
use chicoryarch::operator::language::Command;
use chicoryarch::operator::language::Comparison;
use chicoryarch::operator::language::Condition;
use chicoryarch::operator::language::Options;
use chicoryarch::operator::language::Order;
use chicoryarch::operator::language::Query;
use chicoryarch::operator::language::Retirable;
use chicoryarch::operator::language::Statement;
use chicoryarch::operator::language::Target;
use chicoryarch::operator::language::Wait;
use chicoryarch::operator::language::parse;
use chicoryarch::operator::render;
use chicoryarch::operator::subject::Subject;
use chicoryarch::version::objects::KeyRef;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;

/// Examples of every grammar production; `docs/LANGUAGE.md` lists the same lines.
const EXAMPLES: &[&str] = &[
    "show programs",
    "show waiting where customer = choir and waited_ms >= 500",
    "show endpoints where services ~ proofreading order by concurrency desc limit 5",
    "show audit where actor != \"ana maria\" order by at_ms desc limit 20",
    "show data_centres",
    "create customer choir rate=50 burst=100 weight=2 max_budget=2000000 shares=north:0.6,south:0.4",
    "create service invoices kind=plain repeatable=false deadline_ms=20000",
    "create endpoint press-1 address=10.0.0.7:8000 data_centre=north services=invoices concurrency=4",
    "change customer choir rate=80 if version 17 wait",
    "change customer choir shares=\"\"",
    "remove service invoices",
    "grant key desk for choir wait 5",
    "withdraw key desk for choir wait",
    "retire endpoint press-1 wait 10",
    "restore endpoint press-1",
    "retire host entry-3",
    "restore host entry-3 if version 21",
    "cancel program north.7.00000000000000ff",
];

const INVALID_STATEMENTS: &[&str] = &[
    "",
    "   ",
    "list programs",
    "show program",
    "show programs were customer = choir",
    "show programs where customer choir",
    "show programs where customer = ",
    "show programs limit many",
    "show programs order customer",
    "create budget choir",
    "create customer Choir",
    "create customer choir rate 5",
    "create customer choir name=\"open",
    "change customer choir",
    "grant key desk choir",
    "withdraw key desk for choir if version 3",
    "retire customer choir",
    "cancel program 7",
    "grant key desk for choir wait 100000",
    "remove service invoices now",
];

fn print_or_report(text: &str) -> String {
    match parse(text) {
        Ok(statement) => format!("{statement}\n"),
        Err(e) => render::report(&Report::from(e).with_text(text)),
    }
}

#[test]
fn grammar_examples_are_parsed_and_printed_unchanged() {
    for text in EXAMPLES {
        assert_eq!(print_or_report(text), format!("{text}\n"));
    }
}

#[test]
fn the_language_page_lists_every_example() {
    let page = include_str!("../../docs/LANGUAGE.md");
    let missing: Vec<_> = EXAMPLES
        .iter()
        .filter(|line| !page.contains(**line))
        .collect();
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn a_mistake_is_shown_at_its_place_with_what_is_expected() {
    let reports: Vec<String> = INVALID_STATEMENTS
        .iter()
        .map(|text| print_or_report(text))
        .collect();
    insta::assert_snapshot!(reports.join("\n"));
}

#[test]
fn spaces_and_quotes_do_not_change_the_meaning() {
    let spaced = "  show   audit where  actor=\"ana\"  limit 3 ";
    assert_eq!(parse(spaced), parse("show audit where actor = ana limit 3"));
}

#[test]
fn a_statement_that_is_too_long_is_refused() {
    let text = format!("show audit where actor = {}", "a".repeat(5000));
    assert_eq!(
        parse(&text).unwrap_err().expected,
        "a statement of at most 4096 bytes"
    );
}

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9]{0,8}(-[a-z0-9]{1,4})?"
}

fn id<T>() -> impl Strategy<Value = T>
where
    T: std::fmt::Debug + std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    name().prop_map(|name| name.parse().unwrap())
}

fn field() -> impl Strategy<Value = String> {
    "[a-z_]{2,10}".prop_filter("an option's keyword", |text| text != "if" && text != "wait")
}

fn value() -> impl Strategy<Value = String> {
    prop_oneof![any::<String>(), name(), Just(String::new())]
}

fn comparison() -> impl Strategy<Value = Comparison> {
    select(vec![
        Comparison::Contains,
        Comparison::Equal,
        Comparison::Greater,
        Comparison::GreaterOrEqual,
        Comparison::Less,
        Comparison::LessOrEqual,
        Comparison::NotEqual,
    ])
}

fn condition() -> impl Strategy<Value = Condition> {
    (field(), comparison(), value()).prop_map(|(field, comparison, value)| Condition {
        field: field.into(),
        comparison,
        value: value.into(),
    })
}

fn order() -> impl Strategy<Value = Order> {
    (field(), any::<bool>()).prop_map(|(field, descending)| Order {
        field: field.into(),
        descending,
    })
}

fn query() -> impl Strategy<Value = Query> {
    let subject = select(Subject::ALL.to_vec());
    let conditions = vec(condition(), 0..4);
    (
        subject,
        conditions,
        option::of(order()),
        any::<Option<usize>>(),
    )
        .prop_map(|(subject, conditions, order, limit)| Query {
            subject,
            conditions,
            order,
            limit,
        })
}

fn fields(count: std::ops::Range<usize>) -> impl Strategy<Value = Vec<Assignment>> {
    let assignment = (field(), value()).prop_map(|(field, value)| Assignment {
        field: field.into(),
        value: value.into(),
    });
    vec(assignment, count)
}

fn target() -> impl Strategy<Value = Target> {
    prop_oneof![
        id().prop_map(Target::Customer),
        id().prop_map(Target::Endpoint),
        id().prop_map(Target::Service),
    ]
}

fn retirable() -> impl Strategy<Value = Retirable> {
    prop_oneof![
        id().prop_map(Retirable::Endpoint),
        id().prop_map(Retirable::Host),
    ]
}

fn key() -> impl Strategy<Value = KeyRef> {
    (id(), id()).prop_map(|(customer, key)| KeyRef { customer, key })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        (target(), fields(0..4)).prop_map(|(target, fields)| Action::Create(target, fields)),
        (target(), fields(1..4)).prop_map(|(target, fields)| Action::Change(target, fields)),
        target().prop_map(Action::Remove),
        key().prop_map(Action::Grant),
        retirable().prop_map(Action::Retire),
        retirable().prop_map(Action::Restore),
    ]
}

fn wait() -> impl Strategy<Value = Wait> {
    let seconds = (0..=600u64).prop_map(|seconds| Wait::For(Duration::from_secs(seconds)));
    prop_oneof![Just(Wait::Default), seconds]
}

fn command() -> impl Strategy<Value = Command> {
    let version = any::<Option<u64>>().prop_map(|version| version.map(chicoryarch::ids::Version));
    (action(), version, option::of(wait())).prop_map(|(action, version, wait)| Command {
        action,
        options: Options { version, wait },
    })
}

fn statement() -> impl Strategy<Value = Statement> {
    prop_oneof![
        query().prop_map(Statement::Show),
        command().prop_map(Statement::Command),
    ]
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..Default::default()
    })]

    #[test]
    fn a_printed_statement_parses_to_the_same_statement(statement in statement()) {
        let text = statement.to_string();
        if text.len() <= 4096 {
            prop_assert_eq!(parse(&text).map_err(|e| e.to_string()), Ok(statement), "{}", text);
        }
    }

    #[test]
    fn parsing_any_text_never_panics_and_errors_lie_within_it(text in any::<String>()) {
        check_error_span(&text);
    }

    #[test]
    fn parsing_any_word_sequence_never_panics(words in vec(word(), 0..12)) {
        check_error_span(&words.join(" "));
    }
}

fn word() -> impl Strategy<Value = String> {
    let words = "show programs audit where and order by desc limit create change remove customer \
                 endpoint service grant withdraw key for retire restore host cancel program if \
                 version wait = != < >= ~ \" \\ 7 rate=5 choir";
    let words: Vec<String> = words.split(' ').map(str::to_owned).collect();
    prop_oneof![4 => select(words), 1 => any::<String>()]
}

fn check_error_span(text: &str) {
    if let Err(e) = parse(text) {
        assert!(text.get(e.span.start..e.span.end).is_some(), "{e:?}");
        render::report(&Report::from(e).with_text(text));
    }
}
