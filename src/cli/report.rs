//! Prints a summary of the logs of many hosts.

use std::collections::BTreeMap;
use std::path::PathBuf;

use super::progress::Progress;
use crate::log_analysis::lines::LineCounts;
use crate::log_analysis::lines::Logs;
use crate::log_analysis::lines::Result;
use crate::log_analysis::summary::Summary;
use crate::log_analysis::summary::TimeKind;
use crate::log_analysis::summary::Times;

/// Number of outcomes with a column of their own.
const OUTCOME_COLUMNS: usize = 7;
/// Number of refusal details that are printed.
const TOP_DETAILS: usize = 10;
const KINDS: [(TimeKind, &str); 4] = [
    (TimeKind::Answer, "answer"),
    (TimeKind::FirstEvent, "first event"),
    (TimeKind::Stream, "whole stream"),
    (TimeKind::Refusal, "refusal"),
];

/// Reads logs and sums them up.
///
/// # Errors
///
/// If a log cannot be read.
pub fn run(paths: &[PathBuf]) -> Result<(Summary, LineCounts)> {
    let logs = Logs::find(paths)?;
    let mut progress = Progress::new(logs.bytes());
    let mut summary = Summary::default();
    let counts = logs.scan(|bytes| progress.advance(bytes), |json| summary.add(json))?;
    Ok((summary, counts))
}

/// Formats a summary.
pub fn text(summary: &Summary, counts: &LineCounts) -> String {
    let hosts: usize = summary.hosts().values().sum();
    let width_s = summary.width_ms() / 1000;
    let mut out = format!("{} lines of {hosts} hosts\n", counts.lines);
    if let Some((path, number)) = &counts.first_malformed {
        let path = path.file_name().unwrap_or_default().display();
        let malformed = counts.malformed;
        out += &format!("{malformed} lines cannot be read, the first is line {number} of {path}\n");
    }
    if summary.dropped() > 0 {
        out += &format!(
            "{} lines were dropped by the hosts and are missing here\n",
            summary.dropped()
        );
    }
    let Some((begin, _)) = summary.periods().next() else {
        return out;
    };
    out += &format!("from {begin} (Unix ms), in periods of {width_s} s; times of day are UTC\n");
    out += &section("Requests by outcome", &outcome_rows(summary));
    out += &section("Times in ms", &time_rows(summary));
    out += &section("Times in ms over time", &period_rows(summary));
    out += &section("Data centres and the store", &state_rows(summary));
    out += &section("Most frequent refusal details", &detail_rows(summary));
    let (_, removed) = summary.details().top(0);
    if removed > 0 {
        out += &format!("{removed} refusals with rare details are not counted\n");
    }
    out
}

/// Returns the outcomes with their numbers, the most frequent first.
pub(super) fn outcomes(summary: &Summary) -> Vec<(&str, u64)> {
    let mut totals: BTreeMap<&str, u64> = BTreeMap::new();
    for (_, period) in summary.periods() {
        for (end, count) in &period.ends {
            *totals.entry(end).or_default() += count;
        }
    }
    let mut totals: Vec<(&str, u64)> = totals.into_iter().collect();
    totals.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(b.0)));
    totals
}

fn outcome_rows(summary: &Summary) -> Vec<Vec<String>> {
    let outcomes = outcomes(summary);
    if outcomes.is_empty() {
        return Vec::new();
    }
    let (shown, others) = outcomes.split_at(outcomes.len().min(OUTCOME_COLUMNS));
    let row = |first: String, count: &dyn Fn(&str) -> u64| {
        let mut row = vec![first];
        row.extend(shown.iter().map(|(end, _)| count(end).to_string()));
        if !others.is_empty() {
            let sum: u64 = others.iter().map(|(end, _)| count(end)).sum();
            row.push(sum.to_string());
        }
        row
    };
    let mut head = vec!["time".to_owned()];
    head.extend(shown.iter().map(|(end, _)| (*end).to_owned()));
    head.extend((!others.is_empty()).then(|| "others".to_owned()));
    let mut rows = vec![head];
    for (at, period) in summary.periods().filter(|(_, p)| !p.ends.is_empty()) {
        let count = |end: &str| period.ends.get(end).copied().unwrap_or_default();
        rows.push(row(time_of_day(at), &count));
    }
    let totals: BTreeMap<&str, u64> = outcomes.iter().copied().collect();
    let total = |end: &str| totals.get(end).copied().unwrap_or_default();
    rows.push(row("all".to_owned(), &total));
    rows
}

fn time_rows(summary: &Summary) -> Vec<Vec<String>> {
    let times = summary.times();
    let head = ["until", "number", "p50", "p90", "p99", "p99.9", "longest"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (kind, name) in KINDS {
        let Some(Times(times)) = times.get(&kind) else {
            continue;
        };
        let mut row = vec![name.to_owned(), times.len().to_string()];
        let quantiles = [0.5, 0.9, 0.99, 0.999, 1.0];
        row.extend(quantiles.map(|quantile| times.value_at_quantile(quantile).to_string()));
        rows.push(row);
    }
    rows
}

fn period_rows(summary: &Summary) -> Vec<Vec<String>> {
    let mut head = vec!["time".to_owned()];
    for (_, name) in KINDS {
        head.extend([format!("{name} p50"), "p99".to_owned()]);
    }
    let mut rows = vec![head];
    for (at, period) in summary.periods().filter(|(_, p)| !p.times.is_empty()) {
        let mut row = vec![time_of_day(at)];
        for (kind, _) in KINDS {
            let times = period.times.get(&kind);
            row.extend([0.5, 0.99].map(|quantile| {
                times.map_or("-".to_owned(), |Times(times)| {
                    times.value_at_quantile(quantile).to_string()
                })
            }));
        }
        rows.push(row);
    }
    rows
}

/// Returns a row for each data centre and period in which something has changed.
fn state_rows(summary: &Summary) -> Vec<Vec<String>> {
    let hosts = summary.hosts();
    let mut without_store: BTreeMap<&str, i64> = BTreeMap::new();
    let head = ["time", "data centre", "without store", "changes"];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    for (at, period) in summary.periods() {
        for (name, place) in &period.places {
            let lost = without_store.entry(name).or_default();
            *lost += place.store_losses;
            let changes = place.changes.iter();
            let changes: Vec<String> = changes
                .map(|(change, count)| format!("{change} {count}"))
                .collect();
            let all = hosts.get(&**name).copied().unwrap_or_default();
            let lost = format!("{lost} of {all} hosts");
            rows.push(vec![
                time_of_day(at),
                name.clone(),
                lost,
                changes.join(", "),
            ]);
        }
    }
    rows
}

fn detail_rows(summary: &Summary) -> Vec<Vec<String>> {
    let (details, _) = summary.details().top(TOP_DETAILS);
    let head = vec!["refusals".to_owned(), "detail".to_owned()];
    let rows = details
        .into_iter()
        .map(|(detail, count)| vec![count.to_string(), detail.to_owned()]);
    std::iter::once(head).chain(rows).collect()
}

/// Formats a table under a title; nothing without rows below its head.
fn section(title: &str, rows: &[Vec<String>]) -> String {
    if rows.len() < 2 {
        return String::new();
    }
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let table: String = rows.iter().map(line).collect();
    format!("\n{title}\n{table}")
}

/// Returns the time of day in UTC.
pub(super) fn time_of_day(at_ms: u64) -> String {
    let at = at_ms / 1000;
    let (hours, minutes, seconds) = (at / 3600 % 24, at / 60 % 60, at % 60);
    format!("{hours:02}:{minutes:02}:{seconds:02}")
}
