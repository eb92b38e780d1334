//! Random histories of a small fleet: lost orders and answers, failing tasks, writes of
//! progress without an answer, changes of the owner.
//!
//! The workers check what they run: no worker exceeds its capacity, no task runs on two
//! workers at a time or again after its end was acknowledged, and every job finishes.

#[allow(dead_code, reason = "each test file uses a part of the helpers")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};
use model::resource::ResourceAmounts;
use plan::decision::{PlanDecision, StartOrder, StopOrder};
use plan::job::{JobSpec, StepSpec, TaskKey};
use plan::planner::{Planner, PlannerOptions};
use plan::progress::ProgressRecord;
use plan::worker::{EndKind, EndedRun, PresentRun, RunReport, StartAnswer};
use proptest::prelude::*;
use support::{INCARNATION, WORKER_CPU, config, cpu, job, step, worker};

const WORKERS: usize = 3;
/// Number of run numbers that are reserved for each owner.
const RUNS_PER_TERM: u32 = 1_000;

#[derive(Debug, Default)]
struct FakeWorker {
    /// Present runs by task.
    runs: BTreeMap<TaskKey, u32>,
    /// Highest run of each task that ended or was stopped; only higher ones may start.
    highest_closed: BTreeMap<TaskKey, u32>,
    /// Run ends that are not acknowledged.
    ended: Vec<EndedRun>,
    /// Number of the last run end.
    last_end_number: u64,
}

#[derive(Debug)]
struct FakeFleet {
    planner: Planner,
    term: u32,
    now_ms: u64,
    workers: BTreeMap<WorkerName, FakeWorker>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// Progress in the store.
    stored_progress: BTreeMap<JobId, ProgressRecord>,
    /// Done tasks whose run ends were acknowledged.
    acknowledged: BTreeSet<TaskKey>,
}

impl FakeFleet {
    fn new(specs: Vec<JobSpec>) -> Self {
        let specs = specs.into_iter().map(|spec| (spec.id.clone(), Arc::new(spec))).collect();
        let workers =
            (0..WORKERS).map(|index| (worker(index).name, FakeWorker::default())).collect();
        let mut fleet = Self {
            planner: Planner::default(),
            term: 0,
            now_ms: 1,
            workers,
            specs,
            stored_progress: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
        };
        fleet.change_owner();
        fleet
    }

    /// Replaces the planner by one of the next owner, which starts from the stored progress.
    fn change_owner(&mut self) {
        let first_run = self.term * RUNS_PER_TERM + 1;
        self.term += 1;
        self.planner = Planner::new(PlannerOptions { first_run, ..PlannerOptions::default() });
        self.planner.set_config(Arc::new(config()));
        let none = ProgressRecord::default();
        for (id, spec) in &self.specs {
            self.planner.add_job(spec, self.stored_progress.get(id).unwrap_or(&none), self.now_ms);
        }
        for index in 0..WORKERS {
            self.planner.set_worker(worker(index));
        }
        self.planner.inherit_workers(BTreeMap::new(), ResourceAmounts::UNLIMITED);
    }

    /// Has the planner decide and carries out its decisions. `random` chooses which orders and
    /// answers are lost; without it none is lost.
    fn decide(&mut self, random: Option<u8>) {
        self.now_ms += 10;
        for (number, decision) in (0_u8..).zip(self.planner.decide(self.now_ms, self.now_ms)) {
            let random = random.map_or(9, |random| {
                random.wrapping_mul(31).wrapping_add(number.wrapping_mul(17)) % 10
            });
            match decision {
                PlanDecision::Start(order) => self.start(&order, random),
                PlanDecision::Stop(order) => self.stop(&order, random),
                PlanDecision::RequestAdvice(_) => {}
                PlanDecision::Pace(order) => panic!("nothing is paced: {order:?}"),
            }
        }
    }

    /// Carries out a start, or loses the order or its answer.
    fn start(&mut self, order: &StartOrder, random: u8) {
        let arrives = random != 0;
        let answered = random > 1;
        if arrives {
            self.run_task(order);
        }
        let answer = if arrives && answered { StartAnswer::Started } else { StartAnswer::Unknown };
        self.planner.apply_start_answer(&order.worker, &order.task, order.run, answer, self.now_ms);
    }

    /// Starts a run on its worker and checks that it may run there.
    fn run_task(&mut self, order: &StartOrder) {
        assert!(!self.acknowledged.contains(&order.task), "{} ran again after its end", order.task);
        let elsewhere = self
            .workers
            .iter()
            .any(|(name, worker)| *name != order.worker && worker.runs.contains_key(&order.task));
        assert!(!elsewhere, "{} runs at two places", order.task);
        let worker = self.workers.get_mut(&order.worker).expect("the worker exists");
        if worker.highest_closed.get(&order.task).is_some_and(|run| order.run <= *run) {
            return;
        }
        worker.runs.insert(order.task.clone(), order.run);
        let specs = &self.specs;
        let used: u64 = worker
            .runs
            .keys()
            .map(|task| specs[&task.step.job].steps[task.step.step as usize].amounts.cpu_millis)
            .sum();
        assert!(used <= WORKER_CPU, "{} has {used} of {WORKER_CPU}", order.worker);
    }

