//! Runs that stand still on workers that answer.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use plan::decision::{StartOrder, StopOrder};
use plan::job::StepSpec;
use plan::worker::{EndKind, PresentRun, StartAnswer};
use std::collections::BTreeSet;
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, present_run, step, stops, task};

/// Time after a start from which its run is judged, in milliseconds.
const START_GRACE_MS: u64 = 1_000;
/// Workers of most tests: two of a pool of twenty may be held back.
const WORKERS: usize = 20;

/// Starts a planner with a run of a job `busy` that shows that the workers measure processor use,
/// and runs of the steps as jobs `j0`, `j1` and so on.
fn start(steps: impl IntoIterator<Item = StepSpec>) -> (PlannerFixture, Vec<StartOrder>) {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("busy", "urgent", vec![step(1, cpu(WORKER_CPU))]));
    let busy = fixture.run_starts(StartAnswer::Started).remove(0);
    for (index, spec) in steps.into_iter().enumerate() {
        fixture.add(job(&format!("j{index}"), "normal", vec![spec]));
    }
    let orders = fixture.run_starts(StartAnswer::Started);
    fixture.now_ms += START_GRACE_MS;
    let present = PresentRun { measurement: 900, ..present_run(&busy) };
    fixture.report(&busy.worker, vec![present], Vec::new());
    (fixture, orders)
}

/// Reports the runs of these orders on one worker after a time, and returns the stops.
fn report_after(
    fixture: &mut PlannerFixture,
    delay_ms: u64,
    orders: &[StartOrder],
    change: impl Fn(PresentRun) -> PresentRun,
) -> Vec<StopOrder> {
    fixture.now_ms += delay_ms;
    let running = orders.iter().map(|order| change(present_run(order))).collect();
    fixture.report(&orders[0].worker, running, Vec::new());
    stops(fixture.decide())
}

/// Guards against capacity that a hanging worker holds: its runs use no processor time in two
/// reports, are stopped, and start elsewhere once their ends are listed.
#[test]
fn a_stalled_run_is_started_elsewhere() {
    let (mut fixture, orders) = start([step(1, cpu(1_000))]);
    assert!(report_after(&mut fixture, 0, &orders, |run| run).is_empty(), "one report");
    let ordered = report_after(&mut fixture, 900, &orders, |run| run);
    assert_eq!(ordered.len(), 1);
    assert_eq!((&ordered[0].task, ordered[0].reason), (&task("j0", 0), "stalled"));
    assert!(fixture.starts().is_empty(), "the run may be present until its end is listed");
    fixture.end(&orders[0], EndKind::Stopped);
    let restarted = fixture.starts();
    assert_eq!(restarted.len(), 1);
    assert_ne!(restarted[0].worker, orders[0].worker);
}

/// Guards against work that is thrown away: runs that are at work, held back, freshly started or
/// reported too soon are not stalled.
#[test]
fn runs_at_work_are_not_stalled() {
    let changes: [fn(PresentRun) -> PresentRun; 3] = [
        |run| PresentRun { measurement: 1, ..run },
        |run| PresentRun { saved: "more".into(), ..run },
        |run| PresentRun { speed_percent: 60, ..run },
    ];
    for change in changes {
        let (mut fixture, orders) = start([step(1, cpu(1_000))]);
        assert!(report_after(&mut fixture, 0, &orders, |run| run).is_empty());
        assert!(report_after(&mut fixture, 900, &orders, change).is_empty());
        assert!(report_after(&mut fixture, 800, &orders, |run| run).is_empty());
    }
    let (mut fixture, orders) = start([step(1, cpu(1_000))]);
    fixture.now_ms -= 400;
    let mut unjudged = 0;
    for delay_ms in [0, 300, 300, 500] {
        unjudged += report_after(&mut fixture, delay_ms, &orders, |run| run).len();
    }
    assert_eq!(unjudged, 0, "the first reports are too early, the others too close");
}

/// Guards against judging what uses no processor by its nature: services, fillers, and tasks that
/// ask for none.
#[test]
fn services_and_fillers_are_not_judged() {
    let (mut fixture, orders) = start([
        StepSpec { service: true, ..step(1, cpu(1_000)) },
        StepSpec { filler: true, ..step(1, cpu(1_000)) },
        step(1, cpu(0)),
    ]);
    assert_eq!(orders.len(), 3);
    for order in orders {
        for delay_ms in [0, 900, 900] {
            let order = std::slice::from_ref(&order);
            assert!(report_after(&mut fixture, delay_ms, order, |run| run).is_empty());
        }
    }
}

/// Guards against a fleet that stops all its runs because its workers do not measure the use of
/// the processor.
#[test]
fn nothing_is_judged_where_use_is_not_measured() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("j0", "normal", vec![step(1, cpu(1_000))]));
    let orders = fixture.run_starts(StartAnswer::Started);
    for _ in 0..4 {
        assert!(report_after(&mut fixture, START_GRACE_MS, &orders, |run| run).is_empty());
    }
}

