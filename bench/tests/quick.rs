//! Runs the whole benchmark for a short simulated time.

use bench::metrics;
use bench::variant::VARIANTS;
use bench::workload::{DEPLOYMENTS, WorkloadTrace};
use bench::{QUICK_RUN_MS, scale, table};

/// Guards against a policy or baseline that violates an invariant, such as a team
/// above its limit or a task on two workers, and against tables without a variant.
///
/// Measured times are not checked, since they depend on the machine and the build
/// profile.
#[test]
fn invariants_hold_and_tables_are_complete() {
    for spec in &DEPLOYMENTS {
        let trace = WorkloadTrace::build(spec, 7, QUICK_RUN_MS);
        let (rows, violations) = bench::run_variants(&trace, 2);
        assert_eq!(violations, Vec::<String>::new(), "{}", spec.name);
        for text in [table::format_figures(&rows), table::format_baseline_ratios(&rows)] {
            let has_row =
                |name: &str| text.lines().any(|line| line.starts_with(&format!("| {name} |")));
            let missing: Vec<_> =
                VARIANTS.iter().filter(|variant| !has_row(variant.name)).collect();
            assert!(missing.is_empty(), "{missing:?} are missing in\n{text}");
            let column_counts: Vec<usize> =
                text.lines().map(|line| line.matches('|').count()).collect();
            assert!(
                column_counts.iter().all(|count| *count == column_counts[0]),
                "ragged table\n{text}"
            );
        }
        for row in &rows {
            assert!(row.utilization > 0.1, "{} did {} of the work", row.variant, row.utilization);
            assert!(
                row.reserved_fraction <= 1.0 && row.used_fraction <= 1.0,
                "{} is overcommitted",
                row.variant
            );
        }
    }
}

/// Guards against traces that differ although they are built from the same seed;
/// figures of different versions could then not be compared.
#[test]
fn a_seed_fixes_the_workload() {
    let [first, second] = [0, 1].map(|_| WorkloadTrace::build(&DEPLOYMENTS[0], 3, QUICK_RUN_MS));
    assert_eq!(format!("{first:?}"), format!("{second:?}"));
}

/// Guards against runs of the same trace that end differently, for instance because
/// a decision depends on the iteration order of a hash map.
#[test]
fn a_seed_fixes_the_decisions() {
    let trace = WorkloadTrace::build(&DEPLOYMENTS[1], 5, QUICK_RUN_MS);
    let [first, second] = [0, 1].map(|_| VARIANTS[0].run(&trace, true));
    assert_eq!(first.decisions, second.decisions);
    assert_eq!(first.task_work_ms.to_bits(), second.task_work_ms.to_bits());
    assert_eq!(first.share_distance().to_bits(), second.share_distance().to_bits());
}

/// Guards against fair shares that give a team more than it demands, or that do not
/// split what such a team leaves among the others by weight.
#[test]
fn unused_shares_are_split_by_weight() {
    let shares = metrics::compute_fair_shares(&[(400.0, 0.1), (300.0, 1.0), (100.0, 1.0)]);
    let expected = [0.1, 0.675, 0.225];
    for (share, expected) in shares.iter().zip(expected) {
        assert!((share - expected).abs() < 1e-9, "{shares:?}");
    }
}

/// Guards against a scale measurement that stops early or leaves out a size of the fleet.
#[test]
fn scale_table_has_every_size() {
    let text = scale::measure_table(7, true);
    assert!(text.lines().count() >= 2 + 5 + 2, "{text}");
}
