//! Runs that stand still on workers that answer.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use plan::decision::{StartOrder, StopOrder};
use plan::job::StepSpec;
use plan::worker::{EndKind, PresentRun, RunReport, StartAnswer};
use std::collections::BTreeSet;
use support::{
    INCARNATION, PlannerFixture, WORKER_CPU, config, cpu, job, present_run, step, stops, task,
};

/// Time after a start from which its run is judged, in milliseconds.
const GRACE_MS: u64 = 1_000;
/// Workers of the pool, of which two may be held back.
const WORKERS: usize = 20;

/// Starts a planner with a run that shows that the workers measure processor use, and the steps as
/// jobs `j0`, `j1` and so on, `GRACE_MS` ago.
fn start(steps: impl IntoIterator<Item = StepSpec>) -> (PlannerFixture, Vec<StartOrder>) {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("busy", "urgent", vec![step(1, cpu(WORKER_CPU))]));
    let busy = fixture.run_starts(StartAnswer::Started);
    for (index, spec) in steps.into_iter().enumerate() {
        fixture.add(job(&format!("j{index}"), "normal", vec![spec]));
    }
    let orders = fixture.run_starts(StartAnswer::Started);
    report_after(&mut fixture, GRACE_MS, &busy, at_work);
    (fixture, orders)
}

/// Reports runs on the worker of the first one after a time, and returns the stops.
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

fn idle(run: PresentRun) -> PresentRun {
    run
}

fn at_work(run: PresentRun) -> PresentRun {
    PresentRun { measurement: 900, ..run }
}

/// Guards against capacity that a hanging worker holds, and against a task that never ends because
/// it uses no processor anywhere: after three workers it is left alone.
#[test]
fn a_stalled_run_is_started_elsewhere() {
    let (mut fixture, mut orders) = start([step(1, cpu(1_000))]);
    for _ in 0..3 {
        assert!(report_after(&mut fixture, GRACE_MS, &orders, idle).is_empty(), "one report");
        let ordered = report_after(&mut fixture, 900, &orders, idle);
        assert_eq!((ordered.len(), ordered[0].reason), (1, "stalled"));
        assert!(fixture.starts().is_empty(), "the run may be present until its end is listed");
        fixture.end(&orders[0], EndKind::Stopped);
        let restarted = fixture.run_starts(StartAnswer::Started);
        assert_ne!(restarted[0].worker, orders[0].worker);
        orders = restarted;
    }
    report_after(&mut fixture, GRACE_MS, &orders, idle);
    assert!(report_after(&mut fixture, 900, &orders, idle).is_empty());
}

/// Guards against work that is thrown away: runs that are at work, held back, freshly started, or
/// reported too soon or before a silence are not stalled, nor what uses no processor by its nature,
/// nor anything where the workers do not measure it.
#[test]
fn runs_at_work_are_not_stalled() {
    let changes: [fn(PresentRun) -> PresentRun; 3] = [
        |run| PresentRun { measurement: 1, ..run },
        |run| PresentRun { saved: "more".into(), ..run },
        |run| PresentRun { speed_percent: 60, ..run },
    ];
    for change in changes {
        let (mut fixture, orders) = start([step(1, cpu(1_000))]);
        for (delay_ms, change) in [(0, idle as fn(_) -> _), (900, change), (800, idle)] {
            assert!(report_after(&mut fixture, delay_ms, &orders, change).is_empty());
        }
        fixture.planner.set_silent(&orders[0].worker, true);
        assert!(report_after(&mut fixture, 2_000, &orders, idle).is_empty());
    }
    let (mut fixture, orders) = start([step(1, cpu(1_000))]);
    fixture.now_ms -= 400;
    for delay_ms in [0, 300, 300, 500] {
        assert!(report_after(&mut fixture, delay_ms, &orders, idle).is_empty());
    }
    let (mut fixture, orders) = start([
        StepSpec { service: true, ..step(1, cpu(1_000)) },
        StepSpec { filler: true, ..step(1, cpu(1_000)) },
        step(1, cpu(0)),
    ]);
    let mut unmeasured = PlannerFixture::new(WORKERS, config());
    unmeasured.add(job("j0", "normal", vec![step(1, cpu(1_000))]));
    let unmeasured_orders = unmeasured.run_starts(StartAnswer::Started);
    assert_eq!((orders.len(), unmeasured_orders.len()), (3, 1));
    for order in orders.chunks(1).flat_map(|order| [order; 3]) {
        assert!(report_after(&mut fixture, 900, order, idle).is_empty());
        assert!(report_after(&mut unmeasured, 900, &unmeasured_orders, idle).is_empty());
    }
}

/// Guards against a hanging worker that gets one task after the other, and against more than a
/// tenth of the pool that is held back, for instance by a fault of the measurement.
#[test]
fn a_worker_with_two_stalled_jobs_gets_no_starts() {
    let (mut fixture, orders) = start(vec![step(1, cpu(WORKER_CPU / 2)); 8]);
    for delay_ms in [0, 900] {
        fixture.now_ms += delay_ms;
        for pair in orders.chunks(2) {
            assert_eq!(pair[0].worker, pair[1].worker, "two runs fill a worker");
            let ordered = report_after(&mut fixture, 0, pair, idle);
            assert_eq!(ordered.len(), if delay_ms == 0 { 0 } else { 2 });
        }
    }
    for order in &orders {
        fixture.end(order, EndKind::Stopped);
    }
    fixture.add(job("all", "normal", vec![step(19, cpu(WORKER_CPU / 2 + 1))]));
    let used: BTreeSet<_> = fixture.starts().into_iter().map(|order| order.worker).collect();
    let stalled: BTreeSet<_> = orders.into_iter().map(|order| order.worker).collect();
    assert_eq!((stalled.len(), stalled.difference(&used).count()), (4, 2));
}

