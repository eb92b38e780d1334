//! Runs on workers that are about to leave.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use arcstr::ArcStr;
use plan::decision::{StartOrder, StopOrder};
use plan::feature::PlanFeatures;
use plan::job::{JobSpec, StepSpec};
use plan::planner::{Planner, PlannerOptions};
use plan::worker::{EndKind, EndedRun, RunReport, StartAnswer, WorkerInfo};
use std::sync::Arc;
use support::{
    INCARNATION, PlannerFixture, WORKER_CPU, config, cpu, job, present_run, starts, step, stops,
    task, worker,
};

/// Age of the registrations in these tests, in milliseconds.
const AGE_MS: u64 = 500;

/// Registers a worker as draining, as an owner reads it now.
fn drain(fixture: &mut PlannerFixture, index: usize, remaining_ms: u64) {
    let info = WorkerInfo { draining: true, remaining_ms: Some(remaining_ms), ..worker(index) };
    let name = info.name.clone();
    fixture.planner.set_worker(info);
    fixture.planner.record_departure(&name, fixture.now_ms, AGE_MS);
}

/// Returns a job of one task that takes a time in milliseconds.
fn timed_job(id: &str, queue: &str, estimate_ms: u64, checkpoint: bool) -> JobSpec {
    job(id, queue, vec![StepSpec { estimate_ms, checkpoint, ..step(1, cpu(2_000)) }])
}

/// Starts a planner whose only worker has a run of each of the jobs.
fn start_on_one(jobs: impl IntoIterator<Item = JobSpec>) -> (PlannerFixture, Vec<StartOrder>) {
    let mut fixture = PlannerFixture::new(1, config());
    jobs.into_iter().for_each(|spec| fixture.add(spec));
    let orders = fixture.run_starts(StartAnswer::Started);
    (fixture, orders)
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

/// Guards against runs that are lost with a worker which leaves at short notice: a run that saves
/// its progress is stopped in time, and its task resumes elsewhere once the end is listed.
#[test]
fn a_run_that_saves_its_progress_is_moved_in_time() {
    let (mut fixture, mut orders) = start_on_one([timed_job("j", "normal", 9_000, true)]);
    let order = orders.remove(0);
    fixture.planner.set_worker(worker(1));
    fixture.report(&worker(1).name, Vec::new(), Vec::new());
    drain(&mut fixture, 0, 5_500);
    let ordered = stops_within(&mut fixture, 5_500);
    let [(at_ms, stop)] = ordered.as_slice() else { panic!("one stop: {ordered:?}") };
    assert_eq!((&stop.task, stop.reason), (&order.task, "worker-leaves"));
    let left_ms = 5_500 - AGE_MS - at_ms;
    assert!((1_000..1_300).contains(&left_ms), "the worker is used until then: {left_ms}");

    assert!(fixture.starts().is_empty(), "the run may be present until its end is listed");
    let saved = ArcStr::from("half");
    end_with(&mut fixture, &order, &saved);
    let resumed = fixture.starts();
    assert_eq!(resumed.len(), 1);
    assert_eq!((&resumed[0].worker, &resumed[0].saved), (&worker(1).name, &saved));
    assert!(resumed[0].run > order.run);
}

/// Reports that a run was stopped with its progress saved.
fn end_with(fixture: &mut PlannerFixture, order: &StartOrder, saved: &ArcStr) {
    let StartOrder { task, run, .. } = order.clone();
    let end = EndedRun { number: 1, task, run, kind: EndKind::Stopped, saved: saved.clone() };
    fixture.report(&order.worker, Vec::new(), vec![end]);
}

/// Guards against work that is lost by moves: what surely ends in time stays, and so does a run
/// that starts from zero elsewhere and may still end.
#[test]
fn runs_that_can_end_stay() {
    let (mut fixture, _) = start_on_one([
        timed_job("short", "normal", 1_000, true),
        timed_job("may-end", "normal", 3_000, false),
    ]);
    drain(&mut fixture, 0, 2_500);
    let ordered = stops_within(&mut fixture, 900);
    assert!(ordered.is_empty(), "{ordered:?}");
}

/// Guards against a task that is done late: its run saves nothing and surely cannot end before its
/// worker leaves, so that each moment there is of no use.
#[test]
fn a_run_that_cannot_end_is_moved_at_once() {
    let (mut fixture, _) = start_on_one([timed_job("j", "normal", 20_000, false)]);
    drain(&mut fixture, 0, 5_500);
    assert_eq!(stops(fixture.decide()).len(), 1);
}

/// Guards against estimates that are all too short: the durations of the queue's earlier runs
/// tell whether a run can end.
#[test]
fn earlier_runs_of_the_queue_tell_what_can_end() {
    let (mut fixture, orders) = start_on_one([timed_job("earlier", "normal", 100, true)]);
    fixture.now_ms += 4_000;
    fixture.end(&orders[0], EndKind::Done);
    fixture.add(timed_job("j", "normal", 100, true));
    fixture.run_starts(StartAnswer::Started);
    drain(&mut fixture, 0, 2_000);
    assert_eq!(stops_within(&mut fixture, 1_500).len(), 1);
}

/// Guards against the loss of urgent work when there is no time for all stops.
#[test]
fn urgent_runs_are_moved_first() {
    let jobs = [("a", "batch"), ("b", "urgent"), ("c", "normal")];
    let (mut fixture, _) = start_on_one(jobs.map(|(id, queue)| timed_job(id, queue, 9_000, true)));
    drain(&mut fixture, 0, 1_500);
    let ids: Vec<_> =
        stops(fixture.decide()).iter().map(|stop| stop.task.step.job.to_string()).collect();
    assert_eq!(ids, ["b", "c", "a"]);
}

/// Guards against a gang that breaks: one member cannot end, so that all are stopped in one
/// decision, and only if none of them can end.
#[test]
fn a_gang_is_moved_whole() {
    let mut fixture = PlannerFixture::new(2, config());
    let members = StepSpec { gang: true, checkpoint: true, ..step(3, cpu(4_000)) };
    let spec = job("gang", "normal", vec![StepSpec { estimate_ms: 9_000, ..members.clone() }]);
    fixture.add(spec);
    fixture.run_starts(StartAnswer::Started);
    drain(&mut fixture, 0, 1_500);
    let ordered = stops(fixture.decide());
    assert_eq!(ordered.len(), 3, "{ordered:?}");
    assert!(ordered.iter().all(|stop| stop.reason == "worker-leaves"));

    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("gang", "normal", vec![StepSpec { estimate_ms: 400, ..members }]));
    fixture.run_starts(StartAnswer::Started);
    drain(&mut fixture, 0, 1_500);
    assert!(stops(fixture.decide()).is_empty(), "the gang ends in time");
}

