//! Shows answers and reports to a person, or as JSON.

use std::fmt::Write;

use miette::GraphicalReportHandler;
use miette::GraphicalTheme;

use super::answer::Accepted;
use super::answer::Answer;
use super::answer::Withdrawn;
use super::report::Report;
use super::table::Cell;
use super::table::Form;
use super::table::Table;
use crate::ids::HostId;
use crate::process::distribution::InForce;
use crate::process::distribution::withdraw::Recorded;

/// Columns of a terminal that a report is laid out for.
const REPORT_WIDTH: usize = 100;

/// The answer as text.
pub fn text(answer: &Answer) -> String {
    match answer {
        Answer::Accepted(accepted) => accepted_text(accepted),
        Answer::Cancelled(program) => format!("cancelled program {program}\n"),
        Answer::Table(table) => table_text(table),
        Answer::Withdrawn(withdrawn) => withdrawn_text(withdrawn),
    }
}

/// The answer as JSON: the rows of a table as objects by column name.
pub fn json(answer: &Answer) -> String {
    let value = match answer {
        Answer::Table(table) => serde_json::json!({
            "subject": table.subject,
            "complete": table.is_complete(),
            "silent": table.silent,
            "cut": table.cut,
            "rows": table.rows.iter().map(|row| object(table, &row.0)).collect::<Vec<_>>(),
        }),
        other => serde_json::to_value(other).expect("typed answers always encode as JSON"),
    };
    format!("{value:#}\n")
}

/// The report as text that points at the place in the statement.
pub fn report(report: &Report) -> String {
    let mut text = String::new();
    let handler = GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .with_width(REPORT_WIDTH)
        .without_cause_chain();
    handler
        .render_report(&mut text, report)
        .expect("writing to a string never fails");
    text
}

fn object(table: &Table, cells: &[Cell]) -> serde_json::Map<String, serde_json::Value> {
    let columns = table.subject.columns().iter();
    let field = |(column, cell): (&super::table::Column, &Cell)| {
        let value = serde_json::to_value(cell).expect("cells always encode as JSON");
        (column.name.to_owned(), value)
    };
    columns.zip(cells).map(field).collect()
}

fn table_text(table: &Table) -> String {
    let columns = table.subject.columns();
    let cells: Vec<Vec<String>> = table
        .rows
        .iter()
        .map(|row| row.0.iter().map(printable).collect())
        .collect();
    let width = |index: usize| {
        let longest = cells.iter().map(|row| row[index].chars().count()).max();
        longest.unwrap_or(0).max(columns[index].name.len())
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut text = String::new();
    let names: Vec<String> = columns
        .iter()
        .map(|column| column.name.to_owned())
        .collect();
    line(&mut text, table, &widths, &names);
    for row in &cells {
        line(&mut text, table, &widths, row);
    }
    text.push_str(&missing_text(table));
    text
}

/// Shows control characters as escapes, so that no text moves the cursor.
fn printable(cell: &Cell) -> String {
    let text = cell.to_string();
    if !text.contains(char::is_control) {
        return text;
    }
    text.chars().flat_map(char::escape_default).collect()
}

fn line(text: &mut String, table: &Table, widths: &[usize], cells: &[String]) {
    let columns = table.subject.columns();
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .zip(columns)
        .map(|((cell, width), column)| match column.form {
            Form::Number => format!("{cell:>width$}"),
            Form::Flag | Form::Text => format!("{cell:<width$}"),
        })
        .collect();
    text.push_str(padded.join("  ").trim_end());
    text.push('\n');
}

fn missing_text(table: &Table) -> String {
    let mut text = String::new();
    if !table.silent.is_empty() {
        let hosts = names(&table.silent);
        push(
            &mut text,
            format_args!("incomplete: no answer from {hosts}"),
        );
    }
    for cut in &table.cut {
        let (host, matched) = (&cut.host, cut.matched);
        push(
            &mut text,
            format_args!("incomplete: {host} has {matched} rows and sent fewer"),
        );
    }
    text
}

fn accepted_text(accepted: &Accepted) -> String {
    let mut text = String::new();
    let (kind, name) = (accepted.object.kind.as_str(), &accepted.object.name);
    let version = accepted.version;
    push(
        &mut text,
        format_args!("accepted: {kind} {name} at version {version}"),
    );
    if let Some(secret) = &accepted.secret {
        push(
            &mut text,
            format_args!("secret, shown only now: {}", secret.0),
        );
    }
    push_in_force(&mut text, accepted.in_force.as_ref());
    text
}

fn withdrawn_text(withdrawn: &Withdrawn) -> String {
    let mut text = String::new();
    let (key, withdrawal) = (&withdrawn.key, &withdrawn.withdrawal);
    let reached = withdrawal.reached.len();
    push(
        &mut text,
        format_args!(
            "withdrawn: key {} of {} at {reached} hosts",
            key.key, key.customer
        ),
    );
    if !withdrawal.missed.is_empty() {
        let missed = names(&withdrawal.missed);
        push(&mut text, format_args!("not yet reached: {missed}"));
    }
    match &withdrawal.recorded {
        Recorded::At(version) => push(&mut text, format_args!("recorded at version {version}")),
        Recorded::NotYet(reason) => push(
            &mut text,
            format_args!("not yet recorded, and offered again until it is: {reason}"),
        ),
    }
    push_in_force(&mut text, withdrawn.in_force.as_ref());
    text
}

fn push_in_force(text: &mut String, report: Option<&InForce>) {
    let Some(report) = report else {
        return;
    };
    let confirmed = report.in_force.len();
    if report.is_complete() {
        push(text, format_args!("in force at all {confirmed} hosts"));
        return;
    }
    if report.missing.is_empty() {
        push(
            text,
            format_args!("in force at {confirmed} hosts; the list of hosts is not up to date"),
        );
        return;
    }
    let missing = names(&report.missing);
    push(
        text,
        format_args!("in force at {confirmed} hosts; not confirmed by {missing}"),
    );
}

fn names(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    names.join(", ")
}

fn push(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string never fails");
}
