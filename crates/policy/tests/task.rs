//! Jobs: placement, attempts, failures, stops, and running tasks across owner changes.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;

use model::job::JobState;
use model::name::DomainName;
use model::object::DomainState;
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{CellDecision, CellEvent, EndKind};
use policy::placement::{BestFit, FirstFit, LeastLoaded};
use policy::rules::PolicyRules;
use policy::status::WorkerState;
use support::{
    Start, TestCell, amounts, job_record, object_set, reported_task, starts, stops, task,
    with_weight,
};

fn job_changes(decisions: &[CellDecision]) -> Vec<(JobState, Vec<u32>)> {
    let change = |decision: &CellDecision| match decision {
        CellDecision::JobChanged { state, done, .. } => Some((*state, done.clone())),
        _ => None,
    };
    decisions.iter().filter_map(change).collect()
}

fn worker_names(starts: &[Start]) -> BTreeSet<&str> {
    starts.iter().map(|start| start.worker.as_str()).collect()
}

fn worker_state(cell: &TestCell, worker: &str) -> Option<WorkerState> {
    cell.cell.workers().find(|status| status.worker.as_str() == worker).map(|status| status.state)
}

/// Returns the cell of a new owner with its configuration and without any report.
fn cell_of_new_owner(set: &model::object::ObjectSet) -> TestCell {
    let cell = Cell::new(DomainName::from("d"), 7, 1_000_000);
    let mut cell = TestCell { cell, now: 50_000 };
    cell.apply_event(CellEvent::Config(Arc::new(set.clone())));
    for team in ["a", "b", "c"] {
        cell.set_allotment(team, ResourceAmounts::UNLIMITED);
    }
    cell
}

/// Guards against tasks that start twice or on full workers after an owner change, because
/// the new owner does not wait for full reports of all workers.
#[test]
fn only_reported_workers_get_work() {
    let set = object_set(2, amounts(8, 32, 0, 4));
    let mut cell = cell_of_new_owner(&set);
    assert!(starts(&cell.submit("j", "a-batch", 4, amounts(2, 8, 0, 0))).is_empty());
    let partial = cell.worker_update("w0", None);
    assert!(cell.apply_event(CellEvent::WorkerReported(partial)).is_empty());
    assert_eq!(worker_state(&cell, "w0"), Some(WorkerState::Unreported));
    assert!(cell.report("w0", Vec::new()).is_empty(), "the job may run on w1");
    assert_eq!(cell.team_usage("a"), amounts(8, 32, 0, 4), "w1 may run anything");
    let started = starts(&cell.apply_event(CellEvent::WorkerLost("w1".into())));
    assert_eq!(started.len(), 4);
    assert_eq!(worker_names(&started), BTreeSet::from(["w0"]));
    assert!(started.iter().all(|start| start.attempt == 1_000_001));
}

/// Guards against work that is placed on workers that are silent, leaving or restarted.
#[test]
fn unavailable_workers_get_no_work() {
    let mut cell = TestCell::with_workers(3);
    cell.apply_event(CellEvent::WorkerSilent("w0".into()));
    cell.apply_event(CellEvent::WorkerLeaving("w1".into()));
    let restarted =
        policy::event::WorkerUpdate { boot: "next".into(), ..cell.worker_update("w2", None) };
    cell.apply_event(CellEvent::WorkerReported(restarted));
    assert!(cell.submit("j", "a-batch", 1, amounts(1, 1, 0, 0)).is_empty());
    let states: Vec<_> = cell.cell.workers().map(|status| status.state).collect();
    assert_eq!(states, [WorkerState::Silent, WorkerState::Leaving, WorkerState::Unreported]);
    assert_eq!(starts(&cell.report("w1", Vec::new())).len(), 0, "a report does not end a leave");
    assert_eq!(starts(&cell.report("w0", Vec::new())).len(), 1, "a silent worker is back");
}

/// Guards against a task that is started again after an owner change although it still
/// runs. The job may arrive before the report of the worker or after it.
#[test]
fn running_tasks_survive_an_owner_change() {
    let set = object_set(1, amounts(8, 32, 0, 4));
    let mut first = TestCell::with_set(set.clone());
    let started = starts(&first.submit("j", "a-batch", 2, amounts(2, 8, 0, 0)));
    let report = vec![reported_task(&started[0], "a")];
    let job = Arc::new(job_record("j", "a-batch", 2, amounts(2, 8, 0, 0)));
    for job_first in [true, false] {
        let mut cell = cell_of_new_owner(&set);
        let mut decisions = Vec::new();
        if job_first {
            decisions.extend(cell.apply_event(CellEvent::JobSubmitted(job.clone())));
            decisions.extend(cell.report("w0", report.clone()));
        } else {
            decisions.extend(cell.report("w0", report.clone()));
            assert_eq!(
                cell.team_usage("a"),
                amounts(2, 8, 0, 0),
                "counted before its job is known"
            );
            decisions.extend(cell.apply_event(CellEvent::JobSubmitted(job.clone())));
        }
        let restarted = starts(&decisions);
        assert_eq!(restarted.len(), 1, "job first: {job_first}");
        assert_eq!(restarted[0].task, task("j", started[1].task.index));
        let ended = cell.end_task(&started[0], EndKind::Done);
        assert_eq!(job_changes(&ended), [(JobState::Accepted, vec![started[0].task.index])]);
    }
}

