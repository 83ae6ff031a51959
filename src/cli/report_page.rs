//! Formats a summary of logs as one self-contained page with plots.

use std::collections::BTreeSet;

use plotters::chart::ChartBuilder;
use plotters::drawing::DrawingAreaErrorKind;
use plotters::drawing::IntoDrawingArea;
use plotters::element::PathElement;
use plotters::prelude::SVGBackend;
use plotters::series::LineSeries;
use plotters::style::BLACK;
use plotters::style::Color;
use plotters::style::Palette;
use plotters::style::Palette99;
use plotters::style::WHITE;

use super::report;
use crate::log_analysis::lines::LineCounts;
use crate::log_analysis::summary::Period;
use crate::log_analysis::summary::Summary;
use crate::log_analysis::summary::TimeKind;
use crate::log_analysis::summary::Times;

/// Size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1000, 320);
/// Maximum number of lines in a plot.
const MAX_SERIES: usize = 20;
/// Height of a plot in relation to the highest value.
const HEADROOM: f64 = 1.05;
/// Width of a plot in relation to its lines, which leaves room for their names.
const LEGEND_ROOM: f64 = 1.2;
/// Size of the names of lines, in pixels. All of `MAX_SERIES` fit into the height.
const LEGEND_PIXELS: u32 = 10;

/// Why a page cannot be made.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub enum PageError {
    /// A plot cannot be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(#[from] DrawingAreaErrorKind<std::io::Error>),
}

/// Result of making a page.
pub type Result<T> = std::result::Result<T, PageError>;

/// A line of a plot: values by seconds since the first period.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Returns the page, which has the text of the report below the plots.
///
/// # Errors
///
/// If a plot cannot be drawn.
pub fn page(summary: &Summary, counts: &LineCounts) -> Result<String> {
    let plots = [
        ("Requests a second by outcome", outcome_series(summary)),
        ("Times in ms", time_series(summary)),
        (
            "Hosts without the store by data centre",
            store_series(summary),
        ),
    ];
    let begin_ms = summary.periods().next().map_or(0, |(at, _)| at);
    let mut body = String::new();
    for (title, series) in &plots {
        if series.iter().any(|series| !series.points.is_empty()) {
            body += &plot(title, series, begin_ms)?;
        }
    }
    let text = escaped(&report::text(summary, counts));
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>Log report</title>\n\
         <body>\n{body}<pre>\n{text}</pre>\n</body>\n</html>\n"
    ))
}

/// Returns the begin of each period, in seconds since the first, with its content.
fn periods<T>(summary: &Summary, value: impl Fn(&Period) -> Option<T>) -> Vec<(f64, T)> {
    let begin_ms = summary.periods().next().map_or(0, |(at, _)| at);
    let periods = summary.periods();
    periods
        .filter_map(|(at, period)| Some((seconds(at - begin_ms), value(period)?)))
        .collect()
}

fn outcome_series(summary: &Summary) -> Vec<Series> {
    let width_s = seconds(summary.width_ms());
    let outcomes = report::outcomes(summary);
    let series = outcomes.iter().map(|(end, _)| Series {
        name: (*end).to_owned(),
        points: periods(summary, |period| {
            let count = period.ends.get(*end).copied().unwrap_or_default();
            Some(to_f64(count) / width_s)
        }),
    });
    series.collect()
}

fn time_series(summary: &Summary) -> Vec<Series> {
    let kinds = [
        (TimeKind::Answer, "answer"),
        (TimeKind::FirstEvent, "first event"),
    ];
    let mut series = Vec::new();
    for (kind, name) in kinds {
        for (quantile, quantile_name) in [(0.5, "p50"), (0.99, "p99")] {
            series.push(Series {
                name: format!("{name} {quantile_name}"),
                points: periods(summary, |period| {
                    let Times(times) = period.times.get(&kind)?;
                    Some(to_f64(times.value_at_quantile(quantile)))
                }),
            });
        }
    }
    series
}

/// Returns the hosts without the store at the end of each period.
fn store_series(summary: &Summary) -> Vec<Series> {
    let all = summary.periods().flat_map(|(_, period)| &period.places);
    let lost = all.filter(|(_, place)| place.store_losses != 0);
    let names: BTreeSet<&String> = lost.map(|(name, _)| name).collect();
    let mut series = Vec::new();
    for name in names {
        let losses = periods(summary, |period| {
            let place = period.places.get(name);
            Some(place.map_or(0, |place| place.store_losses))
        });
        let mut sum = 0_u64;
        let points = losses.into_iter().map(|(at, losses)| {
            sum = sum.saturating_add_signed(losses);
            (at, to_f64(sum))
        });
        series.push(Series {
            name: name.clone(),
            points: points.collect(),
        });
    }
    series
}

fn plot(title: &str, series: &[Series], begin_ms: u64) -> Result<String> {
    let points = || series.iter().flat_map(|series| &series.points);
    let last = points().map(|(at, _)| *at).fold(1.0, f64::max);
    let highest = points().map(|(_, value)| *value).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..last * LEGEND_ROOM, 0.0..highest * HEADROOM)?;
        chart
            .configure_mesh()
            .x_label_formatter(&|at| report::time_of_day(begin_ms + to_ms(*at)))
            .draw()?;
        for (n, line) in series.iter().take(MAX_SERIES).enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points = line.points.iter().copied();
            chart
                .draw_series(LineSeries::new(points, &color))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .background_style(WHITE.mix(0.8))
            .label_font(("sans-serif", LEGEND_PIXELS))
            .draw()?;
        root.present()?;
    }
    Ok(svg + "\n")
}

fn escaped(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

fn seconds(ms: u64) -> f64 {
    to_f64(ms) / 1000.0
}

#[allow(clippy::cast_precision_loss, reason = "plots need no exact values")]
fn to_f64(value: u64) -> f64 {
    value as f64
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "plots begin at 0, and casts saturate"
)]
fn to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}
