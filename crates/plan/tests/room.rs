//! Load that exceeds the capacity of the workers: which jobs are refused, and in which order the others
//! run.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use model::name::{JobId, TeamName};
use model::resource::ResourceAmounts;
use plan::admission::{RoomReason, RoomRefusal};
use plan::config::{AdviceCost, PlanConfig, QueueRule, TeamRule};
use plan::decision::{PlanDecision, StartOrder};
use plan::feature::PlanFeatures;
use plan::job::{JobSchedule, JobSpec, StepSpec};
use plan::planner::{Planner, PlannerOptions};
use plan::room::PendingRoom;
use plan::worker::{StartAnswer, WorkerInfo};
use support::{PlannerFixture, WORKER_CPU, config, cpu, job, rule, step, worker};

/// Simulated time between two decisions, in milliseconds.
const TICK_MS: u64 = 20;
/// Workers of 64 cores; a tenth of a large fleet.
const WORKERS: usize = 36;
/// Time before the burst, in milliseconds.
const QUIET_MS: u64 = 8_000;
/// Duration of the burst, in milliseconds.
const BURST_MS: u64 = 10_000;
/// Time for which jobs are submitted, in milliseconds.
const TRAFFIC_MS: u64 = 30_000;
/// Time after the last job within which all accepted jobs have to be done, in milliseconds.
const FINISH_MS: u64 = 150_000;

/// Random numbers that are the same in each run.
struct Noise(u64);

impl Noise {
    /// Returns a number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        f64::from(u32::try_from(self.0 >> 33).expect("31 bits")) / f64::from(1_u32 << 31)
    }

    /// Returns a factor around 1 whose logarithm has a spread.
    fn factor(&mut self, spread: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0;
        (normal * spread).exp()
    }
}

/// A kind of job, which comes at a usual rate.
struct JobKind {
    queue: &'static str,
    jobs_per_s: f64,
    tasks: f64,
    work_ms: f64,
    amounts: ResourceAmounts,
    gang: bool,
    rule: QueueRule,
}

fn kinds() -> [JobKind; 3] {
    let kind = |queue, jobs_per_s, tasks, work_ms, (cpu_millis, memory_mb), gang, rule| {
        let amounts = ResourceAmounts { cpu_millis, memory_mb, ..ResourceAmounts::ZERO };
        JobKind { queue, jobs_per_s, tasks, work_ms, amounts, gang, rule }
    };
    let rule =
        |priority, stretch, target_ms| QueueRule { stretch, target_ms, ..rule(priority, None) };
    [
        kind("route", 11.0, 2.6, 800.0, (9_900, 37_000), false, rule(0, 1.5, 250)),
        kind("rebuild", 0.42, 19.0, 5_000.0, (18_000, 67_000), true, rule(1, 2.2, 1_000)),
        kind("reroute", 0.7, 32.0, 3_400.0, (6_900, 14_000), false, rule(2, 4.0, 3_000)),
    ]
}

/// What became of the jobs of one queue.
#[derive(Clone, Copy, Debug, Default)]
struct QueueResult {
    submitted: u32,
    refused: u32,
    /// Done within the objective.
    in_time: u32,
    /// Done within three times the objective.
    late: u32,
    /// Accepted, and done later or never.
    useless: u32,
    /// Jobs of the widest tenth, and those of them that were done in time.
    wide: (u32, u32),
}

struct ActiveJob {
    queue: &'static str,
    submitted_ms: u64,
    objective_ms: u64,
    is_wide: bool,
    /// Duration of each task.
    work_ms: Vec<u64>,
    open_tasks: usize,
}

/// Simulation of workers that run what they are told to, without calls for advice.
struct RoomSimulation {
    fixture: PlannerFixture,
    noise: Noise,
    running: Vec<(u64, StartOrder)>,
    active: BTreeMap<JobId, ActiveJob>,
    results: BTreeMap<&'static str, QueueResult>,
    refusals: Vec<(u64, RoomRefusal)>,
    /// Starts in their order, with their times.
    starts: Vec<(u64, StartOrder)>,
}