/// Guards against a gang of which a part is stopped, and against one that is stopped because its
/// members wait for others: for those that have not started, or after they have done their part.
#[test]
fn a_gang_is_stopped_whole_and_only_if_it_does_not_wait() {
    let members = StepSpec { gang: true, ..step(3, cpu(WORKER_CPU / 2)) };
    let (mut fixture, orders) = start([members.clone()]);
    report_after(&mut fixture, 0, &orders[2..], idle);
    let ordered = report_after(&mut fixture, 900, &orders[2..], idle);
    let mut reasons: Vec<_> = ordered.iter().map(|stop| stop.reason).collect();
    reasons.sort_unstable();
    assert_eq!(reasons, ["gang-broken", "gang-broken", "stalled"]);

    let mut fixture = start([]).0;
    fixture.add(job("gang", "normal", vec![members.clone()]));
    let unstarted = fixture.starts();
    fixture.answer(&unstarted[0], StartAnswer::Started);
    for _ in 0..3 {
        assert!(report_after(&mut fixture, 1_000, &unstarted[..1], idle).is_empty());
    }

    // A single run beside the member shows that the worker hangs.
    let (mut fixture, orders) = start([members, step(1, cpu(WORKER_CPU / 2))]);
    let shared = [task("j0", 2), task("j1", 0)];
    let beside: Vec<_> =
        orders.iter().filter(|order| shared.contains(&order.task)).cloned().collect();
    assert_eq!(beside[0].worker, beside[1].worker);
    report_after(&mut fixture, 0, &beside, at_work);
    for _ in 0..3 {
        let waiting = |run: PresentRun| if run.task == shared[0] { run } else { at_work(run) };
        assert!(report_after(&mut fixture, 900, &beside, waiting).is_empty());
    }
    report_after(&mut fixture, 900, &beside, idle);
    assert_eq!(report_after(&mut fixture, 900, &beside, idle).len(), 4);
}

/// Guards against a gang that is never judged again because several members stalled on one worker:
/// they are one stop of the three that a gang may have.
#[test]
fn members_that_stall_together_count_once() {
    let (mut fixture, mut orders) =
        start([StepSpec { gang: true, ..step(3, cpu(WORKER_CPU / 4)) }]);
    for stops in [3, 3, 3, 0] {
        assert!(orders.iter().all(|order| order.worker == orders[0].worker), "they share a worker");
        assert!(report_after(&mut fixture, GRACE_MS, &orders, idle).is_empty(), "one report");
        assert_eq!(report_after(&mut fixture, 900, &orders, idle).len(), stops);
        if stops > 0 {
            for order in &orders {
                fixture.end(order, EndKind::Stopped);
            }
            orders = fixture.run_starts(StartAnswer::Started);
        }
    }
}

/// Guards against a gang that is stopped beside a run that works without the processor, as its
/// three stops have shown: that one is no sign of a worker that hangs.
#[test]
fn a_waiting_member_is_not_judged_beside_a_run_that_is_left_alone() {
    let (mut fixture, mut orders) = start([step(1, cpu(1_000))]);
    for _ in 0..3 {
        report_after(&mut fixture, GRACE_MS, &orders, idle);
        assert_eq!(report_after(&mut fixture, 900, &orders, idle).len(), 1);
        fixture.end(&orders[0], EndKind::Stopped);
        orders = fixture.run_starts(StartAnswer::Started);
    }
    fixture.add(job("gang", "normal", vec![StepSpec { gang: true, ..step(2, cpu(1_000)) }]));
    orders.extend(fixture.run_starts(StartAnswer::Started));
    assert!(orders.iter().all(|order| order.worker == orders[0].worker), "they share a worker");
    let members_work =
        |run: PresentRun| if run.task.step.job.as_str() == "gang" { at_work(run) } else { run };
    assert!(report_after(&mut fixture, GRACE_MS, &orders, members_work).is_empty());
    for _ in 0..3 {
        assert!(report_after(&mut fixture, 900, &orders, idle).is_empty());
    }
}

/// Guards against a run that is stopped although a late report, which is no evidence of an idle
/// run, has shown it at work since the first idle report.
#[test]
fn a_late_report_ends_what_was_seen_before() {
    let (mut fixture, orders) = start([step(1, cpu(1_000))]);
    assert!(report_after(&mut fixture, GRACE_MS, &orders, idle).is_empty());
    let sent_ms = fixture.now_ms + 100;
    fixture.now_ms += 2_600;
    let running = vec![at_work(present_run(&orders[0]))];
    let late =
        RunReport { incarnation: INCARNATION, running, ended: Vec::new(), is_partial: false };
    fixture.planner.apply_report(&orders[0].worker, &late, sent_ms, fixture.now_ms);
    assert!(report_after(&mut fixture, 100, &orders, idle).is_empty(), "one report");
    assert_eq!(report_after(&mut fixture, 900, &orders, idle).len(), 1);
}
