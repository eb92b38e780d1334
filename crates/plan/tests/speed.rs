//! Speeds of workers: how they are learned from runs, and how placement uses them.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};
use model::resource::ResourceAmounts;
use plan::config::{AdviceCost, PlanConfig, QueueRule};
use plan::decision::{AdviceAnswer, AdviceRequest, PlanDecision, StartOrder};
use plan::feature::PlanFeatures;
use plan::job::{StepSpec, TaskKey};
use plan::planner::{Planner, PlannerOptions};
use plan::speed::{SpeedClass, SpeedTable};
use plan::worker::{EndKind, StartAnswer, WorkerInfo};
use support::{PlannerFixture, WORKER_CPU, advice_requests, config, cpu, job, rule, step, worker};

/// Workers of the replayed fleet, a third of that of the deployment; the load is a third as well.
const WORKERS: usize = 350;
/// Simulated time between two decisions, in milliseconds.
const TICK_MS: u64 = 10;
/// Time between a decision and the start of the run, in milliseconds.
const START_MS: u64 = 50;
/// Time between the report of a run end and the answer to the caller, in milliseconds.
const REPORT_MS: u64 = 150;
/// Speeds of the three kinds of workers.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];

/// A repeatable sequence of random numbers.
struct RandomNumbers(u64);

impl RandomNumbers {
    /// Returns a number between 0 and 1.
    #[expect(clippy::cast_precision_loss, reason = "53 bits fit a double")]
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns a factor whose logarithm is normal with this standard deviation.
    fn factor(&mut self, deviation: f64) -> f64 {
        let normal: f64 = (0..12).map(|_| self.uniform()).sum::<f64>() - 6.0;
        (normal * deviation).exp()
    }
}

/// Load of one queue: jobs a second on the whole fleet, tasks, work in milliseconds.
struct QueueLoad {
    queue: &'static str,
    jobs_per_s: f64,
    tasks: u32,
    work_ms: f64,
    amounts: ResourceAmounts,
    is_gang: bool,
    /// Share of workers that may run a step.
    eligible: f64,
}

/// The queues of the deployment with uneven workers, for a fleet of 350.
fn queue_loads() -> Vec<QueueLoad> {
    let amounts =
        |cpu_millis, memory_mb| ResourceAmounts { cpu_millis, memory_mb, ..ResourceAmounts::ZERO };
    let load = |queue, jobs_per_s, tasks, work_ms, amounts, eligible| QueueLoad {
        queue,
        jobs_per_s,
        tasks,
        work_ms,
        amounts,
        is_gang: queue == "plan",
        eligible,
    };
    vec![
        load("check", 110.0, 3, 540.0, amounts(5_000, 9_100), 0.7),
        load("tune", 9.85 * 1.5, 25, 1_900.0, amounts(3_500, 6_400), 0.45),
        load("plan", 3.04 * 1.2, 20, 5_300.0, amounts(9_000, 17_000), 0.25),
    ]
}

fn replay_config() -> PlanConfig {
    let mut config = config();
    let queue = |priority, stretch, target_ms, call_ms, worker_ms| QueueRule {
        stretch,
        target_ms,
        ..rule(priority, Some(AdviceCost { call_ms, worker_ms, valid_ms: 1_500 }))
    };
    config.queues.insert("check".into(), queue(0, 1.5, 300, 7.2, 0.1));
    config.queues.insert("plan".into(), queue(1, 2.2, 1_000, 540.0, 7.7));
    config.queues.insert("tune".into(), queue(2, 4.0, 3_000, 80.0, 1.1));
    for team in config.teams.values_mut() {
        team.weight = 1_000;
    }
    config
}

/// A job of the replay and what its callers expect of it.
struct ReplayedJob {
    queue: &'static str,
    eligible: f64,
    /// Work of each task at the usual speed, in milliseconds.
    works: Vec<f64>,
    due_ms: u64,
}

