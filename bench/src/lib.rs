//! Benchmark of the policy: recorded event lists drive the real decision crate
//! on a virtual clock, with small fakes for the workers (docs/benchmarks.md).

pub mod fleet;
pub mod measure;
pub mod record;
pub mod scale;
pub mod table;
pub mod variant;
pub mod worker;
pub mod workload;

use std::sync::Mutex;

use crate::variant::{PolicyVariant, VARIANTS, VariantFigures};
use crate::workload::WorkloadList;

/// Milliseconds of a full run.
pub const FULL_MS: u64 = 3_600_000;
/// Milliseconds of a quick run, which shows that everything works but measures nothing.
pub const QUICK_MS: u64 = 60_000;

/// Runs every variant on a workload, `threads` runs at a time.
///
/// # Panics
/// If a run panics.
#[must_use]
pub fn compare(list: &WorkloadList, threads: usize) -> (Vec<VariantFigures>, Vec<String>) {
    let left = Mutex::new(0..VARIANTS.len());
    let rows = Mutex::new(vec![VariantFigures::default(); VARIANTS.len()]);
    let breaches = Mutex::new(Vec::new());
    let work = || {
        loop {
            let Some(index) = left.lock().expect("no run panicked").next() else { return };
            let (figures, found) = run_variant(&VARIANTS[index], list);
            rows.lock().expect("no run panicked")[index] = figures;
            breaches.lock().expect("no run panicked").extend(found);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(work);
        }
    });
    (rows.into_inner().expect("no run panicked"), breaches.into_inner().expect("no run panicked"))
}

fn run_variant(variant: &PolicyVariant, list: &WorkloadList) -> (VariantFigures, Vec<String>) {
    let changed = variant.run(list, true);
    let steady = variant.run(list, false);
    let figures = VariantFigures::new(variant.name, &changed, &steady);
    let found = changed.breaches.into_iter().chain(steady.breaches);
    (figures, found.map(|text| format!("{} {}: {text}", list.name, variant.name)).collect())
}