/// Guards against a task that goes on twice when two workers report it, and against its
/// restart before both attempts have ended.
#[test]
fn duplicates_are_stopped_before_a_restart() {
    let set = object_set(2, amounts(8, 32, 0, 4));
    let mut cell = cell_of_new_owner(&set);
    let start = |worker: &str, attempt| Start {
        task: task("j", 0),
        attempt,
        worker: worker.into(),
        amounts: amounts(1, 1, 0, 0),
    };
    let (old, new) = (start("w0", 1), start("w1", 2));
    cell.submit("j", "a-firm", 1, amounts(1, 1, 0, 0));
    cell.report("w0", vec![reported_task(&old, "a")]);
    let decisions = cell.report("w1", vec![reported_task(&new, "a")]);
    assert_eq!(stops(&decisions), [(task("j", 0), false, "duplicate")]);
    assert!(starts(&cell.end_task(&old, EndKind::Stopped)).is_empty(), "the duplicate still runs");
    let restarted = starts(&cell.end_task(&new, EndKind::Stopped));
    assert_eq!(restarted[0].attempt, 1_000_001);
}

/// Guards against a task that counts as ended, and its capacity as free, because a report
/// that was requested before the start does not list it.
#[test]
fn older_report_ends_no_task() {
    let mut cell = TestCell::with_workers(1);
    let old = cell.worker_update("w0", Some(Vec::new()));
    cell.now += 10;
    let started = starts(&cell.submit("j", "a-batch", 1, amounts(8, 32, 0, 0)));
    cell.apply_event(CellEvent::WorkerReported(old));
    assert_eq!(cell.team_usage("a"), amounts(8, 32, 0, 0));
    // A worker refuses a start that is older than the lease, so an unconfirmed one counts
    // as ended after it.
    cell.now += 8_000;
    assert!(starts(&cell.report("w0", Vec::new())).is_empty());
    cell.now += 1_000;
    let again = starts(&cell.report("w0", Vec::new()));
    assert_eq!((again.len(), again[0].attempt), (1, started[0].attempt + 1));
    // A confirmed one counts as ended only when two reports leave it out.
    cell.apply_event(CellEvent::StartConfirmed { task: task("j", 0), attempt: 2 });
    cell.now += 1_000;
    assert!(starts(&cell.report("w0", Vec::new())).is_empty());
    cell.now += 1_000;
    assert_eq!(starts(&cell.report("w0", Vec::new())).len(), 1);
}

/// Guards against a task that never starts after a refusal, and against retries on the
/// same worker without a delay.
#[test]
fn refused_start_is_tried_elsewhere() {
    let mut cell = TestCell::with_workers(2);
    let first = starts(&cell.submit("j", "a-batch", 1, amounts(1, 1, 0, 0)));
    let refused = |start: &Start| CellEvent::StartRefused {
        task: start.task.clone(),
        attempt: start.attempt,
    };
    let second = starts(&cell.apply_event(refused(&first[0])));
    assert_eq!(second[0].attempt, 2);
    assert_ne!(second[0].worker, first[0].worker);
    assert!(cell.apply_event(refused(&second[0])).is_empty(), "both workers are paused");
    assert_eq!(starts(&cell.advance(500))[0].attempt, 3);
}

/// Guards against batch tasks that spread over workers and leave none free for large
/// tasks, and against services whose tasks share a rack and fail with it.
#[test]
fn batch_packs_and_services_spread() {
    let mut cell = TestCell::with_workers(6);
    let batch = starts(&cell.submit("j", "a-batch", 4, amounts(2, 8, 0, 0)));
    assert_eq!(worker_names(&batch).len(), 1);
    let service = starts(&cell.submit("s", "a-service", 3, amounts(1, 1, 0, 0)));
    let racks: BTreeSet<_> = service
        .iter()
        .map(|start| start.worker.as_str()[1..].parse::<u32>().unwrap_or(0) / 2)
        .collect();
    assert_eq!(racks.len(), 3, "one task on each rack");
}