fn room_config() -> PlanConfig {
    let mut config = config();
    for kind in kinds() {
        config.queues.insert(kind.queue.into(), kind.rule);
    }
    config
}

fn fixture(workers: Vec<WorkerInfo>, config: PlanConfig, features: PlanFeatures) -> PlannerFixture {
    let mut fixture = PlannerFixture::unreported(0, PlanConfig::default());
    fixture.planner = Planner::new(PlannerOptions { features, ..PlannerOptions::default() });
    fixture.planner.set_config(Arc::new(config));
    for info in workers {
        fixture.planner.set_worker(info.clone());
        fixture.report(&info.name, Vec::new(), Vec::new());
    }
    fixture
}

fn large_worker(index: usize) -> WorkerInfo {
    let capacity =
        ResourceAmounts { cpu_millis: 64_000, memory_mb: 256_000, ..ResourceAmounts::ZERO };
    WorkerInfo { capacity, ..worker(index) }
}

/// Returns the features without preemption, which would hide what admission does.
fn room_admission(room_admission: bool) -> PlanFeatures {
    PlanFeatures { room_admission, preemption: false, ..PlanFeatures::default() }
}

impl RoomSimulation {
    fn new(features: PlanFeatures) -> Self {
        let workers = (0..WORKERS).map(large_worker).collect();
        Self {
            fixture: fixture(workers, room_config(), features),
            noise: Noise(7),
            running: Vec::new(),
            active: BTreeMap::new(),
            results: BTreeMap::new(),
            refusals: Vec::new(),
            starts: Vec::new(),
        }
    }

    /// Submits a job of random size.
    fn submit(&mut self, kind: &JobKind) {
        let result = self.results.entry(kind.queue).or_default();
        result.submitted += 1;
        let size = self.noise.factor(0.5);
        let count = (kind.tasks * size).round().max(1.0);
        let work_ms = kind.work_ms * self.noise.factor(0.3);
        let estimate_ms = work_ms * self.noise.factor(0.6);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small")]
        let whole = |number: f64| number as u64;
        let step = StepSpec {
            gang: kind.gang,
            checkpoint: !kind.gang,
            estimate_ms: whole(estimate_ms),
            ..step(u32::try_from(whole(count)).expect("few tasks"), kind.amounts)
        };
        let id = format!("{}{}", kind.queue, result.submitted);
        let spec = job(&id, kind.queue, vec![step]);
        let now = self.fixture.now_ms;
        let objective_ms = whole(work_ms * kind.rule.stretch) + kind.rule.target_ms;
        let tasks = whole(count);
        let work_ms: Vec<_> = (0..tasks).map(|_| whole(work_ms * self.noise.factor(0.2))).collect();
        let refusal = self.fixture.planner.find_room_refusal(&spec, &PendingRoom::default(), now);
        // The factor that the widest tenth exceeds.
        let is_wide = size > 1.9;
        result.wide.0 += u32::from(is_wide);
        if let Some(refusal) = refusal {
            result.refused += 1;
            self.fixture.planner.record_room_refusal(&spec, now);
            self.refusals.push((now, refusal));
            return;
        }
        let active = ActiveJob {
            queue: kind.queue,
            submitted_ms: now,
            objective_ms,
            is_wide,
            open_tasks: work_ms.len(),
            work_ms,
        };
        self.active.insert(spec.id.clone(), active);
        self.fixture.add(spec);
    }

