//! Measures how the cost of decisions grows with the number of workers.
//!
//! One cell decides for a full fleet of growing size; no workers are simulated, but
//! tasks end and work arrives at random.

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

/// Measured numbers of workers; the last is the largest fleet that the system is
/// designed for (docs/design.md, section 1.4).
const FLEET_SIZES: [usize; 6] = [50, 105, 210, 575, 1_150, 2_300];
/// Teams that share the fleet; two of them are large.
const TEAM_COUNT: usize = 76;
/// Running tasks per ten workers in a full fleet: 61,000 on 2,300 workers.
const TASKS_PER_TEN_WORKERS: usize = 265;

/// Measured cost of decisions for one size of the fleet.
#[derive(Clone, Debug)]
struct ScaleRow {
    worker_count: usize,
    running_tasks: usize,
    /// Nanoseconds of the calls of the policy that returned a decision.
    deciding_call_ns: Histogram<u64>,
    /// Nanoseconds of all calls of the policy.
    call_ns: Histogram<u64>,
    mean_deciding_call_ns: f64,
    /// Started tasks and granted requests per second spent in calls of the policy.
    starts_per_s: f64,
    resident_kilobytes: u64,
}

/// A cell under load, what runs in it, and the cost of its calls.
#[derive(Debug)]
struct ScaleCell {
    cell: Cell,
    now_ms: u64,
    rng: StdRng,
    /// Running tasks: task, attempt, worker and reserved thousandths of a core.
    running: Vec<(TaskId, u32, WorkerName, usize)>,
    granted_tickets: Vec<u64>,
    /// Jobs and requests so far; numbers jobs and tickets.
    submitted_count: u64,
    /// Nanoseconds of all calls of the policy.
    call_ns: Histogram<u64>,
    /// Nanoseconds of the calls that returned a decision.
    deciding_call_ns: Histogram<u64>,
    total_call_time: Duration,
    /// Started tasks and granted requests.
    start_count: u64,
}

/// Measures every size and returns a table of the costs and their growth.
///
/// A quick run leaves out the largest size, divides the others by 25 and measures
/// only 50 rounds each.
#[must_use]
pub fn measure_table(seed: u64, is_quick: bool) -> String {
    let sizes = if is_quick { &FLEET_SIZES[..5] } else { &FLEET_SIZES[..] };
    let round_count = if is_quick { 50 } else { 40_000 };
    let rows: Vec<ScaleRow> = sizes
        .iter()
        .map(|workers| {
            measure_size(seed, if is_quick { workers / 25 } else { *workers }, round_count)
        })
        .collect();
    let mut text = String::from(
        "| workers | running tasks | decision p50 us | p99 us | max us | event p99 us | starts and grants/s | resident MB |\n|---|---|---|---|---|---|---|---|\n",
    );
    for row in &rows {
        let _ = writeln!(
            text,
            "| {} | {} | {:.1} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} |",
            row.worker_count,
            row.running_tasks,
            to_thousands(row.deciding_call_ns.value_at_quantile(0.5)),
            to_thousands(row.deciding_call_ns.value_at_quantile(0.99)),
            to_thousands(row.deciding_call_ns.max()),
            to_thousands(row.call_ns.value_at_quantile(0.99)),
            row.starts_per_s,
            to_thousands(row.resident_kilobytes),
        );
    }
    let mean_costs: Vec<(f64, f64)> =
        rows.iter().map(|row| (to_f64(row.worker_count), row.mean_deciding_call_ns)).collect();
    let p99_costs = rows.iter().map(|row| {
        (to_f64(row.worker_count), to_thousands(row.deciding_call_ns.value_at_quantile(0.99)))
    });
    let p99_costs: Vec<(f64, f64)> = p99_costs.collect();
    let _ = writeln!(
        text,
        "\ncost per decision grows as workers^{:.2} (mean) and workers^{:.2} (p99)",
        fit_exponent(&mean_costs),
        fit_exponent(&p99_costs),
    );
    text
}

/// Returns the exponent `k` of a power law `y = c * x^k` fitted to the points by least
/// squares on their logarithms.
fn fit_exponent(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|(x, y)| (x.ln(), y.ln())).collect();
    let point_count = to_f64(logs.len());
    let mean_x = logs.iter().map(|point| point.0).sum::<f64>() / point_count;
    let mean_y = logs.iter().map(|point| point.1).sum::<f64>() / point_count;
    let covariance: f64 = logs.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    let variance: f64 = logs.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    covariance / variance
}

#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn to_f64(value: usize) -> f64 {
    value as f64
}

/// Returns nanoseconds as microseconds, or kilobytes as megabytes.
#[expect(clippy::cast_precision_loss, reason = "recorded values are far below 2^52")]
fn to_thousands(value: u64) -> f64 {
    value as f64 / 1e3
}