/// Guards against a task that never ends because it uses no processor anywhere.
#[test]
fn a_task_is_stopped_on_three_workers_at_most() {
    let (mut fixture, mut orders) = start([step(1, cpu(1_000))]);
    for _ in 0..3 {
        report_after(&mut fixture, START_GRACE_MS, &orders, |run| run);
        assert_eq!(report_after(&mut fixture, 900, &orders, |run| run).len(), 1);
        fixture.end(&orders[0], EndKind::Stopped);
        orders = fixture.run_starts(StartAnswer::Started);
    }
    report_after(&mut fixture, START_GRACE_MS, &orders, |run| run);
    assert!(report_after(&mut fixture, 900, &orders, |run| run).is_empty());
}

/// Guards against a worker whose silence ends: what it reported before says nothing about now.
#[test]
fn reports_from_before_a_silence_do_not_count() {
    let (mut fixture, orders) = start([step(1, cpu(1_000))]);
    report_after(&mut fixture, 0, &orders, |run| run);
    fixture.planner.set_silent(&orders[0].worker, true);
    assert!(report_after(&mut fixture, 2_000, &orders, |run| run).is_empty());
}

/// Guards against a hanging worker that gets one task after the other, and against a tenth of the
/// pool that is held back by a fault of the measurement.
#[test]
fn a_worker_with_two_stalled_jobs_gets_no_starts() {
    let whole = step(1, cpu(WORKER_CPU / 2));
    let (mut fixture, orders) = start(vec![whole; 8]);
    let mut stalled = BTreeSet::new();
    for pair in orders.chunks(2) {
        assert_eq!(pair[0].worker, pair[1].worker, "two runs fill a worker");
        stalled.insert(pair[0].worker.clone());
        report_after(&mut fixture, 0, pair, |run| run);
    }
    fixture.now_ms += 900;
    for pair in orders.chunks(2) {
        assert_eq!(report_after(&mut fixture, 0, pair, |run| run).len(), 2);
    }
    for order in &orders {
        fixture.end(order, EndKind::Stopped);
    }
    fixture.add(job("all", "normal", vec![step(19, cpu(WORKER_CPU / 2 + 1))]));
    let started = fixture.starts();
    let used: BTreeSet<_> = started.iter().map(|order| &order.worker).collect();
    let held = stalled.iter().filter(|name| !used.contains(name)).count();
    assert_eq!(held, 2, "of 20 workers, two may be held back");
}

/// Guards against a gang that is judged by members that wait for others, and against stopping a
/// part of it only.
#[test]
fn a_gang_with_a_stalled_member_is_stopped_whole() {
    let members = StepSpec { gang: true, ..step(3, cpu(WORKER_CPU)) };
    let (mut fixture, orders) = start([members.clone()]);
    report_after(&mut fixture, 0, &orders[..1], |run| run);
    let ordered = report_after(&mut fixture, 900, &orders[..1], |run| run);
    let reasons: Vec<_> = ordered.iter().map(|stop| stop.reason).collect();
    assert_eq!(reasons, ["stalled", "gang-broken", "gang-broken"]);

    let (mut fixture, orders) = start([members.clone()]);
    report_after(&mut fixture, 0, &orders[..1], |run| PresentRun { measurement: 900, ..run });
    for _ in 0..3 {
        let ordered = report_after(&mut fixture, 900, &orders[..1], |run| run);
        assert!(ordered.is_empty(), "the member may have done its part");
    }

    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("gang", "normal", vec![members]));
    let orders = fixture.starts();
    fixture.answer(&orders[0], StartAnswer::Started);
    for _ in 0..3 {
        assert!(report_after(&mut fixture, 1_000, &orders[..1], |run| run).is_empty());
    }
}

/// Guards against a worker that hangs in the middle of its runs: the member of a gang that was at
/// work is judged where a run of another job stands still as well.
#[test]
fn a_gang_is_judged_beside_another_stalled_run() {
    let members = StepSpec { gang: true, ..step(3, cpu(WORKER_CPU / 2)) };
    let (mut fixture, orders) = start([members, step(1, cpu(WORKER_CPU / 2))]);
    let is_beside =
        |order: &&StartOrder| order.task == task("j0", 2) || order.task == task("j1", 0);
    let beside: Vec<_> = orders.iter().filter(is_beside).cloned().collect();
    assert_eq!(beside[0].worker, beside[1].worker, "the single run shares a worker with a member");
    report_after(&mut fixture, 0, &beside, |run| PresentRun { measurement: 900, ..run });
    assert!(report_after(&mut fixture, 900, &beside, |run| run).is_empty());
    let ordered = report_after(&mut fixture, 900, &beside, |run| run);
    assert_eq!(ordered.len(), 4, "the single run and all members: {ordered:?}");
}
