//! Fillers beside services with a target for their tail response time.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::BTreeMap;

use arcstr::ArcStr;
use model::resource::ResourceAmounts;
use plan::decision::{PaceOrder, PlanDecision, StartOrder};
use plan::job::{JobSpec, StepSpec};
use plan::worker::{EndKind, PresentRun, StartAnswer};
use support::{PlannerFixture, config, cpu, job, step, worker};

const TARGET_MS: u32 = 100;
/// Longest time without a start beside free capacity, in milliseconds: `LOST` in the platform's
/// rules.
const MAX_IDLE_MS: u64 = 3_000;

fn service() -> JobSpec {
    let step = StepSpec { service: true, tail_target_ms: TARGET_MS, ..step(1, cpu(1_000)) };
    job("service", "urgent", vec![step])
}

fn filler() -> JobSpec {
    job("filler", "batch", vec![StepSpec { filler: true, ..step(1, cpu(2_000)) }])
}

fn present(order: &StartOrder, speed_percent: u32, measurement: u64) -> PresentRun {
    let (task, run) = (order.task.clone(), order.run);
    PresentRun { task, run, saved: ArcStr::default(), speed_percent, measurement }
}

fn paces(decisions: Vec<PlanDecision>) -> Vec<PaceOrder> {
    let paces = decisions.into_iter().filter_map(|decision| match decision {
        PlanDecision::Pace(order) => Some(order),
        _ => None,
    });
    paces.collect()
}

/// A service and a filler on the only worker.
struct SharedWorker {
    fixture: PlannerFixture,
    service: StartOrder,
    filler: StartOrder,
}

impl SharedWorker {
    fn new() -> Self {
        let (mut fixture, service) = start_service();
        fixture.add(filler());
        let filler = wait_for_start(&mut fixture, &service, 20).expect("the filler starts");
        Self { fixture, service, filler }
    }

    /// Reports the speed of the filler and the tail of the service; returns the ordered speed.
    fn report(&mut self, speed_percent: u32, tail_ms: u64) -> Option<u32> {
        let running =
            vec![present(&self.service, 100, tail_ms), present(&self.filler, speed_percent, 500)];
        self.fixture.report(&self.service.worker, running, Vec::new());
        paces(self.fixture.decide()).first().map(|order| order.percent)
    }
}

/// Starts a service on the only worker.
fn start_service() -> (PlannerFixture, StartOrder) {
    let mut fixture = PlannerFixture::new(1, config());
    fixture.add(service());
    let order = fixture.run_starts(StartAnswer::Started).remove(0);
    (fixture, order)
}

/// Decides every 100 ms, with reports of the service's tail, until something else starts.
fn wait_for_start(
    fixture: &mut PlannerFixture,
    service: &StartOrder,
    tail_ms: u64,
) -> Option<StartOrder> {
    let until_ms = fixture.now_ms + MAX_IDLE_MS;
    while fixture.now_ms < until_ms {
        fixture.report(&service.worker, vec![present(service, 100, tail_ms)], Vec::new());
        if let Some(order) = fixture.starts().pop() {
            return Some(order);
        }
        fixture.now_ms += 98;
    }
    None
}

/// Guards against an accepted job that fills and never starts, because a service with a target runs on
/// each worker.
#[test]
fn a_filler_starts_beside_a_service_if_there_is_no_other_worker() {
    let mut shared = SharedWorker::new();
    shared.fixture.answer(&shared.filler.clone(), StartAnswer::Started);
    let orders = paces(shared.fixture.decide());
    assert_eq!(orders.len(), 1, "it starts slowly");
    assert_eq!((&orders[0].task, orders[0].percent), (&shared.filler.task, 20));
}

/// Guards against a service that is slowed for want of waiting: a worker without services is about to
/// be free, or the tail is near the target already.
#[test]
fn a_filler_keeps_away_from_services_as_long_as_it_can() {
    let (mut fixture, order) = start_service();
    fixture.add(filler());
    assert!(fixture.starts().is_empty(), "it waits for another worker first");
    fixture.planner.set_worker(worker(1));
    fixture.report(&worker(1).name, Vec::new(), Vec::new());
    assert_eq!(fixture.starts()[0].worker, worker(1).name);

    let (mut fixture, service) = start_service();
    fixture.add(filler());
    assert_eq!(wait_for_start(&mut fixture, &service, 80), None, "the tail is near the target");
    assert_eq!(order.worker, service.worker);
}

/// Guards against `HARM`: a filler that works on while the service beside it is over its target.
#[test]
fn a_filler_stands_still_while_the_tail_is_near_the_target() {
    let mut shared = SharedWorker::new();
    shared.fixture.answer(&shared.filler.clone(), StartAnswer::Started);
    shared.fixture.decide();
    assert_eq!(shared.report(20, 30), Some(40), "it is sped up while the tail is low");
    assert_eq!(shared.report(40, 30), Some(60));
    assert_eq!(shared.report(60, 75), None, "neither low nor high");
    assert_eq!(shared.report(60, 120), Some(0));
    assert_eq!(shared.report(0, 110), None, "it stands still already");
    assert_eq!(shared.report(0, 30), Some(20), "it works on later");
    assert_eq!(shared.report(20, 30), Some(30), "but at half of what was too fast at most");
    assert_eq!(shared.report(30, 30), None);
}

/// Guards against a filler at the wrong speed because an order was lost, or carried out after a later
/// one.
#[test]
fn a_lost_pace_is_ordered_again() {
    let mut shared = SharedWorker::new();
    shared.fixture.answer(&shared.filler.clone(), StartAnswer::Started);
    shared.fixture.decide();
    assert_eq!(shared.report(100, 30), Some(20), "the first order was lost");
    assert_eq!(shared.report(100, 120), Some(0), "a lost order does not delay the next one");
    assert_eq!(shared.report(20, 30), Some(0), "an older order came late");
}

/// Guards against the same under an owner that did not order the pace, and against a filler that stays
/// slow after the service beside it has ended.
#[test]
fn a_new_owner_paces_the_fillers_that_it_finds() {
    let shared = SharedWorker::new();
    let mut successor = PlannerFixture::unreported(1, config());
    successor.add(service());
    successor.add(filler());
    successor.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    let name = worker(0).name;
    let running = |percent, tail_ms| {
        vec![present(&shared.service, 100, tail_ms), present(&shared.filler, percent, 500)]
    };
    successor.report(&name, running(40, 120), Vec::new());
    assert_eq!(paces(successor.decide())[0].percent, 0);
    successor.planner.cancel_job(&"service".into());
    successor.decide();
    successor.end_run(&name, &shared.service.task, shared.service.run, EndKind::Stopped);
    successor.report(&name, vec![present(&shared.filler, 0, 0)], Vec::new());
    assert_eq!(paces(successor.decide())[0].percent, 100);
}
