//! Runs that are stopped with their progress saved for more urgent work.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{TeamName, WorkerName};
use model::resource::ResourceAmounts;
use plan::config::{AdviceCost, PlanConfig, TeamRule};
use plan::decision::{PlanDecision, StartOrder, StopOrder};
use plan::feature::PlanFeatures;
use plan::job::{JobSpec, StepSpec, TaskKey};
use plan::planner::{Planner, PlannerOptions};
use plan::preempt::PREEMPTED_REASON;
use plan::progress::ProgressRecord;
use plan::worker::{EndKind, EndedRun, StartAnswer};
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, rule, step, stops, worker};

/// Saved progress that a stopped run reports.
const SAVED: &str = "half";

fn preempt_config() -> PlanConfig {
    let mut config = config();
    let cost = AdviceCost { call_ms: 10.0, worker_ms: 0.1, valid_ms: 5_000 };
    config.queues.insert("asked".into(), rule(0, Some(cost)));
    let limit = ResourceAmounts::UNLIMITED;
    config.teams.insert("small".into(), TeamRule { weight: 1, limit });
    config
}

/// Returns a planner with workers without runs.
fn idle_fixture(workers: usize, preemption: bool) -> PlannerFixture {
    let mut fixture = PlannerFixture::unreported(0, PlanConfig::default());
    let features = PlanFeatures { preemption, ..PlanFeatures::default() };
    fixture.planner = Planner::new(PlannerOptions { features, ..PlannerOptions::default() });
    fixture.planner.set_config(Arc::new(preempt_config()));
    for index in 0..workers {
        fixture.planner.set_worker(worker(index));
        fixture.report(&worker(index).name, Vec::new(), Vec::new());
    }
    fixture
}

/// Returns four tasks of 10 s for each worker, which fill it and save their progress.
fn long_step(workers: u32) -> StepSpec {
    let tasks = step(4 * workers, cpu(WORKER_CPU / 4));
    StepSpec { checkpoint: true, estimate_ms: 10_000, ..tasks }
}

/// Returns urgent tasks of 1 s, of which four fill a worker. They may wait for 2 s.
fn urgent_step(count: u32) -> StepSpec {
    step(count, cpu(WORKER_CPU / 4))
}

/// Starts a job that fills four workers.
fn full_fixture(
    queue: &str,
    step: StepSpec,
    preemption: bool,
) -> (PlannerFixture, Vec<StartOrder>) {
    let mut fixture = idle_fixture(4, preemption);
    fixture.add(job("long", queue, vec![step]));
    let orders = fixture.run_starts(StartAnswer::Started);
    assert!(!orders.is_empty());
    (fixture, orders)
}

fn preempted(decisions: Vec<PlanDecision>) -> Vec<StopOrder> {
    let mut orders = stops(decisions);
    orders.retain(|order| order.reason == PREEMPTED_REASON);
    orders
}

/// Reports that a stopped run has ended with its progress saved, and what else runs on its worker.
fn end_stopped(
    fixture: &mut PlannerFixture,
    order: &StopOrder,
    running: &[StartOrder],
    number: u64,
) {
    let present = running.iter().filter(|start| start.worker == order.worker);
    let running = present.filter(|start| start.task != order.task).map(support::present_run);
    let (task, run, kind) = (order.task.clone(), order.run, EndKind::Stopped);
    let ended = EndedRun { number, task, run, kind, saved: SAVED.into() };
    fixture.report(&order.worker, running.collect(), vec![ended]);
}

/// Guards against urgent work that is late because less urgent runs hold the capacity, and against
/// the loss of what they have done.
#[test]
fn urgent_work_gets_the_capacity_of_runs_that_save_their_progress() {
    let (mut fixture, running) = full_fixture("batch", long_step(4), true);
    fixture.add(job("urgent", "urgent", vec![urgent_step(5)]));
    let orders = preempted(fixture.decide());
    assert_eq!(orders.len(), 5, "one for each task");
    fixture.now_ms += 100;
    assert!(preempted(fixture.decide()).is_empty(), "the stops in flight are enough");
    fixture.now_ms += 300;
    for (number, order) in (1..).zip(&orders) {
        let on_worker = orders.iter().filter(|other| other.worker == order.worker);
        let gone: BTreeSet<_> = on_worker.map(|other| other.task.clone()).collect();
        let left: Vec<_> =
            running.iter().filter(|start| !gone.contains(&start.task)).cloned().collect();
        end_stopped(&mut fixture, order, &left, number);
    }
    let starts = fixture.starts();
    assert_eq!(starts.len(), 5);
    assert!(starts.iter().all(|start| start.task.step.job == "urgent".into()));
    for start in &starts {
        fixture.answer(start, StartAnswer::Started);
    }
    fixture.planner.cancel_job(&"urgent".into());
    fixture.decide();
    for start in &starts {
        fixture.planner.worker_lease_expired(&start.worker);
    }
    let resumed = fixture.starts();
    let victims: BTreeSet<_> = orders.iter().map(|order| &order.task).collect();
    let resumed: Vec<_> = resumed.iter().filter(|start| victims.contains(&start.task)).collect();
    assert_eq!(resumed.len(), 5);
    assert!(resumed.iter().all(|start| start.saved == SAVED), "they resume");
}

