//! Cost of decisions against the number of workers.

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use model::job::{JobRecord, JobSpec, JobState};
use model::name::{JobId, TaskId, WorkerName};
use model::object::{
    ClassKind, ClassObject, DomainObject, DomainState, ObjectSet, QueueObject, ShareObject,
    TeamObject, UrgencyLevel, WorkerObject,
};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{
    CellDecision, CellEvent, EndKind, RunningTask, SlotRequest, WorkerList, WorkerUpdate,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Sizes of the fleet, up to the design size of docs/design.md, section 1.4.
const SIZES: [usize; 6] = [50, 105, 210, 575, 1_150, 2_300];
const TEAMS: usize = 76;
/// Running tasks for each ten workers: 61,000 on 2,300 workers.
const TASKS_PER_TEN: usize = 265;

/// What one size costs.
#[derive(Clone, Debug)]
struct ScaleRow {
    workers: usize,
    tasks: usize,
    decisions: Histogram<u64>,
    events: Histogram<u64>,
    mean_ns: f64,
    starts: f64,
    bytes: u64,
}

/// A cell with what runs on it.
#[derive(Debug)]
struct ScaleCell {
    cell: Cell,
    now: u64,
    rng: StdRng,
    running: Vec<(TaskId, u32, WorkerName, usize)>,
    granted: Vec<u64>,
    jobs: u64,
    events: Histogram<u64>,
    decisions: Histogram<u64>,
    busy: Duration,
    starts: u64,
}

/// Measures every size and returns a table with the growth of the cost.
#[must_use]
pub fn table(seed: u64, quick: bool) -> String {
    let sizes = if quick { &SIZES[..5] } else { &SIZES[..] };
    let rounds = if quick { 50 } else { 40_000 };
    let rows: Vec<ScaleRow> = sizes
        .iter()
        .map(|workers| measure(seed, if quick { workers / 25 } else { *workers }, rounds))
        .collect();
    let mut text = String::from(
        "| workers | running tasks | decision p50 us | p99 us | max us | event p99 us | starts and grants/s | resident MB |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in &rows {
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} |",
            row.workers,
            row.tasks,
            micros(row.decisions.value_at_quantile(0.5)),
            micros(row.decisions.value_at_quantile(0.99)),
            micros(row.decisions.max()),
            micros(row.events.value_at_quantile(0.99)),
            row.starts,
            micros(row.bytes),
        );
    }
    let mean: Vec<(f64, f64)> = rows.iter().map(|row| (count(row.workers), row.mean_ns)).collect();
    let late =
        rows.iter().map(|row| (count(row.workers), micros(row.decisions.value_at_quantile(0.99))));
    let late: Vec<(f64, f64)> = late.collect();
    let _ = writeln!(
        text,
        "\ncost per decision grows as workers^{:.2} (mean) and workers^{:.2} (p99)",
        exponent(&mean),
        exponent(&late),
    );
    text
}

/// Returns the slope of a straight line through the logarithms.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let size = count(logs.len());
    let mean_x = logs.iter().map(|point| point.0).sum::<f64>() / size;
    let mean_y = logs.iter().map(|point| point.1).sum::<f64>() / size;
    let cross: f64 = logs.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let square: f64 = logs.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    cross / square
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn count(value: usize) -> f64 {
    value as f64
}

#[expect(clippy::cast_precision_loss, reason = "recorded values are far below 2^52")]
fn micros(nanos: u64) -> f64 {
    nanos as f64 / 1e3
}

/// Returns the resident bytes of the process, in thousands.
fn resident() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096 / 1000
}

fn measure(seed: u64, workers: usize, rounds: usize) -> ScaleRow {
    let mut cell = ScaleCell::new(seed, workers);
    cell.fill(workers * TASKS_PER_TEN / 10);
    let tasks = cell.running.len();
    let bytes = resident();
    cell.reset();
    for round in 0..rounds {
        cell.round(round, workers);
    }
    ScaleRow {
        workers,
        tasks,
        mean_ns: cell.decisions.mean(),
        starts: u32::try_from(cell.starts).map_or(0.0, f64::from) / cell.busy.as_secs_f64(),
        decisions: cell.decisions,
        events: cell.events,
        bytes,
    }
}