/// Returns the resident memory of the process in thousands of bytes, with pages of
/// 4096 bytes; 0 if it cannot be read.
fn resident_kilobytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096 / 1000
}

fn measure_size(seed: u64, worker_count: usize, round_count: usize) -> ScaleRow {
    let mut cell = ScaleCell::new(seed, worker_count);
    cell.fill_fleet(worker_count * TASKS_PER_TEN_WORKERS / 10);
    let running_tasks = cell.running.len();
    let resident_kilobytes = resident_kilobytes();
    cell.reset_figures();
    for round in 0..round_count {
        cell.run_round(round, worker_count);
    }
    ScaleRow {
        worker_count,
        running_tasks,
        mean_deciding_call_ns: cell.deciding_call_ns.mean(),
        starts_per_s: u32::try_from(cell.start_count).map_or(0.0, f64::from)
            / cell.total_call_time.as_secs_f64(),
        deciding_call_ns: cell.deciding_call_ns,
        call_ns: cell.call_ns,
        resident_kilobytes,
    }
}

fn build_config(worker_count: usize) -> ObjectSet {
    let class = |name: &str, kind, urgency, preemptible| ClassObject {
        name: name.into(),
        kind,
        urgency,
        amounts: ResourceAmounts { cpu_millis: 100, memory_mb: 128, ..ResourceAmounts::ZERO },
        preemptible,
    };
    let mut config = ObjectSet {
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
    for index in 0..worker_count {
        // About 2,500 accelerators on 2,300 workers, eight on each worker that has any.
        let accelerators = if index % 7 == 0 { 8 } else { 0 };
        config.workers.push(WorkerObject {
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
    for index in 0..TEAM_COUNT {
        let team = format!("t{index}");
        config.teams.push(TeamObject { name: team.as_str().into(), parent: None });
        let weight = if index < 2 { 400 } else { 20 };
        config.shares.push(ShareObject {
            name: team.as_str().into(),
            team: team.as_str().into(),
            weight,
        });
        for class in ["desk", "rush", "service", "firm", "batch"] {
            config.queues.push(QueueObject {
                name: format!("{team}-{class}").into(),
                team: team.as_str().into(),
                open: false,
                class: class.into(),
                bound: 10_000,
            });
        }
    }
    config
}

impl ScaleCell {
    fn new(seed: u64, worker_count: usize) -> Self {
        let histogram = || Histogram::new(3).expect("3 significant digits are allowed");
        let mut cell = Self {
            cell: Cell::new("d".into(), seed, 0),
            now_ms: 0,
            rng: StdRng::seed_from_u64(seed),
            running: Vec::new(),
            granted_tickets: Vec::new(),
            submitted_count: 0,
            call_ns: histogram(),
            deciding_call_ns: histogram(),
            total_call_time: Duration::ZERO,
            start_count: 0,
        };
        cell.apply_event(CellEvent::Config(Arc::new(build_config(worker_count))));
        for team in 0..TEAM_COUNT {
            let team = format!("t{team}").into();
            cell.apply_event(CellEvent::Allotment { team, amounts: ResourceAmounts::UNLIMITED });
        }
        for worker in 0..worker_count {
            cell.report_worker(&format!("w{worker}").into(), Vec::new());
        }
        cell
    }

    /// Discards the figures of the time in which the fleet was filled.
    fn reset_figures(&mut self) {
        self.call_ns.reset();
        self.deciding_call_ns.reset();
        (self.total_call_time, self.start_count) = (Duration::ZERO, 0);
    }

    fn apply_event(&mut self, event: CellEvent) {
        let begin = Instant::now();
        let decisions = self.cell.apply(ClockMillis(self.now_ms), event);
        let call_time = begin.elapsed();
        let nanos = u64::try_from(call_time.as_nanos()).unwrap_or(u64::MAX);
        // The histograms grow as needed, so that recording cannot fail.
        let _ = self.call_ns.record(nanos);
        self.total_call_time += call_time;
        if !decisions.is_empty() {
            let _ = self.deciding_call_ns.record(nanos);
        }
        for decision in decisions {
            self.record_decision(decision);
        }
    }

    fn record_decision(&mut self, decision: CellDecision) {
        match decision {
            CellDecision::StartTask { task, attempt, worker, amounts, .. } => {
                self.start_count += 1;
                let cpu_millis = usize::try_from(amounts.cpu_millis).unwrap_or(0);
                self.running.push((task, attempt, worker, cpu_millis));
            }
            CellDecision::GrantRequest { ticket, .. } => {
                self.start_count += 1;
                self.granted_tickets.push(ticket);
            }
            CellDecision::StopTask { task, .. } => {
                // A stopped task ends in one of the next rounds: it is moved to the end of
                // the list, from which a fifth of the rounds take the task that ends.
                if let Some(index) = self.running.iter().rposition(|other| other.0 == task) {
                    let last = self.running.len() - 1;
                    self.running.swap(index, last);
                }
            }
            _ => {}
        }
    }

    fn submit_job(&mut self, class: &str, task_count: u32) {
        self.submitted_count += 1;
        // Half of the jobs come from the two large teams.
        let team = if self.rng.random_bool(0.5) {
            self.rng.random_range(0..2)
        } else {
            self.rng.random_range(2..TEAM_COUNT)
        };
        let cpu_millis = [600, 900, 1_200, 1_500, 1_750][self.rng.random_range(0..5)];
        let accelerators = u64::from(class == "batch" && self.rng.random_bool(0.05));
        let memory_mb = cpu_millis * 3;
        let record = JobRecord {
            spec: JobSpec {
                id: JobId::from(format!("j{}", self.submitted_count)),
                queue: format!("t{team}-{class}").into(),
                tasks: task_count,
                amounts: ResourceAmounts { cpu_millis, memory_mb, accelerators, slots: 0 },
                run_ms: self.rng.random_range(10_000..300_000),
                payload: serde_json::Value::Null,
            },
            team: format!("t{team}").into(),
            domain: "d".into(),
            state: JobState::Accepted,
            done: Vec::new(),
        };
        self.apply_event(CellEvent::JobSubmitted(Arc::new(record)));
    }

    /// Submits jobs until `target_tasks` run, then a backlog of batch jobs.
    ///
    /// A fifth of the jobs are services, the others batch work.
    fn fill_fleet(&mut self, target_tasks: usize) {
        while self.running.len() < target_tasks * 97 / 100 {
            let class = ["service", "firm", "batch", "batch", "firm"][self.rng.random_range(0..5)];
            let task_count = self.rng.random_range(4..24);
            self.submit_job(class, task_count);
            self.now_ms += 1;
            if self.now_ms > 200_000 {
                break;
            }
        }
        for _ in 0..target_tasks / 50 + 20 {
            self.submit_job("batch", 8);
        }
    }

    /// Ends a task and applies one other event of ordinary traffic.
    fn run_round(&mut self, round: usize, worker_count: usize) {
        self.now_ms += 3;
        let index = if self.rng.random_bool(0.2) {
            self.running.len() - 1
        } else {
            self.rng.random_range(0..self.running.len())
        };
        let (task, attempt, worker, _) = self.running.swap_remove(index);
        self.apply_event(CellEvent::TaskEnded { task, attempt, worker, end: EndKind::Done });
        // A backlog keeps the fleet full.
        if self.cell.waiting_len(UrgencyLevel::Batch) < 20 {
            self.submit_job("batch", 8);
        }
        match round % 5 {
            0 => self.submit_job("rush", 1),
            1 | 2 => self.request_slot(),
            3 => self.submit_job("batch", 2),
            _ => {
                let worker = WorkerName::from(format!("w{}", round % worker_count));
                let tasks = self.list_running(&worker);
                self.report_worker(&worker, tasks);
                self.apply_event(CellEvent::Tick);
            }
        }
    }

    fn request_slot(&mut self) {
        if self.granted_tickets.len() > 20 {
            let ticket = self.granted_tickets.swap_remove(0);
            self.apply_event(CellEvent::RequestEnded { ticket, healthy: true });
        }
        self.submitted_count += 1;
        let team = self.rng.random_range(0..TEAM_COUNT);
        let slot_request = SlotRequest {
            ticket: self.submitted_count,
            queue: format!("t{team}-desk").into(),
            start_by: ClockMillis(self.now_ms + 10_000),
            avoid: WorkerList::new(),
        };
        self.apply_event(CellEvent::RequestArrived(slot_request));
    }

    /// Returns what a report of the worker lists.
    fn list_running(&self, worker: &WorkerName) -> Vec<RunningTask> {
        let status = self.cell.running_status().filter(|status| status.worker == *worker);
        let running_tasks = status.map(|status| RunningTask {
            task: status.task,
            attempt: status.attempt,
            team: status.team,
            amounts: status.amounts,
            usage: status.amounts,
        });
        running_tasks.collect()
    }

    fn report_worker(&mut self, worker: &WorkerName, tasks: Vec<RunningTask>) {
        self.apply_event(CellEvent::WorkerReported(WorkerUpdate {
            worker: worker.clone(),
            boot: "b".into(),
            tasks: Some(tasks),
            slots_used: 0,
            leaving: false,
            sent_at: ClockMillis(self.now_ms),
        }));
    }
}