/// Guards against preemption of runs that lose their work or may not be disturbed, and for work that
/// does not gain by it.
#[test]
fn only_sound_preemptions_are_ordered() {
    let no_checkpoint = StepSpec { checkpoint: false, ..long_step(4) };
    let gang = StepSpec { gang: true, ..long_step(4) };
    let service = StepSpec { service: true, may_miss: 1, ..long_step(4) };
    let short = StepSpec { estimate_ms: 1_800, ..long_step(4) };
    let cases = [
        ("sound", "batch", long_step(4), 5, "red", "urgent", 5),
        ("no checkpoint", "batch", no_checkpoint, 5, "red", "urgent", 0),
        ("gang", "batch", gang, 5, "red", "urgent", 0),
        ("service", "batch", service, 5, "red", "urgent", 0),
        ("nearly done", "batch", short, 16, "red", "urgent", 0),
        ("as urgent", "urgent", long_step(4), 5, "red", "urgent", 0),
        ("in time", "batch", long_step(4), 1, "red", "urgent", 0),
        ("beyond share", "batch", long_step(4), 5, "small", "urgent", 0),
        ("no ticket", "batch", long_step(4), 5, "red", "asked", 0),
    ];
    for (name, queue, step, tasks, team, urgent_queue, expected) in cases {
        let (mut fixture, _) = full_fixture(queue, step, true);
        let urgent = |id: &str| JobSpec {
            team: Some(TeamName::from(team)),
            ..job(id, urgent_queue, vec![urgent_step(tasks)])
        };
        if team == "small" {
            for index in 0..3 {
                fixture.add(urgent(&format!("spent{index}")));
                fixture.planner.cancel_job(&format!("spent{index}").as_str().into());
            }
        }
        fixture.add(urgent("urgent"));
        assert_eq!(preempted(fixture.decide()).len(), expected, "{name}");
    }
    let (mut fixture, _) = full_fixture("batch", long_step(4), false);
    fixture.add(job("urgent", "urgent", vec![urgent_step(5)]));
    assert!(preempted(fixture.decide()).is_empty(), "switched off");
    let (mut fixture, _) = full_fixture("batch", long_step(4), true);
    fixture.add(job("urgent", "urgent", vec![urgent_step(5)]));
    fixture.now_ms += 1_700;
    assert!(preempted(fixture.decide()).is_empty(), "too late to be of use");
}

/// Guards against a gang for which some runs are stopped although the others cannot be.
#[test]
fn a_gang_preempts_for_all_of_its_members_or_none() {
    for (members, expected) in [(6, 6), (12, 0)] {
        let (mut fixture, _) = full_fixture("batch", long_step(4), true);
        let gang = StepSpec { gang: true, ..urgent_step(members) };
        fixture.add(job("urgent", "urgent", vec![gang]));
        assert_eq!(preempted(fixture.decide()).len(), expected, "{members} members");
    }
}

/// Guards against stops on workers on which the urgent step may not run.
#[test]
fn only_workers_with_a_ticket_are_considered() {
    let mut fixture = idle_fixture(4, true);
    let most = StepSpec { count: 15, ..long_step(4) };
    fixture.add(job("long", "batch", vec![most]));
    fixture.run_starts(StartAnswer::Started);
    fixture.add(job("urgent", "asked", vec![urgent_step(9)]));
    let request = support::advice_requests(fixture.decide()).remove(0);
    let allowed: Vec<WorkerName> = request.workers.iter().take(1).cloned().collect();
    assert!(preempted(fixture.decide()).is_empty(), "no ticket yet");
    fixture.advise(&request, &allowed);
    let orders = preempted(fixture.decide());
    assert!(!orders.is_empty() && orders.len() <= 4, "{orders:?}");
    assert!(orders.iter().all(|order| allowed.contains(&order.worker)));
}

