//! Steps and gangs that cannot be served now, or ever, beside work that can.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use arcstr::ArcStr;
use model::name::WorkerName;
use plan::decision::AdviceRequest;
use plan::job::{JobSpec, StepSpec};
use plan::worker::{EndKind, StartAnswer, WorkerInfo};
use support::{
    PlannerFixture, WORKER_CPU, advice_requests, config, cpu, job, rule, starts, step, worker,
};

/// A label that no worker has.
const MISSING_LABEL: &str = "no-such-kind";

/// Returns a fixture with a queue `first` that is more urgent than `advised`; both need advice.
fn advised_fixture(workers: usize) -> PlannerFixture {
    let mut config = config();
    let cost = config.queues["advised"].advice;
    config.queues.insert("first".into(), rule(0, cost));
    PlannerFixture::new(workers, config)
}

fn labelled(count: u32, label: &str) -> StepSpec {
    StepSpec { label: Some(ArcStr::from(label)), ..step(count, cpu(2_000)) }
}

fn full(count: u32) -> StepSpec {
    step(count, cpu(WORKER_CPU))
}

/// Returns a gang whose members fit on no worker.
fn too_large_gang() -> StepSpec {
    StepSpec { gang: true, ..step(2, cpu(2 * WORKER_CPU)) }
}

fn requested_jobs(requests: &[AdviceRequest]) -> Vec<String> {
    requests.iter().map(|request| request.step.job.to_string()).collect()
}

/// Returns a small job that any worker can run.
fn sound_job() -> JobSpec {
    job("sound", "advised", vec![step(4, cpu(1_000))])
}

/// Guards against accepted jobs that never start on an idle fleet: a more urgent step that no
/// worker can run claimed all free capacity, so that no advice was requested for the jobs behind
/// it.
#[test]
fn a_step_without_a_worker_claims_no_capacity() {
    let too_wide = StepSpec { gang: true, max_per_worker: 1, ..step(6, cpu(1_000)) };
    let hopeless = [
        ("label", labelled(48, MISSING_LABEL)),
        ("gang", StepSpec { gang: true, ..labelled(8, MISSING_LABEL) }),
        ("large", too_large_gang()),
        ("wide", too_wide),
    ];
    for (name, step) in hopeless {
        let mut fixture = advised_fixture(5);
        fixture.add(job(name, "first", vec![step]));
        fixture.add(sound_job());
        let requests = advice_requests(fixture.decide());
        assert_eq!(requested_jobs(&requests), ["sound"], "behind the job {name}");
        fixture.decide();
        assert_eq!(fixture.planner.unservable_steps().count(), 1, "{name}");
    }
}

/// Guards against the same for a step for which the advice service allows no worker.
#[test]
fn a_step_without_an_eligible_worker_claims_no_capacity() {
    let mut fixture = advised_fixture(4);
    fixture.add(job("refused", "first", vec![step(16, cpu(2_000))]));
    let request = advice_requests(fixture.decide()).remove(0);
    assert_eq!(request.workers.len(), 4);
    fixture.advise(&request, &[]);
    fixture.add(sound_job());
    fixture.now_ms += 60;
    assert_eq!(requested_jobs(&advice_requests(fixture.decide())), ["sound"]);
}

