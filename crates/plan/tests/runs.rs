//! Starts, stops and ends of runs, and their recovery by a later owner.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use arcstr::ArcStr;
use model::resource::ResourceAmounts;
use plan::decision::StartOrder;
use plan::job::{JobSchedule, JobSpec, StepSpec};
use plan::progress::{JobStatus, ProgressRecord, StepProgress};
use plan::worker::{
    EndKind, EndedRun, InheritedRuns, RefusalKind, RunReport, StartAnswer, WorkerInfo,
};
use std::collections::BTreeMap;
use std::sync::Arc;
use support::{
    INCARNATION, PlannerFixture, WORKER_CPU, config, cpu, job, present_run, starts, step, stops,
    task, worker,
};

/// Guards against lost failures: two workers report failed runs of one task, and the report of
/// the later run arrives first.
#[test]
fn failed_runs_count_in_any_order() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let (first, second) = (worker(0).name, worker(1).name);
    fixture.end_run(&first, &task("j", 0), 2, EndKind::Failed);
    fixture.end_run(&second, &task("j", 0), 1, EndKind::Failed);
    assert!(fixture.starts().is_empty(), "two attempts are all that the queue allows");
    let records = fixture.store();
    assert_eq!(records.values().next().map(|record| record.status), Some(JobStatus::Failed));
}

/// Guards against a failure that is counted twice: the old owner stores it but does not
/// acknowledge it, so that the worker reports it again to the new owner.
#[test]
fn stored_failures_are_not_counted_again() {
    let mut fixture = PlannerFixture::new(1, config());
    let spec = job("j", "normal", vec![step(1, cpu(1_000))]);
    fixture.add(spec.clone());
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Failed);
    let record = fixture.store().into_values().next().expect("the failure is recorded");

    let mut successor = PlannerFixture::unreported(1, config());
    successor.planner.add_job(&Arc::new(spec), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.end_run(&order.worker, &order.task, order.run, EndKind::Failed);
    let starts = successor.starts();
    assert_eq!(starts.len(), 1, "one attempt is left");
    assert!(starts[0].run > order.run, "run numbers rise");
}

/// Returns a job of one gang of three.
fn gang_job() -> JobSpec {
    job("gang", "normal", vec![StepSpec { gang: true, ..step(3, cpu(4_000)) }])
}

/// Reports that members of a gang's run have failed together.
fn fail_members(fixture: &mut PlannerFixture, orders: &[StartOrder]) {
    for order in orders {
        fixture.end_run(&order.worker, &order.task, order.run, EndKind::Failed);
    }
}

/// Guards against a job that is shown as failed although it has attempts left: members of one run
/// of a gang end failed together, and the run is one attempt.
#[test]
fn a_failed_run_of_a_gang_counts_once() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(gang_job());
    let orders = fixture.run_starts(StartAnswer::Started);
    fail_members(&mut fixture, &orders);
    assert_eq!(fixture.store()["gang"].status, JobStatus::Running);
    fixture.now_ms += 3_000;
    let orders = fixture.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 3, "the queue allows two attempts");
    fail_members(&mut fixture, &orders[1..]);
    assert!(fixture.starts().is_empty());
    assert_eq!(fixture.store()["gang"].status, JobStatus::Failed);
}

/// Guards against the same after a takeover: one failed member of the run is stored, and the others
/// are reported to the next owner.
#[test]
fn a_failed_run_of_a_gang_counts_once_for_all_owners() {
    let mut owner = PlannerFixture::new(2, config());
    owner.add(gang_job());
    let orders = owner.run_starts(StartAnswer::Started);
    fail_members(&mut owner, &orders[..2]);
    let record = owner.store().remove("gang").expect("the failures are recorded");

    let mut successor = PlannerFixture::unreported(2, config());
    successor.planner.add_job(&Arc::new(gang_job()), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    fail_members(&mut successor, &orders);
    for index in 0..2 {
        successor.report(&worker(index).name, Vec::new(), Vec::new());
    }
    successor.now_ms += 3_000;
    let orders = successor.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 3, "one attempt is left");
    fail_members(&mut successor, &orders);
    assert_eq!(successor.store()["gang"].status, JobStatus::Failed);
}

