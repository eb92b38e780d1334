//! Placement of tasks: capacity, team limits, gangs, advice, ranks, services and schedules.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use model::name::WorkerName;
use model::resource::ResourceAmounts;
use plan::advice::AdviceDispatcher;
use plan::decision::AdviceRequest;
use plan::job::{StepKey, StepSpec};
use plan::order::{self, RankInput};
use plan::worker::{EndKind, StartAnswer};
use support::{PlannerFixture, advice_requests, config, cpu, job, rule, step, stops, worker};

/// Guards against overcommitted workers: five tasks that are due at once must not all start on
/// a worker with capacity for two.
#[test]
fn tasks_wait_for_room() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("j", "normal", vec![step(5, cpu(3_000))]));
    let orders = fixture.run_starts(StartAnswer::Started);
    assert_eq!(orders.len(), 2, "two of 3 cores fit into 8");
    assert!(fixture.starts().is_empty());
    fixture.end(&orders[0], EndKind::Done);
}

/// Guards against overcommitted workers after a cancellation: a run occupies its capacity until
/// its end is known, not only until its stop is ordered.
#[test]
fn room_of_a_stopping_run_is_not_free() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("big", "normal", vec![step(1, cpu(8_000))]));
    fixture.run_starts(StartAnswer::Started);
    fixture.planner.cancel_job(&"big".into());
    fixture.add(job("next", "normal", vec![step(1, cpu(8_000))]));
    let decisions = fixture.decide();
    assert_eq!(stops(decisions.clone()).len(), 1);
    assert!(support::starts(decisions).is_empty());
}

/// Guards against a team that exceeds its limit while workers have free capacity.
#[test]
fn a_team_stays_within_its_limit() {
    let mut config = config();
    let limit = ResourceAmounts { cpu_millis: 5_000, ..ResourceAmounts::UNLIMITED };
    config.teams.get_mut("red").expect("the team exists").limit = limit;
    let mut fixture = PlannerFixture::new(3, config);
    fixture.add(job("j", "normal", vec![step(9, cpu(1_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 5);
}

/// Guards against starts in a domain that is out of service, or on a draining worker.
#[test]
fn excluded_workers_get_no_starts() {
    let mut config = config();
    config.domains_out.insert("north".into());
    let mut fixture = PlannerFixture::new(4, config);
    let mut leaving = worker(1);
    leaving.draining = true;
    fixture.planner.set_worker(leaving);
    fixture.add(job("j", "normal", vec![step(4, cpu(1_000))]));
    let orders = fixture.starts();
    assert_eq!(orders.len(), 4);
    assert!(orders.iter().all(|order| order.worker == worker(3).name));
}

/// Guards against partly started gangs, whose members occupy capacity and wait for the rest.
#[test]
fn a_gang_starts_whole_or_not() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("small", "urgent", vec![step(1, cpu(8_000))]));
    fixture.run_starts(StartAnswer::Started);
    let gang = StepSpec { gang: true, ..step(2, cpu(8_000)) };
    fixture.add(job("gang", "normal", vec![gang]));
    assert!(fixture.starts().is_empty());
    fixture.planner.cancel_job(&"small".into());
    fixture.decide();
    let freed = worker(0).name;
    fixture.end_run(&freed, &support::task("small", 0), 1, EndKind::Stopped);
    let orders = fixture.starts();
    assert_eq!(orders.len(), 2);
    assert_eq!(orders[0].run, orders[1].run, "members share the run number");
}

/// Guards against members of a gang that wait for one whose start was refused.
#[test]
fn a_broken_gang_is_stopped() {
    let mut fixture = PlannerFixture::new(2, config());
    let gang = StepSpec { gang: true, ..step(2, cpu(8_000)) };
    fixture.add(job("gang", "normal", vec![gang]));
    let orders = fixture.starts();
    fixture.answer(&orders[0], StartAnswer::Started);
    fixture.answer(&orders[1], StartAnswer::Refused(plan::worker::RefusalKind::Unhealthy));
    let stopped = stops(fixture.decide());
    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0].worker, orders[0].worker);
}