/// Replay of the load of a fleet whose workers have different speeds.
struct FleetReplay {
    fixture: PlannerFixture,
    random: RandomNumbers,
    speeds: Vec<f64>,
    loads: Vec<QueueLoad>,
    jobs: BTreeMap<JobId, ReplayedJob>,
    added: u32,
    running: Vec<(u64, StartOrder)>,
    calls: Vec<(u64, AdviceRequest)>,
    /// Jobs that ended in time and late, by queue.
    ended: BTreeMap<&'static str, (u32, u32)>,
    /// All starts, with their times.
    started: Vec<(u64, TaskKey, WorkerName)>,
}

impl FleetReplay {
    fn new(speeds: Vec<f64>, is_learning: bool) -> Self {
        let mut fixture = PlannerFixture::new(0, replay_config());
        let features = PlanFeatures { worker_speed: is_learning, ..PlanFeatures::default() };
        fixture.planner = Planner::new(PlannerOptions { features, ..PlannerOptions::default() });
        fixture.planner.set_config(Arc::new(replay_config()));
        for index in 0..speeds.len() {
            let capacity =
                ResourceAmounts { cpu_millis: 32_000, memory_mb: 64_000, ..ResourceAmounts::ZERO };
            fixture.planner.set_worker(WorkerInfo { capacity, ..worker(index) });
            fixture.report(&worker(index).name, Vec::new(), Vec::new());
        }
        Self {
            fixture,
            random: RandomNumbers(7),
            speeds,
            loads: queue_loads(),
            jobs: BTreeMap::new(),
            added: 0,
            running: Vec::new(),
            calls: Vec::new(),
            ended: BTreeMap::new(),
            started: Vec::new(),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "the replay is short")]
    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / TICK_MS {
            for index in 0..self.loads.len() {
                let rate = self.loads[index].jobs_per_s * self.speeds.len() as f64 / 350.0;
                let mut expected = rate * TICK_MS as f64 / 1_000.0;
                while expected > 0.0 {
                    if self.random.uniform() < expected {
                        self.add_job(index);
                    }
                    expected -= 1.0;
                }
            }
            self.tick();
        }
    }

    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "milliseconds")]
    fn add_job(&mut self, index: usize) {
        let QueueLoad { queue, tasks, work_ms, amounts, is_gang, eligible, .. } = self.loads[index];
        let work_ms = work_ms * self.random.factor(0.4);
        let estimate_ms = (work_ms * self.random.factor(0.6)) as u64;
        let sound: Vec<_> = (0..tasks).map(|_| work_ms * self.random.factor(0.2)).collect();
        let works: Vec<_> = sound
            .into_iter()
            .map(|work_ms| if self.random.uniform() < 0.03 { work_ms * 7.0 } else { work_ms })
            .collect();
        let longest_ms = works.iter().copied().fold(0.0, f64::max);
        let rule = &replay_config().queues[queue];
        let objective_ms = (longest_ms * rule.stretch) as u64 + rule.target_ms;
        let step =
            StepSpec { count: tasks, amounts, estimate_ms, gang: is_gang, ..StepSpec::default() };
        self.added += 1;
        let spec = job(&format!("j{:05}", self.added), queue, vec![step]);
        let due_ms = self.fixture.now_ms + objective_ms;
        self.jobs.insert(spec.id.clone(), ReplayedJob { queue, eligible, works, due_ms });
        self.fixture.add(spec);
    }

    /// Advances the time by one tick and carries out the decisions of the planner.
    fn tick(&mut self) {
        let now = self.fixture.now_ms + TICK_MS;
        self.fixture.now_ms = now;
        let mut gangs: BTreeMap<JobId, Vec<StartOrder>> = BTreeMap::new();
        for decision in self.fixture.planner.decide(now, now) {
            match decision {
                PlanDecision::Start(order) if order.job.steps[0].gang => {
                    gangs.entry(order.job.id.clone()).or_default().push(order);
                }
                PlanDecision::Start(order) => self.start(now, vec![order]),
                PlanDecision::RequestAdvice(request) => {
                    #[expect(
                        clippy::cast_possible_truncation,
                        clippy::cast_sign_loss,
                        reason = "ms"
                    )]
                    let answered_ms = now + request.duration_ms as u64;
                    self.calls.push((answered_ms, request));
                }
                PlanDecision::Stop(order) => panic!("nothing is cancelled: {order:?}"),
                PlanDecision::Pace(order) => panic!("nothing is paced: {order:?}"),
            }
        }
        for members in gangs.into_values() {
            self.start(now, members);
        }
        self.answer_calls(now);
        self.fixture.end_due_runs(&mut self.running);
        for (id, record) in self.fixture.store() {
            if record.status.is_final()
                && let Some(job) = self.jobs.remove(&id)
            {
                let (in_time, late) = self.ended.entry(job.queue).or_default();
                *if now + REPORT_MS <= job.due_ms { in_time } else { late } += 1;
            }
        }
    }

    /// Starts runs that end together, with the slowest of them.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "milliseconds")]
    fn start(&mut self, now: u64, orders: Vec<StartOrder>) {
        let duration = |order: &StartOrder| {
            let index: usize = order.worker.as_str()[1..].parse().expect("workers are numbered");
            self.jobs[&order.job.id].works[order.task.index as usize] / self.speeds[index]
        };
        let end_ms = now + START_MS + orders.iter().map(duration).fold(0.0, f64::max) as u64;
        for order in orders {
            self.fixture.answer(&order, StartAnswer::Started);
            self.started.push((now, order.task.clone(), order.worker.clone()));
            self.running.push((end_ms, order));
        }
    }

    fn answer_calls(&mut self, now: u64) {
        for (_, request) in self.calls.extract_if(.., |(at_ms, _)| *at_ms <= now) {
            let Some(job) = self.jobs.get(&request.step.job) else { continue };
            let mut eligible = Vec::new();
            for name in &request.workers {
                let seed = request.step.job.as_str().bytes().chain(name.as_str().bytes());
                let seed = seed.fold(0_u64, |seed, byte| seed.wrapping_mul(131) + u64::from(byte));
                let mut random = RandomNumbers(seed);
                random.uniform();
                if random.uniform() < job.eligible {
                    eligible.push((name.clone(), ArcStr::from("ticket")));
                }
            }
            let answer = AdviceAnswer { step: request.step, considered: request.workers, eligible };
            self.fixture.planner.apply_advice(&answer, now);
        }
    }

    /// Returns how many workers are in the class of their speed, and how many in a wrong one: not
    /// usual, and not that of their speed.
    fn count_classes(&self) -> (usize, usize) {
        let speeds = self.fixture.planner.speeds();
        let mut counts = (0, 0);
        for (index, speed) in self.speeds.iter().enumerate() {
            let expected = if *speed < 0.87 {
                SpeedClass::Slow
            } else if *speed > 1.15 {
                SpeedClass::Quick
            } else {
                SpeedClass::Usual
            };
            let class = speeds.class(&worker(index).name);
            counts.0 += usize::from(class == expected);
            counts.1 += usize::from(class != expected && class != SpeedClass::Usual);
        }
        counts
    }
}

