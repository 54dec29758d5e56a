//! Draws the results of an experiment as SVG.

use plotters::prelude::{
    BLACK, ChartBuilder, Color, IntoDrawingArea, IntoFont, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::report::Row;

const WIDTH: u32 = 900;
const HEIGHT: u32 = 400;

type DrawResult = Result<(), Box<dyn std::error::Error>>;

/// Which requests a chart shows the share of.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shown {
    /// Requests answered in full, in time or late.
    Served,
    /// Requests answered in full and in time.
    InTime,
}

/// Draws the share of requests served, by the second of their first sending; one line per strategy.
///
/// # Errors
/// The plotting library's message, if it fails.
pub fn shares(rows: &[Row], shown: Shown) -> Result<String, String> {
    let mut text = String::new();
    draw(&mut text, rows, shown).map_err(|error| error.to_string())?;
    Ok(text)
}

fn draw(text: &mut String, rows: &[Row], shown: Shown) -> DrawResult {
    let caption = match shown {
        Shown::Served => "requests served",
        Shown::InTime => "requests served in time",
    };
    let seconds = rows.iter().map(|row| row.seconds.len()).max().unwrap_or_default();
    let root = SVGBackend::with_string(text, (WIDTH, HEIGHT)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 16).into_font())
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds.max(1) as f64, 0.0..1.0)?;
    chart.configure_mesh().x_desc("seconds").y_desc("share").draw()?;
    for (index, row) in rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points(row, shown), &color))?
            .label(&row.way)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn points(row: &Row, shown: Shown) -> impl Iterator<Item = (f64, f64)> + '_ {
    row.seconds.iter().enumerate().map(move |(second, counts)| {
        let count = match shown {
            Shown::Served => counts.served(),
            Shown::InTime => counts.in_time,
        };
        (second as f64, counts.share(count))
    })
}