/// Guards against done tasks that run again under a later owner, although their progress is
/// stored.
#[test]
fn done_tasks_are_restored() {
    let mut fixture = PlannerFixture::new(1, config());
    let spec = job("j", "normal", vec![step(2, cpu(1_000))]);
    fixture.add(spec.clone());
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Done);
    let record = fixture.store().into_values().next().expect("the end is recorded");

    let mut successor = PlannerFixture::unreported(1, config());
    successor.planner.add_job(&Arc::new(spec), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.report(&worker(0).name, Vec::new(), Vec::new());
    let starts = successor.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].task, order.task);
}

/// Guards against two runs of one task at a time: a worker that has not reported to the new
/// owner, or is not registered any more, may still run the task.
#[test]
fn inherited_jobs_wait_for_every_worker() {
    let mut fixture = PlannerFixture::unreported(2, config());
    fixture.add(job("old", "normal", vec![step(1, cpu(1_000))]));
    fixture
        .planner
        .inherit_workers([("gone".into(), InheritedRuns::Any)].into(), ResourceAmounts::UNLIMITED);
    fixture.add(job("new", "normal", vec![step(1, cpu(1_000))]));
    fixture.report(&worker(0).name, Vec::new(), Vec::new());
    fixture.report(&worker(1).name, Vec::new(), Vec::new());
    let names: Vec<_> = fixture.starts().iter().map(|order| order.job.id.to_string()).collect();
    assert_eq!(names, ["new"], "the worker that is not registered may run the old job");
    fixture.planner.worker_lease_expired(&"gone".into());
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against a fleet that idles after a takeover while the leases of workers run out that
/// had left shortly before: only the jobs that may run there have to wait.
#[test]
fn only_jobs_of_lost_workers_wait_for_their_leases() {
    let mut owner = PlannerFixture::new(1, config());
    owner.add(job("on-lost", "normal", vec![step(1, cpu(1_000))]));
    let lost = owner.run_starts(StartAnswer::Started).remove(0).worker;
    owner.planner.deregister_worker(&lost);
    let runs = owner.planner.possible_runs(&lost);
    assert_eq!(runs, InheritedRuns::OfJobs(["on-lost".into()].into()));

    let mut successor = PlannerFixture::unreported(0, config());
    let kept = worker(1);
    successor.planner.set_worker(kept.clone());
    successor.add(job("on-lost", "normal", vec![step(1, cpu(1_000))]));
    successor.add(job("waiting", "normal", vec![step(1, cpu(1_000))]));
    successor
        .planner
        .inherit_workers([(lost.clone(), runs.clone())].into(), ResourceAmounts::UNLIMITED);
    assert!(successor.starts().is_empty(), "the registered worker may run any job");
    successor.report(&kept.name, Vec::new(), Vec::new());
    let names: Vec<_> = successor.starts().iter().map(|order| order.job.id.to_string()).collect();
    assert_eq!(names, ["waiting"]);
    assert_eq!(successor.planner.possible_runs(&lost), runs, "a third owner has to wait as well");
    successor.planner.worker_lease_expired(&lost);
    assert_eq!(successor.starts().len(), 1);
}

/// Guards against a fleet that idles after a takeover while workers that have left are still
/// registered: the earlier owner stored with which jobs they may be busy, and only those wait.
#[test]
fn only_listed_jobs_wait_for_a_silent_worker_that_is_registered() {
    let runs = InheritedRuns::OfJobs(["on-silent".into()].into());
    let mut successor = PlannerFixture::unreported(2, config());
    let (silent, kept) = (worker(0).name, worker(1).name);
    successor.add(job("on-silent", "normal", vec![step(1, cpu(1_000))]));
    successor.add(job("waiting", "normal", vec![step(1, cpu(1_000))]));
    let leased = [(silent.clone(), runs.clone()), (kept.clone(), InheritedRuns::Any)].into();
    successor.planner.inherit_workers(leased, ResourceAmounts::UNLIMITED);
    successor.planner.set_silent(&silent, true);
    assert!(successor.starts().is_empty(), "the other worker may run any job");
    successor.report(&kept, Vec::new(), Vec::new());
    let names: Vec<_> = successor.starts().iter().map(|order| order.job.id.to_string()).collect();
    assert_eq!(names, ["waiting"]);
    assert_eq!(successor.planner.possible_runs(&silent), runs, "a third owner has to wait as well");
    successor.planner.worker_lease_expired(&silent);
    assert_eq!(successor.starts().len(), 1);
}

/// Guards against a run that is taken for lost, because the worker's report was requested
/// before the run started and so does not contain it.
#[test]
fn an_old_report_does_not_lose_a_run() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let sent_ms = fixture.now_ms;
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    let empty = RunReport {
        incarnation: INCARNATION,
        running: Vec::new(),
        ended: Vec::new(),
        is_partial: false,
    };
    fixture.planner.apply_report(&order.worker, &empty, sent_ms, fixture.now_ms + 1);
    assert!(fixture.starts().is_empty());
    assert_eq!(fixture.planner.present_run_count(), 1);
}