    /// Advances the time by one tick, ends runs that are over and starts what is decided.
    fn tick(&mut self) {
        self.fixture.now_ms += TICK_MS;
        let now = self.fixture.now_ms;
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(end_ms, _)| *end_ms <= now)
            .map(|(_, order)| order.task.step.job.clone())
            .collect();
        self.fixture.end_due_runs(&mut self.running);
        self.fixture.store();
        for id in ended {
            self.record_end(&id, now);
        }
        for decision in self.fixture.planner.decide(now, now) {
            match decision {
                PlanDecision::Start(order) => {
                    self.fixture.answer(&order, StartAnswer::Started);
                    self.starts.push((now, order.clone()));
                    let job = &self.active[&order.task.step.job];
                    // The members of a gang end together.
                    let step = &order.job.steps[0];
                    let own_ms = job.work_ms[order.task.index as usize];
                    let longest_ms = job.work_ms.iter().copied().max().unwrap_or(0);
                    let work_ms = if step.gang { longest_ms } else { own_ms };
                    self.running.push((now + work_ms, order));
                }
                other => panic!("nothing is stopped or asked: {other:?}"),
            }
        }
    }

    fn record_end(&mut self, id: &JobId, now: u64) {
        let Some(job) = self.active.get_mut(id) else { return };
        job.open_tasks -= 1;
        if job.open_tasks > 0 {
            return;
        }
        let took_ms = now - job.submitted_ms;
        let result = self.results.entry(job.queue).or_default();
        if took_ms <= job.objective_ms {
            result.in_time += 1;
            result.wide.1 += u32::from(job.is_wide);
        } else if took_ms <= 3 * job.objective_ms {
            result.late += 1;
        } else {
            result.useless += 1;
        }
        self.active.remove(id);
    }

    /// Replays the usual load with a burst, in which the queues come at multiples of their rates.
    fn replay(&mut self, usual_factor: f64, burst: [f64; 3], burst_ms: u64) {
        let mut due = [0.0; 3];
        for tick in 0..TRAFFIC_MS / TICK_MS {
            let at_ms = tick * TICK_MS;
            let is_burst = (QUIET_MS..QUIET_MS + burst_ms).contains(&at_ms);
            for (index, kind) in kinds().iter().enumerate() {
                let factor = if is_burst { burst[index] } else { 1.0 };
                #[expect(clippy::cast_precision_loss, reason = "small")]
                let usual = usual_factor * kind.jobs_per_s * TICK_MS as f64 / 1_000.0;
                due[index] += usual * factor;
                while due[index] >= 1.0 {
                    due[index] -= 1.0;
                    self.submit(kind);
                }
            }
            self.tick();
        }
        let last_ms = self.fixture.now_ms + FINISH_MS;
        while !self.active.is_empty() && self.fixture.now_ms < last_ms {
            self.tick();
        }
        assert!(self.active.is_empty(), "accepted jobs were dropped");
    }
}

/// Replays a burst of urgent jobs; returns the results of their queue, and the refusals.
fn replay_burst(features: PlanFeatures) -> (QueueResult, Vec<(u64, RoomRefusal)>) {
    let mut simulation = RoomSimulation::new(features);
    simulation.replay(1.0, [12.0, 1.0, 1.0], BURST_MS);
    (simulation.results["route"], simulation.refusals)
}

/// Guards against hundreds of urgent jobs that are accepted in a burst and done when nobody waits for
/// them any more. Refusing a part must not cost those that can be served, nor the widest.
#[test]
fn a_burst_is_refused_as_far_as_it_cannot_be_done() {
    let (before, none) = replay_burst(room_admission(false));
    let (after, refusals) = replay_burst(room_admission(true));
    println!("before: {before:?}\nafter: {after:?}");
    assert!(none.is_empty());
    assert!(before.useless * 4 > before.submitted, "the burst exceeds the capacity: {before:?}");
    assert!(after.useless * 3 < before.useless, "{after:?}");
    assert!(after.in_time >= before.in_time, "{after:?} {before:?}");
    assert!(after.wide.1 > before.wide.1, "{after:?} {before:?}");
    let (first, last): (Vec<_>, Vec<_>) =
        refusals.iter().map(|(_, refusal)| refusal.retry_after_s).unzip();
    assert!(first.iter().all(|seconds| *seconds >= 1));
    assert!(first.iter().zip(&last).all(|(first, last)| first < last), "the returns are spread");
    let widest_s = last.iter().max();
    assert!(widest_s.is_some_and(|seconds| (3..=30).contains(seconds)), "{widest_s:?}");
}

