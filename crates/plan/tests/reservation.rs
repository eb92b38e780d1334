//! Gangs for which workers are reserved, beside other work.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::resource::ResourceAmounts;
use plan::decision::StartOrder;
use plan::job::{JobSpec, StepSpec};
use plan::worker::{EndKind, PresentRun, StartAnswer};
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, step, worker};

const WORKERS: usize = 4;
/// Longest time without a start beside free capacity, in milliseconds: `LOST` in the platform's
/// rules.
const MAX_IDLE_MS: u64 = 3_000;

/// Returns a gang that needs all workers whole.
fn wide_gang() -> JobSpec {
    let gang = StepSpec { gang: true, estimate_ms: 30_000, ..step(4, cpu(WORKER_CPU)) };
    job("gang", "normal", vec![gang])
}

fn service(count: u32) -> JobSpec {
    job("service", "urgent", vec![StepSpec { service: true, ..step(count, cpu(1_000)) }])
}

fn small_job() -> JobSpec {
    job("small", "batch", vec![step(2, cpu(500))])
}

fn started_jobs(orders: &[StartOrder]) -> Vec<String> {
    orders.iter().map(|order| order.task.step.job.to_string()).collect()
}

/// Decides every 100 ms until tasks of a job start; returns after how many milliseconds they did.
fn wait_for_start(fixture: &mut PlannerFixture, id: &str, limit_ms: u64) -> Option<u64> {
    let from_ms = fixture.now_ms;
    while fixture.now_ms <= from_ms + limit_ms {
        let orders = fixture.run_starts(StartAnswer::Started);
        if started_jobs(&orders).iter().any(|started| started == id) {
            return Some(fixture.now_ms - from_ms);
        }
        fixture.now_ms += 99;
    }
    None
}

fn present(order: &StartOrder) -> PresentRun {
    PresentRun {
        task: order.task.clone(),
        run: order.run,
        saved: ArcStr::default(),
        speed_percent: 100,
        measurement: 0,
    }
}

/// Guards against a nearly idle fleet on which nothing starts: workers were reserved for a gang that
/// cannot start beside a service.
#[test]
fn no_workers_are_reserved_for_a_gang_that_a_service_keeps_out() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(service(1));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 1);
    fixture.add(wide_gang());
    fixture.add(small_job());
    assert_eq!(started_jobs(&fixture.starts()), ["small", "small"]);
    assert_eq!(fixture.planner.reserved_worker_count(), 0);
    assert_eq!(fixture.planner.unservable_steps().count(), 1, "the gang waits for the service");
}

/// Guards against the same under a new owner, which learns of the service from a report.
#[test]
fn a_new_owner_reserves_no_workers_that_a_service_occupies() {
    let mut owner = PlannerFixture::new(WORKERS, config());
    owner.add(service(1));
    let order = owner.run_starts(StartAnswer::Started).remove(0);
    let mut successor = PlannerFixture::unreported(WORKERS, config());
    successor.add(service(1));
    successor.add(wide_gang());
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    for index in 0..WORKERS {
        let name = worker(index).name;
        let running = if name == order.worker { vec![present(&order)] } else { Vec::new() };
        successor.report(&name, running, Vec::new());
    }
    successor.add(small_job());
    assert_eq!(started_jobs(&successor.starts()), ["small", "small"]);
}

/// Guards against a gang that never starts because it could not while a service ran.
#[test]
fn a_gang_starts_after_the_service_beside_it_has_ended() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(service(1));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.add(wide_gang());
    for _ in 0..3 {
        assert!(fixture.starts().is_empty());
    }
    fixture.planner.cancel_job(&"service".into());
    fixture.decide();
    fixture.end(&order, EndKind::Stopped);
    assert_eq!(fixture.starts().len(), WORKERS);
}

/// Guards against a nearly idle fleet on which nothing starts: workers stay reserved for a gang while
/// one task runs for much longer than declared.
#[test]
fn work_does_not_wait_long_for_a_gang_beside_free_workers() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("long", "urgent", vec![step(1, cpu(1_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 1);
    fixture.add(wide_gang());
    fixture.add(small_job());
    let waited_ms = wait_for_start(&mut fixture, "small", MAX_IDLE_MS);
    assert!(waited_ms.is_some_and(|waited| waited > 500), "the gang goes first: {waited_ms:?}");
    // What comes while the gang waits is not delayed for longer either.
    fixture.add(job("next", "batch", vec![StepSpec { gang: true, ..step(2, cpu(500)) }]));
    assert!(wait_for_start(&mut fixture, "next", MAX_IDLE_MS).is_some());
}

/// Guards against a wide gang that never gets its workers because small tasks take them one by one
/// while the fleet is busy.
#[test]
fn a_gang_keeps_its_workers_while_the_fleet_is_busy() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(job("long", "urgent", vec![step(3, cpu(6_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 3);
    fixture.add(wide_gang());
    fixture.add(small_job());
    assert_eq!(wait_for_start(&mut fixture, "small", MAX_IDLE_MS), None);
}

/// Guards against a service that stays down on a busy fleet: the free workers were reserved for a
/// gang, which ranks before a service that has to be started again.
#[test]
fn a_service_does_not_wait_long_for_a_gang_on_a_busy_fleet() {
    let mut fixture = PlannerFixture::new(WORKERS, config());
    fixture.add(service(1));
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    fixture.now_ms += 60_000;
    fixture.add(job("long", "urgent", vec![step(3, cpu(6_000))]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 3);
    fixture.end(&order, EndKind::Failed);
    fixture.add(wide_gang());
    assert!(wait_for_start(&mut fixture, "service", MAX_IDLE_MS).is_some());
}