/// Guards against a gang that never starts, because small tasks of later steps take the
/// capacity of its workers as soon as it is free.
#[test]
fn room_is_kept_for_a_waiting_gang() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("first", "urgent", vec![step(2, cpu(5_000))]));
    let running = fixture.run_starts(StartAnswer::Started);
    fixture.add(job("gang", "normal", vec![StepSpec { gang: true, ..step(2, cpu(8_000)) }]));
    fixture.add(job("later", "batch", vec![step(4, cpu(1_000))]));
    assert!(fixture.starts().is_empty(), "later work would keep the workers busy");
    for order in &running {
        fixture.end(order, EndKind::Done);
    }
    let orders = fixture.starts();
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.job.id.as_str() == "gang"));
}

/// Guards against starts without a ticket in a queue that needs advice.
#[test]
fn advised_steps_start_with_tickets_only() {
    let mut fixture = PlannerFixture::new(4, config());
    fixture.add(job("j", "advised", vec![step(2, cpu(1_000))]));
    let decisions = fixture.decide();
    assert!(support::starts(decisions.clone()).is_empty());
    let request = advice_requests(decisions).remove(0);
    let eligible: Vec<WorkerName> = request.workers[..1].to_vec();
    fixture.advise(&request, &eligible);
    let orders = fixture.starts();
    assert_eq!(orders.len(), 2);
    assert!(orders.iter().all(|order| order.worker == eligible[0] && order.ticket == "ticket"));
}

/// Guards against starts with an expired ticket: the answer comes, time passes, and only then
/// does the planner decide.
#[test]
fn expired_tickets_are_requested_again() {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("block", "urgent", vec![step(1, cpu(8_000))]));
    let block = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.add(job("j", "advised", vec![step(1, cpu(1_000))]));
    assert!(advice_requests(fixture.decide()).is_empty(), "there is no room to ask about");
    fixture.end(&block, EndKind::Done);
    let request = advice_requests(fixture.decide()).remove(0);
    fixture.advise(&request, &request.workers);
    fixture.now_ms += 1_500;
    let decisions = fixture.decide();
    assert!(support::starts(decisions.clone()).is_empty());
    assert_eq!(advice_requests(decisions).len(), 1);
}

/// Guards against a faulty worker that fails every task and so uses up the attempts of many
/// jobs: first failures of two tasks quarantine it.
#[test]
fn a_failing_worker_is_left_alone() {
    let mut fixture = PlannerFixture::new(2, config());
    for number in 0..2 {
        fixture.add(job(&format!("j{number}"), "normal", vec![step(1, cpu(100))]));
        let order = fixture.run_starts(StartAnswer::Started).remove(0);
        assert_eq!(order.worker, worker(0).name);
        fixture.end(&order, EndKind::Failed);
        let again = fixture.run_starts(StartAnswer::Started).remove(0);
        assert_eq!(again.worker, worker(1).name, "the task avoids where it failed");
        fixture.end(&again, EndKind::Done);
    }
    fixture.add(job("j9", "normal", vec![step(1, cpu(100))]));
    assert_eq!(fixture.starts()[0].worker, worker(1).name);
}

/// Returns the rank of a job with a time objective of 3 s and 1 s of work left.
fn rank(now_ms: u64, submitted_ms: u64, beyond_share: bool, priority: u32) -> order::JobRank {
    let (objective_ms, remaining_ms) = (3_000, 1_000);
    order::rank_job(RankInput {
        now_ms,
        submitted_ms,
        objective_ms,
        remaining_ms,
        beyond_share,
        priority,
    })
}

/// Guards against a time objective that leaves out steps of the critical path.
#[test]
fn the_objective_follows_the_critical_path() {
    let second = StepSpec { after: [0].into_iter().collect(), ..step(1, cpu(100)) };
    let spec = job("j", "normal", vec![step(1, cpu(100)), second, step(1, cpu(100))]);
    let objective = order::objective_ms(&spec, &rule(1, None));
    assert_eq!(objective, 5_000, "twice the chain of two seconds, and the target");
}