fn uneven_speeds() -> Vec<f64> {
    (0..WORKERS).map(|index| SPEEDS[index % 3]).collect()
}

/// Guards against urgent short tasks that are late on slow workers while work with slack takes the
/// quick ones: on a fleet with speeds 0.6, 1.0 and 1.6 a quarter of the short jobs was late.
#[test]
fn urgent_work_gets_workers_that_are_fast_enough() {
    let late_checks = |is_learning| {
        let mut replay = FleetReplay::new(uneven_speeds(), is_learning);
        replay.run(15_000);
        if is_learning {
            let (right, wrong) = replay.count_classes();
            assert!(right * 4 >= WORKERS * 3 && wrong * 20 <= WORKERS, "{right} and {wrong}");
        }
        replay.ended.clear();
        replay.run(10_000);
        (replay.ended["check"], replay.ended["tune"])
    };
    let ((in_time_before, late_before), tune_before) = late_checks(false);
    let ((in_time, late), tune) = late_checks(true);
    assert!(late_before * 5 > in_time_before, "the load calls for speeds: {late_before}");
    assert!(late * 3 < late_before, "{late} instead of {late_before} late");
    assert!(in_time > in_time_before);
    assert!(tune.0 * 10 >= tune_before.0 * 9 && tune.1 * 50 <= tune.0, "{tune:?}");
}

