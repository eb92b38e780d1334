//! Random histories of a small fleet: lost orders and answers, failing tasks, progress
//! that is stored or not, owners that follow each other.
//!
//! Judged by what the workers ran: no worker over its capacity, no task at two places,
//! none again after its end was stored, and every job over in the end.

#[allow(dead_code, reason = "each test file uses a part of the shorthands")]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use arcstr::ArcStr;
use model::name::{JobId, WorkerName};
use plan::decision::{PlanDecision, StartOrder, StopOrder};
use plan::job::{JobSpec, StepSpec, TaskKey};
use plan::planner::{PlanBounds, Planner};
use plan::progress::ProgressRecord;
use plan::worker::{EndKind, EndedRun, PresentRun, RunReport, StartAnswer};
use proptest::prelude::*;
use support::{INCARNATION, WORKER_CPU, config, cpu, job, step, worker};

const WORKERS: usize = 3;
const RUNS_PER_TERM: u32 = 1_000;

#[derive(Debug, Default)]
struct FakeWorker {
    runs: BTreeMap<TaskKey, u32>,
    ruled_out: BTreeMap<TaskKey, u32>,
    ended: Vec<EndedRun>,
    numbers: u64,
}

#[derive(Debug)]
struct FakeFleet {
    planner: Planner,
    term: u32,
    now_ms: u64,
    workers: BTreeMap<WorkerName, FakeWorker>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    /// What the store holds.
    stored: BTreeMap<JobId, ProgressRecord>,
    /// Tasks whose end was acknowledged.
    done: BTreeSet<TaskKey>,
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
            stored: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        fleet.change_owner();
        fleet
    }

    fn change_owner(&mut self) {
        let first_run = self.term * RUNS_PER_TERM + 1;
        self.term += 1;
        self.planner = Planner::new(PlanBounds { first_run, ..PlanBounds::default() });
        self.planner.set_config(Arc::new(config()));
        let none = ProgressRecord::default();
        for (id, spec) in &self.specs {
            self.planner.add_job(spec, self.stored.get(id).unwrap_or(&none), self.now_ms);
        }
        for index in 0..WORKERS {
            self.planner.set_worker(worker(index));
        }
        self.planner.inherit_workers(Vec::new());
    }

    /// Decides and carries the orders out; with no `luck` given nothing is lost.
    fn decide(&mut self, luck: Option<u8>) {
        self.now_ms += 10;
        for (number, decision) in (0_u8..).zip(self.planner.decide(self.now_ms, self.now_ms)) {
            let luck = luck
                .map_or(9, |luck| luck.wrapping_mul(31).wrapping_add(number.wrapping_mul(17)) % 10);
            match decision {
                PlanDecision::Start(order) => self.start(&order, luck),
                PlanDecision::Stop(order) => self.stop(&order, luck),
                PlanDecision::RequestAdvice(_) => {}
            }
        }
    }

    /// Carries a start out, or loses it or its answer.
    fn start(&mut self, order: &StartOrder, luck: u8) {
        let arrives = luck != 0;
        let answered = luck > 1;
        if arrives {
            self.begin(order);
        }
        let answer = if arrives && answered { StartAnswer::Started } else { StartAnswer::Unknown };
        self.planner.apply_start_answer(&order.worker, &order.task, order.run, answer, self.now_ms);
    }

    fn begin(&mut self, order: &StartOrder) {
        assert!(!self.done.contains(&order.task), "{} ran again after its end", order.task);
        let elsewhere = self
            .workers
            .iter()
            .any(|(name, worker)| *name != order.worker && worker.runs.contains_key(&order.task));
        assert!(!elsewhere, "{} runs at two places", order.task);
        let worker = self.workers.get_mut(&order.worker).expect("the worker exists");
        if worker.ruled_out.get(&order.task).is_some_and(|run| order.run <= *run) {
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

    fn stop(&mut self, order: &StopOrder, luck: u8) {
        if luck < 2 {
            self.planner.stop_failed(&order.worker, &order.task, order.run);
            return;
        }
        let worker = self.workers.get_mut(&order.worker).expect("the worker exists");
        let run = worker.ruled_out.entry(order.task.clone()).or_insert(0);
        *run = order.run.max(*run);
        if worker.runs.get(&order.task).is_some_and(|run| *run <= order.run) {
            worker.end(&order.task, EndKind::Stopped);
        }
        self.planner.stop_confirmed(&order.worker, &order.task, order.run, self.now_ms);
    }

    /// Ends one run of a worker.
    fn end(&mut self, index: usize, luck: u8) {
        let worker = self.workers.values_mut().nth(index).expect("the worker exists");
        let tasks: Vec<_> = worker.runs.keys().cloned().collect();
        let Some(task) = tasks.get(usize::from(luck) % tasks.len().max(1)) else { return };
        let kind = if luck.is_multiple_of(7) { EndKind::Failed } else { EndKind::Done };
        worker.end(task, kind);
    }

    fn report(&mut self, index: usize) {
        let name = worker(index).name;
        let sent_ms = self.now_ms + 1;
        self.now_ms += 2;
        let ack_up_to = self.planner.ack_up_to(&name);
        let worker = self.workers.get_mut(&name).expect("the worker exists");
        for end in worker.ended.iter().filter(|end| end.number <= ack_up_to) {
            if end.kind == EndKind::Done {
                self.done.insert(end.task.clone());
            }
        }
        worker.ended.retain(|end| end.number > ack_up_to);
        let running = worker.runs.iter().map(|(task, run)| PresentRun {
            task: task.clone(),
            run: *run,
            saved: ArcStr::default(),
            percent: 100,
            gauge: 0,
        });
        let report = RunReport {
            incarnation: INCARNATION,
            running: running.collect(),
            ended: worker.ended.clone(),
        };
        self.planner.apply_report(&name, &report, sent_ms, self.now_ms);
    }

    /// Stores progress; without an answer it is written, and the owner does not know.
    fn store(&mut self, answered: bool) {
        let batch = self.planner.take_progress(2);
        self.stored.extend(batch.records.iter().cloned());
        if answered {
            self.planner.progress_stored(&batch);
        } else {
            self.planner.restore_progress(batch);
        }
    }

    fn apply(&mut self, op: u8, luck: u8) {
        let index = usize::from(luck) % WORKERS;
        match op % 16 {
            0..=4 => self.decide(Some(luck)),
            5..=7 => self.end(index, luck),
            8..=11 => self.report(index),
            12 | 13 => self.store(true),
            14 => self.store(false),
            _ if luck < 64 => self.change_owner(),
            _ => {}
        }
    }

    fn is_over(&self) -> bool {
        let over = |id| self.stored.get(id).is_some_and(|record| record.status.is_final());
        self.specs.keys().all(over)
    }
}

impl FakeWorker {
    fn end(&mut self, task: &TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(task) else { return };
        let ruled_out = self.ruled_out.entry(task.clone()).or_insert(0);
        *ruled_out = run.max(*ruled_out);
        self.numbers += 1;
        let (number, task, saved) = (self.numbers, task.clone(), ArcStr::default());
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

    /// Guards against overcommitted workers, tasks at two places and ends that are forgotten.
    #[test]
    fn workers_never_run_what_they_must_not(
        ops in prop::collection::vec((any::<u8>(), any::<u8>()), 1..400),
    ) {
        let mut fleet = FakeFleet::new(jobs());
        for (op, luck) in ops {
            fleet.apply(op, luck);
        }
        // Without further trouble everything comes to an end.
        for round in 0..250 {
            if fleet.is_over() {
                break;
            }
            fleet.decide(None);
            for index in 0..WORKERS {
                fleet.end(index, 1 + round % 5);
                fleet.report(index);
            }
            fleet.store(true);
        }
        prop_assert!(fleet.is_over(), "a job was never over: {:?}", fleet.stored);
    }
}