/// Guards against orders that cannot be carried out any more, and against those to a worker that
/// does not answer.
#[test]
fn no_order_is_sent_without_time_for_it() {
    let (mut fixture, _) = start_on_one([timed_job("j", "normal", 9_000, true)]);
    drain(&mut fixture, 0, 200);
    assert!(stops_within(&mut fixture, 500).is_empty());

    let (mut fixture, _) = start_on_one([timed_job("j", "normal", 9_000, true)]);
    fixture.planner.set_silent(&worker(0).name, true);
    drain(&mut fixture, 0, 2_000);
    assert!(stops_within(&mut fixture, 2_000).is_empty());
}

/// Guards against deadlines that jump: heartbeats of a draining worker are read after different
/// delays, and a configuration applies the last registration again. None of them is a change.
#[test]
fn later_registrations_narrow_the_departure() {
    let (mut fixture, _) = start_on_one([timed_job("j", "normal", 9_000, true)]);
    let draining =
        |remaining_ms| WorkerInfo { draining: true, remaining_ms: Some(remaining_ms), ..worker(0) };
    let name = worker(0).name;
    let start_ms = fixture.now_ms;
    assert!(fixture.planner.set_worker(draining(5_000)), "the worker drains");
    // Written at `start_ms - 500`, so that the worker leaves at 4,500 ms.
    fixture.planner.record_departure(&name, start_ms, 2_000);
    assert!(!fixture.planner.set_worker(draining(3_600)), "the same drain");
    fixture.planner.record_departure(&name, start_ms + 1_000, 100);
    fixture.planner.record_departure(&name, start_ms + 1_000, 100);
    let ordered = stops_within(&mut fixture, 4_500);
    let [(at_ms, _)] = ordered.as_slice() else { panic!("one stop: {ordered:?}") };
    assert!((3_250..3_450).contains(at_ms), "1,200 ms before 4,500: {at_ms}");
}

/// Guards against moves off a worker that stays after all, and against the part where an operator
/// has switched it off.
#[test]
fn nothing_is_moved_off_a_worker_that_stays() {
    let (mut fixture, _) = start_on_one([timed_job("j", "normal", 9_000, true)]);
    drain(&mut fixture, 0, 3_000);
    assert_eq!(fixture.planner.leaving_worker_count(), 1);
    fixture.planner.set_worker(worker(0));
    assert_eq!(fixture.planner.leaving_worker_count(), 0);
    assert!(stops_within(&mut fixture, 3_000).is_empty());

    let features = PlanFeatures { early_moves: false, ..PlanFeatures::default() };
    let mut planner = Planner::new(PlannerOptions { features, ..PlannerOptions::default() });
    planner.set_config(Arc::new(config()));
    planner.set_worker(worker(0));
    let report = RunReport {
        incarnation: INCARNATION,
        running: Vec::new(),
        ended: Vec::new(),
        is_partial: false,
    };
    planner.apply_report(&worker(0).name, &report, 1, 1);
    let spec = Arc::new(timed_job("j", "normal", 9_000, false));
    planner.add_job(&spec, &plan::progress::ProgressRecord::default(), 1);
    let order = starts(planner.decide(2, 2)).remove(0);
    planner.apply_start_answer(&order.worker, &order.task, order.run, StartAnswer::Started, 3);
    planner.set_worker(WorkerInfo { draining: true, remaining_ms: Some(1_000), ..worker(0) });
    planner.record_departure(&order.worker, 3, AGE_MS);
    assert!(stops(planner.decide(100, 100)).is_empty());
}

/// Guards against a task that is lost or runs twice when the owner changes between the order and
/// the end: the run ends as stopped under the next owner, which resumes it from its progress.
#[test]
fn a_later_owner_resumes_what_was_moved() {
    let spec = timed_job("j", "normal", 9_000, true);
    let (mut owner, mut orders) = start_on_one([spec.clone()]);
    let order = orders.remove(0);
    drain(&mut owner, 0, 1_500);
    assert_eq!(stops(owner.decide()).len(), 1);

    let mut successor = PlannerFixture::unreported(2, config());
    successor.add(spec);
    successor.planner.inherit_workers([].into(), support::cpu(WORKER_CPU));
    drain(&mut successor, 0, 1_200);
    successor.report(&worker(1).name, Vec::new(), Vec::new());
    assert!(successor.starts().is_empty(), "the run may be present");
    successor.report(&order.worker, vec![present_run(&order)], Vec::new());
    assert!(successor.starts().is_empty(), "the run is present");
    let saved = ArcStr::from("half");
    end_with(&mut successor, &order, &saved);
    let resumed = successor.starts();
    assert_eq!(resumed.len(), 1);
    assert_eq!((&resumed[0].task, &resumed[0].saved), (&task("j", 0), &saved));
}