/// Guards against decisions that change on a fleet with enough capacity.
#[test]
fn enough_capacity_is_decided_as_before() {
    let [before, after] = [room_admission(false), PlanFeatures::default()].map(|features| {
        let mut simulation = RoomSimulation::new(features);
        simulation.replay(0.6, [1.0, 1.0, 1.0], 0);
        assert!(simulation.refusals.is_empty());
        simulation.starts
    });
    assert!(before.len() > 500, "{} starts", before.len());
    assert_eq!(before, after);
}

/// Guards against refusals in a short burst, which the jobs that wait have time for.
#[test]
fn a_short_burst_refuses_nobody() {
    let mut simulation = RoomSimulation::new(room_admission(true));
    simulation.replay(0.6, [10.0, 2.0, 2.0], 400);
    assert_eq!(simulation.refusals, []);
}

/// Returns a planner with workers that are full with long tasks, and as many jobs of 4 tasks of
/// 2 s behind them as given.
fn full_fixture(jobs: usize) -> PlannerFixture {
    let mut config = config();
    let limit = ResourceAmounts::UNLIMITED;
    config.teams.insert("small".into(), TeamRule { weight: 1, limit });
    let workers = (0..4).map(worker).collect();
    let mut fixture = fixture(workers, config, PlanFeatures::default());
    let long = StepSpec { estimate_ms: 4_000, ..step(4, cpu(WORKER_CPU)) };
    fixture.add(job("long", "urgent", vec![long]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 4);
    for index in 0..jobs {
        fixture.add(job(&format!("waits{index}"), "normal", vec![quarter(4)]));
    }
    fixture.decide();
    fixture.now_ms += 2_000;
    fixture.decide();
    fixture
}

/// Returns tasks of 2 s, four of which fill a worker.
fn quarter(count: u32) -> StepSpec {
    StepSpec { estimate_ms: 2_000, ..step(count, cpu(WORKER_CPU / 4)) }
}

fn refusal(fixture: &PlannerFixture, spec: &JobSpec) -> Option<RoomRefusal> {
    fixture.planner.find_room_refusal(spec, &PendingRoom::default(), fixture.now_ms)
}

/// Guards against refusals of the wrong jobs: more urgent ones, those that are due later, services, and
/// all of them after a takeover.
#[test]
fn only_jobs_behind_too_much_work_are_refused() {
    let next = job("next", "normal", vec![quarter(1)]);
    assert_eq!(refusal(&full_fixture(2), &next), None, "a second of work go before it");
    let fixture = full_fixture(120);
    let found = refusal(&fixture, &next).expect("a minute of work goes before it");
    assert_eq!(found.reason, RoomReason::Room);
    assert_eq!(fixture.planner.short_pool_count(), 1);
    let waits = fixture.planner.room_wait_by_priority();
    assert!(waits[&0] < 1.0 && waits[&1] > 20_000.0, "{waits:?}");
    assert!(found.wait_ms > 20_000.0 && found.late_wait_ms >= found.wait_ms, "{found:?}");
    let urgent = job("urgent", "urgent", vec![quarter(1)]);
    assert_eq!(refusal(&fixture, &urgent), None, "it goes first");
    let schedule = Some(JobSchedule { start_ms: 60_000, interval_ms: 500, occurrences: 2 });
    assert_eq!(refusal(&fixture, &JobSpec { schedule, ..next.clone() }), None);
    let service = job("service", "normal", vec![StepSpec { service: true, ..quarter(1) }]);
    assert_eq!(refusal(&fixture, &service), None);
    let mut taken_over = PlannerFixture::new(4, config());
    for index in 0..120 {
        taken_over.add(job(&format!("old{index}"), "normal", vec![quarter(4)]));
    }
    for _ in 0..10 {
        taken_over.decide();
        taken_over.now_ms += 150;
        assert_eq!(refusal(&taken_over, &next), None, "nothing is measured yet");
    }
}

/// Guards against a burst of jobs that are all accepted before the first of them is stored.
#[test]
fn demands_that_are_being_stored_count() {
    let fixture = full_fixture(1);
    let next = job("next", "normal", vec![quarter(1)]);
    let wide = job("wide", "normal", vec![quarter(400)]);
    let (pool, priority, demand) = fixture.planner.new_demand(&wide).expect("a demand");
    let mut storing = PendingRoom::default();
    storing.add(&pool, priority, demand);
    let find =
        |storing: &PendingRoom| fixture.planner.find_room_refusal(&next, storing, fixture.now_ms);
    assert!(find(&storing).is_some());
    storing.remove(&pool, priority, demand);
    assert!(find(&storing).is_none());
}

/// Guards against a team at many times its usual load for which the others have to wait.
#[test]
fn a_team_beyond_its_share_is_refused_first() {
    let mut fixture = full_fixture(3);
    let of_team = |id: &str| JobSpec {
        team: Some(TeamName::from("small")),
        ..job(id, "normal", vec![quarter(1)])
    };
    assert_eq!(refusal(&fixture, &of_team("first")), None, "its share is not used up");
    for index in 0..4 {
        fixture.add(of_team(&format!("small{index}")));
    }
    fixture.decide();
    let found = refusal(&fixture, &of_team("more")).expect("its share is used up");
    assert_eq!(found.reason, RoomReason::Share);
    assert_eq!(refusal(&fixture, &job("next", "normal", vec![quarter(1)])), None);
    let idle = PlannerFixture::new(4, config());
    assert_eq!(refusal(&idle, &of_team("idle")), None, "there is capacity for it");
}

/// Guards against jobs beyond a team's share that are accepted one after the other although those
/// before them are late: the forecast does not see all work that overtakes them.
#[test]
fn late_jobs_beyond_a_share_refuse_further_ones() {
    let of_team = |id: &str| JobSpec {
        team: Some(TeamName::from("small")),
        ..job(id, "normal", vec![quarter(1)])
    };
    let use_up_share = |fixture: &mut PlannerFixture| {
        for index in 0..3 {
            let id = format!("spent{index}-{}", fixture.now_ms);
            fixture.add(of_team(&id));
            fixture.planner.cancel_job(&id.as_str().into());
        }
    };
    let mut fixture = full_fixture(0);
    use_up_share(&mut fixture);
    fixture.add(of_team("waits"));
    fixture.decide();
    assert_eq!(refusal(&fixture, &of_team("early")), None, "one job waits, and is on time");
    // Its objective is 5 s.
    fixture.now_ms += 6_000;
    fixture.decide();
    use_up_share(&mut fixture);
    fixture.decide();
    let found = refusal(&fixture, &of_team("further")).expect("the one that waits is late");
    assert_eq!(found.reason, RoomReason::Share);
    assert_eq!(refusal(&fixture, &job("next", "normal", vec![quarter(1)])), None);
}

/// Guards against refusals of small jobs beside wide tasks that do not fit, and against work that waits
/// for its team's limit.
#[test]
fn work_that_waits_for_something_else_refuses_nobody() {
    let mut config = config();
    let limit = cpu(2 * WORKER_CPU);
    config.teams.insert("limited".into(), TeamRule { weight: 1_000, limit });
    let workers: Vec<_> = (0..4).map(worker).collect();
    let mut fixture = fixture(workers, config, PlanFeatures::default());
    fixture.decide();
    let most = step(4, cpu(WORKER_CPU * 3 / 4));
    fixture.add(job("most", "urgent", vec![StepSpec { estimate_ms: 9_000, ..most }]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 4);
    for index in 0..60 {
        let whole = StepSpec { estimate_ms: 2_000, ..step(1, cpu(WORKER_CPU)) };
        fixture.add(job(&format!("wide{index}"), "normal", vec![whole.clone()]));
        let team = Some(TeamName::from("limited"));
        fixture.add(JobSpec { team, ..job(&format!("limited{index}"), "urgent", vec![whole]) });
    }
    fixture.now_ms += 2_000;
    fixture.decide();
    let small = StepSpec { estimate_ms: 500, ..step(1, cpu(1_000)) };
    let whole = StepSpec { estimate_ms: 500, ..step(1, cpu(WORKER_CPU)) };
    assert!(refusal(&fixture, &job("whole", "batch", vec![whole.clone()])).is_some());
    assert!(refusal(&fixture, &job("whole", "urgent", vec![whole])).is_none(), "behind 2 workers");
    let found = refusal(&fixture, &job("small", "normal", vec![small]));
    assert_eq!(found, None, "it fits beside the wide tasks");
}

/// Returns the configuration of a team with a small share, and of a queue whose jobs can wait long.
fn patient_config() -> PlanConfig {
    let mut config = config();
    let limit = ResourceAmounts::UNLIMITED;
    config.teams.insert("small".into(), TeamRule { weight: 1, limit });
    let patient = QueueRule { stretch: 4.0, target_ms: 3_000, ..rule(2, None) };
    config.queues.insert("patient".into(), patient);
    config
}

/// Submits 8 jobs of a team beyond its share and 16 that can wait for 9 s, all of 2 s, and returns
/// the jobs of the starts in their order, with the times.
fn replay_patient(mut fixture: PlannerFixture) -> Vec<(u64, JobId)> {
    let of_team = |id: &str| JobSpec {
        team: Some(TeamName::from("small")),
        ..job(id, "normal", vec![quarter(1)])
    };
    for index in 0..4 {
        fixture.add(of_team(&format!("spent{index}")));
        fixture.planner.cancel_job(&format!("spent{index}").as_str().into());
    }
    let first_ms = fixture.now_ms;
    for index in 0..16 {
        fixture.add(job(&format!("patient{index}"), "patient", vec![quarter(1)]));
        if index < 8 {
            fixture.add(of_team(&format!("small{index}")));
        }
    }
    let (mut running, mut starts) = (Vec::new(), Vec::new());
    while starts.len() < 24 && fixture.now_ms < first_ms + 30_000 {
        fixture.now_ms += TICK_MS;
        fixture.end_due_runs(&mut running);
        fixture.store();
        for order in fixture.run_starts(StartAnswer::Started) {
            starts.push((fixture.now_ms - first_ms, order.task.step.job.clone()));
            running.push((fixture.now_ms + 2_000, order));
        }
    }
    starts
}

/// Returns the numbers of the starts of a team beyond its share, in the order of the starts.
fn small_starts(starts: &[(u64, JobId)]) -> Vec<usize> {
    let small = |(_, (_, id)): &(usize, &(u64, JobId))| id.as_str().starts_with("small");
    starts.iter().enumerate().filter(small).map(|(number, _)| number).collect()
}

/// Guards against callers of a team beyond its share that wait behind less urgent jobs, although
/// these would be on time seconds later.
#[test]
fn work_that_can_wait_gives_way_while_capacity_is_short() {
    let features = room_admission(true);
    let workers = |count| (0..count).map(worker).collect::<Vec<_>>();
    let starts = replay_patient(fixture(workers(2), patient_config(), features));
    assert_eq!(starts.len(), 24);
    let small = small_starts(&starts);
    // The first decision knows of no shortage and fills both workers.
    assert_eq!(small, (8..16).collect::<Vec<_>>(), "{starts:?}");
    // The objective is 11 s, of which a run takes 2 s.
    assert!(starts.iter().all(|(at_ms, _)| *at_ms < 9_000), "all are on time: {starts:?}");
    let enough = fixture(workers(6), patient_config(), features);
    let small = small_starts(&replay_patient(enough));
    assert_eq!(small, (16..24).collect::<Vec<_>>(), "there is capacity for all");
}

/// Guards against refusals by a long forecast of jobs like which others are on time, and against
/// acceptance of jobs like which others are late.
#[test]
fn a_job_that_can_wait_is_refused_only_if_others_are_late() {
    for (late, is_refused) in [(0, false), (28, false), (32, true)] {
        let mut fixture =
            fixture((0..4).map(worker).collect(), patient_config(), room_admission(true));
        let long = StepSpec { estimate_ms: 4_000, ..step(4, cpu(WORKER_CPU)) };
        fixture.add(job("long", "urgent", vec![long]));
        assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 4);
        let patient = |index: usize| job(&format!("p{index}"), "patient", vec![quarter(4)]);
        for index in 0..late {
            fixture.add(patient(index));
        }
        fixture.now_ms += 10_000;
        for index in late..120 {
            fixture.add(patient(index));
        }
        fixture.decide();
        // The first are beyond their objective of 11 s; the others have less than half of their slack
        // left and do not give way any more.
        fixture.now_ms += 5_200;
        fixture.decide();
        let found = refusal(&fixture, &patient(120));
        assert_eq!(found.is_some(), is_refused, "{late} of 120 are late: {found:?}");
        let waits = fixture.planner.room_wait_by_priority();
        assert!(waits[&2] > 40_000.0, "{waits:?}");
    }
}

/// Guards against a forecast that counts a job twice, of which one step was moved to the front.
#[test]
fn a_job_with_a_step_at_the_front_counts_once() {
    let cost = AdviceCost { call_ms: 10.0, worker_ms: 0.1, valid_ms: 5_000 };
    let mut config = config();
    config.queues.insert("asked".into(), rule(1, Some(cost)));
    let workers = (0..4).map(worker).collect();
    let mut fixture = fixture(workers, config, room_admission(true));
    let most = StepSpec { estimate_ms: 9_000, ..quarter(14) };
    fixture.add(job("most", "urgent", vec![most.clone()]));
    fixture.run_starts(StartAnswer::Started);
    let gang = StepSpec { gang: true, ..quarter(2) };
    fixture.add(job("split", "asked", vec![gang, quarter(80)]));
    let requests = support::advice_requests(fixture.decide());
    let request = requests.iter().find(|request| request.step.step == 0).expect("one of the gang");
    fixture.add(job("rest", "urgent", vec![StepSpec { count: 2, ..most }]));
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 2);
    // More urgent work between the gang and the other step, which is not at the front.
    fixture.add(job("more", "urgent", vec![quarter(1)]));
    fixture.decide();
    let before = fixture.planner.room_wait_by_priority();
    for _ in 0..2 {
        fixture.advise(request, &request.workers);
    }
    fixture.decide();
    let after = fixture.planner.room_wait_by_priority();
    assert!(before[&1] > 5_000.0, "{before:?}");
    assert!(after[&1] < before[&1] * 1.1, "{after:?} {before:?}");
}

