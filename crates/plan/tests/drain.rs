//! Runs on workers that are about to leave.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use arcstr::ArcStr;
use plan::decision::StopOrder;
use plan::feature::PlanFeatures;
use plan::job::{JobSpec, StepSpec};
use plan::planner::{Planner, PlannerOptions};
use plan::worker::{EndKind, EndedRun, PresentRun, StartAnswer, WorkerInfo};
use std::sync::Arc;
use support::{PlannerFixture, config, cpu, job, present_run, step, stops, worker};

/// Age of the registrations in these tests, in milliseconds.
const AGE_MS: u64 = 500;

/// Registers the first worker as draining; returns whether that is a change.
fn drain_at(fixture: &mut PlannerFixture, read_ms: u64, remaining_ms: u64, age_ms: u64) -> bool {
    let info = WorkerInfo { draining: true, remaining_ms: Some(remaining_ms), ..worker(0) };
    let is_change = fixture.planner.set_worker(info);
    fixture.planner.record_departure(&worker(0).name, read_ms, age_ms);
    is_change
}

/// Registers the first worker as draining, as an owner reads it now.
fn drain(fixture: &mut PlannerFixture, remaining_ms: u64) {
    drain_at(fixture, fixture.now_ms, remaining_ms, AGE_MS);
}

/// Returns a job of tasks that take a time in milliseconds, two of which fit on a worker.
fn timed_job(id: &str, queue: &str, count: u32, estimate_ms: u64, checkpoint: bool) -> JobSpec {
    let gang = count > 1;
    job(id, queue, vec![StepSpec { estimate_ms, checkpoint, gang, ..step(count, cpu(4_000)) }])
}

/// Starts the job on a planner with this many workers.
fn start(workers: usize, spec: JobSpec) -> PlannerFixture {
    let mut fixture = PlannerFixture::new(workers, config());
    fixture.add(spec);
    fixture.run_starts(StartAnswer::Started);
    fixture
}

/// Decides in steps of 10 ms for a time, and returns the stops with their times from its start.
fn stops_within(fixture: &mut PlannerFixture, span_ms: u64) -> Vec<(u64, StopOrder)> {
    let start_ms = fixture.now_ms;
    let mut ordered = Vec::new();
    while fixture.now_ms < start_ms + span_ms {
        fixture.now_ms += 9;
        let orders = stops(fixture.decide());
        ordered.extend(orders.into_iter().map(|order| (fixture.now_ms - start_ms, order)));
    }
    ordered
}

/// Guards against runs that are lost with a worker which leaves at short notice, against work that
/// is lost by moves, and against orders that come too late. A gang is moved whole.
#[test]
fn runs_are_stopped_if_they_would_be_lost() {
    let cases = [
        ("saves its progress", 1, 9_000, true, 5_500, Some(3_800..3_900)),
        ("saves its progress and surely ends", 1, 1_000, true, 2_500, None),
        ("saves nothing and surely cannot end", 1, 20_000, false, 5_500, Some(0..50)),
        ("saves nothing and may end", 1, 3_000, false, 2_500, None),
        ("has no time left for the order", 1, 9_000, true, 200, None),
        ("gang on two workers", 3, 9_000, true, 5_500, Some(3_800..3_900)),
        ("gang that surely ends", 3, 400, true, 1_500, None),
    ];
    for (name, count, estimate_ms, checkpoint, notice_ms, expected) in cases {
        let mut fixture = start(2, timed_job("j", "normal", count, estimate_ms, checkpoint));
        drain(&mut fixture, notice_ms);
        let ordered = stops_within(&mut fixture, notice_ms.min(4_000).min(estimate_ms * 2 / 3));
        let Some(expected) = expected else {
            assert!(ordered.is_empty(), "{name}: {ordered:?}");
            continue;
        };
        assert_eq!(ordered.len(), count as usize, "{name}");
        for (at_ms, stop) in &ordered {
            assert_eq!(stop.reason, "worker-leaves", "{name}");
            assert!(expected.contains(at_ms) && *at_ms == ordered[0].0, "{name}: {at_ms}");
        }
    }
}

/// Guards against estimates that are all too short, as the durations of the queue's earlier runs
/// tell, and against the loss of urgent work when there is no time for all stops.
#[test]
fn urgent_runs_that_take_longer_than_declared_are_moved_first() {
    let mut fixture = PlannerFixture::new(1, config());
    for queue in ["batch", "urgent"] {
        fixture.add(timed_job("earlier", queue, 1, 100, true));
        let order = fixture.run_starts(StartAnswer::Started).remove(0);
        fixture.now_ms += 4_000;
        fixture.end(&order, EndKind::Done);
        fixture.store();
        fixture.add(timed_job(queue, queue, 1, 100, true));
    }
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2);
    drain(&mut fixture, 1_500);
    let ordered = stops(fixture.decide());
    let ids: Vec<_> = ordered.iter().map(|stop| stop.task.step.job.as_str()).collect();
    assert_eq!(ids, ["urgent", "batch"]);
}