/// Guards against an overloaded fleet that only runs jobs that are late already, while those
/// that could be on time wait until they are late, too.
#[test]
fn work_that_can_be_on_time_goes_first() {
    let on_time = rank(10_000, 9_500, false, 2);
    let late = rank(10_000, 7_500, false, 0);
    let beyond = rank(10_000, 9_500, true, 0);
    let expired = rank(10_000, 0, false, 0);
    assert!(on_time < late && late < beyond && beyond < expired);
}

/// Guards against an advice service that is kept busy in vain: under overload, requests for
/// more tasks than there is free capacity bring tickets that cannot be used.
#[test]
fn questions_are_bounded_by_room() {
    let mut fixture = PlannerFixture::new(2, config());
    for number in 0..50 {
        fixture.add(job(&format!("j{number:02}"), "advised", vec![step(1, cpu(4_000))]));
    }
    assert_eq!(
        advice_requests(fixture.decide()).len(),
        4,
        "two workers of 8 cores have room for four"
    );
    assert!(advice_requests(fixture.decide()).is_empty(), "the open questions are about all of it");
}

/// Guards against an owner that is too slow under overload. While the advice requests in
/// flight cover all free capacity, no worker needs to be examined for the other steps.
#[test]
fn waiting_steps_do_not_look_at_every_worker() {
    const JOBS: u64 = 500;
    const WORKERS: usize = 40;
    let mut fixture = PlannerFixture::new(WORKERS, config());
    for number in 0..JOBS {
        fixture.add(job(&format!("j{number}"), "advised", vec![step(8, cpu(2_000))]));
    }
    let requests = advice_requests(fixture.decide()).len() as u64;
    assert!(requests > 0 && requests < JOBS / 4, "the room bounds the questions: {requests}");
    let before = fixture.planner.examined_worker_count();
    assert!(fixture.decide().is_empty());
    assert_eq!(fixture.planner.examined_worker_count(), before);
}

fn advice_request(duration_ms: f64, priority: u32) -> AdviceRequest {
    let step = StepKey { job: "j".into(), occurrence: 0, step: 0 };
    AdviceRequest { step, workers: Vec::new(), duration_ms, priority }
}

/// Guards against urgent short calls that are delayed because each entry makes a long one.
#[test]
fn long_calls_leave_a_vm_for_short_ones() {
    let mut dispatcher = AdviceDispatcher::default();
    let names = ["a", "b", "c"].map(arcstr::ArcStr::from);
    dispatcher.set_entries(names.iter());
    for _ in 0..4 {
        dispatcher.push(advice_request(600.0, 1), 0);
    }
    let mut busy = Vec::new();
    while let Some((entry, _)) = dispatcher.next_call(0) {
        busy.push(entry);
    }
    assert_eq!(busy, ["b", "c"]);
    dispatcher.push(advice_request(10.0, 0), 0);
    assert_eq!(dispatcher.next_call(0).map(|(entry, _)| entry), Some("a".into()));
}

/// Guards against long calls that nobody makes: the entries that are not reserved for short calls
/// have left, and stay in the list.
#[test]
fn long_calls_are_made_when_the_unreserved_entries_are_gone() {
    let mut dispatcher = AdviceDispatcher::default();
    let names = ["a", "b", "c", "d", "e", "f"].map(arcstr::ArcStr::from);
    dispatcher.set_entries(names.iter());
    for name in &names[2..] {
        dispatcher.record_result(name, false, 0);
    }
    for _ in 0..2 {
        dispatcher.push(advice_request(600.0, 1), 0);
    }
    assert_eq!(dispatcher.next_call(0).map(|(entry, _)| entry), Some("b".into()));
    assert!(dispatcher.next_call(0).is_none(), "one entry is kept for short calls");
    dispatcher.push(advice_request(10.0, 0), 0);
    assert_eq!(dispatcher.next_call(0).map(|(entry, _)| entry), Some("a".into()));
}