/// Guards against an owner that ends by an overflow of a declared duration.
#[test]
fn any_declared_duration_is_planned() {
    let mut fixture = PlannerFixture::new(4, config());
    let endless = StepSpec { estimate_ms: u64::MAX, ..quarter(1) };
    let after = StepSpec { after: [0].into_iter().collect(), ..endless.clone() };
    let spec = job("endless", "normal", vec![endless, after]);
    fixture.now_ms += 5_000;
    assert_eq!(refusal(&fixture, &spec), None);
    fixture.add(spec);
    assert_eq!(fixture.run_starts(StartAnswer::Started).len(), 1);
    fixture.now_ms += 5_000;
    fixture.decide();
    assert_eq!(refusal(&fixture, &job("next", "normal", vec![quarter(1)])), None);
}

/// Guards against a forecast that counts on workers which have not reported as if they freed capacity.
#[test]
fn unreported_workers_free_nothing() {
    let mut fixture = full_fixture(60);
    let before = fixture.planner.room_wait_by_priority();
    for index in 4..8 {
        fixture.planner.set_worker(worker(index));
    }
    fixture.decide();
    let after = fixture.planner.room_wait_by_priority();
    assert!(before[&1] > 10_000.0 && after[&1] > before[&1] * 0.9, "{after:?} {before:?}");
}