/// Guards against accelerators that cannot be used because tasks which need none fill
/// their workers.
#[test]
fn accelerators_are_kept_free() {
    for (accelerator_keeping, expected) in [(true, "w1"), (false, "w0")] {
        let mut set = object_set(2, amounts(8, 32, 0, 4));
        // The worker with accelerators is the tighter fit.
        set.workers[0].capacity = amounts(4, 16, 2, 4);
        let rules = PolicyRules { accelerator_keeping, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(set, rules);
        let started = starts(&cell.submit("j", "a-batch", 1, amounts(4, 16, 0, 0)));
        assert_eq!(started[0].worker.as_str(), expected);
        let started = starts(&cell.submit("k", "a-batch", 1, amounts(0, 0, 1, 0)));
        assert_eq!(started[0].worker.as_str(), "w0");
    }
}

/// Guards against a placement rule that has no effect; the benchmark compares the rules.
#[test]
fn placement_rules_differ() {
    fn place<R: policy::placement::PlacementRule>(rule: R) -> Vec<String> {
        let mut set = object_set(3, amounts(8, 32, 0, 4));
        set.workers[1].capacity = amounts(4, 16, 0, 4);
        let cell = Cell::with_rule(DomainName::from("d"), 7, 0, rule, PolicyRules::ALL);
        let mut cell = TestCell { cell, now: 1_000 };
        cell.apply_event(CellEvent::Config(Arc::new(set)));
        cell.set_allotment("a", ResourceAmounts::UNLIMITED);
        for worker in ["w0", "w1", "w2"] {
            cell.report(worker, Vec::new());
        }
        let started = starts(&cell.submit("j", "a-batch", 2, amounts(2, 8, 0, 0)));
        started.iter().map(|start| start.worker.to_string()).collect()
    }
    assert_eq!(place(BestFit), ["w1", "w1"]);
    assert_eq!(place(FirstFit), ["w0", "w0"]);
    let spread = place(LeastLoaded);
    assert_ne!(spread[0], spread[1]);
    assert!(!spread.contains(&"w1".to_owned()));
}

/// Guards against a team that gets more than its share while another waits, as it does
/// when jobs are served by arrival.
#[test]
fn shares_decide_who_starts() {
    for (fair_share, expected) in [(true, [2, 6]), (false, [8, 0])] {
        let set = with_weight(object_set(1, amounts(8, 32, 0, 4)), "b", 3);
        let rules = PolicyRules { fair_share, preemption: false, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(set, rules);
        cell.apply_event(CellEvent::WorkerSilent("w0".into()));
        cell.submit("j", "a-firm", 20, amounts(1, 1, 0, 0));
        cell.submit("k", "b-firm", 20, amounts(1, 1, 0, 0));
        let started = starts(&cell.report("w0", Vec::new()));
        let of =
            |job| started.iter().filter(|start| start.task == task(job, start.task.index)).count();
        assert_eq!([of("j"), of("k")], expected, "fair share: {fair_share}");
    }
}

/// Guards against urgent work that waits until running batch tasks end, and against more
/// preemptions than it needs.
#[test]
fn urgent_work_preempts_batch() {
    for preemption in [true, false] {
        let rules = PolicyRules { preemption, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(object_set(1, amounts(8, 32, 0, 4)), rules);
        cell.submit("firm", "a-firm", 4, amounts(1, 1, 0, 0));
        let batch = starts(&cell.submit("batch", "a-batch", 4, amounts(1, 1, 0, 0)));
        let decisions = cell.submit("urgent", "b-urgent", 1, amounts(1, 1, 0, 0));
        if !preemption {
            assert!(decisions.is_empty());
            continue;
        }
        let stopped = stops(&decisions);
        assert_eq!(stopped.len(), 1, "only as much as needed");
        assert_eq!((stopped[0].1, stopped[0].2), (true, "preempted-by-urgent"));
        assert!(stops(&cell.advance_in_ticks(500)).is_empty(), "one is on its way");
        let victim = batch.iter().find(|start| start.task == stopped[0].0).expect("a batch task");
        let started = starts(&cell.end_task(victim, EndKind::Checkpointed));
        assert_eq!(started[0].task, task("urgent", 0));
    }
}

/// Guards against urgent work that waits because batch tasks of its own team use up the
/// team's allotment.
#[test]
fn urgent_work_preempts_its_own_team() {
    let mut cell = TestCell::with_workers(1);
    cell.set_allotment("a", amounts(4, 32, 0, 4));
    cell.submit("batch", "a-batch", 4, amounts(1, 1, 0, 0));
    let decisions = cell.submit("urgent", "a-urgent", 1, amounts(1, 1, 0, 0));
    assert_eq!(stops(&decisions).len(), 1);
}

/// Guards against a search for tasks to preempt for one team that finds none and delays
/// the search for another team.
#[test]
fn preemption_is_searched_for_each_team() {
    let mut cell = TestCell::with_workers(1);
    cell.submit("batch", "c-batch", 7, amounts(1, 1, 0, 0));
    cell.set_allotment("a", amounts(1, 1, 0, 0));
    cell.submit("firm", "a-firm", 1, amounts(1, 1, 0, 0));
    assert!(stops(&cell.submit("own", "a-urgent", 1, amounts(1, 1, 0, 0))).is_empty());
    assert_eq!(stops(&cell.submit("other", "b-urgent", 1, amounts(1, 1, 0, 0))).len(), 1);
}

/// Guards against an urgent gang that waits until running batch tasks end.
#[test]
fn urgent_gang_preempts_batch() {
    let mut cell = TestCell::with_workers(2);
    let batch = starts(&cell.submit("batch", "a-batch", 4, amounts(4, 4, 0, 0)));
    let mut decisions = cell.submit("rush", "b-rush", 2, amounts(8, 8, 0, 0));
    decisions.extend(cell.advance_in_ticks(200));
    assert_eq!(stops(&decisions).len(), 4);
    let mut started = Vec::new();
    for start in &batch {
        started.extend(starts(&cell.end_task(start, EndKind::Checkpointed)));
    }
    started.extend(starts(&cell.advance_in_ticks(200)));
    assert_eq!(started.iter().filter(|start| start.task.job.as_str() == "rush").count(), 2);
}

/// Guards against a worker whose endpoint fails every request and gets more of them, as it
/// always has free slots, and against one that stays quarantined because no work that
/// could probe it arrives.
#[test]
fn failing_endpoint_is_quarantined() {
    let mut cell = TestCell::with_workers(2);
    cell.apply_event(CellEvent::WorkerSilent("w1".into()));
    for ticket in 1..=5 {
        assert_eq!(support::grants(&cell.request_slot(ticket, "a-ask", 1_000)).len(), 1);
        cell.apply_event(CellEvent::RequestEnded { ticket, healthy: false });
    }
    assert_eq!(worker_state(&cell, "w0"), Some(WorkerState::Quarantined));
    assert!(support::grants(&cell.request_slot(6, "a-ask", 500)).is_empty());
    cell.advance_in_ticks(61_100);
    assert_eq!(worker_state(&cell, "w0"), Some(WorkerState::Reported));
    cell.request_slot(7, "a-ask", 1_000);
    cell.apply_event(CellEvent::RequestEnded { ticket: 7, healthy: false });
    assert_eq!(
        worker_state(&cell, "w0"),
        Some(WorkerState::Quarantined),
        "one more failure is enough"
    );
}

/// Guards against a team that never gets its share back from another that used it while
/// it was free, against reclaiming more than the share or all of it at once, and against
/// tasks that are preempted again and again.
#[test]
fn shares_are_reclaimed_one_task_at_a_time() {
    let mut cell = TestCell::with_workers(1);
    let borrowed = starts(&cell.submit("j", "a-batch", 8, amounts(1, 4, 0, 0)));
    assert_eq!(borrowed.len(), 8);
    let mut decisions = cell.submit("k", "b-batch", 8, amounts(1, 4, 0, 0));
    assert_eq!(stops(&decisions).len(), 1, "one at a time");
    decisions.extend(cell.advance_in_ticks(2_000));
    let stopped = stops(&decisions);
    assert_eq!(stopped.len(), 4, "half of the worker");
    assert!(stopped.iter().all(|stop| stop.1 && stop.2 == "share-reclaimed"));
    let mut started = Vec::new();
    for start in &borrowed {
        if stopped.iter().any(|stop| stop.0 == start.task) {
            started.extend(starts(&cell.end_task(start, EndKind::Checkpointed)));
        }
    }
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.task == task("k", start.task.index)));
    assert!(stops(&cell.advance_in_ticks(15_000)).is_empty(), "both teams have their share");
}

/// Guards against a task that makes no progress because it is preempted again within 10 s.
#[test]
fn preempted_task_is_protected() {
    let mut cell = TestCell::with_workers(1);
    let batch = starts(&cell.submit("j", "a-batch", 1, amounts(8, 32, 0, 0)));
    let urgent =
        |cell: &mut TestCell, job: &str| cell.submit(job, "b-urgent", 1, amounts(1, 1, 0, 0));
    assert_eq!(stops(&urgent(&mut cell, "u1")).len(), 1);
    let first = starts(&cell.end_task(&batch[0], EndKind::Checkpointed));
    let again = starts(&cell.end_task(&first[0], EndKind::Done));
    assert_eq!(again[0].task, batch[0].task);
    assert!(stops(&urgent(&mut cell, "u2")).is_empty());
    assert!(stops(&cell.advance_in_ticks(9_900)).is_empty());
    assert_eq!(stops(&cell.advance_in_ticks(200)).len(), 1);
}

/// Guards against a gang that starts in part, or that waits forever because small tasks
/// take the workers it needs. Only tasks that end early enough may use these meanwhile.
#[test]
fn gang_starts_as_a_whole() {
    for (backfill, expected) in [(true, ["short"].as_slice()), (false, [].as_slice())] {
        let rules = PolicyRules { backfill, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(object_set(2, amounts(8, 32, 0, 4)), rules);
        let blockers =
            starts(&cell.submit_with_run_time("j", "a-firm", 2, amounts(5, 8, 0, 0), 10_000));
        assert_eq!(worker_names(&blockers).len(), 2);
        assert!(cell.submit("gang", "b-gang", 2, amounts(8, 8, 0, 0)).is_empty());
        cell.advance_in_ticks(200);
        // Both workers are reserved until the blockers end.
        let mut started =
            starts(&cell.submit_with_run_time("long", "c-firm", 1, amounts(1, 1, 0, 0), 60_000));
        started.extend(starts(&cell.submit("unknown", "c-firm", 1, amounts(1, 1, 0, 0))));
        started.extend(starts(&cell.submit_with_run_time(
            "short",
            "c-firm",
            1,
            amounts(1, 1, 0, 0),
            1_000,
        )));
        let jobs: Vec<_> = started.iter().map(|start| start.task.job.as_str()).collect();
        assert_eq!(jobs, expected);
        for start in started.iter().chain(&blockers) {
            assert!(starts(&cell.end_task(start, EndKind::Done)).is_empty());
        }
        let gang = starts(&cell.advance_in_ticks(200));
        assert_eq!(gang.iter().filter(|start| start.task.job.as_str() == "gang").count(), 2);
    }
}

/// Guards against two gangs that each reserve a part of the workers, so that neither can
/// start.
#[test]
fn one_gang_reserves_at_a_time() {
    let mut cell = TestCell::with_workers(2);
    let blockers = starts(&cell.submit("j", "a-firm", 2, amounts(5, 8, 0, 0)));
    cell.submit("g1", "b-gang", 2, amounts(8, 8, 0, 0));
    cell.submit("g2", "c-gang", 1, amounts(8, 8, 0, 0));
    cell.end_task(&blockers[0], EndKind::Done);
    assert!(starts(&cell.advance_in_ticks(1_000)).is_empty(), "the free worker is kept for g1");
    cell.end_task(&blockers[1], EndKind::Done);
    let started = starts(&cell.advance_in_ticks(200));
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|start| start.task.job.as_str() == "g1"));
}