/// Guards against two runs of one task at a time after the answer to its start was lost: the
/// planner must know that the first run is gone before it starts a second one.
#[test]
fn an_unanswered_start_is_stopped_before_the_task_starts_elsewhere() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = fixture.run_starts(StartAnswer::Unknown).remove(0);
    let decisions = fixture.decide();
    assert!(support::starts(decisions.clone()).is_empty());
    assert_eq!(stops(decisions).len(), 1);
    fixture.report(&order.worker, Vec::new(), Vec::new());
    assert!(fixture.starts().is_empty(), "the stop is not confirmed");
    fixture.planner.apply_stop_confirmation(&order.worker, &order.task, order.run, fixture.now_ms);
    fixture.report(&order.worker, Vec::new(), Vec::new());
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert!(starts[0].run > order.run);
}

/// Guards against tasks that wait for runs which a worker lost when it restarted: its reports
/// show a new incarnation.
#[test]
fn a_restarted_worker_loses_its_runs() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    let restarted = RunReport {
        incarnation: INCARNATION + 5,
        running: Vec::new(),
        ended: Vec::new(),
        is_partial: false,
    };
    fixture.now_ms += 1;
    fixture.planner.apply_report(&order.worker, &restarted, fixture.now_ms, fixture.now_ms + 1);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].run, order.run + 1);
}

/// Guards against lost run ends: the worker forgets an end when it is acknowledged, so the
/// progress that counts it has to be stored first.
#[test]
fn ends_are_acknowledged_after_their_progress() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(2, cpu(1_000))]));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Done);
    assert_eq!(fixture.planner.ack_up_to(&order.worker), 0);
    let batch = fixture.planner.take_progress(usize::MAX);
    assert_eq!(fixture.planner.ack_up_to(&order.worker), 0);
    fixture.planner.requeue_progress(batch);
    fixture.store();
    assert_eq!(fixture.planner.ack_up_to(&order.worker), 1);
}

/// Guards against a needless call for each job: the run whose end finishes the job, by success
/// or by failure, must not be stopped.
#[test]
fn a_finished_job_needs_no_stop() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Done);
    assert!(stops(fixture.decide()).is_empty());
    let records: Vec<ProgressRecord> = fixture.store().into_values().collect();
    assert_eq!(records[0].status, JobStatus::Completed);
    fixture.add(job("failing", "normal", vec![step(1, cpu(1_000))]));
    for _ in 0..2 {
        let order = fixture.run_starts(StartAnswer::Started).remove(0);
        fixture.end(&order, EndKind::Failed);
    }
    assert!(stops(fixture.decide()).is_empty(), "the failed run has ended as well");
}

/// Guards against runs of cancelled jobs that go on, under the same owner or a later one that
/// does not know the job.
#[test]
fn cancelled_jobs_stop_everywhere() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("j", "normal", vec![step(2, cpu(5_000))]));
    let orders = fixture.run_starts(StartAnswer::Started);
    fixture.planner.cancel_job(&"j".into());
    assert_eq!(stops(fixture.decide()).len(), 2);

    let mut successor = PlannerFixture::unreported(2, config());
    successor.report(&orders[0].worker, vec![present_run(&orders[0])], Vec::new());
    assert_eq!(stops(successor.decide()).len(), 1, "a run of an unknown job is not wanted");
}

