//! A picture of how fast a service level's budget burns.

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, IntoDrawingArea, IntoFont, LineSeries, RED, SVGBackend, WHITE,
};
use policy::burn::{Series, WINDOWS};
use policy::time::Millis;

const WIDTH: u32 = 720;
const HEIGHT: u32 = 260;
/// Points of each line.
const POINTS: u64 = 180;
const MINUTE_MS: f64 = 60_000.0;
/// Highest rate drawn at least, so that a calm line lies low.
const RATE_MIN: f64 = 2.0;

/// The rate over the short and the long window of the fast pair, as SVG.
///
/// # Errors
/// When the plotting library refuses; the message is its own.
pub fn svg(title: &str, series: &Series, objective: f64, now: Millis) -> Result<String, String> {
    let [fast, _] = WINDOWS;
    let line = |window_ms: u64| -> Vec<(f64, f64)> {
        (0..=POINTS)
            .map(|point| {
                let ago = fast.long_ms * (POINTS - point) / POINTS;
                let rate = series.window(window_ms, now - ago).burn_rate(objective);
                (-(ago as f64) / MINUTE_MS, rate)
            })
            .collect()
    };
    let (short, long) = (line(fast.short_ms), line(fast.long_ms));
    let points = short.iter().chain(&long);
    let top = points.fold(RATE_MIN, |top, (_, rate)| top.max(*rate)) * 1.1;
    let mut text = String::new();
    draw(&mut text, title, [short, long], top).map_err(|error| error.to_string())?;
    Ok(text)
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw(text: &mut String, title: &str, lines: [Vec<(f64, f64)>; 2], top: f64) -> Drawn {
    let [fast, _] = WINDOWS;
    let minutes = -(fast.long_ms as f64) / MINUTE_MS;
    let root = SVGBackend::with_string(text, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(minutes..0.0, 0.0..top)?;
    chart.configure_mesh().x_desc("minutes").y_desc("times the allowed errors").draw()?;
    let threshold = [(minutes, fast.threshold), (0.0, fast.threshold)];
    let [short, long] = lines;
    chart.draw_series(LineSeries::new(short, &RED))?;
    chart.draw_series(LineSeries::new(long, &BLUE))?;
    chart.draw_series(LineSeries::new(threshold, &BLACK))?;
    root.present()?;
    Ok(())
}