/// Guards against a gang whose other tasks go on when one is lost with its worker and
/// cannot start again.
#[test]
fn incomplete_gang_stops() {
    let mut cell = TestCell::with_workers(2);
    let gang = starts(&cell.submit("g", "a-gang", 2, amounts(8, 8, 0, 0)));
    assert_eq!(gang.len(), 2);
    let lost = gang[0].worker.clone();
    let mut decisions = cell.apply_event(CellEvent::WorkerLost(lost.clone()));
    decisions.extend(cell.advance_in_ticks(200));
    assert_eq!(stops(&decisions), [(gang[1].task.clone(), true, "gang-incomplete")]);
    cell.end_task(&gang[1], EndKind::Checkpointed);
    assert!(starts(&cell.advance_in_ticks(500)).is_empty(), "one worker does not hold the gang");
    cell.report(lost.as_str(), Vec::new());
    assert_eq!(starts(&cell.advance_in_ticks(500)).len(), 2);
}

/// Guards against a failing job that is retried forever, and against other tasks of the
/// job that go on after it has failed.
#[test]
fn third_failure_fails_the_job() {
    let mut cell = TestCell::with_workers(1);
    let mut started = starts(&cell.submit("j", "a-firm", 2, amounts(4, 4, 0, 0)));
    let (mut bad, good) = (started.remove(0), started.remove(0));
    for attempt in 2..=3 {
        cell.now += 5_000;
        bad = starts(&cell.end_task(&bad, EndKind::Failed)).remove(0);
        assert_eq!(bad.attempt, attempt);
    }
    let last = cell.end_task(&bad, EndKind::Failed);
    assert_eq!(job_changes(&last), [(JobState::Failed, Vec::new())]);
    let mut decisions = last;
    decisions.extend(cell.advance(50));
    assert_eq!(stops(&decisions), [(good.task.clone(), false, "job-failed")]);
    assert!(cell.submit("j", "a-firm", 2, amounts(4, 4, 0, 0)).is_empty(), "a late notice");
}