/// Guards against tasks that are never placed again after a worker refused their start.
#[test]
fn a_refused_start_is_placed_again() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = fixture.run_starts(StartAnswer::Refused(RefusalKind::Unhealthy)).remove(0);
    let starts = fixture.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].worker, order.worker, "the refusing worker pauses");
}

/// Guards against a team that exceeds its limit through runs on an unreachable worker, and
/// against teams that start nothing because of runs that cannot be there.
///
/// The unreported worker may run the three tasks of the old job. They count against the limit
/// of that job's team, and not against the limits of other teams.
#[test]
fn unreported_workers_count_by_what_they_may_run() {
    let mut config = config();
    let limit = ResourceAmounts { cpu_millis: 4_000, ..ResourceAmounts::UNLIMITED };
    for rule in config.teams.values_mut() {
        rule.limit = limit;
    }
    let mut fixture = PlannerFixture::unreported(2, config);
    fixture.add(job("old", "normal", vec![step(3, cpu(1_000))]));
    fixture.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    fixture.report(&worker(0).name, Vec::new(), Vec::new());
    fixture.add(job("red", "normal", vec![step(4, cpu(1_000))]));
    let mut blue = job("blue", "normal", vec![step(4, cpu(1_000))]);
    blue.team = Some("blue".into());
    fixture.add(blue);
    let starts = fixture.starts();
    let count = |id: &str| starts.iter().filter(|order| order.job.id.as_str() == id).count();
    assert_eq!((count("red"), count("blue")), (1, 4));
}

/// Guards against a team with a long backlog that starts nothing until the lease of one lost
/// worker has expired: its tasks there use no more than the worker's capacity.
#[test]
fn a_lost_worker_takes_no_more_of_a_limit_than_its_capacity() {
    let mut config = config();
    let limit = ResourceAmounts { cpu_millis: 2 * WORKER_CPU, ..ResourceAmounts::UNLIMITED };
    for rule in config.teams.values_mut() {
        rule.limit = limit;
    }
    let mut owner = PlannerFixture::new(1, config.clone());
    owner.add(job("old", "normal", vec![step(40, cpu(1_000))]));
    owner.run_starts(StartAnswer::Started);
    let largest = owner.planner.largest_capacity();
    assert_eq!(largest, worker(0).capacity);

    let mut successor = PlannerFixture::unreported(0, config);
    successor.planner.set_worker(worker(1));
    successor.add(job("old", "normal", vec![step(40, cpu(1_000))]));
    let lost = [(worker(0).name, InheritedRuns::Any)];
    successor.planner.inherit_workers(lost.into(), largest);
    successor.report(&worker(1).name, Vec::new(), Vec::new());
    successor.add(job("new", "normal", vec![step(40, cpu(1_000))]));
    assert_eq!(successor.starts().len(), 8, "the limit less the capacity of the lost worker");
}

/// Guards against a cancelled job that runs because its cancellation arrived before the job: the
/// write of a job may have had no answer, so that the owner finds the job later.
#[test]
fn a_cancellation_waits_for_its_job() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.planner.cancel_job(&"j".into());
    fixture.planner.cancel_job(&"forgotten".into());
    fixture.planner.forget_cancellation(&"forgotten".into());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    fixture.add(job("forgotten", "normal", vec![step(1, cpu(1_000))]));
    let names: Vec<_> = fixture.starts().iter().map(|order| order.job.id.to_string()).collect();
    assert_eq!(names, ["forgotten"], "the cancellation of the other one is not stored any more");
    let records = fixture.store();
    let statuses: Vec<_> = records.values().map(|record| record.status).collect();
    assert_eq!(statuses, [JobStatus::Cancelled], "the end of the cancelled job is stored");
}

/// Returns a job of three occurrences of one task, all of them due.
fn scheduled_job() -> JobSpec {
    let schedule = JobSchedule { start_ms: 0, interval_ms: 1, occurrences: 3 };
    JobSpec { schedule: Some(schedule), ..job("j", "normal", vec![step(1, cpu(1_000))]) }
}