/// Guards against placement that changes on a fleet of equal workers: every start has to be the
/// one that is made without learned speeds.
#[test]
fn equal_workers_are_used_as_without_speeds() {
    let starts = |is_learning| {
        let mut replay = FleetReplay::new(vec![1.0; 60], is_learning);
        replay.run(8_000);
        assert_eq!(replay.fixture.planner.speeds().change_count(), 0);
        replay.started
    };
    let learned = starts(true);
    assert!(learned.len() > 500);
    assert!(learned == starts(false));
}

/// Work of the runs of a table test: ln of a second.
fn log_second() -> f64 {
    1_000.0_f64.ln()
}

/// Records runs of a second's work on a worker of this speed; returns after how many of at most
/// `max_runs` its class was `class`.
fn record_until(
    table: &mut SpeedTable,
    random: &mut RandomNumbers,
    speed: f64,
    class: SpeedClass,
    max_runs: usize,
) -> Option<usize> {
    let name = worker(0).name;
    (1..=max_runs).find(|_| {
        let log_ms = log_second() - speed.ln() + random.factor(0.2).ln();
        table.record_run(&name, log_ms, log_second(), 9);
        table.class(&name) == class
    })
}

/// Guards against a worker that gets a wrong class by the few tasks that take seven times as long.
#[test]
fn long_tasks_do_not_move_a_class() {
    let mut table = SpeedTable::default();
    let mut random = RandomNumbers(3);
    for _ in 0..5_000 {
        let straggles = random.uniform() < 0.03;
        let log_ms = log_second() + random.factor(0.2).ln() + f64::from(straggles) * 7.0_f64.ln();
        table.record_run(&worker(0).name, log_ms, log_second(), 9);
        assert_eq!(table.class(&worker(0).name), SpeedClass::Usual);
    }
}

/// Guards against a worker that becomes slow and goes on getting urgent work, and against one that
/// is sound again and goes on counting as slow.
#[test]
fn a_sudden_change_is_found_within_a_few_runs() {
    for seed in 0..50 {
        let mut table = SpeedTable::default();
        let mut random = RandomNumbers(seed);
        assert_eq!(record_until(&mut table, &mut random, 1.0, SpeedClass::Slow, 40), None);
        let runs = record_until(&mut table, &mut random, 1.0 / 3.0, SpeedClass::Slow, 10);
        assert!(runs.is_some(), "not found within 10 runs, seed {seed}");
        for _ in 0..20 {
            record_until(&mut table, &mut random, 1.0 / 3.0, SpeedClass::Slow, 1);
        }
        let speed = table.speed(&worker(0).name);
        assert!((0.25..0.45).contains(&speed), "{speed}, seed {seed}");
        let runs = record_until(&mut table, &mut random, 1.0, SpeedClass::Usual, 12);
        assert!(runs.is_some(), "not found within 12 runs, seed {seed}");
    }
}

/// Guards against estimates that do not follow a worker whose speed changes little by little.
#[test]
fn slow_drift_is_followed() {
    let mut table = SpeedTable::default();
    let mut random = RandomNumbers(5);
    for number in 0..400 {
        let speed = 1.0 - 0.5 * f64::from(number) / 400.0;
        record_until(&mut table, &mut random, speed, SpeedClass::Slow, 1);
    }
    let speed = table.speed(&worker(0).name);
    assert!((0.4..0.6).contains(&speed), "{speed}");
}

/// Guards against trust in the speed of an earlier process of a worker: after a restart, a few runs
/// correct it. A factor that no worker can have is ignored.
#[test]
fn restored_speeds_are_overruled_soon() {
    let mut random = RandomNumbers(9);
    let mut table = SpeedTable::default();
    record_until(&mut table, &mut random, 0.6, SpeedClass::Quick, 40);
    let exported = table.export();
    let name = worker(0).name;
    assert!((500..700).contains(&exported[&name]), "{exported:?}");
    let mut restored = SpeedTable::default();
    restored.restore(&name, exported[&name]);
    restored.restore(&worker(1).name, 0);
    assert_eq!(restored.class(&name), SpeedClass::Slow);
    assert_eq!(restored.export(), exported);
    table.weaken(&name);
    for table in [&mut table, &mut restored] {
        let runs = record_until(table, &mut random, 1.0, SpeedClass::Usual, 8);
        assert!(runs.is_some(), "the earlier speed holds on");
    }
}