fn object_set(workers: usize) -> ObjectSet {
    let class = |name: &str, kind, urgency, preemptible| ClassObject {
        name: name.into(),
        kind,
        urgency,
        amounts: ResourceAmounts { cpu_millis: 100, memory_mb: 128, ..ResourceAmounts::ZERO },
        preemptible,
    };
    let mut set = ObjectSet {
        domains: vec![DomainObject {
            name: "d".into(),
            region: String::new(),
            state: DomainState::In,
        }],
        classes: vec![
            class("desk", ClassKind::Request, UrgencyLevel::Urgent, false),
            class("rush", ClassKind::Batch, UrgencyLevel::Urgent, false),
            class("service", ClassKind::Service, UrgencyLevel::Normal, false),
            class("firm", ClassKind::Batch, UrgencyLevel::Normal, false),
            class("batch", ClassKind::Batch, UrgencyLevel::Batch, true),
        ],
        ..ObjectSet::default()
    };
    for index in 0..workers {
        // 2,500 accelerators on 2,300 workers, eight to a worker that has any.
        let accelerators = if index % 7 == 0 { 8 } else { 0 };
        set.workers.push(WorkerObject {
            name: format!("w{index}").into(),
            domain: "d".into(),
            rack: format!("r{}", index / 24).into(),
            address: String::new(),
            capacity: ResourceAmounts {
                cpu_millis: 32_000,
                memory_mb: 131_072,
                accelerators,
                slots: 8,
            },
            connections: 64,
        });
    }
    for index in 0..TEAMS {
        let team = format!("t{index}");
        set.teams.push(TeamObject { name: team.as_str().into(), parent: None });
        let weight = if index < 2 { 400 } else { 20 };
        set.shares.push(ShareObject {
            name: team.as_str().into(),
            team: team.as_str().into(),
            weight,
        });
        for class in ["desk", "rush", "service", "firm", "batch"] {
            set.queues.push(QueueObject {
                name: format!("{team}-{class}").into(),
                team: team.as_str().into(),
                open: false,
                class: class.into(),
                bound: 10_000,
            });
        }
    }
    set
}

