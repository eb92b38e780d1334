//! Expected durations of runs.

use model::name::QueueName;
use plan::duration::DurationTable;

/// Guards against expectations that follow a few long runs instead of the usual ones.
#[test]
fn few_long_runs_do_not_move_the_expectation() {
    let queue = QueueName::from("urgent");
    let mut table = DurationTable::default();
    assert!((table.expected_ms(&queue, 1_000) - 1_000.0).abs() < 1e-6);
    for number in 0..400 {
        let work_ms = if number % 33 == 0 { 14_000.0 } else { 2_000.0 };
        table.record(&queue, 1_000, work_ms);
    }
    let expected_ms = table.expected_ms(&queue, 500);
    assert!((950.0..1_100.0).contains(&expected_ms), "{expected_ms}");
}
