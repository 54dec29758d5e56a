//! Charts of a report, as SVG.

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Circle, IntoDrawingArea, IntoFont, LineSeries, RED, RGBColor,
    SVGBackend, WHITE,
};

use crate::report::{Group, Report};
use crate::request::Outcome;

const WIDTH_PX: u32 = 720;
const HEIGHT_PX: u32 = 320;
const ORANGE: RGBColor = RGBColor(230, 140, 0);

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Draws the shares of late (orange), refused (blue) and failed (red) requests over time.
///
/// # Errors
/// The plotting library's message, if it can't draw the chart.
pub fn outcomes(report: &Report) -> Result<String, String> {
    let share = |group: &Group, outcome| {
        let count = group.outcomes.get(&outcome).copied().unwrap_or_default();
        count as f64 / group.requests.max(1) as f64
    };
    let line = |outcome| -> Vec<(f64, f64)> {
        report.spans.iter().map(|(at, group)| (*at as f64, share(group, outcome))).collect()
    };
    let end = report.spans.keys().last().map_or(1.0, |at| *at as f64 + 1.0);
    let lines = [(Outcome::Late, ORANGE), (Outcome::Refused, BLUE), (Outcome::Failed, RED)];
    draw_svg(|text| {
        let root = SVGBackend::with_string(text, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("late, refused and failed by time", ("sans-serif", 16).into_font())
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..end, 0.0..1.0)?;
        chart.configure_mesh().x_desc("seconds").y_desc("share of requests").draw()?;
        for (outcome, color) in lines {
            chart.draw_series(LineSeries::new(line(outcome), &color))?;
        }
        root.present()?;
        Ok(())
    })
}

/// Draws the mean time to the head of an answer, expected against real, with one point for each
/// backend server. Points on the diagonal were estimated exactly.
///
/// # Errors
/// The plotting library's message, if it can't draw the chart.
pub fn calibration(report: &Report) -> Result<String, String> {
    let points: Vec<(f64, f64)> =
        report.backends.values().map(|row| (row.expected_ms, row.real_ms)).collect();
    let top = points.iter().fold(1.0_f64, |top, (x, y)| top.max(*x).max(*y)) * 1.1;
    draw_svg(|text| {
        let root = SVGBackend::with_string(text, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption("time to the head of an answer", ("sans-serif", 16).into_font())
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..top, 0.0..top)?;
        chart.configure_mesh().x_desc("expected, ms").y_desc("real, ms").draw()?;
        chart.draw_series(LineSeries::new([(0.0, 0.0), (top, top)], &BLACK))?;
        chart.draw_series(points.iter().map(|point| Circle::new(*point, 3, BLUE)))?;
        root.present()?;
        Ok(())
    })
}

fn draw_svg(draw: impl FnOnce(&mut String) -> DrawResult) -> Result<String, String> {
    let mut text = String::new();
    draw(&mut text).map_err(|error| error.to_string())?;
    Ok(text)
}