/// Guards against an occurrence of a scheduled job that never runs because the owner changed
/// before any task of it had ended, while a later occurrence had ended: the job was completed
/// without it.
#[test]
fn a_due_occurrence_without_progress_is_added_again() {
    let mut owner = PlannerFixture::new(1, config());
    owner.now_ms = 10;
    owner.add(scheduled_job());
    let orders = owner.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 3);
    owner.end(&orders[1], EndKind::Done);
    let record = owner.store().into_values().next().expect("the end is recorded");

    let mut successor = PlannerFixture::unreported(1, config());
    successor.now_ms = 20;
    successor.planner.add_job(&Arc::new(scheduled_job()), &record, 1);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.report(&worker(0).name, Vec::new(), Vec::new());
    let restarted = successor.run_starts(StartAnswer::Started);
    let occurrences: Vec<_> = restarted.iter().map(|order| order.task.step.occurrence).collect();
    assert_eq!(occurrences, [0, 2]);
    successor.end(&restarted[1], EndKind::Done);
    let record = successor.store().into_values().next().expect("the end is recorded");
    assert_eq!(record.status, JobStatus::Running, "occurrence 0 has not ended");
}

/// Guards against a scheduled job that is never completed: an owner whose clock is ahead has seen
/// all occurrences end, and the next one has not found them due when it loads the job.
#[test]
fn a_job_is_completed_when_its_last_occurrence_is_due_on_this_clock() {
    let mut owner = PlannerFixture::new(1, config());
    owner.now_ms = 10;
    owner.add(scheduled_job());
    let orders = owner.run_starts(StartAnswer::Started);
    owner.end(&orders[0], EndKind::Done);
    owner.end(&orders[2], EndKind::Done);
    let mut record = owner.store().into_values().next().expect("the ends are recorded");
    record.steps.push(StepProgress {
        occurrence: 1,
        done: vec![(0, 0)],
        ..StepProgress::default()
    });

    let mut successor = PlannerFixture::new(1, config());
    successor.planner.add_job(&Arc::new(scheduled_job()), &record, 1);
    successor.planner.decide(20, 1);
    assert!(successor.store().is_empty(), "occurrence 2 is not due yet");
    successor.planner.decide(21, 2);
    let record = successor.store().into_values().next().expect("the end is recorded");
    assert_eq!(record.status, JobStatus::Completed);
}

/// Guards against scheduled tasks that run twice after a takeover: workers report before the first
/// decision, and their runs were taken for unwanted because no occurrence had been added yet.
#[test]
fn reported_runs_of_a_scheduled_job_are_kept() {
    let mut owner = PlannerFixture::new(1, config());
    owner.now_ms = 10;
    owner.add(scheduled_job());
    let orders = owner.run_starts(StartAnswer::Started);

    let mut successor = PlannerFixture::unreported(1, config());
    successor.now_ms = 20;
    successor.add(scheduled_job());
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    let done = EndedRun {
        number: 1,
        task: orders[0].task.clone(),
        run: orders[0].run,
        kind: EndKind::Done,
        saved: ArcStr::default(),
    };
    let running = vec![present_run(&orders[1]), present_run(&orders[2])];
    successor.report(&worker(0).name, running, vec![done]);
    assert_eq!(successor.decide(), [], "nothing is stopped, and nothing is started again");
    let record = successor.store().into_values().next().expect("the end is recorded");
    let done: Vec<_> = (0..3).filter(|number| record.done_occurrences.contains(*number)).collect();
    assert_eq!(done, [0]);
    assert_eq!(record.steps, [], "no other occurrence has an end");
}

/// Guards against a run that is stopped and started again because the clock of the new owner is
/// behind that of the earlier one: the occurrence of the run is not due yet.
#[test]
fn a_reported_run_is_kept_although_its_occurrence_is_not_due() {
    let mut owner = PlannerFixture::new(1, config());
    owner.now_ms = 10;
    owner.add(scheduled_job());
    let orders = owner.run_starts(StartAnswer::Started);

    let mut successor = PlannerFixture::unreported(1, config());
    successor.add(scheduled_job());
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    let running = vec![present_run(&orders[0]), present_run(&orders[2])];
    successor.report(&worker(0).name, running, Vec::new());
    assert_eq!(successor.planner.decide(successor.now_ms, 0), [], "occurrence 1 is not due");
    let later = successor.planner.decide(successor.now_ms + 1, 5);
    let started: Vec<_> = starts(later).iter().map(|order| order.task.step.occurrence).collect();
    assert_eq!(started, [1]);
}