/// Guards against calls through an entry that is gone: it stays in the list for a while, so
/// its backoff has to grow with each failure.
#[test]
fn an_entry_that_fails_backs_off_longer_each_time() {
    let mut dispatcher = AdviceDispatcher::default();
    let name = arcstr::ArcStr::from("a");
    dispatcher.set_entries(std::iter::once(&name));
    let mut now = 0;
    for backoff_ms in [1_000, 2_000, 4_000] {
        dispatcher.push(advice_request(10.0, 0), 0);
        assert!(dispatcher.next_call(now).is_some());
        dispatcher.record_result(&name, false, now);
        dispatcher.push(advice_request(10.0, 0), 0);
        assert!(dispatcher.next_call(now + backoff_ms - 1).is_none());
        now += backoff_ms;
    }
}

/// Guards against fillers that slow a latency-sensitive service on the same worker.
#[test]
fn fillers_and_services_do_not_share_a_worker() {
    let filler = StepSpec { filler: true, ..step(2, cpu(8_000)) };
    let service = StepSpec { service: true, tail_target_ms: 50, ..step(1, cpu(1_000)) };
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(job("fill", "batch", vec![filler]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2, "fillers need no processor room");
    fixture.add(job("serve", "normal", vec![service]));
    let decisions = fixture.decide();
    assert_eq!(stops(decisions.clone()).len(), 2, "the only worker is cleared of fillers");
    assert_eq!(support::starts(decisions).len(), 1);
    assert!(fixture.starts().is_empty());
}

/// Guards against a service that stays down: the end of its run must not complete the task, and
/// failures must not use up its attempts.
#[test]
fn a_service_starts_again_however_it_ends() {
    let service = StepSpec { service: true, ..step(1, cpu(1_000)) };
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("serve", "normal", vec![service]));
    for kind in [EndKind::Done, EndKind::Failed, EndKind::Failed, EndKind::Lapsed] {
        let order = fixture.run_starts(StartAnswer::Started).remove(0);
        fixture.end(&order, kind);
    }
    assert_eq!(fixture.starts().len(), 1);
}

/// Guards against occurrences of a scheduled job that start before they are due, or that wait
/// for the end of the previous one.
#[test]
fn occurrences_start_when_they_are_due() {
    let mut fixture = PlannerFixture::new(1, config());
    let mut spec = job("timed", "normal", vec![step(1, cpu(100))]);
    spec.schedule =
        Some(plan::job::JobSchedule { start_ms: 1_000, interval_ms: 500, occurrences: 2 });
    fixture.add(spec);
    assert!(fixture.starts().is_empty());
    fixture.now_ms = 1_000;
    let first = fixture.run_starts(StartAnswer::Started);
    assert_eq!(first.len(), 1);
    fixture.now_ms = 1_600;
    let second = fixture.run_starts(StartAnswer::Started);
    assert_eq!(second[0].task.step.occurrence, 1, "occurrences may overlap");
    fixture.end(&first[0], EndKind::Done);
    assert!(fixture.planner.has_job(&"timed".into()));
    fixture.end(&second[0], EndKind::Done);
    assert_eq!(fixture.store().len(), 1);
    assert!(!fixture.planner.has_job(&"timed".into()));
}

/// Guards against starts that no later owner would know of: a worker that has just registered is
/// not in the stored list of leased workers yet.
#[test]
fn nothing_is_started_on_a_worker_whose_starts_are_held() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.planner.hold_starts(&worker(0).name, true);
    fixture.add(job("j", "normal", vec![step(12, cpu(1_000))]));
    let starts = fixture.run_starts(StartAnswer::Started);
    assert_eq!(starts.len(), 8);
    assert!(starts.iter().all(|order| order.worker == worker(1).name));
    fixture.planner.hold_starts(&worker(0).name, false);
    assert_eq!(fixture.starts().len(), 4);
}
