//! Formats results as a table and as an SVG chart.

use std::fmt::Write;

use crate::compare::{Row, Spread};

const BAR_WIDTH: f64 = 320.0;
const BAR_HEIGHT: usize = 14;
const LABEL_WIDTH: usize = 420;

/// Formats the rows as a Markdown table.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::from(
        "| measure | policy | median | mean | min … max | ratio to the better baseline |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows {
        let ratio = row.ratio.map_or(String::new(), |ratio| {
            format!(
                "{} ({} … {})",
                format_value(ratio.median),
                format_value(ratio.min),
                format_value(ratio.max)
            )
        });
        let Spread {
            min,
            median,
            mean,
            max,
        } = row.value;
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} … {} | {ratio} |",
            row.measure,
            row.variant,
            format_value(median),
            format_value(mean),
            format_value(min),
            format_value(max)
        );
    }
    text
}

fn format_value(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}

/// Draws a chart with a bar for the median of each row and a line from its minimum to its maximum.
pub fn svg(title: &str, rows: &[Row]) -> String {
    let height = (rows.len() + 2) * (BAR_HEIGHT + 4);
    let width = LABEL_WIDTH + BAR_WIDTH as usize + 80;
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"4\" y=\"14\">{}</text>\n",
        escape(title)
    );
    for (index, row) in rows.iter().enumerate() {
        let largest = rows
            .iter()
            .filter(|other| other.measure == row.measure)
            .map(|other| other.value.max)
            .fold(f64::MIN_POSITIVE, f64::max);
        let y = (index + 1) * (BAR_HEIGHT + 4);
        let scale = |value: f64| value / largest * BAR_WIDTH;
        let line_y = y + BAR_HEIGHT / 2;
        let _ = writeln!(
            text,
            "<text x=\"4\" y=\"{}\">{}: {}</text>\n\
             <rect x=\"{LABEL_WIDTH}\" y=\"{y}\" width=\"{:.1}\" height=\"{BAR_HEIGHT}\" fill=\"#8ab\"/>\n\
             <line x1=\"{:.1}\" x2=\"{:.1}\" y1=\"{line_y}\" y2=\"{line_y}\" stroke=\"#235\"/>\n\
             <text x=\"{:.1}\" y=\"{}\">{}</text>",
            y + BAR_HEIGHT - 3,
            escape(row.measure),
            escape(&row.variant),
            scale(row.value.median),
            LABEL_WIDTH as f64 + scale(row.value.min),
            LABEL_WIDTH as f64 + scale(row.value.max),
            LABEL_WIDTH as f64 + scale(row.value.max) + 4.0,
            y + BAR_HEIGHT - 3,
            format_value(row.value.median),
        );
    }
    text.push_str("</svg>\n");
    text
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