/// Ends these attempts of a gang as failed, late enough to blame no worker, and returns the next ones.
fn fail_members(cell: &mut TestCell, members: &[Start]) -> (Vec<Start>, Vec<CellDecision>) {
    cell.now += 5_000;
    let mut decisions = Vec::new();
    for member in members {
        decisions.extend(cell.end_task(member, EndKind::Failed));
    }
    decisions.extend(cell.advance_in_ticks(500));
    (starts(&decisions), decisions)
}

/// Guards against a gang whose job fails although it has attempts left: members that fail together
/// use up one attempt each, not one for each of them.
#[test]
fn members_that_fail_together_use_up_one_attempt() {
    let mut cell = TestCell::with_workers(2);
    let mut members = starts(&cell.submit("j", "a-gang", 5, amounts(2, 4, 0, 0)));
    assert_eq!(members.len(), 5);
    for _ in 0..2 {
        let (next, decisions) = fail_members(&mut cell, &members);
        assert!(job_changes(&decisions).is_empty(), "attempts are left");
        assert_eq!(next.len(), 5);
        members = next;
    }
    let (next, decisions) = fail_members(&mut cell, &members);
    assert_eq!(job_changes(&decisions), [(JobState::Failed, Vec::new())]);
    assert!(next.is_empty());
}