/// Guards against a run that is taken for lost: a worker started again while a poll was on its way,
/// and confirmed the start after it had answered the poll.
#[test]
fn a_run_that_the_new_incarnation_confirmed_is_kept() {
    let mut fixture = PlannerFixture::new(1, config());
    let name = worker(0).name;
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let sent_ms = fixture.now_ms;
    let orders = fixture.run_starts(StartAnswer::Started);
    let empty = RunReport {
        incarnation: INCARNATION + 1,
        running: vec![],
        ended: vec![],
        is_partial: false,
    };
    fixture.planner.apply_report(&name, &empty, sent_ms, fixture.now_ms);
    assert_eq!(fixture.starts(), [], "the run may be present on the new incarnation");
    let present = RunReport { running: vec![present_run(&orders[0])], ..empty.clone() };
    fixture.planner.apply_report(&name, &present, fixture.now_ms, fixture.now_ms);
    assert_eq!(fixture.starts(), []);
    fixture.now_ms += 1;
    fixture.planner.apply_report(&name, &empty, fixture.now_ms, fixture.now_ms);
    assert_eq!(fixture.starts().len(), 1, "the run is not present any more");
}

/// Guards against done tasks that run again because their worker lists its ends in parts: a run
/// that is missing in a part may have ended, for a new owner as for one that knows the run.
#[test]
fn a_partial_report_proves_no_absence() {
    let mut owner = PlannerFixture::new(1, config());
    let spec = job("j", "normal", vec![step(2, cpu(1_000))]);
    owner.add(spec.clone());
    let orders = owner.run_starts(StartAnswer::Started);
    let mut successor = PlannerFixture::unreported(1, config());
    successor.add(spec);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);

    let end = |number: u64, order: &StartOrder| EndedRun {
        number,
        task: order.task.clone(),
        run: order.run,
        kind: EndKind::Done,
        saved: ArcStr::default(),
    };
    let first = RunReport {
        incarnation: INCARNATION,
        running: Vec::new(),
        ended: vec![end(1, &orders[0])],
        is_partial: true,
    };
    let second = RunReport { ended: vec![end(2, &orders[1])], is_partial: false, ..first.clone() };
    for fixture in [&mut owner, &mut successor] {
        fixture.now_ms += 1;
        fixture.planner.apply_report(&worker(0).name, &first, fixture.now_ms, fixture.now_ms);
        assert_eq!(fixture.starts(), [], "the other task may have ended as well");
        fixture.now_ms += 1;
        fixture.planner.apply_report(&worker(0).name, &second, fixture.now_ms, fixture.now_ms);
        assert_eq!(fixture.starts(), []);
        let record = fixture.store().into_values().next().expect("the ends are recorded");
        assert_eq!(record.status, JobStatus::Completed);
    }
}

/// Guards against a start that is sent although it is not wanted any more: orders to a worker that
/// does not answer wait for seconds.
#[test]
fn a_waiting_start_is_withdrawn() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = fixture.starts().remove(0);
    let is_wanted = |fixture: &PlannerFixture| {
        fixture.planner.is_start_wanted(&order.worker, &order.task, order.run)
    };
    assert!(is_wanted(&fixture));
    fixture.planner.set_worker(WorkerInfo { draining: true, ..worker(0) });
    assert!(!is_wanted(&fixture), "the worker is draining");
    fixture.planner.set_worker(worker(0));
    fixture.planner.hold_starts(&order.worker, true);
    assert!(!is_wanted(&fixture), "no later owner would know of the run");
    fixture.planner.hold_starts(&order.worker, false);
    assert!(is_wanted(&fixture));
    fixture.planner.cancel_job(&"j".into());
    assert!(!is_wanted(&fixture), "the job is cancelled");
    fixture.answer(&order, StartAnswer::Refused(RefusalKind::Withdrawn));
    assert_eq!(fixture.planner.present_run_count(), 0, "nothing was sent");
    assert!(!fixture.planner.may_be_present(&order.worker, &order.task, order.run));
}

/// Returns a job of two steps, the second after the first.
fn two_step_job() -> JobSpec {
    let second = StepSpec { after: [0].into_iter().collect(), ..step(1, cpu(100)) };
    let accepted_rule = config().queues.get("normal").cloned();
    JobSpec { accepted_rule, ..job("j", "normal", vec![step(1, cpu(100)), second]) }
}

