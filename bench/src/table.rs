//! Tables in Markdown.

use std::fmt::Write;

use crate::measure;
use crate::variant::{BASELINE, Spread, VariantFigures};

/// Columns of ratios: name, and the figure.
type RatioColumn = (&'static str, fn(&VariantFigures) -> f64);

const RATIOS: [RatioColumn; 11] = [
    ("urgent p99", |row| row.waits[0][1]),
    ("normal p50", |row| row.waits[1][0]),
    ("normal p99", |row| row.waits[1][1]),
    ("batch p50", |row| row.waits[2][0]),
    ("batch p99", |row| row.waits[2][1]),
    ("reserved", |row| row.reserved),
    ("used", |row| row.used),
    ("share distance", |row| row.share),
    ("change", |row| row.change),
    ("work/bound", |row| row.work),
    ("cost p99", |row| row.cost[1]),
];

/// Returns the figures of one deployment as a table.
#[must_use]
pub fn figures(rows: &[VariantFigures]) -> String {
    let mut text = String::from("| variant |");
    for class in measure::CLASSES {
        let _ = write!(text, " {class} wait p50/p99/max s |");
    }
    text.push_str(
        " refused % | failed jobs | out of memory | preempted | reserved | used | share distance | change | work/bound | by morning | decisions/s | cost p50/p99/max us |\n",
    );
    text.push_str(&"|---".repeat(16));
    text.push_str("|\n");
    for row in rows {
        let _ = write!(text, "| {} |", row.variant);
        for wait in row.waits {
            let _ = write!(text, " {} |", triple(wait));
        }
        let _ = writeln!(
            text,
            " {:.2} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | {:.4} | {:.3} | {:.3} | {:.3} | {:.0} | {} |",
            row.refused,
            row.failed,
            row.starved,
            row.preempted,
            row.reserved,
            row.used,
            row.share,
            row.change,
            row.work,
            row.punctual,
            row.rate,
            triple(row.cost),
        );
    }
    text
}

fn triple(values: Spread) -> String {
    values
        .map(|value| if value < 100.0 { format!("{value:.2}") } else { format!("{value:.0}") })
        .join(" / ")
}

/// Returns each figure divided by that of the baseline of the same run.
#[must_use]
pub fn to_baseline(rows: &[VariantFigures]) -> String {
    let Some(base) = rows.iter().find(|row| row.variant == BASELINE) else { return String::new() };
    ratios(rows, |_| Some(base))
}

/// Returns each figure divided by the recorded one of the same variant.
#[must_use]
pub fn to_recorded(rows: &[VariantFigures], recorded: &[VariantFigures]) -> String {
    ratios(rows, |row| recorded.iter().find(|other| other.variant == row.variant))
}

fn ratios<'a>(
    rows: &[VariantFigures],
    base: impl Fn(&VariantFigures) -> Option<&'a VariantFigures>,
) -> String {
    let names = RATIOS.map(|(name, _)| name).join(" | ");
    let mut text = format!("| variant | {names} |\n{}|\n", "|---".repeat(RATIOS.len() + 1));
    for row in rows {
        let _ = write!(text, "| {} |", row.variant);
        for (_, figure) in RATIOS {
            let ratio =
                base(row).map(figure).filter(|base| *base > 0.0).map(|base| figure(row) / base);
            let _ = match ratio {
                Some(ratio) => write!(text, " {ratio:.3} |"),
                None => write!(text, " - |"),
            };
        }
        text.push('\n');
    }
    text
}