/// Guards against estimates of workers that are gone, which nothing removes: the runs of a step that
/// ended there are kept until its work is known.
#[test]
fn workers_that_are_gone_get_no_estimates() {
    let mut fixture = PlannerFixture::new(3, config());
    fixture.add(job("j", "normal", vec![step(24, cpu(WORKER_CPU / 8))]));
    let orders = fixture.run_starts(StartAnswer::Started);
    let gone = orders[0].worker.clone();
    let start_ms = fixture.now_ms;
    let end_ms = |order: &StartOrder| start_ms + if order.worker == gone { 200 } else { 2_000 };
    let mut running: Vec<_> = orders.iter().map(|order| (end_ms(order), order.clone())).collect();
    fixture.now_ms = start_ms + 200;
    fixture.end_due_runs(&mut running);
    assert_eq!(running.len(), 16);
    fixture.planner.deregister_worker(&gone);
    fixture.now_ms = start_ms + 2_000;
    fixture.end_due_runs(&mut running);
    assert_eq!(fixture.planner.speeds().export(), BTreeMap::new());
}

/// Guards against shares of a fleet that are computed from the restored speeds alone, which are
/// those of unusual workers: one quick worker of 20 would count as common.
#[test]
fn restored_speeds_are_shares_of_the_whole_fleet() {
    for (quick, expected) in [(1, 1.0), (2, 1.6)] {
        let mut fixture = PlannerFixture::new(20, config());
        let speeds = (0..quick).map(|index| (worker(index).name, 1_600));
        fixture.planner.restore_speeds(&speeds.collect());
        let factor = fixture.planner.speeds().quick_factor();
        assert!((factor - expected).abs() < 0.01, "{quick} workers: {factor}");
    }
}

/// Guards against a usual speed that is taken from the restored workers: those without an estimate
/// are as fast as usual, and most of the fleet.
#[test]
fn restored_speeds_do_not_move_the_usual_one() {
    let mut fixture = PlannerFixture::new(30, config());
    let speeds = (0..10).map(|index| (worker(index).name, 1_600));
    fixture.planner.restore_speeds(&speeds.collect());
    for number in 0..80 {
        fixture.add(job(&format!("j{number}"), "normal", vec![step(1, cpu(1_000))]));
        let orders = fixture.run_starts(StartAnswer::Started);
        assert_eq!(fixture.planner.speeds().class(&orders[0].worker), SpeedClass::Usual);
        fixture.now_ms += 1_000;
        fixture.end(&orders[0], EndKind::Done);
        fixture.store();
    }
    let speed = fixture.planner.speeds().speed(&worker(0).name);
    assert!((1.55..1.65).contains(&speed), "{speed}");
}

/// Returns a planner with two slow, two usual and two quick workers, in this order.
fn uneven_fixture(config: PlanConfig) -> PlannerFixture {
    let mut fixture = PlannerFixture::new(6, config);
    let speeds = (0..6).map(|index| (worker(index).name, [600, 1_000, 1_600][index / 2]));
    fixture.planner.restore_speeds(&speeds.collect());
    fixture
}

/// Returns the numbers of the workers that these starts use.
fn used_workers(starts: &[StartOrder]) -> BTreeSet<usize> {
    starts.iter().map(|order| order.worker.as_str()[1..].parse().expect("a number")).collect()
}

/// Guards against quick workers that do work with slack, against urgent work on slow ones, and
/// against capacity that idles because it is slow. The queue's stretch of 2 and its second give a
/// step of one second 3 s; nobody waits for it after 9 s.
#[test]
fn the_slowest_worker_that_is_fast_enough_is_chosen() {
    let cases = [
        ("slack", 0, BTreeSet::from([0])),
        ("tight", 900, BTreeSet::from([2])),
        ("tighter", 1_600, BTreeSet::from([4])),
        ("hardly", 1_900, BTreeSet::from([4])),
        ("late", 2_400, BTreeSet::from([0])),
        ("nearly expired", 8_000, BTreeSet::from([4])),
        ("expired", 9_500, BTreeSet::from([0])),
    ];
    for (name, waited_ms, expected) in cases {
        let mut fixture = uneven_fixture(config());
        fixture.add(job(name, "normal", vec![step(1, cpu(1_000))]));
        fixture.now_ms += waited_ms;
        assert_eq!(used_workers(&fixture.starts()), expected, "{name}");
    }
    let mut fixture = uneven_fixture(config());
    fixture.add(job("wide", "normal", vec![step(48, cpu(1_000))]));
    fixture.now_ms += 1_600;
    assert_eq!(fixture.starts().len(), 48, "slow workers are better than none");
}