/// Guards against preemption that is switched off for good by stops that take long: on a silent
/// worker, of a run that ends by itself, or on one slow worker.
#[test]
fn slow_stops_do_not_switch_preemption_off() {
    for (name, kind, is_silent, took_ms) in [
        ("ended by itself", EndKind::Lapsed, false, 20_000),
        ("silent", EndKind::Stopped, true, 20_000),
        ("slow", EndKind::Stopped, false, 20_000),
        ("all slow", EndKind::Stopped, false, 1_400),
    ] {
        let mut fixture = idle_fixture(4, true);
        let long = StepSpec { estimate_ms: 900_000, ..long_step(4) };
        fixture.add(job("long", "batch", vec![long]));
        let mut running = fixture.run_starts(StartAnswer::Started);
        // A job of 500 ms can wait for 1.5 s, of which the new start takes 0.1 s.
        let urgent = StepSpec { estimate_ms: 500, ..urgent_step(8) };
        fixture.add(job("first", "urgent", vec![urgent.clone()]));
        let orders = preempted(fixture.decide());
        assert_eq!(orders.len(), 8, "{name}");
        if is_silent {
            for silent in [true, false] {
                for order in &orders {
                    fixture.planner.set_silent(&order.worker, silent);
                }
                fixture.decide();
            }
        }
        fixture.now_ms += took_ms;
        fixture.planner.cancel_job(&"first".into());
        for (number, order) in (1..).zip(&orders) {
            running.retain(|start| start.task != order.task);
            let present = running.iter().filter(|start| start.worker == order.worker);
            let present = present.map(support::present_run).collect();
            let (task, run) = (order.task.clone(), order.run);
            let ended = EndedRun { number, task, run, kind, saved: SAVED.into() };
            fixture.report(&order.worker, present, vec![ended]);
        }
        fixture.run_starts(StartAnswer::Started);
        // The initial value counts again after some of the time constants of 5 s.
        fixture.now_ms += if took_ms < 20_000 { 25_000 } else { 100 };
        fixture.decide();
        fixture.add(job("second", "urgent", vec![StepSpec { count: 16, ..urgent }]));
        assert!(!preempted(fixture.decide()).is_empty(), "{name}");
    }
}