/// Guards against idle workers beside busy ones: steps that wait for the busy workers of a label
/// claimed the capacity of the others.
#[test]
fn steps_that_wait_for_busy_workers_leave_the_others_free() {
    let mut fixture = advised_fixture(4);
    fixture.add(job("busy", "urgent", vec![StepSpec { label: Some("r0".into()), ..full(2) }]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2, "workers 0 and 1 are full");
    for number in 0..8 {
        fixture.add(job(&format!("waits{number}"), "first", vec![labelled(4, "r0")]));
    }
    fixture.add(sound_job());
    assert_eq!(requested_jobs(&advice_requests(fixture.decide())), ["sound"]);
    assert_eq!(fixture.planner.unservable_steps().count(), 0, "the workers exist");
}

/// Guards against the same for free workers of a label: together, the steps that ask for it claim
/// no more than these have.
#[test]
fn steps_with_a_label_claim_its_workers_only() {
    let mut fixture = advised_fixture(8);
    for number in 0..8 {
        fixture.add(job(&format!("r0-{number}"), "first", vec![labelled(8, "r0")]));
    }
    fixture.add(sound_job());
    let requested = requested_jobs(&advice_requests(fixture.decide()));
    assert_eq!(requested, ["r0-0", "sound"], "the workers of r0 have room for eight tasks");
}

/// Guards against hopeless steps that take all searches of each decision, when many have come.
#[test]
fn many_hopeless_steps_do_not_delay_the_others() {
    let mut fixture = advised_fixture(5);
    for number in 0..200 {
        fixture.add(job(&format!("g{number:03}"), "first", vec![too_large_gang()]));
    }
    fixture.add(sound_job());
    let mut decisions = 0;
    while advice_requests(fixture.decide()).is_empty() {
        decisions += 1;
        assert!(decisions < 20, "no advice is requested for the sound job");
    }
    let before = fixture.planner.examined_worker_count();
    fixture.decide();
    assert_eq!(fixture.planner.examined_worker_count(), before, "no search is repeated");
}

/// Guards against a job that is passed over for good: the worker that it needs registers later.
#[test]
fn a_step_is_served_once_its_worker_has_registered() {
    let mut fixture = advised_fixture(2);
    fixture.add(job("late", "first", vec![labelled(1, MISSING_LABEL)]));
    assert!(fixture.decide().is_empty());
    assert!(fixture.decide().is_empty());
    let special = WorkerInfo { labels: vec![MISSING_LABEL.into(), "r9".into()], ..worker(2) };
    fixture.planner.set_worker(special.clone());
    fixture.report(&special.name, Vec::new(), Vec::new());
    fixture.now_ms += 60;
    let requests = advice_requests(fixture.decide());
    assert_eq!(requested_jobs(&requests), ["late"]);
    assert_eq!(requests[0].workers, [special.name]);
}

/// Guards against an idle fleet on which nothing starts: workers were reserved for a gang that
/// asks for a label which they do not have.
#[test]
fn no_workers_are_reserved_for_a_hopeless_gang() {
    let mut fixture = PlannerFixture::new(2, config());
    let gang = StepSpec { gang: true, ..labelled(8, MISSING_LABEL) };
    fixture.add(job("gang", "normal", vec![gang]));
    fixture.add(job("later", "batch", vec![step(4, cpu(1_000))]));
    assert_eq!(fixture.starts().len(), 4);
}

/// Guards against a gang that never starts because hopeless ones ahead of it count as gangs for
/// which workers are reserved.
#[test]
fn hopeless_gangs_take_no_reservation_of_others() {
    let mut fixture = PlannerFixture::new(2, config());
    fixture.add(job("first", "urgent", vec![step(2, cpu(5_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2);
    for number in 0..5 {
        fixture.add(job(&format!("hopeless{number}"), "urgent", vec![too_large_gang()]));
    }
    let gang = StepSpec { gang: true, ..full(2) };
    fixture.add(job("gang", "normal", vec![gang]));
    fixture.add(job("later", "batch", vec![step(4, cpu(1_000))]));
    let started = starts(fixture.decide());
    assert_eq!(started, [], "later work would keep the workers busy");
}

/// Guards against capacity that stays claimed for a step whose call for advice failed.
#[test]
fn a_failed_request_claims_no_capacity() {
    let mut fixture = advised_fixture(2);
    fixture.add(job("failing", "first", vec![step(8, cpu(2_000))]));
    let request = advice_requests(fixture.decide()).remove(0);
    let no_workers: [WorkerName; 0] = [];
    fixture.advise(&AdviceRequest { workers: Vec::new(), ..request }, &no_workers);
    fixture.add(sound_job());
    assert_eq!(requested_jobs(&advice_requests(fixture.decide())), ["sound"]);
}

/// Guards against accepted jobs that never start because the whole fleet is in quarantine: a
/// service that fails at each start, or a job or a gang of which all tasks fail, is at fault
/// itself.
#[test]
fn a_failing_job_does_not_quarantine_the_fleet() {
    const WORKERS: usize = 4;
    let steps = [
        ("service", StepSpec { service: true, ..step(16, cpu(2_000)) }),
        ("tasks", step(16, cpu(2_000))),
        ("gang", StepSpec { gang: true, ..step(16, cpu(2_000)) }),
    ];
    for (name, step) in steps {
        let mut config = config();
        config.queues.insert("first".into(), rule(0, None));
        let mut fixture = PlannerFixture::new(WORKERS, config);
        fixture.add(job(name, "first", vec![step]));
        for _ in 0..2 {
            let orders = fixture.run_starts(StartAnswer::Started);
            assert_eq!(orders.len(), 16, "{name} is started on all workers again");
            for order in &orders {
                fixture.end(order, EndKind::Failed);
            }
        }
        fixture.planner.cancel_job(&name.into());
        fixture.add(job("sound", "normal", vec![full(4)]));
        assert_eq!(fixture.starts().len(), WORKERS, "after the failures of the {name}");
    }
}

/// Guards against the same by many failing jobs, each of which counts against few workers.
#[test]
fn failing_jobs_count_against_few_workers() {
    const JOBS: usize = 3;
    let mut fixture = PlannerFixture::new(12, config());
    for number in 0..JOBS {
        let service = StepSpec { service: true, ..step(8, cpu(4_000)) };
        fixture.add(job(&format!("s{number}"), "urgent", vec![service]));
    }
    for _ in 0..5 {
        for order in fixture.run_starts(StartAnswer::Started) {
            fixture.end(&order, EndKind::Failed);
        }
    }
    for number in 0..JOBS {
        fixture.planner.cancel_job(&format!("s{number}").as_str().into());
    }
    fixture.add(job("sound", "normal", vec![full(12)]));
    let free = fixture.starts().len();
    assert!(free >= 12 - JOBS, "two jobs quarantine a worker, and each counts against two: {free}");
}

/// Guards against a gang that uses up its attempts on one faulty worker.
#[test]
fn a_gang_avoids_the_worker_on_which_a_member_failed() {
    let mut fixture = PlannerFixture::new(3, config());
    fixture.add(job("gang", "normal", vec![StepSpec { gang: true, ..full(2) }]));
    let orders = fixture.run_starts(StartAnswer::Started);
    fixture.end(&orders[0], EndKind::Failed);
    fixture.end(&orders[1], EndKind::Broken);
    let again = fixture.run_starts(StartAnswer::Started);
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|order| order.worker != orders[0].worker));
}

/// Guards against decisions that take longer with each hopeless job: every worker was examined for
/// each of them again.
#[test]
fn hopeless_steps_are_examined_once() {
    const JOBS: usize = 100;
    const WORKERS: usize = 10;
    let mut fixture = PlannerFixture::new(WORKERS, config());
    for number in 0..JOBS {
        fixture.add(job(&format!("j{number}"), "normal", vec![labelled(4, MISSING_LABEL)]));
    }
    fixture.decide();
    assert_eq!(fixture.planner.unservable_steps().count(), JOBS);
    let before = fixture.planner.examined_worker_count();
    fixture.decide();
    assert_eq!(fixture.planner.examined_worker_count(), before);
}