/// Guards against services that answer slowly although usual workers are free.
#[test]
fn services_run_on_workers_of_the_usual_speed() {
    let mut fixture = uneven_fixture(config());
    let service = StepSpec { service: true, ..step(20, cpu(1_000)) };
    fixture.add(job("serve", "normal", vec![service]));
    assert_eq!(used_workers(&fixture.starts()), BTreeSet::from([2, 3, 4]));
}

/// Guards against later steps that get no time: what they need is kept for them.
#[test]
fn later_steps_count_for_the_time_that_is_left() {
    let later = StepSpec { after: [0].into_iter().collect(), ..step(1, cpu(1_000)) };
    let mut fixture = uneven_fixture(config());
    fixture.add(job("chain", "normal", vec![step(1, cpu(1_000)), later]));
    fixture.now_ms += 2_000;
    assert_eq!(used_workers(&fixture.starts()), BTreeSet::from([2]));
}

/// Guards against workers on which a task failed: they are avoided even if they are the best by
/// speed.
#[test]
fn failures_count_before_speed() {
    let mut fixture = uneven_fixture(config());
    fixture.add(job("j", "normal", vec![step(1, cpu(1_000))]));
    let first = fixture.run_starts(StartAnswer::Started).remove(0);
    assert_eq!(first.worker, worker(0).name);
    fixture.end(&first, EndKind::Failed);
    assert_eq!(used_workers(&fixture.starts()), BTreeSet::from([1]));
}

/// Guards against gangs that hold quick workers and wait for their slow members.
#[test]
fn a_gang_runs_on_workers_of_one_speed() {
    let cases = [
        ("slack", 0, BTreeSet::from([0, 1])),
        ("tight", 900, BTreeSet::from([2, 3])),
        ("tighter", 1_600, BTreeSet::from([4, 5])),
        ("hardly", 1_900, BTreeSet::from([4, 5])),
    ];
    for (name, waited_ms, expected) in cases {
        let mut fixture = uneven_fixture(config());
        let gang = StepSpec { gang: true, ..step(4, cpu(4_000)) };
        fixture.add(job(name, "normal", vec![gang]));
        fixture.now_ms += waited_ms;
        assert_eq!(used_workers(&fixture.starts()), expected, "{name}");
    }
    let mut fixture = uneven_fixture(config());
    let gang = StepSpec { gang: true, ..step(10, cpu(4_000)) };
    fixture.add(job("wide", "normal", vec![gang]));
    fixture.now_ms += 1_600;
    assert_eq!(fixture.starts().len(), 10, "it fits on all workers together only");
}

/// Guards against requests that name workers which are too slow, and against many requests for
/// the few that are best: their tickets would be for the same capacity.
#[test]
fn requests_name_workers_that_are_fast_enough() {
    let mut fixture = uneven_fixture(config());
    for number in 0..12 {
        fixture.add(job(&format!("j{number:02}"), "advised", vec![step(1, cpu(4_000))]));
    }
    fixture.now_ms += 900;
    let requests = advice_requests(fixture.decide());
    assert_eq!(requests.len(), 12, "there is room for all");
    let names = |request: &AdviceRequest| {
        let number = |name: &WorkerName| name.as_str()[1..].parse().expect("a number");
        request.workers.iter().map(number).collect::<Vec<usize>>()
    };
    assert_eq!(names(&requests[0]), [2, 3, 4], "two that match, and a quicker one");
    let mut counts = [0; 6];
    for index in requests.iter().flat_map(names) {
        counts[index] += 1;
    }
    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}
