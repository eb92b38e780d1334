//! Benchmark that compares the placement policy with baselines by simulation.
//!
//! Traces of jobs and requests, drawn from a seed, drive the real `policy` crate on
//! a virtual clock against simulated workers (docs/benchmarks.md).

pub mod metrics;
pub mod record;
pub mod scale;
pub mod simulation;
pub mod table;
pub mod variant;
pub mod worker;
pub mod workload;

use std::sync::Mutex;

use crate::variant::{PolicyVariant, VARIANTS, VariantFigures};
use crate::workload::WorkloadTrace;

/// Simulated milliseconds of a full run.
pub const FULL_RUN_MS: u64 = 3_600_000;
/// Simulated milliseconds of a quick run, which checks the simulator but is too short
/// for meaningful figures.
pub const QUICK_RUN_MS: u64 = 60_000;

/// Runs every variant on a trace and returns the figures and the violated invariants.
///
/// Each variant runs with and without the outage of a domain, `thread_count`
/// variants at the same time.
///
/// # Panics
/// If a run panics.
#[must_use]
pub fn run_variants(
    trace: &WorkloadTrace,
    thread_count: usize,
) -> (Vec<VariantFigures>, Vec<String>) {
    let remaining = Mutex::new(0..VARIANTS.len());
    let figures = Mutex::new(vec![VariantFigures::default(); VARIANTS.len()]);
    let violations = Mutex::new(Vec::new());
    let run_remaining = || {
        loop {
            let Some(index) = remaining.lock().expect("no run panicked").next() else { return };
            let (row, found) = run_variant(&VARIANTS[index], trace);
            figures.lock().expect("no run panicked")[index] = row;
            violations.lock().expect("no run panicked").extend(found);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..thread_count.max(1) {
            scope.spawn(run_remaining);
        }
    });
    (
        figures.into_inner().expect("no run panicked"),
        violations.into_inner().expect("no run panicked"),
    )
}

fn run_variant(variant: &PolicyVariant, trace: &WorkloadTrace) -> (VariantFigures, Vec<String>) {
    let with_outage = variant.run(trace, true);
    let without_outage = variant.run(trace, false);
    let figures = VariantFigures::from_runs(variant.name, &with_outage, &without_outage);
    let found = with_outage.violations.into_iter().chain(without_outage.violations);
    (figures, found.map(|text| format!("{} {}: {text}", trace.name, variant.name)).collect())
}
