//! Simulated overload of a planner whose advice service is slow.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::{BTreeMap, VecDeque};

use arcstr::ArcStr;
use model::name::WorkerName;
use model::resource::ResourceAmounts;
use plan::config::{AdviceCost, TeamRule};
use plan::decision::{AdviceAnswer, AdviceRequest, PlanDecision, StartOrder};
use plan::job::StepSpec;
use plan::worker::StartAnswer;
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, rule, step};

/// Workers of the small simulated fleet.
const WORKERS: usize = 60;
/// Simulated time between two decisions, in milliseconds.
const TICK_MS: u64 = 10;
/// Duration of a task, in milliseconds.
const RUN_MS: u64 = 1_000;
/// Processor time of a task, in thousandths of a core.
const TASK_CPU: u64 = 2_000;
/// Most calls that the advice service of the small fleet works on at the same time.
const MAX_CALLS: usize = 9;

/// Simulation of the workers and the advice service, in steps of one tick.
struct LoadSimulation {
    fixture: PlannerFixture,
    /// Runs that are present, with the times of their ends.
    running: Vec<(u64, StartOrder)>,
    pending_requests: VecDeque<AdviceRequest>,
    /// Most calls that the advice service works on at the same time.
    max_calls: usize,
    /// Advice requests that the service works on, with the times of their answers.
    calls_in_flight: Vec<(u64, AdviceRequest)>,
}

impl LoadSimulation {
    fn new(workers: usize, max_calls: usize, cost: AdviceCost) -> Self {
        let mut config = config();
        config.queues.insert("advised".into(), rule(1, Some(cost)));
        Self {
            max_calls,
            fixture: PlannerFixture::new(workers, config),
            running: Vec::new(),
            pending_requests: VecDeque::new(),
            calls_in_flight: Vec::new(),
        }
    }

    /// Advances the time by one tick and carries out the decisions of the planner.
    fn tick(&mut self) {
        let now = self.fixture.now_ms + TICK_MS;
        self.fixture.now_ms = now;
        for decision in self.fixture.planner.decide(now, now) {
            match decision {
                PlanDecision::Start(order) => {
                    self.fixture.answer(&order, StartAnswer::Started);
                    self.running.push((now + RUN_MS, order));
                }
                PlanDecision::RequestAdvice(request) => self.pending_requests.push_back(request),
                PlanDecision::Stop(order) => panic!("nothing is cancelled: {order:?}"),
                PlanDecision::Pace(order) => panic!("nothing is paced: {order:?}"),
            }
        }
        self.answer_calls(now);
        self.fixture.end_due_runs(&mut self.running);
        self.fixture.store();
    }

    /// Passes requests on to the service and applies its due answers. Every second worker is
    /// eligible for a step; the job decides which half.
    fn answer_calls(&mut self, now: u64) {
        while self.calls_in_flight.len() < self.max_calls
            && let Some(request) = self.pending_requests.pop_front()
        {
            #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
            let at = now + request.duration_ms as u64;
            self.calls_in_flight.push((at, request));
        }
        for (_, request) in self.calls_in_flight.extract_if(.., |(at, _)| *at <= now) {
            let parity =
                request.step.job.as_str().len() + usize::from(request.step.job.as_str() < "j5");
            let eligible = |(index, name): (usize, &WorkerName)| {
                (index % 2 == parity % 2).then(|| (name.clone(), ArcStr::from("ticket")))
            };
            let eligible = request.workers.iter().enumerate().filter_map(eligible).collect();
            let answer = AdviceAnswer { step: request.step, considered: request.workers, eligible };
            self.fixture.planner.apply_advice(&answer, now);
        }
    }
}

/// Guards against workers that idle under overload. If all advice requests name the emptiest
/// workers, the tickets are for the same capacity, and most of them cannot be used.
#[test]
fn overload_keeps_the_fleet_busy() {
    let cost = AdviceCost { call_ms: 80.0, worker_ms: 1.0, valid_ms: 1_500 };
    let mut simulation = LoadSimulation::new(WORKERS, MAX_CALLS, cost);
    let capacity = WORKERS as u64 * WORKER_CPU / TASK_CPU;
    let mut busy = 0;
    let mut ticks = 0;
    for number in 0..400 {
        // 3 jobs of 4 tasks at each tick are five times what the fleet can run.
        for part in 0..3 {
            simulation.fixture.add(job(
                &format!("j{number}-{part}"),
                "advised",
                vec![step(4, cpu(TASK_CPU))],
            ));
        }
        simulation.tick();
        if number >= 100 {
            busy += simulation.running.len() as u64;
            ticks += 1;
        }
    }
    // The capacity of an ended run stays free for at least one call, which takes 85 ms of a
    // second. The service answers about a hundred calls a second, each for up to four tasks. A
    // limit of three fifths of what is possible leaves time for a second request where half of
    // the workers are not eligible.
    let answered = MAX_CALLS as u64 * 1_000 / 85 * 4 * RUN_MS / 1_000;
    let possible = capacity.min(answered);
    assert!(busy * 10 >= possible * ticks * 6, "{} of {possible} runs in the mean", busy / ticks);
}