/// Guards against the same after a handover while some members of an attempt have failed.
#[test]
fn members_that_fail_under_two_owners_use_up_one_attempt() {
    let set = object_set(2, amounts(8, 32, 0, 4));
    let mut first = TestCell::with_set(set.clone());
    let members = starts(&first.submit("j", "a-gang", 4, amounts(4, 4, 0, 0)));
    let (failed, running) = members.split_at(2);
    let (restarted, decisions) = fail_members(&mut first, failed);
    assert!(job_changes(&decisions).is_empty(), "attempts are left");
    let now = ClockMillis(900_000);
    let rules = PolicyRules::ALL;
    let snapshot = first.cell.export();
    let imported = Cell::import(DomainName::from("d"), 7, now, snapshot, BestFit, rules);
    let mut cell = TestCell { cell: imported, now: now.0 };
    cell.apply_event(CellEvent::Config(Arc::new(set)));
    let present: Vec<_> = running.iter().chain(&restarted).cloned().collect();
    for worker in ["w0", "w1"] {
        let here = present.iter().filter(|start| start.worker.as_str() == worker);
        cell.report(worker, here.map(|start| reported_task(start, "a")).collect());
    }
    let (next, decisions) = fail_members(&mut cell, &present);
    assert!(job_changes(&decisions).is_empty(), "attempts are left");
    assert_eq!(next.len(), 4, "all members start again");
}

/// Guards against a task that returns to the worker on which it failed because no other
/// has room. A worker that fails everything always has room.
#[test]
fn failed_task_waits_for_another_worker() {
    let mut cell = TestCell::with_workers(2);
    let filler = starts(&cell.submit("f", "a-firm", 1, amounts(8, 8, 0, 0))).remove(0);
    let failing = starts(&cell.submit("j", "a-firm", 1, amounts(4, 4, 0, 0))).remove(0);
    assert_ne!(failing.worker, filler.worker);
    cell.now += 100;
    assert!(starts(&cell.end_task(&failing, EndKind::Failed)).is_empty());
    assert!(starts(&cell.advance_in_ticks(2_000)).is_empty());
    let other = starts(&cell.submit("k", "a-firm", 1, amounts(4, 4, 0, 0)));
    assert_eq!(other[0].worker, failing.worker, "work of the same size may go there");
    let again = starts(&cell.end_task(&filler, EndKind::Done));
    assert_eq!((again[0].attempt, &again[0].worker), (2, &filler.worker));
}

/// Guards against a team with work of normal urgency that keeps all capacity from a team
/// with batch work for as long as it has more.
#[test]
fn shares_come_before_normal_urgency() {
    let mut cell = TestCell::with_workers(1);
    let mut running = starts(&cell.submit("a", "a-firm", 30, amounts(1, 1, 0, 0)));
    assert_eq!(running.len(), 8);
    assert!(starts(&cell.submit("b", "b-batch", 30, amounts(1, 1, 0, 0))).is_empty());
    let mut teams = String::new();
    for _ in 0..8 {
        let start = running.remove(0);
        for next in starts(&cell.end_task(&start, EndKind::Done)) {
            teams.push_str(next.task.job.as_str());
            running.push(next);
        }
    }
    assert_eq!(teams, "bbbbaaaa", "half of the worker each, then by urgency");
}

/// Guards against a gang that waits until one worker is drained while as much capacity
/// comes free on several workers.
#[test]
fn gang_reserves_more_than_it_needs() {
    let mut cell = TestCell::with_workers(4);
    let mut running = starts(&cell.submit("f", "a-firm", 16, amounts(2, 2, 0, 0)));
    assert_eq!(running.len(), 16);
    assert!(starts(&cell.submit("g", "a-gang", 4, amounts(2, 2, 0, 0))).is_empty());
    // One task ends on each worker; nothing else may take what becomes free.
    assert!(starts(&cell.submit("h", "a-batch", 8, amounts(1, 1, 0, 0))).is_empty());
    let mut started = Vec::new();
    for worker in ["w0", "w1", "w2", "w3"] {
        let position = running.iter().position(|start| start.worker.as_str() == worker).unwrap();
        let start = running.swap_remove(position);
        cell.now += 200;
        started.extend(starts(&cell.end_task(&start, EndKind::Done)));
    }
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|start| start.task.job.as_str() == "g"), "{started:?}");
}

/// Guards against a worker that fails all tasks at once and, as it is always free, gets
/// all waiting ones, and against jobs that fail because of it.
#[test]
fn failing_worker_is_quarantined_and_probed() {
    let mut cell = TestCell::with_workers(2);
    cell.apply_event(CellEvent::WorkerSilent("w1".into()));
    let mut started = starts(&cell.submit("j", "a-firm", 3, amounts(2, 2, 0, 0)));
    let mut failures = 0;
    while worker_state(&cell, "w0") != Some(WorkerState::Quarantined) {
        let start = started.remove(0);
        cell.now += 100;
        started.extend(starts(&cell.end_task(&start, EndKind::Failed)));
        failures += 1;
        assert!(failures <= 5, "five failed starts are enough");
    }
    for start in std::mem::take(&mut started) {
        cell.end_task(&start, EndKind::Failed);
    }
    // Probes at growing intervals: 1 s, then 2 s, then 4 s.
    for wait in [1_000, 2_000, 4_000] {
        assert!(starts(&cell.advance_in_ticks(wait - 50)).is_empty());
        let probe = starts(&cell.advance_in_ticks(50));
        assert_eq!(probe.len(), 1, "one probe after {wait} ms");
        if wait < 4_000 {
            assert!(job_changes(&cell.end_task(&probe[0], EndKind::Failed)).is_empty());
        } else {
            cell.end_task(&probe[0], EndKind::Done);
        }
    }
    assert_eq!(worker_state(&cell, "w0"), Some(WorkerState::Reported));
}

