//! Runs, their ends, and what a later owner makes of them.

#[allow(dead_code, reason = "each test file uses a part of the shorthands")]
mod support;

use plan::progress::{JobStatus, ProgressRecord};
use plan::worker::{EndKind, RefusalKind, RunReport, StartAnswer};
use std::sync::Arc;
use support::{INCARNATION, PlanBench, config, cpu, job, listed, step, stops, task, worker};

/// Guards against a failed run that is left out because a later one was heard of first.
#[test]
fn failed_runs_count_in_any_order() {
    let mut bench = PlanBench::new(2, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let (first, second) = (worker(0).name, worker(1).name);
    bench.end_run(&first, &task("j", 0), 2, EndKind::Failed);
    bench.end_run(&second, &task("j", 0), 1, EndKind::Failed);
    assert!(bench.starts().is_empty(), "two attempts are all that the queue allows");
    let records = bench.store();
    assert_eq!(records.values().next().map(|record| record.status), Some(JobStatus::Failed));
}

/// Guards against an end that a later owner counts again after it was stored.
#[test]
fn stored_failures_are_not_counted_again() {
    let mut bench = PlanBench::new(1, config());
    let spec = job("j", "normal", vec![step(1, cpu(1_000))]);
    bench.add(spec.clone());
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    bench.end(&order, EndKind::Failed);
    let record = bench.store().into_values().next().expect("the failure is recorded");

    let mut later = PlanBench::unreported(1, config());
    later.planner.add_job(&Arc::new(spec), &record, 1);
    later.planner.inherit_workers(Vec::new());
    later.end_run(&order.worker, &order.task, order.run, EndKind::Failed);
    let starts = later.starts();
    assert_eq!(starts.len(), 1, "one attempt is left");
    assert!(starts[0].run > order.run, "run numbers rise");
}

/// Guards against a done task that runs again under a later owner.
#[test]
fn done_tasks_are_restored() {
    let mut bench = PlanBench::new(1, config());
    let spec = job("j", "normal", vec![step(2, cpu(1_000))]);
    bench.add(spec.clone());
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    bench.end(&order, EndKind::Done);
    let record = bench.store().into_values().next().expect("the end is recorded");

    let mut later = PlanBench::unreported(1, config());
    later.planner.add_job(&Arc::new(spec), &record, 1);
    later.planner.inherit_workers(Vec::new());
    later.report(&worker(0).name, Vec::new(), Vec::new());
    let starts = later.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].task, order.task);
}

/// Guards against a second run while a worker that has not reported may have the first.
#[test]
fn inherited_jobs_wait_for_every_worker() {
    let mut bench = PlanBench::unreported(2, config());
    bench.add(job("old", "normal", vec![step(1, cpu(1_000))]));
    bench.planner.inherit_workers(vec!["gone".into()]);
    bench.add(job("new", "normal", vec![step(1, cpu(1_000))]));
    bench.report(&worker(0).name, Vec::new(), Vec::new());
    bench.report(&worker(1).name, Vec::new(), Vec::new());
    let names: Vec<_> = bench.starts().iter().map(|order| order.job.id.to_string()).collect();
    assert_eq!(names, ["new"], "the worker that is not registered may run the old job");
    bench.planner.worker_lease_expired(&"gone".into());
    assert_eq!(bench.starts().len(), 1);
}

/// Guards against a run that is taken for lost because a report was older than its start.
#[test]
fn an_old_report_does_not_lose_a_run() {
    let mut bench = PlanBench::new(1, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let sent_ms = bench.now_ms;
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    let empty = RunReport { incarnation: INCARNATION, running: Vec::new(), ended: Vec::new() };
    bench.planner.apply_report(&order.worker, &empty, sent_ms, bench.now_ms + 1);
    assert!(bench.starts().is_empty());
    assert_eq!(bench.planner.present_run_count(), 1);
}

/// Guards against a task that runs twice after the answer to its start was lost.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let mut bench = PlanBench::new(2, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = bench.run_starts(StartAnswer::Unknown).remove(0);
    let decisions = bench.decide();
    assert!(support::starts(decisions.clone()).is_empty());
    assert_eq!(stops(decisions).len(), 1);
    bench.report(&order.worker, Vec::new(), Vec::new());
    assert!(bench.starts().is_empty(), "the stop is not confirmed");
    bench.planner.stop_confirmed(&order.worker, &order.task, order.run, bench.now_ms);
    bench.report(&order.worker, Vec::new(), Vec::new());
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > order.run);
}