/// Returns a configuration without the queue of the jobs.
fn config_without_queue() -> plan::config::PlanConfig {
    let mut config = config();
    config.queues.remove("normal");
    config
}

/// Guards against an accepted job that starts no further step once its queue has been removed.
#[test]
fn an_accepted_job_goes_on_without_its_queue() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(JobSpec { accepted_rule: None, ..two_step_job() });
    let first = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.planner.set_config(Arc::new(config_without_queue()));
    fixture.end(&first, EndKind::Done);
    let second = fixture.run_starts(StartAnswer::Started).remove(0);
    // Another change of the configuration must not end it either.
    fixture.planner.set_config(Arc::new(config_without_queue()));
    fixture.end(&second, EndKind::Failed);
    fixture.now_ms += 3_000;
    let again = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&again, EndKind::Failed);
    assert_eq!(fixture.store()["j"].status, JobStatus::Failed, "the queue allowed two attempts");
}

/// Guards against the same under an owner that has never known the queue.
#[test]
fn an_accepted_job_goes_on_under_an_owner_without_its_queue() {
    let mut fixture = PlannerFixture::new(1, config_without_queue());
    fixture.add(two_step_job());
    for _ in 0..2 {
        let order = fixture.run_starts(StartAnswer::Started).remove(0);
        fixture.end(&order, EndKind::Done);
    }
    assert_eq!(fixture.store()["j"].status, JobStatus::Completed);
}

/// Guards against old rules that go before those of a queue that is there.
#[test]
fn the_rules_of_a_present_queue_go_first() {
    let mut fixture = PlannerFixture::new(1, config_without_queue());
    fixture.add(two_step_job());
    let mut one_attempt = config();
    one_attempt.queues.get_mut("normal").expect("the queue exists").max_attempts = 1;
    fixture.planner.set_config(Arc::new(one_attempt));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Failed);
    assert_eq!(fixture.store()["j"].status, JobStatus::Failed);
}

/// Returns a configuration without the team of the jobs.
fn config_without_team() -> plan::config::PlanConfig {
    let mut config = config();
    config.teams.remove("red");
    config
}

/// Guards against a service that is not started again once its team has been removed.
#[test]
fn a_service_goes_on_without_its_team() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("s", "normal", vec![StepSpec { service: true, ..step(1, cpu(100)) }]));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.planner.set_config(Arc::new(config_without_team()));
    fixture.end(&order, EndKind::Failed);
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 1);
}

/// Returns a job of a team that might use so much when it was accepted.
fn limited_job(id: &str, accepted_ms: u64, cpu_millis: u64) -> JobSpec {
    let limit = ResourceAmounts { cpu_millis, ..ResourceAmounts::UNLIMITED };
    let spec = job(id, "normal", vec![step(4, cpu(1_000))]);
    JobSpec { accepted_ms, accepted_limit: Some(limit), ..spec }
}

/// Guards against an accepted job that starts no further step once its team has been removed.
#[test]
fn an_accepted_job_goes_on_without_its_team() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(two_step_job());
    let first = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.planner.set_config(Arc::new(config_without_team()));
    fixture.end(&first, EndKind::Done);
    let second = fixture.run_starts(StartAnswer::Started).remove(0);
    // Another change of the configuration must not end it either.
    fixture.planner.set_config(Arc::new(config_without_team()));
    fixture.end(&second, EndKind::Done);
    assert_eq!(fixture.store()["j"].status, JobStatus::Completed);
}