/// Guards against task sizes that are corrected too early, to less than the measured
/// usage, or not at all.
#[test]
fn sizes_follow_measured_use() {
    for (usage_correction, expected) in [(true, amounts(2, 5, 0, 0)), (false, amounts(8, 16, 0, 0))]
    {
        let rules = PolicyRules { usage_correction, ..PolicyRules::ALL };
        let mut cell = TestCell::with_rules(object_set(1, amounts(8, 64, 0, 4)), rules);
        let first = starts(&cell.submit("j", "a-firm", 9, amounts(8, 16, 0, 0)));
        assert_eq!(first.len(), 1);
        cell.apply_event(CellEvent::StartConfirmed { task: first[0].task.clone(), attempt: 1 });
        for _ in 0..3 {
            cell.now += 31_000;
            let mut task = reported_task(&first[0], "a");
            task.usage = ResourceAmounts { cpu_millis: 1_600, ..amounts(0, 4, 0, 0) };
            cell.report("w0", vec![task]);
        }
        let next = starts(&cell.end_task(&first[0], EndKind::Done));
        assert_eq!(next[0].amounts, expected);
    }
}

/// Guards against a job whose tasks end quickly and cause more than one progress record a
/// second, and against a final record that waits for the next second.
#[test]
fn progress_is_recorded_once_a_second() {
    let mut cell = TestCell::with_workers(1);
    let started = starts(&cell.submit("j", "a-firm", 4, amounts(1, 1, 0, 0)));
    assert_eq!(job_changes(&cell.end_task(&started[0], EndKind::Done)).len(), 1);
    assert!(job_changes(&cell.end_task(&started[1], EndKind::Done)).is_empty());
    assert!(job_changes(&cell.advance_in_ticks(950)).is_empty());
    assert_eq!(job_changes(&cell.advance_in_ticks(50)), [(JobState::Accepted, vec![0, 1])]);
    assert!(job_changes(&cell.end_task(&started[2], EndKind::Done)).is_empty());
    assert_eq!(
        job_changes(&cell.end_task(&started[3], EndKind::Done)),
        [(JobState::Done, vec![0, 1, 2, 3])]
    );
    assert_eq!(cell.cell.job_record(&"j".into()), None);
}

/// Guards against cancelled jobs that start or go on, also when the cancellation arrives
/// before the job.
#[test]
fn cancelled_jobs_stop() {
    let mut cell = TestCell::with_workers(1);
    let started = starts(&cell.submit("j", "a-firm", 20, amounts(1, 1, 0, 0)));
    let mut decisions = cell.apply_event(CellEvent::JobCancelled("j".into()));
    assert_eq!(job_changes(&decisions), [(JobState::Cancelled, Vec::new())]);
    decisions.extend(cell.advance(50));
    assert_eq!(stops(&decisions).len(), 8);
    for start in &started {
        assert!(starts(&cell.end_task(start, EndKind::Stopped)).is_empty());
    }
    assert!(cell.team_usage("a").is_zero());
    cell.apply_event(CellEvent::JobCancelled("k".into()));
    assert!(cell.submit("k", "a-firm", 1, amounts(1, 1, 0, 0)).is_empty());
}

/// Guards against tasks that go on above a lowered allotment, and against stopping others
/// than the least urgent and youngest.
#[test]
fn lowered_allotment_stops_the_excess() {
    let mut cell = TestCell::with_workers(1);
    cell.submit("firm", "a-firm", 1, amounts(1, 1, 0, 0));
    cell.submit("urgent", "a-urgent", 1, amounts(1, 1, 0, 0));
    cell.submit("old", "a-batch", 1, amounts(1, 1, 0, 0));
    cell.now += 10;
    cell.submit("young", "a-batch", 1, amounts(1, 1, 0, 0));
    let stopped = stops(&cell.set_allotment("a", amounts(3, 32, 0, 4)));
    assert_eq!(stopped, [(task("young", 0), true, "allotment-lowered")]);
    let stopped = stops(&cell.set_allotment("a", amounts(1, 32, 0, 4)));
    let expected = [
        (task("old", 0), true, "allotment-lowered"),
        (task("firm", 0), false, "allotment-lowered"),
    ];
    assert_eq!(stopped, expected);
}