impl ScaleCell {
    fn new(seed: u64, workers: usize) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        let mut cell = Self {
            cell: Cell::new("d".into(), seed, 0),
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            granted: Vec::new(),
            jobs: 0,
            events: histogram(),
            decisions: histogram(),
            busy: Duration::ZERO,
            starts: 0,
        };
        cell.apply(CellEvent::Config(Arc::new(object_set(workers))));
        for team in 0..TEAMS {
            let team = format!("t{team}").into();
            cell.apply(CellEvent::Allotment { team, amounts: ResourceAmounts::UNLIMITED });
        }
        for worker in 0..workers {
            cell.report(&format!("w{worker}").into(), Vec::new());
        }
        cell
    }

    fn reset(&mut self) {
        self.events.reset();
        self.decisions.reset();
        (self.busy, self.starts) = (Duration::ZERO, 0);
    }

    fn apply(&mut self, event: CellEvent) {
        let begin = Instant::now();
        let decisions = self.cell.apply(ClockMillis(self.now), event);
        let took = begin.elapsed();
        let nanos = u64::try_from(took.as_nanos()).unwrap_or(u64::MAX);
        // The histograms grow as needed, so that recording cannot fail.
        let _ = self.events.record(nanos);
        self.busy += took;
        if !decisions.is_empty() {
            let _ = self.decisions.record(nanos);
        }
        for decision in decisions {
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: CellDecision) {
        match decision {
            CellDecision::StartTask { task, attempt, worker, amounts, .. } => {
                self.starts += 1;
                let cpu = usize::try_from(amounts.cpu_millis).unwrap_or(0);
                self.running.push((task, attempt, worker, cpu));
            }
            CellDecision::GrantRequest { ticket, .. } => {
                self.starts += 1;
                self.granted.push(ticket);
            }
            CellDecision::StopTask { task, .. } => {
                // Stopped tasks end with the next rounds, like others.
                if let Some(index) = self.running.iter().rposition(|other| other.0 == task) {
                    let last = self.running.len() - 1;
                    self.running.swap(index, last);
                }
            }
            _ => {}
        }
    }

    fn submit(&mut self, class: &str, tasks: u32) {
        self.jobs += 1;
        // Half of the work comes from the two large teams.
        let team = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..2)
        } else {
            self.rng.random_range(2..TEAMS)
        };
        let cpu_millis = [600, 900, 1_200, 1_500, 1_750][self.rng.random_range(0..5)];
        let accelerators = u64::from(class == "batch" && self.rng.random_bool(0.05));
        let memory_mb = cpu_millis * 3;
        let record = JobRecord {
            spec: JobSpec {
                id: JobId::from(format!("j{}", self.jobs)),
                queue: format!("t{team}-{class}").into(),
                tasks,
                amounts: ResourceAmounts { cpu_millis, memory_mb, accelerators, slots: 0 },
                run_ms: self.rng.random_range(10_000..300_000),
                payload: serde_json::Value::Null,
            },
            team: format!("t{team}").into(),
            domain: "d".into(),
            state: JobState::Accepted,
            done: Vec::new(),
        };
        self.apply(CellEvent::JobSubmitted(Arc::new(record)));
    }

    /// Fills the cell: a fifth services, the rest batch work.
    fn fill(&mut self, tasks: usize) {
        while self.running.len() < tasks * 97 / 100 {
            let class = ["service", "firm", "batch", "batch", "firm"][self.rng.random_range(0..5)];
            let size = self.rng.random_range(4..24);
            self.submit(class, size);
            self.now += 1;
            if self.now > 200_000 {
                break;
            }
        }
        for _ in 0..tasks / 50 + 20 {
            self.submit("batch", 8);
        }
    }

    /// Ends a task and takes one other event of everyday traffic.
    fn round(&mut self, round: usize, workers: usize) {
        self.now += 3;
        let index = if self.rng.random_bool(0.2) {
            self.running.len() - 1
        } else {
            self.rng.random_range(0..self.running.len())
        };
        let (task, attempt, worker, _) = self.running.swap_remove(index);
        self.apply(CellEvent::TaskEnded { task, attempt, worker, end: EndKind::Done });
        // A backlog keeps the fleet full.
        if self.cell.waiting_len(UrgencyLevel::Batch) < 20 {
            self.submit("batch", 8);
        }
        match round % 5 {
            0 => self.submit("rush", 1),
            1 | 2 => self.ask(),
            3 => self.submit("batch", 2),
            _ => {
                let worker = WorkerName::from(format!("w{}", round % workers));
                let tasks = self.listed(&worker);
                self.report(&worker, tasks);
                self.apply(CellEvent::Tick);
            }
        }
    }

    fn ask(&mut self) {
        if self.granted.len() > 20 {
            let ticket = self.granted.swap_remove(0);
            self.apply(CellEvent::RequestEnded { ticket, healthy: true });
        }
        self.jobs += 1;
        let team = self.rng.random_range(0..TEAMS);
        let ask = SlotRequest {
            ticket: self.jobs,
            queue: format!("t{team}-desk").into(),
            start_by: ClockMillis(self.now + 10_000),
            avoid: WorkerList::new(),
        };
        self.apply(CellEvent::RequestArrived(ask));
    }

    fn listed(&self, worker: &WorkerName) -> Vec<RunningTask> {
        let status = self.cell.running_status().filter(|status| status.worker == *worker);
        let listed = status.map(|status| RunningTask {
            task: status.task,
            attempt: status.attempt,
            team: status.team,
            amounts: status.amounts,
            usage: status.amounts,
        });
        listed.collect()
    }

    fn report(&mut self, worker: &WorkerName, tasks: Vec<RunningTask>) {
        self.apply(CellEvent::WorkerReported(WorkerUpdate {
            worker: worker.clone(),
            boot: "b".into(),
            tasks: Some(tasks),
            slots_used: 0,
            leaving: false,
            sent_at: ClockMillis(self.now),
        }));
    }
}
