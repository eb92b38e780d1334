//! Tests of the time that is reserved for running a request.

use std::time::Duration;

use entry::http::estimate::RunEstimate;

/// Guards against a queue that refuses every request for ever. After one answer
/// that takes longer than the deadline, an unbounded estimate would leave no time
/// to wait for a slot; no request would be sent, and the estimate would never fall.
#[test]
fn slow_answer_leaves_time_to_wait_for_a_slot() {
    let queue = "sheets".into();
    let mut estimate = RunEstimate::default();
    let remaining = Duration::from_secs(2);
    assert_eq!(estimate.estimate_reserve(&queue, remaining), Duration::ZERO, "nothing is known");
    estimate.record_run_time(&queue, Duration::from_secs(5));
    assert_eq!(estimate.estimate_reserve(&queue, remaining), Duration::from_secs(1));
    for _ in 0..50 {
        estimate.record_run_time(&queue, Duration::from_millis(20));
    }
    assert!(estimate.estimate_reserve(&queue, remaining) < Duration::from_millis(200));
}