/// Guards against orders to a worker that has lost everything in a restart.
#[test]
fn a_new_life_of_a_worker_loses_its_runs() {
    let mut bench = PlanBench::new(1, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    let restarted =
        RunReport { incarnation: INCARNATION + 5, running: Vec::new(), ended: Vec::new() };
    bench.planner.apply_report(&order.worker, &restarted, bench.now_ms, bench.now_ms + 1);
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run, order.run + 1);
}

/// Guards against acknowledging ends before the progress that counts them is stored.
#[test]
fn ends_are_acknowledged_after_their_progress() {
    let mut bench = PlanBench::new(1, config());
    bench.add(job("j", "normal", vec![step(2, cpu(1_000))]));
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    bench.end(&order, EndKind::Done);
    assert_eq!(bench.planner.ack_up_to(&order.worker), 0);
    let batch = bench.planner.take_progress(usize::MAX);
    assert_eq!(bench.planner.ack_up_to(&order.worker), 0);
    bench.planner.restore_progress(batch);
    bench.store();
    assert_eq!(bench.planner.ack_up_to(&order.worker), 1);
}

/// Guards against a stop of a run that has just ended, which costs a call for each job.
#[test]
fn a_finished_job_needs_no_stop() {
    let mut bench = PlanBench::new(1, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = bench.run_starts(StartAnswer::Started).remove(0);
    bench.end(&order, EndKind::Done);
    assert!(stops(bench.decide()).is_empty());
    let records: Vec<ProgressRecord> = bench.store().into_values().collect();
    assert_eq!(records[0].status, JobStatus::Completed);
    bench.add(job("failing", "normal", vec![step(1, cpu(1_000))]));
    for _ in 0..2 {
        let order = bench.run_starts(StartAnswer::Started).remove(0);
        bench.end(&order, EndKind::Failed);
    }
    assert!(stops(bench.decide()).is_empty(), "the failed run has ended as well");
}

/// Guards against runs that go on after their job was cancelled, known or adopted.
#[test]
fn cancelled_jobs_stop_everywhere() {
    let mut bench = PlanBench::new(2, config());
    bench.add(job("j", "normal", vec![step(2, cpu(5_000))]));
    let orders = bench.run_starts(StartAnswer::Started);
    bench.planner.cancel_job(&"j".into());
    assert_eq!(stops(bench.decide()).len(), 2);

    let mut later = PlanBench::unreported(2, config());
    later.report(&orders[0].worker, vec![listed(&orders[0])], Vec::new());
    assert_eq!(stops(later.decide()).len(), 1, "a run of an unknown job is not wanted");
}

/// Guards against a task that stays unplaced after the worker refused its start.
#[test]
fn a_refused_start_is_placed_again() {
    let mut bench = PlanBench::new(2, config());
    bench.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = bench.run_starts(StartAnswer::Refused(RefusalKind::Unhealthy)).remove(0);
    let starts = bench.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, order.worker, "the refusing worker pauses");
}

/// Guards against a team above its limit by what a worker out of reach may run, and
/// against teams that may start nothing because of what it cannot run.
#[test]
fn unreported_workers_count_by_what_they_may_run() {
    let mut config = config();
    let limit = model::resource::ResourceAmounts {
        cpu_millis: 4_000,
        ..model::resource::ResourceAmounts::UNLIMITED
    };
    for rule in config.teams.values_mut() {
        rule.limit = limit;
    }
    let mut bench = PlanBench::unreported(2, config);
    bench.add(job("old", "normal", vec![step(3, cpu(1_000))]));
    bench.planner.inherit_workers(Vec::new());
    bench.report(&worker(0).name, Vec::new(), Vec::new());
    bench.add(job("red", "normal", vec![step(4, cpu(1_000))]));
    let mut blue = job("blue", "normal", vec![step(4, cpu(1_000))]);
    blue.team = Some("blue".into());
    bench.add(blue);
    let starts = bench.starts();
    let count = |id: &str| starts.iter().filter(|order| order.job.id.as_str() == id).count();
    assert_eq!((count("red"), count("blue")), (1, 4));
}