/// Guards against decisions of several seconds after a takeover with a long backlog. If what
/// the inherited jobs may use is added up again for each waiting step, a decision takes longer
/// than tickets are valid, every start is refused, and the backlog grows.
#[test]
fn takeover_with_a_backlog_examines_each_inherited_job_once() {
    const JOBS: usize = 2_000;
    let mut config = config();
    let limit = ResourceAmounts { cpu_millis: 1_000_000, ..ResourceAmounts::UNLIMITED };
    config.teams.insert("red".into(), TeamRule { weight: 100, limit });
    let mut fixture = PlannerFixture::unreported(WORKERS, config);
    for number in 0..JOBS {
        fixture.add(job(&format!("old{number}"), "normal", vec![step(4, cpu(TASK_CPU))]));
    }
    fixture.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    for number in 0..JOBS {
        fixture.add(job(&format!("new{number}"), "normal", vec![step(4, cpu(TASK_CPU))]));
    }
    let decisions = 10;
    for _ in 0..decisions {
        fixture.decide();
    }
    assert_eq!(fixture.planner.examined_job_count(), decisions * JOBS as u64);
}

/// Guards against gangs that wait for advice while most workers of a large fleet are idle: their
/// calls take long, and a fixed number in flight serves a fixed number of gangs a second.
#[test]
fn a_large_fleet_starts_gangs_as_they_come() {
    const LARGE_FLEET: usize = 480;
    const GANGS_PER_S: u64 = 30;
    const SECONDS: u64 = 6;
    let cost = AdviceCost { call_ms: 410.0, worker_ms: 5.9, valid_ms: 1_500 };
    let mut simulation = LoadSimulation::new(LARGE_FLEET, 60, cost);
    let mut added = 0;
    for tick in 0..SECONDS * 1_000 / TICK_MS {
        while added * 1_000 < tick * TICK_MS * GANGS_PER_S {
            let gang = StepSpec { gang: true, ..step(8, cpu(4_000)) };
            simulation.fixture.add(job(&format!("g{added}"), "advised", vec![gang]));
            added += 1;
        }
        simulation.tick();
    }
    // A gang is present for one call and its run, 1.6 s; the fleet has room for 120 gangs.
    let present = simulation.fixture.planner.unfinished_job_count() as u64;
    assert!(present <= GANGS_PER_S * 2, "{present} of {added} gangs are unfinished");
}

/// Guards against decisions that take a quarter of a second on a large fleet: a request for
/// advice looks at all workers, and after a takeover hundreds of steps need one.
#[test]
fn one_decision_makes_a_bounded_number_of_requests() {
    const LARGE_FLEET: usize = 1_100;
    let cost = AdviceCost { call_ms: 80.0, worker_ms: 1.0, valid_ms: 1_500 };
    let mut config = config();
    config.queues.insert("advised".into(), rule(1, Some(cost)));
    let mut fixture = PlannerFixture::new(LARGE_FLEET, config);
    for number in 0..500 {
        fixture.add(job(&format!("j{number}"), "advised", vec![step(4, cpu(TASK_CPU))]));
    }
    let mut requests = 0;
    while requests < 500 {
        let before = fixture.planner.examined_worker_count();
        let made = support::advice_requests(fixture.decide()).len();
        let examined = fixture.planner.examined_worker_count() - before;
        assert!(examined <= 25 * LARGE_FLEET as u64, "{examined} workers examined");
        assert!(made > 0, "there is room for all steps");
        requests += made;
    }
}

/// Guards against decisions that grow with the backlog: steps for which there is no capacity
/// and no ticket are passed over.
#[test]
fn a_backlog_without_capacity_is_passed_over() {
    let cost = AdviceCost { call_ms: 80.0, worker_ms: 1.0, valid_ms: 1_500 };
    let mut simulation = LoadSimulation::new(WORKERS, MAX_CALLS, cost);
    for number in 0..2_000 {
        let spec = job(&format!("j{number}"), "advised", vec![step(4, cpu(TASK_CPU))]);
        simulation.fixture.add(spec);
    }
    for _ in 0..100 {
        simulation.tick();
    }
    let before = simulation.fixture.planner.examined_step_count();
    let ticks = 50;
    for _ in 0..ticks {
        simulation.tick();
    }
    let examined = simulation.fixture.planner.examined_step_count() - before;
    // The fleet runs 240 tasks, which are 60 steps.
    assert!(examined <= ticks * 120, "{} steps a decision", examined / ticks);
}
