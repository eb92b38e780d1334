//! The figures as Markdown tables.

use std::fmt::Write;

use crate::metrics;
use crate::variant::{BASELINE, PercentileTriple, VariantFigures};

/// Name of a column, and the figure of which it shows the ratio.
type RatioColumn = (&'static str, fn(&VariantFigures) -> f64);

const RATIO_COLUMNS: [RatioColumn; 11] = [
    ("urgent p99", |row| row.waits_s[0][1]),
    ("normal p50", |row| row.waits_s[1][0]),
    ("normal p99", |row| row.waits_s[1][1]),
    ("batch p50", |row| row.waits_s[2][0]),
    ("batch p99", |row| row.waits_s[2][1]),
    ("reserved", |row| row.reserved_fraction),
    ("used", |row| row.used_fraction),
    ("share distance", |row| row.share_distance),
    ("change", |row| row.outage_work_ratio),
    ("work/bound", |row| row.utilization),
    ("cost p99", |row| row.call_cost_us[1]),
];

/// Returns a table of the figures of one deployment, one variant a row.
#[must_use]
pub fn format_figures(rows: &[VariantFigures]) -> String {
    let mut text = String::from("| variant |");
    for class in metrics::URGENCY_NAMES {
        let _ = write!(text, " {class} wait p50/p99/max s |");
    }
    text.push_str(
        " refused % | failed jobs | out of memory | preempted | reserved | used | share distance | change | work/bound | by morning | decisions/s | cost p50/p99/max us |\n",
    );
    text.push_str(&"|---".repeat(16));
    text.push_str("|\n");
    for row in rows {
        let _ = write!(text, "| {} |", row.variant);
        for wait in row.waits_s {
            let _ = write!(text, " {} |", format_triple(wait));
        }
        let _ = writeln!(
            text,
            " {:.2} | {:.0} | {:.0} | {:.0} | {:.3} | {:.3} | {:.4} | {:.3} | {:.3} | {:.3} | {:.0} | {} |",
            row.refused_percent,
            row.failed_jobs,
            row.oom_failures,
            row.preemptions,
            row.reserved_fraction,
            row.used_fraction,
            row.share_distance,
            row.outage_work_ratio,
            row.utilization,
            row.on_time_fraction,
            row.decisions_per_s,
            format_triple(row.call_cost_us),
        );
    }
    text
}

fn format_triple(values: PercentileTriple) -> String {
    values
        .map(|value| if value < 100.0 { format!("{value:.2}") } else { format!("{value:.0}") })
        .join(" / ")
}

/// Returns a table of each figure divided by that of the baseline in the same run.
#[must_use]
pub fn format_baseline_ratios(rows: &[VariantFigures]) -> String {
    let Some(baseline) = rows.iter().find(|row| row.variant == BASELINE) else {
        return String::new();
    };
    format_ratios(rows, |_| Some(baseline))
}

/// Returns a table of each figure divided by the recorded one of the same variant.
#[must_use]
pub fn format_recorded_ratios(rows: &[VariantFigures], recorded: &[VariantFigures]) -> String {
    format_ratios(rows, |row| recorded.iter().find(|other| other.variant == row.variant))
}

/// Returns a table of each figure divided by that of its reference, with `-` where
/// there is no reference or the figure of the reference is 0.
fn format_ratios<'a>(
    rows: &[VariantFigures],
    reference: impl Fn(&VariantFigures) -> Option<&'a VariantFigures>,
) -> String {
    let names = RATIO_COLUMNS.map(|(name, _)| name).join(" | ");
    let mut text = format!("| variant | {names} |\n{}|\n", "|---".repeat(RATIO_COLUMNS.len() + 1));
    for row in rows {
        let _ = write!(text, "| {} |", row.variant);
        for (_, figure) in RATIO_COLUMNS {
            let ratio = reference(row)
                .map(figure)
                .filter(|value| *value > 0.0)
                .map(|value| figure(row) / value);
            let _ = match ratio {
                Some(ratio) => write!(text, " {ratio:.3} |"),
                None => write!(text, " - |"),
            };
        }
        text.push('\n');
    }
    text
}
