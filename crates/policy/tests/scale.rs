//! Cost of decisions in a domain of the largest size (docs/design.md, section 1.4).

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use policy::event::{CellDecision, CellEvent, EndKind};
use policy::rules;
use support::{Start, TestCell, amounts, object_set, starts};

/// Most workers that one decision may consider, whatever the size of the fleet.
const MAX_CONSIDERED: u32 = 128;

fn percentile(times: &mut [Duration], percent: usize) -> Duration {
    times.sort_unstable();
    times.get((times.len() * percent / 100).min(times.len() - 1)).copied().unwrap_or_default()
}

/// Returns the most workers that one of the decisions considered.
fn max_considered(decisions: &[CellDecision]) -> u32 {
    let considered = decisions.iter().filter_map(|decision| match decision {
        CellDecision::StartTask { reason, .. } | CellDecision::GrantRequest { reason, .. } => {
            Some(reason.considered)
        }
        _ => None,
    });
    considered.max().unwrap_or(0)
}

/// Fills a cell with tasks until none fits any more.
fn fill(cell: &mut TestCell, workers: usize) -> Vec<Start> {
    let mut running = Vec::new();
    for index in 0..workers * 3 {
        let queue = ["a-batch", "b-firm", "c-batch", "a-service", "b-batch"][index % 5];
        let size = [amounts(1, 4, 0, 0), amounts(1, 2, 0, 0), amounts(2, 6, 0, 0)][index % 3];
        running.extend(starts(&cell.submit(&format!("fill{index}"), queue, 9, size)));
        running.extend(starts(&cell.advance(1)));
    }
    running
}

/// Guards against decisions whose cost grows with the number of workers, as when all of
/// them are visited. Times are only printed, since they depend on the machine and the
/// build profile.
#[test]
fn cost_stays_bounded_in_a_full_fleet() {
    for workers in [575, 2_300] {
        let mut cell = TestCell::with_set(object_set(workers, amounts(32, 128, 0, 8)));
        let mut running = fill(&mut cell, workers);
        assert!(running.len() > workers * 20, "{} tasks on {workers} workers", running.len());
        let (mut times, mut considered, mut placed) = (Vec::new(), 0, 0);
        for round in 0..4_000 {
            let start = running.swap_remove(round * 7_919 % running.len());
            cell.now += 3;
            let begin = Instant::now();
            let mut decisions = cell.end_task(&start, EndKind::Done);
            times.push(begin.elapsed());
            let begin = Instant::now();
            decisions.extend(match round % 4 {
                0 => cell.submit(&format!("u{round}"), "c-urgent", 1, amounts(1, 4, 0, 0)),
                1 => cell.request_slot(round as u64, "a-now", 1_000),
                2 => cell.submit(&format!("n{round}"), "b-batch", 2, amounts(1, 4, 0, 0)),
                _ => cell.advance(50),
            });
            times.push(begin.elapsed());
            considered = considered.max(max_considered(&decisions));
            placed += starts(&decisions).len();
            running.extend(starts(&decisions));
        }
        let worst = times.iter().max().copied().unwrap_or_default();
        let (median, late) = (percentile(&mut times, 50), percentile(&mut times, 99));
        println!(
            "{workers} workers, {} tasks: {placed} placed, p50 {median:?}, p99 {late:?}, worst {worst:?}, at most {considered} considered",
            running.len()
        );
        let event = CellEvent::Config(Arc::new(object_set(workers, amounts(32, 128, 0, 8))));
        let begin = Instant::now();
        cell.apply_event(event);
        let config = begin.elapsed();
        let on_worker = running.iter().filter(|start| start.worker.as_str() == "w7");
        let tasks: Vec<_> = on_worker.map(|start| support::reported_task(start, "a")).collect();
        let begin = Instant::now();
        cell.report("w7", tasks);
        println!("configuration {config:?}, full report {:?}", begin.elapsed());
        assert!(placed > 2_000, "only {placed} tasks were placed");
        assert!(considered <= MAX_CONSIDERED, "{considered} workers for one placement");
    }
}

/// Guards against a large job whose start or cancellation delays other events because it
/// is handled in one event.
#[test]
fn large_jobs_are_spread_over_events() {
    let mut cell = TestCell::with_set(object_set(200, amounts(32, 128, 0, 8)));
    let mut started = starts(&cell.submit("j", "a-firm", 5_000, amounts(1, 1, 0, 0))).len();
    assert_eq!(started, rules::MAX_STARTS_PER_EVENT);
    while started < 5_000 {
        let more = starts(&cell.advance(1)).len();
        assert!(more > 0 && more <= rules::MAX_STARTS_PER_EVENT);
        started += more;
    }
    let cancelled = policy::event::CellEvent::JobCancelled("j".into());
    let mut stopped = support::stops(&cell.apply_event(cancelled)).len();
    assert_eq!(stopped, rules::MAX_STOPS_PER_EVENT);
    while stopped < 5_000 {
        let more = support::stops(&cell.advance(1)).len();
        assert!(more > 0 && more <= rules::MAX_STOPS_PER_EVENT);
        stopped += more;
    }
}

/// Guards against a tick that visits all tasks or workers although nothing has changed.
#[test]
fn idle_ticks_are_cheap() {
    let mut cell = TestCell::with_set(object_set(2_300, amounts(32, 128, 0, 8)));
    // Fewer tasks than fit, so that no work is left waiting.
    assert!(fill(&mut cell, 1_700).len() > 45_000);
    cell.advance(60_000);
    cell.advance(60_000);
    let begin = Instant::now();
    for _ in 0..10_000 {
        assert!(cell.advance(1).is_empty());
    }
    // 100 us a tick is far above the cost of an idle one in any build, and below that of
    // visiting 54,000 tasks.
    assert!(begin.elapsed() < Duration::from_secs(1), "{:?}", begin.elapsed());
}
