//! Tests of the times at which jobs are read again after writes without an answer.

use fleet::reread::RereadSchedule;
use model::time::ClockMillis;

/// Returns the times of all reads, in milliseconds.
fn reads(mut schedule: RereadSchedule) -> Vec<u64> {
    let mut times = Vec::new();
    while let Some(at) = schedule.next_read() {
        schedule.begin_read(at);
        times.push(at.0);
    }
    times
}

/// Guards against an accepted job that waits for seconds because its write got no answer while the
/// reads after an earlier write were still being made.
#[test]
fn each_unanswered_write_is_followed_by_its_own_reads() {
    let mut schedule = RereadSchedule::default();
    schedule.add_write(ClockMillis(0));
    assert_eq!(reads(schedule.clone()), [500, 1_500, 4_500, 9_500]);
    schedule.begin_read(ClockMillis(1_500));
    schedule.add_write(ClockMillis(1_500));
    assert_eq!(reads(schedule), [2_000, 3_000, 4_500, 6_000, 9_500, 11_000]);
}

/// Guards against a table service that is read all the time while many writes get no answer.
#[test]
fn reads_after_many_writes_are_made_together() {
    let mut schedule = RereadSchedule::default();
    for at in 0..1_000 {
        schedule.add_write(ClockMillis(at));
    }
    let times = reads(schedule);
    assert!(times.len() <= 12, "{times:?}");
    for at in [200, 700, 1_199] {
        let is_read = times.iter().any(|time| (at..at + 500).contains(time));
        assert!(is_read, "the write at {} ms has no read soon after: {times:?}", at - 200);
    }
}