/// Guards against expectations that ignore the worker's speed: a slow worker does not end a run that
/// a usual one surely ends, and a quick one may end what a usual one cannot.
#[test]
fn the_expected_end_follows_the_speed_of_the_worker() {
    for (per_mille, estimate_ms, checkpoint, notice_ms, expected) in [
        (1_000, 1_000, true, 2_500, 0),
        (250, 1_000, true, 2_500, 1),
        (1_000, 20_000, false, 5_500, 1),
        (4_000, 20_000, false, 5_500, 0),
    ] {
        let mut fixture = PlannerFixture::new(1, config());
        fixture.planner.restore_speeds(&[(worker(0).name, per_mille)].into());
        fixture.add(timed_job("j", "normal", 1, estimate_ms, checkpoint));
        assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 1);
        drain(&mut fixture, notice_ms);
        let ordered = stops_within(&mut fixture, 900);
        assert_eq!(ordered.len(), expected, "{per_mille} {estimate_ms}: {ordered:?}");
    }
}

/// Guards against the loss of a run that saves nothing and has lasted longer than expected: it may
/// end at any time.
#[test]
fn an_overdue_run_that_saves_nothing_stays() {
    let mut fixture = start(2, timed_job("j", "normal", 1, 1_000, false));
    fixture.now_ms += 20_000;
    drain(&mut fixture, 2_500);
    let ordered = stops_within(&mut fixture, 2_500);
    assert!(ordered.is_empty(), "{ordered:?}");
}

/// Guards against deadlines that jump: heartbeats of a draining worker are read after different
/// delays, and a configuration applies the last one again. None of them is a change.
#[test]
fn later_registrations_narrow_the_departure() {
    let mut fixture = start(1, timed_job("j", "normal", 1, 9_000, true));
    let start_ms = fixture.now_ms;
    assert!(drain_at(&mut fixture, start_ms, 5_000, 500), "it leaves after 4,500 to 5,000 ms");
    for _ in 0..2 {
        let is_change = drain_at(&mut fixture, start_ms + 1_000, 3_700, 300);
        assert!(!is_change, "it leaves after 4,400 to 4,700 ms");
    }
    let ordered = stops_within(&mut fixture, 4_500);
    let at_ms: Vec<_> = ordered.iter().map(|(at_ms, _)| *at_ms).collect();
    assert!(at_ms.len() == 1 && (3_300..3_380).contains(&at_ms[0]), "{at_ms:?}");
}

/// Guards against moves off a worker that stays after all, or does not answer.
#[test]
fn nothing_is_moved_without_need() {
    for is_silent in [false, true] {
        let mut fixture = start(1, timed_job("j", "normal", 1, 9_000, false));
        drain(&mut fixture, 3_000);
        if is_silent {
            fixture.planner.set_silent(&worker(0).name, true);
        } else {
            fixture.planner.set_worker(worker(0));
        }
        assert!(stops(fixture.decide()).is_empty());
    }
}

/// Guards against stops by a part that the operator has switched off: of one run that stands still,
/// and of one that cannot end.
#[test]
fn the_operator_can_switch_the_part_off() {
    for (early_moves, expected) in [(true, 2), (false, 0)] {
        let features = PlanFeatures { early_moves, ..PlanFeatures::default() };
        let mut fixture = PlannerFixture::new(0, config());
        fixture.planner = Planner::new(PlannerOptions { features, ..PlannerOptions::default() });
        fixture.planner.set_config(Arc::new(config()));
        fixture.planner.set_worker(worker(0));
        fixture.report(&worker(0).name, Vec::new(), Vec::new());
        fixture.add(timed_job("idle", "normal", 1, 1_000, false));
        fixture.add(timed_job("long", "normal", 1, 20_000, false));
        let orders = fixture.run_starts(StartAnswer::Started);
        for _ in 0..2 {
            fixture.now_ms += 1_000;
            let at_work = PresentRun { measurement: 900, ..present_run(&orders[1]) };
            fixture.report(&worker(0).name, vec![present_run(&orders[0]), at_work], Vec::new());
        }
        drain(&mut fixture, 5_000);
        assert_eq!(stops(fixture.decide()).len(), expected);
    }
}

/// Guards against a task that is lost or runs twice when the owner changes between the order and
/// the end: the run ends as stopped under the next owner, which resumes it from its progress.
#[test]
fn a_later_owner_resumes_what_was_moved() {
    let spec = timed_job("j", "normal", 1, 9_000, true);
    let mut owner = PlannerFixture::new(1, config());
    owner.add(spec.clone());
    let order = owner.run_starts(StartAnswer::Started).remove(0);
    drain(&mut owner, 1_500);
    assert_eq!(stops(owner.decide()).len(), 1);
    assert!(owner.starts().is_empty(), "the run may be present");

    let mut successor = PlannerFixture::unreported(2, config());
    successor.add(spec);
    successor.planner.inherit_workers([].into(), worker(0).capacity);
    drain(&mut successor, 1_200);
    successor.report(&worker(1).name, Vec::new(), Vec::new());
    successor.report(&order.worker, vec![present_run(&order)], Vec::new());
    assert!(successor.starts().is_empty(), "the run is present");
    let (task, saved) = (order.task.clone(), ArcStr::from("half"));
    let end = EndedRun { number: 1, task, run: order.run, kind: EndKind::Stopped, saved };
    successor.report(&order.worker, Vec::new(), vec![end]);
    let resumed = successor.starts();
    assert_eq!(resumed.len(), 1);
    assert_eq!((&resumed[0].worker, resumed[0].saved.as_str()), (&worker(1).name, "half"));
}