/// Guards against urgent work that is not examined because a late gang goes first, which could not
/// use its answers.
#[test]
fn a_late_gang_at_the_front_does_not_keep_others_from_preemption() {
    let mut fixture = idle_fixture(4, true);
    fixture.add(job("long", "batch", vec![StepSpec { count: 14, ..long_step(4) }]));
    fixture.run_starts(StartAnswer::Started);
    fixture.add(job("gang", "asked", vec![StepSpec { gang: true, ..urgent_step(2) }]));
    let request = support::advice_requests(fixture.decide()).remove(0);
    fixture.add(job("rest", "batch", vec![StepSpec { count: 2, ..long_step(4) }]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2);
    for _ in 0..2 {
        fixture.advise(&request, &request.workers);
    }
    fixture.now_ms += 3_000;
    fixture.add(job("urgent", "urgent", vec![urgent_step(9)]));
    assert!(!preempted(fixture.decide()).is_empty());
}

/// Guards against stops on workers that lack the label of the urgent step, or where its limit of
/// tasks on a worker is reached.
#[test]
fn only_workers_where_the_step_may_start_are_considered() {
    let labelled = StepSpec { label: Some("r1".into()), ..urgent_step(8) };
    let spread = StepSpec { max_per_worker: 1, ..urgent_step(8) };
    for (name, step, expected) in [("label", labelled, 8), ("limit", spread, 4)] {
        let (mut fixture, _) = full_fixture("batch", long_step(4), true);
        fixture.add(job("urgent", "urgent", vec![step]));
        let orders = preempted(fixture.decide());
        assert_eq!(orders.len(), expected, "{name}");
        let mut counts: BTreeMap<WorkerName, usize> = BTreeMap::new();
        for order in &orders {
            *counts.entry(order.worker.clone()).or_default() += 1;
        }
        let rack = [worker(2).name, worker(3).name];
        let is_allowed = |(worker, count): (&WorkerName, &usize)| match name {
            "label" => rack.contains(worker),
            _ => *count == 1,
        };
        assert!(counts.iter().all(is_allowed), "{name}: {counts:?}");
    }
}

/// Guards against stops for steps of a team whose limit the steps before them use up.
#[test]
fn the_limit_of_a_team_counts_for_its_steps_together() {
    let (mut fixture, _) = full_fixture("batch", long_step(4), true);
    let mut config = preempt_config();
    let limit = cpu(WORKER_CPU);
    let limit = ResourceAmounts { memory_mb: 100_000, ..limit };
    config.teams.insert("limited".into(), TeamRule { weight: 100, limit });
    fixture.planner.set_config(Arc::new(config));
    for index in 0..2 {
        let team = Some(TeamName::from("limited"));
        let spec = job(&format!("urgent{index}"), "urgent", vec![urgent_step(4)]);
        fixture.add(JobSpec { team, ..spec });
    }
    assert_eq!(preempted(fixture.decide()).len(), 4, "the limit is one worker");
}

/// Guards against a wave of urgent work that stops the whole fleet at once, and against tasks that
/// are stopped again and again.
#[test]
fn a_wave_preempts_within_bounds() {
    let mut fixture = idle_fixture(10, true);
    fixture.add(job("long", "batch", vec![long_step(10)]));
    let mut running: Vec<StartOrder> = fixture.run_starts(StartAnswer::Started);
    let mut ends: BTreeMap<TaskKey, u64> = BTreeMap::new();
    let mut in_flight: Vec<(u64, StopOrder)> = Vec::new();
    let mut stopped_at: BTreeMap<TaskKey, Vec<u64>> = BTreeMap::new();
    let mut number = 0;
    for tick in 0..600_u64 {
        let now = fixture.now_ms + 20;
        if tick < 400 && tick.is_multiple_of(25) {
            fixture.add(job(&format!("urgent{tick}"), "urgent", vec![urgent_step(10)]));
        }
        for (_, order) in in_flight.extract_if(.., |(end_ms, _)| *end_ms <= now) {
            running.retain(|start| start.task != order.task);
            number += 1;
            end_stopped(&mut fixture, &order, &running, number);
        }
        let done = |start: &StartOrder| ends.get(&start.task).is_some_and(|end_ms| *end_ms <= now);
        for start in running.extract_if(.., |start| done(start)).collect::<Vec<_>>() {
            number += 1;
            let present = running.iter().filter(|other| other.worker == start.worker);
            let present = present.map(support::present_run).collect();
            let (task, run, kind) = (start.task, start.run, EndKind::Done);
            let ended = EndedRun { number, task, run, kind, saved: ArcStr::default() };
            fixture.report(&start.worker, present, vec![ended]);
        }
        fixture.store();
        fixture.now_ms = fixture.now_ms.max(now);
        for decision in fixture.decide() {
            match decision {
                PlanDecision::Start(order) => {
                    fixture.answer(&order, StartAnswer::Started);
                    let is_urgent = order.task.step.job.as_str().starts_with("urgent");
                    let work_ms = if is_urgent { 1_000 } else { 10_000 };
                    ends.insert(order.task.clone(), fixture.now_ms + work_ms);
                    running.push(order);
                }
                PlanDecision::Stop(order) => {
                    assert_eq!(order.reason, PREEMPTED_REASON);
                    assert!(order.task.step.job.as_str().starts_with("long"), "{order:?}");
                    stopped_at.entry(order.task.clone()).or_default().push(fixture.now_ms);
                    ends.remove(&order.task);
                    in_flight.push((fixture.now_ms + 300, order));
                }
                PlanDecision::RequestAdvice(request) => panic!("no advice: {request:?}"),
                PlanDecision::Pace(order) => panic!("nothing is paced: {order:?}"),
            }
        }
        assert!(in_flight.len() <= 8, "{} stops in flight", in_flight.len());
    }
    let count: usize = stopped_at.values().map(Vec::len).sum();
    assert!((1..=40).contains(&count), "{count} preemptions");
    for times in stopped_at.values() {
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 10_000), "{times:?}");
    }
}

/// Guards against work that is lost if the owner changes between the order of a stop and the end of
/// the run.
#[test]
fn a_new_owner_resumes_a_preempted_run() {
    let spec = Arc::new(job("long", "batch", vec![long_step(1)]));
    let mut fixture = PlannerFixture::unreported(1, preempt_config());
    fixture.planner.add_job(&spec, &ProgressRecord::default(), 1);
    fixture.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::ZERO);
    let (task, run, kind) = (support::task("long", 2), 7, EndKind::Stopped);
    let ended = EndedRun { number: 1, task, run, kind, saved: SAVED.into() };
    fixture.report(&worker(0).name, Vec::new(), vec![ended]);
    let starts = fixture.starts();
    let resumed = starts.iter().find(|start| start.task.index == 2).expect("it starts again");
    assert_eq!(resumed.saved, SAVED);
    assert_eq!(starts.len(), 4);
}
