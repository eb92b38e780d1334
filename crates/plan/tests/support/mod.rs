//! A planner with workers, queues and teams, and helpers that build its inputs.

use std::collections::BTreeMap;
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, QueueName, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use plan::config::{AdviceCost, PlanConfig, QueueRule, TeamRule};
use plan::decision::{AdviceAnswer, AdviceRequest, PlanDecision, StartOrder, StopOrder};
use plan::job::{JobSpec, StepKey, StepSpec, TaskKey};
use plan::planner::{Planner, PlannerOptions};
use plan::progress::ProgressRecord;
use plan::worker::{EndKind, EndedRun, PresentRun, RunReport, StartAnswer, WorkerInfo};

/// Incarnation of every worker.
pub const INCARNATION: u64 = 1_000;

/// Processor capacity of a worker, in thousandths of a core.
pub const WORKER_CPU: u64 = 8_000;

/// A planner under test and its clock.
#[derive(Debug)]
pub struct PlannerFixture {
    pub planner: Planner,
    pub now_ms: u64,
    /// Number of the last run end of each worker.
    end_numbers: BTreeMap<WorkerName, u64>,
}

/// Returns a demand for processor time, in thousandths of a core, and a little memory.
pub fn cpu(millis: u64) -> ResourceAmounts {
    ResourceAmounts { cpu_millis: millis, memory_mb: 100, ..ResourceAmounts::ZERO }
}

/// Returns a worker; even ones are in domain `north`, odd ones in `south`.
pub fn worker(index: usize) -> WorkerInfo {
    WorkerInfo {
        name: WorkerName::from(format!("w{index:02}")),
        pool: "pool".into(),
        domain: if index.is_multiple_of(2) { "north".into() } else { "south".into() },
        labels: vec!["a".into(), ArcStr::from(format!("r{}", index / 2))],
        capacity: ResourceAmounts {
            cpu_millis: WORKER_CPU,
            memory_mb: 10_000,
            ..ResourceAmounts::ZERO
        },
        draining: false,
        remaining_ms: None,
    }
}

/// Returns the rules of a queue that allows two attempts.
pub fn rule(priority: u32, advice: Option<AdviceCost>) -> QueueRule {
    QueueRule {
        pool: "pool".into(),
        priority,
        max_attempts: 2,
        stretch: 2.0,
        target_ms: 1_000,
        advice,
    }
}

/// Returns queues `urgent`, `normal` and `batch`, a queue `advised` that needs advice, and teams
/// `red` and `blue` without limits.
pub fn config() -> PlanConfig {
    let mut config = PlanConfig { version: 1, ..PlanConfig::default() };
    config.queues.insert("urgent".into(), rule(0, None));
    config.queues.insert("normal".into(), rule(1, None));
    config.queues.insert("batch".into(), rule(2, None));
    let cost = AdviceCost { call_ms: 10.0, worker_ms: 1.0, valid_ms: 1_500 };
    config.queues.insert("advised".into(), rule(1, Some(cost)));
    let limit = ResourceAmounts::UNLIMITED;
    config.teams.insert("red".into(), TeamRule { weight: 100, limit });
    config.teams.insert("blue".into(), TeamRule { weight: 100, limit });
    config
}

/// Returns a job of team `red`.
pub fn job(id: &str, queue: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        id: JobId::from(id),
        queue: QueueName::from(queue),
        team: Some(TeamName::from("red")),
        payload: "text".into(),
        steps,
        schedule: None,
        accepted_ms: 0,
        accepted_rule: None,
        accepted_limit: None,
    }
}

/// Returns a step of `count` tasks that take a second each.
pub fn step(count: u32, amounts: ResourceAmounts) -> StepSpec {
    StepSpec { count, amounts, estimate_ms: 1_000, ..StepSpec::default() }
}

/// Returns the key of a task of the first step of a job.
pub fn task(job: &str, index: u32) -> TaskKey {
    let step = StepKey { job: JobId::from(job), occurrence: 0, step: 0 };
    TaskKey { step, index }
}

impl PlannerFixture {
    /// Creates a planner whose workers have all reported that nothing runs.
    pub fn new(workers: usize, config: PlanConfig) -> Self {
        let mut fixture = Self::unreported(workers, config);
        for index in 0..workers {
            fixture.report(&worker(index).name, Vec::new(), Vec::new());
        }
        fixture
    }

    /// Creates a planner to which no worker has reported.
    pub fn unreported(workers: usize, config: PlanConfig) -> Self {
        let mut planner = Planner::new(PlannerOptions::default());
        planner.set_config(Arc::new(config));
        for index in 0..workers {
            planner.set_worker(worker(index));
        }
        Self { planner, now_ms: 1, end_numbers: BTreeMap::new() }
    }

    /// Adds a job without progress, submitted now.
    pub fn add(&mut self, spec: JobSpec) {
        self.planner.add_job(&Arc::new(spec), &ProgressRecord::default(), self.now_ms);
    }