/// Guards against a removed team that uses more than it might: its last limit holds on.
#[test]
fn a_removed_team_stays_within_its_limit() {
    let mut fixture = PlannerFixture::new(2, narrow_config());
    fixture.add(job("j", "normal", vec![step(2, cpu(1_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2);
    for _ in 0..2 {
        fixture.planner.set_config(Arc::new(config_without_team()));
    }
    fixture.add(limited_job("late", 1, 8_000));
    fixture.add(limited_job("later", 2, 8_000));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 3, "five cores may be in use");
}

/// Guards against the same under an owner that has never known the team: the limit of the job that was
/// accepted last is the newest one.
#[test]
fn a_new_owner_keeps_to_the_limit_of_a_removed_team() {
    for order in [[1, 2], [2, 1]] {
        let mut fixture = PlannerFixture::new(2, config_without_team());
        for accepted_ms in order {
            let cpu_millis = if accepted_ms == 1 { 8_000 } else { 3_000 };
            fixture.add(limited_job(&format!("j{accepted_ms}"), accepted_ms, cpu_millis));
        }
        assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 3, "{order:?}");
    }
}

/// Guards against old limits that go before that of a team that is there.
#[test]
fn the_limit_of_a_present_team_goes_first() {
    let mut fixture = PlannerFixture::new(2, config_without_team());
    fixture.add(limited_job("j1", 1, 1_000));
    fixture.planner.set_config(Arc::new(narrow_config()));
    fixture.add(limited_job("j2", 2, 1_000));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 5);
}

/// Returns a configuration in which the team may use five cores.
fn narrow_config() -> plan::config::PlanConfig {
    let mut config = config();
    let limit = ResourceAmounts { cpu_millis: 5_000, ..ResourceAmounts::UNLIMITED };
    config.teams.get_mut("red").expect("the team exists").limit = limit;
    config
}

/// Guards against a team that exceeds its limit after a takeover: runs of a cancelled job are still
/// being stopped, and the next owner does not know the job.
#[test]
fn runs_of_a_cancelled_job_count_under_the_next_owner() {
    let mut owner = PlannerFixture::new(2, narrow_config());
    owner.add(job("old", "normal", vec![step(4, cpu(1_000))]));
    let orders = owner.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 4);
    owner.planner.cancel_job(&"old".into());
    let record = owner.store().remove("old").expect("the end is recorded");
    let remaining = record.remaining.expect("runs are being stopped");

    let mut successor = PlannerFixture::unreported(2, narrow_config());
    successor.planner.inherit_finished_job("old".into(), remaining);
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    successor.add(job("new", "normal", vec![step(5, cpu(1_000))]));
    let idle = usize::from(orders[0].worker == worker(0).name);
    let busy = worker(1 - idle).name;
    successor.report(&worker(idle).name, Vec::new(), Vec::new());
    assert_eq!(successor.run_starts(StartAnswer::Started).len(), 1, "four cores may be in use");
    let present = orders.iter().map(support::present_run).collect();
    successor.report(&busy, present, Vec::new());
    let stops = support::stops(successor.decide());
    assert_eq!(stops.len(), 4, "the runs are stopped");
    assert!(successor.starts().is_empty(), "four cores are in use");
    successor.report(&busy, Vec::new(), Vec::new());
    for order in &orders {
        successor.planner.apply_stop_confirmation(&busy, &order.task, order.run, successor.now_ms);
    }
    successor.report(&busy, Vec::new(), Vec::new());
    assert_eq!(successor.starts().len(), 4, "the runs have ended");
}

/// Guards against stored records that grow with every job: only a job that ends with runs present
/// stores what they use.
#[test]
fn a_completed_job_stores_no_remaining_runs() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(1, cpu(100))]));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.end(&order, EndKind::Done);
    assert_eq!(fixture.store()["j"].remaining, None);
}

/// Guards against a task that runs again after it was done: its worker has left the registrations, and
/// the next owner is not told to wait for its report, although the end was not stored.
#[test]
fn a_new_owner_waits_for_a_worker_with_ends_that_are_not_stored() {
    let mut owner = PlannerFixture::new(2, config());
    owner.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let order = owner.run_starts(StartAnswer::Started).remove(0);
    owner.planner.deregister_worker(&order.worker);
    owner.end(&order, EndKind::Done);
    assert!(owner.planner.has_progress(), "the end is not stored");

    let mut successor = PlannerFixture::unreported(2, config());
    successor.planner.deregister_worker(&order.worker);
    successor.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let runs = owner.planner.possible_runs(&order.worker);
    let leased = [(order.worker.clone(), runs)].into();
    successor.planner.inherit_workers(leased, ResourceAmounts::UNLIMITED);
    for index in 0..2 {
        if worker(index).name != order.worker {
            successor.report(&worker(index).name, Vec::new(), Vec::new());
        }
    }
    assert!(successor.starts().is_empty(), "the worker still lists the end");
}