/// Guards against tasks that go on for removed teams or on removed workers.
#[test]
fn tasks_of_removed_teams_and_workers_stop() {
    let mut cell = TestCell::with_workers(2);
    cell.submit("j", "a-batch", 1, amounts(8, 8, 0, 0));
    cell.submit("k", "b-firm", 1, amounts(8, 8, 0, 0));
    let mut set = object_set(2, amounts(8, 32, 0, 4));
    set.teams.retain(|team| team.name.as_str() != "b");
    set.queues.retain(|queue| queue.team.as_str() != "b");
    let stopped = stops(&cell.apply_event(CellEvent::Config(Arc::new(set.clone()))));
    assert_eq!(stopped, [(task("k", 0), false, "team-removed")]);
    set.workers.clear();
    let stopped = stops(&cell.apply_event(CellEvent::Config(Arc::new(set))));
    assert_eq!(stopped, [(task("j", 0), true, "worker-removed")]);
    assert_eq!(worker_state(&cell, "w0").or(worker_state(&cell, "w1")), Some(WorkerState::Removed));
}

/// Guards against tasks that start or go on in a domain that is out, and against jobs that
/// do not move to another one.
#[test]
fn domain_out_empties_the_domain() {
    let mut cell = TestCell::with_workers(1);
    let batch = starts(&cell.submit("batch", "a-batch", 1, amounts(1, 1, 0, 0)));
    let service = starts(&cell.submit("service", "a-service", 1, amounts(1, 1, 0, 0)));
    cell.submit("waiting", "a-batch", 1, amounts(20, 1, 0, 0));
    let mut set = object_set(1, amounts(8, 32, 0, 4));
    set.domains[0].state = DomainState::Out;
    let decisions = cell.apply_event(CellEvent::Config(Arc::new(set)));
    assert_eq!(stops(&decisions), [(task("batch", 0), true, "domain-out")]);
    let moved = |decisions: &[CellDecision], job: &str| {
        decisions.contains(&CellDecision::MoveJob(job.into()))
    };
    assert!(moved(&decisions, "waiting") && !moved(&decisions, "batch"));
    assert!(moved(&cell.end_task(&batch[0], EndKind::Checkpointed), "batch"));
    assert!(stops(&cell.advance_in_ticks(29_900)).is_empty(), "the service has its grace");
    assert_eq!(stops(&cell.advance_in_ticks(200)), [(task("service", 0), false, "domain-out")]);
    assert!(moved(&cell.end_task(&service[0], EndKind::Stopped), "service"));
    let late = cell.submit("late", "a-batch", 1, amounts(1, 1, 0, 0));
    assert!(starts(&late).is_empty() && moved(&late, "late"));
}

/// Guards against a task that goes on because its stop was lost or its checkpoint never
/// ends.
#[test]
fn stops_are_repeated() {
    let mut cell = TestCell::with_workers(1);
    cell.submit("j", "a-batch", 1, amounts(1, 1, 0, 0));
    assert_eq!(stops(&cell.set_allotment("a", ResourceAmounts::ZERO)).len(), 1);
    assert!(stops(&cell.advance_in_ticks(4_950)).is_empty());
    assert!(stops(&cell.advance_in_ticks(50))[0].1);
    assert!(
        !stops(&cell.advance_in_ticks(25_000)).last().expect("repeated").1,
        "now without a checkpoint"
    );
}

/// Guards against work that is lost or runs twice after a handover, and against a
/// cancellation that is forgotten.
#[test]
fn handover_keeps_waiting_and_running_work() {
    let set = object_set(1, amounts(8, 32, 0, 1));
    let mut first = TestCell::with_set(set.clone());
    first.set_allotment("a", amounts(8, 32, 0, 4));
    let started = starts(&first.submit("j", "a-firm", 3, amounts(3, 4, 0, 0)));
    assert_eq!(started.len(), 2);
    first.request_slot(1, "a-ask", 5_000);
    first.request_slot(2, "a-ask", 5_000);
    first.apply_event(CellEvent::JobCancelled("gone".into()));
    let snapshot = first.cell.export();
    let now = ClockMillis(900_000);
    let rules = PolicyRules::ALL;
    let imported = Cell::import(DomainName::from("d"), 7, now, snapshot.clone(), BestFit, rules);
    let mut cell = TestCell { cell: imported, now: now.0 };
    cell.apply_event(CellEvent::Config(Arc::new(set)));
    let mut update = cell
        .worker_update("w0", Some(started.iter().map(|start| reported_task(start, "a")).collect()));
    update.slots_used = 1;
    assert!(cell.apply_event(CellEvent::WorkerReported(update)).is_empty());
    assert_eq!(cell.team_usage("a"), first.team_usage("a"));
    assert_eq!(cell.cell.export().requests, snapshot.requests);
    let next = starts(&cell.end_task(&started[0], EndKind::Done));
    assert_eq!((next.len(), next[0].attempt), (1, 2));
    assert_eq!(support::grants(&cell.end_request(1)), [(2, "w0".into())]);
    assert!(cell.submit("gone", "a-firm", 1, amounts(1, 1, 0, 0)).is_empty());
}