    /// Advances the time by a millisecond and returns the decisions.
    pub fn decide(&mut self) -> Vec<PlanDecision> {
        self.now_ms += 1;
        self.planner.decide(self.now_ms, self.now_ms)
    }

    /// Decides and returns the starts only.
    pub fn starts(&mut self) -> Vec<StartOrder> {
        starts(self.decide())
    }

    /// Decides, answers every start with `answer` and returns the starts.
    pub fn run_starts(&mut self, answer: StartAnswer) -> Vec<StartOrder> {
        let orders = self.starts();
        for order in &orders {
            self.answer(order, answer);
        }
        orders
    }

    /// Applies the answer of a worker to a start.
    pub fn answer(&mut self, order: &StartOrder, answer: StartAnswer) {
        self.planner.apply_start_answer(&order.worker, &order.task, order.run, answer, self.now_ms);
    }

    /// Reports the runs of a worker.
    pub fn report(&mut self, name: &WorkerName, running: Vec<PresentRun>, ended: Vec<EndedRun>) {
        self.now_ms += 1;
        let report = RunReport { incarnation: INCARNATION, running, ended, is_partial: false };
        self.planner.apply_report(name, &report, self.now_ms, self.now_ms);
    }

    /// Reports the end of a started run, and that nothing else runs on its worker.
    pub fn end(&mut self, order: &StartOrder, kind: EndKind) {
        self.end_run(&order.worker, &order.task, order.run, kind);
    }

    /// Reports the end of any run, and that nothing else runs on its worker.
    pub fn end_run(&mut self, name: &WorkerName, task: &TaskKey, run: u32, kind: EndKind) {
        let number = self.end_numbers.entry(name.clone()).or_insert(0);
        *number += 1;
        let end =
            EndedRun { number: *number, task: task.clone(), run, kind, saved: ArcStr::default() };
        self.report(name, Vec::new(), vec![end]);
    }

    /// Reports the ends of the runs that are over now, and what else runs on their workers.
    pub fn end_due_runs(&mut self, running: &mut Vec<(u64, StartOrder)>) {
        let now = self.now_ms;
        let mut reports: BTreeMap<WorkerName, Vec<EndedRun>> = BTreeMap::new();
        for (_, order) in running.extract_if(.., |(end_ms, _)| *end_ms <= now) {
            let number = self.end_numbers.entry(order.worker.clone()).or_insert(0);
            *number += 1;
            reports.entry(order.worker).or_default().push(EndedRun {
                number: *number,
                task: order.task,
                run: order.run,
                kind: EndKind::Done,
                saved: ArcStr::default(),
            });
        }
        for (name, ended) in reports {
            let present = running.iter().filter(|(_, order)| order.worker == name);
            let running = present.map(|(_, order)| present_run(order)).collect();
            let report = RunReport { incarnation: INCARNATION, running, ended, is_partial: false };
            self.planner.apply_report(&name, &report, now, now);
        }
    }

    /// Answers an advice request: the `eligible` workers may run the step.
    pub fn advise(&mut self, request: &AdviceRequest, eligible: &[WorkerName]) {
        let eligible = eligible.iter().map(|name| (name.clone(), ArcStr::from("ticket"))).collect();
        let answer = AdviceAnswer {
            step: request.step.clone(),
            considered: request.workers.clone(),
            eligible,
        };
        self.planner.apply_advice(&answer, self.now_ms);
    }

    /// Stores all progress and returns its records.
    pub fn store(&mut self) -> BTreeMap<JobId, ProgressRecord> {
        let batch = self.planner.take_progress(usize::MAX);
        self.planner.confirm_progress(&batch);
        batch.records.into_iter().collect()
    }
}

pub fn starts(decisions: Vec<PlanDecision>) -> Vec<StartOrder> {
    let start = |decision| match decision {
        PlanDecision::Start(order) => Some(order),
        _ => None,
    };
    decisions.into_iter().filter_map(start).collect()
}

pub fn stops(decisions: Vec<PlanDecision>) -> Vec<StopOrder> {
    let stop = |decision| match decision {
        PlanDecision::Stop(order) => Some(order),
        _ => None,
    };
    decisions.into_iter().filter_map(stop).collect()
}

pub fn advice_requests(decisions: Vec<PlanDecision>) -> Vec<AdviceRequest> {
    let request = |decision| match decision {
        PlanDecision::RequestAdvice(request) => Some(request),
        _ => None,
    };
    decisions.into_iter().filter_map(request).collect()
}

/// Returns the started run as its worker reports it.
pub fn present_run(order: &StartOrder) -> PresentRun {
    PresentRun {
        task: order.task.clone(),
        run: order.run,
        saved: ArcStr::default(),
        speed_percent: 100,
        measurement: 0,
    }
}