    /// Carries out a stop, or loses the order.
    fn stop(&mut self, order: &StopOrder, random: u8) {
        if random < 2 {
            self.planner.apply_stop_failure(&order.worker, &order.task, order.run);
            return;
        }
        let worker = self.workers.get_mut(&order.worker).expect("the worker exists");
        let run = worker.highest_closed.entry(order.task.clone()).or_insert(0);
        *run = order.run.max(*run);
        if worker.runs.get(&order.task).is_some_and(|run| *run <= order.run) {
            worker.end(&order.task, EndKind::Stopped);
        }
        self.planner.apply_stop_confirmation(&order.worker, &order.task, order.run, self.now_ms);
    }

    /// Ends a random run of a worker.
    fn end(&mut self, index: usize, random: u8) {
        let worker = self.workers.values_mut().nth(index).expect("the worker exists");
        let tasks: Vec<_> = worker.runs.keys().cloned().collect();
        let Some(task) = tasks.get(usize::from(random) % tasks.len().max(1)) else { return };
        let kind = if random.is_multiple_of(7) { EndKind::Failed } else { EndKind::Done };
        worker.end(task, kind);
    }

    /// Acknowledges stored run ends to a worker and applies its report.
    fn report(&mut self, index: usize) {
        let name = worker(index).name;
        let sent_ms = self.now_ms + 1;
        self.now_ms += 2;
        let ack_up_to = self.planner.ack_up_to(&name);
        let worker = self.workers.get_mut(&name).expect("the worker exists");
        for end in worker.ended.iter().filter(|end| end.number <= ack_up_to) {
            if end.kind == EndKind::Done {
                self.acknowledged.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| end.number > ack_up_to);
        let running = worker.runs.iter().map(|(task, run)| PresentRun {
            task: task.clone(),
            run: *run,
            saved: ArcStr::default(),
            speed_percent: 100,
            measurement: 0,
        });
        let report = RunReport {
            incarnation: INCARNATION,
            running: running.collect(),
            ended: worker.ended.clone(),
            is_partial: false,
        };
        self.planner.apply_report(&name, &report, sent_ms, self.now_ms);
    }

    /// Stores progress. Without an answer it is stored, but the owner does not know that.
    fn store(&mut self, answered: bool) {
        let batch = self.planner.take_progress(2);
        self.stored_progress.extend(batch.records.iter().cloned());
        if answered {
            self.planner.confirm_progress(&batch);
        } else {
            self.planner.requeue_progress(batch);
        }
    }

    /// Carries out one random operation.
    fn apply(&mut self, op: u8, random: u8) {
        let index = usize::from(random) % WORKERS;
        match op % 16 {
            0..=4 => self.decide(Some(random)),
            5..=7 => self.end(index, random),
            8..=11 => self.report(index),
            12 | 13 => self.store(true),
            14 => self.store(false),
            _ if random < 64 => self.change_owner(),
            _ => {}
        }
    }

    fn all_jobs_finished(&self) -> bool {
        let is_finished =
            |id| self.stored_progress.get(id).is_some_and(|record| record.status.is_final());
        self.specs.keys().all(is_finished)
    }
}

impl FakeWorker {
    fn end(&mut self, task: &TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(task) else { return };
        let highest_closed = self.highest_closed.entry(task.clone()).or_insert(0);
        *highest_closed = run.max(*highest_closed);
        self.last_end_number += 1;
        let (number, task, saved) = (self.last_end_number, task.clone(), ArcStr::default());
        self.ended.push(EndedRun { number, task, run, kind, saved });
    }
}

fn jobs() -> Vec<JobSpec> {
    let second = StepSpec { after: [0].into_iter().collect(), ..step(2, cpu(1_000)) };
    vec![
        job("a", "urgent", vec![step(4, cpu(2_000))]),
        job("b", "normal", vec![step(3, cpu(3_000)), second]),
        job("c", "batch", vec![step(6, cpu(1_500))]),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against overcommitted workers, tasks that run on two workers at a time or again
    /// after their end, and jobs that never finish.
    #[test]
    fn workers_run_no_task_twice_or_beyond_capacity(
        ops in prop::collection::vec((any::<u8>(), any::<u8>()), 1..400),
    ) {
        let mut fleet = FakeFleet::new(jobs());
        for (op, random) in ops {
            fleet.apply(op, random);
        }
        // Without further faults all jobs must finish.
        for round in 0..250 {
            if fleet.all_jobs_finished() {
                break;
            }
            fleet.decide(None);
            for index in 0..WORKERS {
                fleet.end(index, 1 + round % 5);
                fleet.report(index);
            }
            fleet.store(true);
        }
        prop_assert!(
            fleet.all_jobs_finished(),
            "a job was never over: {:?}",
            fleet.stored_progress
        );
    }
}
