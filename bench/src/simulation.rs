//! The simulation: the cells of a deployment run a trace on a virtual clock.
//!
//! A cell is the scheduling state of one domain. Events are handled in order of time; the
//! decisions that they cause change the simulated workers and schedule further events.
//! Cells, workers, jobs and requests are referred to by their index: cells by that of
//! their domain in the configuration, the others by that in the configuration or trace.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Instant;

use model::job::{JobRecord, JobState};
use model::kind::ErrorKind;
use model::name::{JobId, TaskId, TeamName, WorkerName};
use model::object::{ClassKind, DomainState, ObjectSet};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{CellDecision, CellEvent, EndKind, RunningTask, SlotRequest, WorkerList};
use policy::placement::PlacementRule;
use policy::rules::PolicyRules;

use crate::metrics::{self, RunMetrics, TeamDemand};
use crate::worker::{SimulatedTask, SimulatedWorker};
use crate::workload::{self, WorkloadTrace};

/// Milliseconds between two reports of a worker (docs/design.md, section 4).
const REPORT_INTERVAL_MS: u64 = 1_000;
/// Milliseconds between two ticks of a cell, which let it continue deferred work.
const TICK_INTERVAL_MS: u64 = 50;
/// Milliseconds between two samples of capacity, usage and the teams' demands.
const SAMPLE_INTERVAL_MS: u64 = 2_000;
/// Milliseconds until a worker confirms a start: a round trip inside a domain.
const START_CONFIRMATION_MS: u64 = 6;
/// Milliseconds until allotment has moved to another domain. The giving domain reads
/// that the other one wants more; then both write the team's row, one after the other.
const ALLOTMENT_MOVE_MS: u64 = 700;
/// Milliseconds until a job that moves to another domain has reached its owner.
const JOB_MOVE_MS: u64 = 50;
/// Milliseconds from the arrival of a request to its deadline.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Maximum number of attempts to run one request, the first included.
const MAX_REQUEST_ATTEMPTS: u64 = 4;
/// Milliseconds from a failed or refused attempt of a request to the next one.
const REQUEST_RETRY_DELAY_MS: u64 = 3;
/// Milliseconds for which a domain that was taken out of service may still start tasks.
const DOMAIN_OUT_START_GRACE_MS: u64 = 5_000;

/// Something that happens at an instant of the virtual clock.
#[derive(Clone, Debug)]
enum SimulationEvent {
    /// A job of the trace is submitted to its domain.
    JobSubmitted(usize),
    /// A job of a domain that is out reaches another cell.
    JobMoved { job_index: usize, cell_index: usize, record: Arc<JobRecord> },
    /// A request, or a further attempt of one, requests a slot from a cell.
    RequestArrived { request_index: usize, cell_index: usize, attempt: u64 },
    /// A worker has served a request or, if not `healthy`, has failed it.
    RequestEnded { ticket: u64, worker_index: usize, healthy: bool },
    /// A burst of cancellations, by its index in the trace.
    JobsCancelled(usize),
    /// A worker reports to the cell of its domain.
    WorkerReport(usize),
    /// A cell continues deferred work.
    CellTick(usize),
    /// The next task of a worker ends, unless its schedule has changed since.
    TaskEndDue { worker_index: usize, version: u64 },
    /// A task that was ordered to stop has stopped or is checkpointed.
    StopCompleted { worker_index: usize, task: TaskId, attempt: u32, checkpoint: bool },
    /// The confirmation of a start reaches the cell.
    StartConfirmed { cell_index: usize, task: TaskId, attempt: u32 },
    /// Allotment that the cell requested arrives.
    AllotmentMoved { cell_index: usize, team: TeamName },
    /// The domain of the outage is taken out of service or returns.
    DomainStateChanged(DomainState),
    /// Capacity, usage and demands are sampled.
    SampleDue,
}

/// State of a job in the simulation.
#[derive(Clone, Debug, Default)]
struct JobProgress {
    /// Cell that runs the job.
    cell_index: usize,
    submitted: bool,
    /// Whether the job is done, failed or cancelled.
    finished: bool,
    cancelled: bool,
    /// Whether each task has started on a worker without a fault.
    started: Vec<bool>,
    /// Whether each task is done.
    done: Vec<bool>,
    /// Milliseconds of work of each task that checkpoints have saved.
    checkpointed_ms: Vec<f64>,
    /// Worker on which each task runs.
    running_on: Vec<Option<usize>>,
    /// Indices of the tasks that are done according to the cell's last record.
    recorded_done: Vec<u32>,
    /// Number of tasks that were done by the morning.
    done_by_morning: u64,
}

/// A run of one trace under one placement rule and set of policy rules.
#[derive(Debug)]
pub struct Simulation<'a, R: PlacementRule> {
    trace: &'a WorkloadTrace,
    now_ms: u64,
    /// Number of events scheduled so far.
    event_count: u64,
    /// Scheduled events by time; those of the same time in the order of scheduling.
    events: BTreeMap<(u64, u64), SimulationEvent>,
    cells: Vec<Cell<R>>,
    /// When each domain was taken out of service; none while it is in service.
    out_since_ms: Vec<Option<u64>>,
    workers: Vec<SimulatedWorker>,
    worker_indices: HashMap<WorkerName, usize>,
    job_indices: HashMap<JobId, usize>,
    job_progress: Vec<JobProgress>,
    /// Workers on which earlier attempts of a request failed.
    avoided_workers: HashMap<usize, WorkerList>,
    /// What each cell may run of each team.
    allotments: HashMap<(TeamName, usize), ResourceAmounts>,
    /// Cell to which the last job was moved.
    last_move_target: usize,
    metrics: RunMetrics,
}

impl<'a, R: PlacementRule + Copy> Simulation<'a, R> {
    /// Simulates a trace to its end and returns the metrics.
    ///
    /// With `has_outage`, the outage domain of the trace is out of service for the
    /// middle third of the run.
    #[must_use]
    pub fn run(
        trace: &'a WorkloadTrace,
        placement: R,
        rules: PolicyRules,
        has_outage: bool,
    ) -> RunMetrics {
        let mut simulation = Self::new(trace, placement, rules);
        simulation.schedule_trace(has_outage);
        while let Some(((at_ms, _), event)) = simulation.events.pop_first() {
            if at_ms >= trace.horizon_ms {
                break;
            }
            simulation.now_ms = at_ms;
            simulation.handle_event(event);
        }
        simulation.into_metrics()
    }

    fn new(trace: &'a WorkloadTrace, placement: R, rules: PolicyRules) -> Self {
        let config = &trace.config;
        let find_cell = |name| config.domains.iter().position(|domain| domain.name == name);
        let workers = config.workers.iter().map(|worker| {
            let cell_index =
                find_cell(worker.domain.clone()).expect("every worker is in a configured domain");
            SimulatedWorker::new(cell_index, worker.name.clone(), worker.capacity)
        });
        let workers: Vec<SimulatedWorker> = workers.collect();
        let names = workers
            .iter()
            .enumerate()
            .map(|(worker_index, worker)| (worker.name.clone(), worker_index));
        let ids = trace.jobs.iter().enumerate();
        let job_progress = trace.jobs.iter().map(|job| JobProgress {
            cell_index: job.domain_index,
            started: vec![false; job.task_run_ms.len()],
            done: vec![false; job.task_run_ms.len()],
            checkpointed_ms: vec![0.0; job.task_run_ms.len()],
            running_on: vec![None; job.task_run_ms.len()],
            ..JobProgress::default()
        });
        let cells = config.domains.iter().enumerate().map(|(cell_index, domain)| {
            Cell::with_rule(domain.name.clone(), cell_index as u64, 0, placement, rules)
        });
        let mut simulation = Self {
            trace,
            now_ms: 0,
            event_count: 0,
            events: BTreeMap::new(),
            cells: cells.collect(),
            out_since_ms: vec![None; config.domains.len()],
            worker_indices: names.collect(),
            workers,
            job_indices: ids
                .map(|(job_index, job)| (job.record.spec.id.clone(), job_index))
                .collect(),
            job_progress: job_progress.collect(),
            avoided_workers: HashMap::new(),
            allotments: HashMap::new(),
            last_move_target: 0,
            metrics: RunMetrics::default(),
        };
        simulation.initialize_cells();
        simulation
    }

    /// Gives every cell its configuration, its allotments and a first report of each worker.
    ///
    /// Each team's limit is split among the cells in proportion to their processors.
    fn initialize_cells(&mut self) {
        let config = self.trace.config.clone();
        let capacities =
            config.domains.iter().map(|domain| workload::domain_capacity(&config, &domain.name));
        let capacities: Vec<ResourceAmounts> = capacities.collect();
        let total = capacities.iter().fold(ResourceAmounts::ZERO, |sum, part| sum.plus(*part));
        for (cell_index, capacity) in capacities.iter().enumerate() {
            self.apply_event(cell_index, CellEvent::Config(config.clone()));
            for limit in &config.limits {
                let amounts = limit.amounts.times(capacity.cpu_millis).as_array();
                let amounts = amounts.map(|amount| amount / total.cpu_millis);
                self.set_allotment(cell_index, &limit.team, ResourceAmounts::from_array(amounts));
            }
        }
        for worker_index in 0..self.workers.len() {
            self.report_worker(worker_index);
            // Spreads the periodic reports, so that 50 workers begin per second.
            self.schedule(
                REPORT_INTERVAL_MS * worker_index as u64 / 50,
                SimulationEvent::WorkerReport(worker_index),
            );
        }
    }

    fn schedule_trace(&mut self, has_outage: bool) {
        let trace = self.trace;
        for (job_index, job) in trace.jobs.iter().enumerate() {
            self.schedule(job.submitted_at_ms, SimulationEvent::JobSubmitted(job_index));
        }
        for (request_index, request) in trace.requests.iter().enumerate() {
            let event = SimulationEvent::RequestArrived {
                request_index,
                cell_index: request.domain_index,
                attempt: 0,
            };
            self.schedule(request.arrives_at_ms, event);
        }
        for (burst_index, (at_ms, _)) in trace.cancellations.iter().enumerate() {
            self.schedule(*at_ms, SimulationEvent::JobsCancelled(burst_index));
        }
        for cell_index in 0..self.cells.len() {
            self.schedule(TICK_INTERVAL_MS, SimulationEvent::CellTick(cell_index));
        }
        self.schedule(SAMPLE_INTERVAL_MS, SimulationEvent::SampleDue);
        if has_outage {
            self.schedule(
                trace.horizon_ms / 3,
                SimulationEvent::DomainStateChanged(DomainState::Out),
            );
            self.schedule(
                trace.horizon_ms * 2 / 3,
                SimulationEvent::DomainStateChanged(DomainState::In),
            );
        }
    }

    fn schedule(&mut self, at_ms: u64, event: SimulationEvent) {
        self.event_count += 1;
        self.events.insert((at_ms, self.event_count), event);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::JobSubmitted(job_index) => self.submit_job(job_index),
            SimulationEvent::JobMoved { job_index, cell_index, record } => {
                self.job_progress[job_index].cell_index = cell_index;
                if !self.job_progress[job_index].finished {
                    self.apply_event(cell_index, CellEvent::JobSubmitted(record));
                }
            }
            SimulationEvent::RequestArrived { request_index, cell_index, attempt } => {
                self.request_slot(request_index, cell_index, attempt);
            }
            SimulationEvent::RequestEnded { ticket, worker_index, healthy } => {
                self.end_request(ticket, worker_index, healthy);
            }
            SimulationEvent::JobsCancelled(burst_index) => self.cancel_jobs(burst_index),
            SimulationEvent::WorkerReport(worker_index) => {
                self.report_worker(worker_index);
                self.schedule(
                    self.now_ms + REPORT_INTERVAL_MS,
                    SimulationEvent::WorkerReport(worker_index),
                );
            }
            SimulationEvent::CellTick(cell_index) => {
                self.apply_event(cell_index, CellEvent::Tick);
                self.schedule(
                    self.now_ms + TICK_INTERVAL_MS,
                    SimulationEvent::CellTick(cell_index),
                );
            }
            SimulationEvent::TaskEndDue { worker_index, version } => {
                if self.workers[worker_index].schedule_version == version {
                    self.update_worker(worker_index);
                }
            }
            SimulationEvent::StopCompleted { worker_index, task, attempt, checkpoint } => {
                self.complete_stop(worker_index, &task, attempt, checkpoint);
            }
            SimulationEvent::StartConfirmed { cell_index, task, attempt } => {
                self.apply_event(cell_index, CellEvent::StartConfirmed { task, attempt });
            }
            SimulationEvent::AllotmentMoved { cell_index, team } => {
                self.move_allotment(cell_index, &team);
            }
            SimulationEvent::DomainStateChanged(state) => self.set_domain_state(state),
            SimulationEvent::SampleDue => {
                self.take_sample();
                self.schedule(self.now_ms + SAMPLE_INTERVAL_MS, SimulationEvent::SampleDue);
            }
        }
    }

    /// Applies an event to a cell, measures the call and executes the decisions.
    fn apply_event(&mut self, cell_index: usize, event: CellEvent) {
        let begin = Instant::now();
        let decisions = self.cells[cell_index].apply(ClockMillis(self.now_ms), event);
        self.metrics.record_call(begin.elapsed(), decisions.len());
        for decision in decisions {
            self.execute_decision(cell_index, decision);
        }
    }

    fn execute_decision(&mut self, cell_index: usize, decision: CellDecision) {
        match decision {
            CellDecision::StartTask { task, attempt, worker, team, amounts, .. } => {
                let usage = ResourceAmounts::ZERO;
                self.start_task(
                    cell_index,
                    &worker,
                    RunningTask { task, attempt, team, amounts, usage },
                );
            }
            CellDecision::StopTask { task, worker, checkpoint, reason } => {
                let is_preemption = reason.starts_with("preempted") || reason == "share-reclaimed";
                self.metrics.preemptions += u64::from(is_preemption);
                self.stop_task(&worker, task, checkpoint);
            }
            CellDecision::GrantRequest { ticket, worker, .. } => {
                self.start_request(ticket, &worker);
            }
            CellDecision::RefuseRequest { ticket, kind } => {
                self.handle_refusal(cell_index, ticket, kind);
            }
            CellDecision::JobChanged { job, state, done } => {
                let progress = &mut self.job_progress[self.job_indices[&job]];
                progress.recorded_done = done;
                progress.finished |= state.is_final();
                self.metrics.failed_jobs += u64::from(state == JobState::Failed);
            }
            CellDecision::MoveJob(job) => self.move_job(self.job_indices[&job]),
            CellDecision::RequestAllotment { team, .. } => {
                self.schedule(
                    self.now_ms + ALLOTMENT_MOVE_MS,
                    SimulationEvent::AllotmentMoved { cell_index, team },
                );
            }
        }
    }

    fn submit_job(&mut self, job_index: usize) {
        let progress = &mut self.job_progress[job_index];
        progress.submitted = true;
        let cell_index = progress.cell_index;
        self.apply_event(
            cell_index,
            CellEvent::JobSubmitted(self.trace.jobs[job_index].record.clone()),
        );
    }

    /// Moves a job to the next domain in service after the target of the last move.
    ///
    /// The job stays where it is if no domain is in service.
    fn move_job(&mut self, job_index: usize) {
        let count = self.cells.len();
        let targets = (1..=count).map(|step| (self.last_move_target + step) % count);
        let Some(cell_index) =
            targets.into_iter().find(|cell_index| self.out_since_ms[*cell_index].is_none())
        else {
            return;
        };
        self.last_move_target = cell_index;
        let record = &self.trace.jobs[job_index].record;
        let domain = self.trace.config.domains[cell_index].name.clone();
        let done = self.job_progress[job_index].recorded_done.clone();
        let record = Arc::new(JobRecord { domain, done, ..(**record).clone() });
        self.schedule(
            self.now_ms + JOB_MOVE_MS,
            SimulationEvent::JobMoved { job_index, cell_index, record },
        );
    }

    fn cancel_jobs(&mut self, burst_index: usize) {
        for job_index in &self.trace.cancellations[burst_index].1 {
            let progress = &mut self.job_progress[*job_index];
            if progress.submitted && !progress.finished {
                (progress.finished, progress.cancelled) = (true, true);
                let (cell_index, id) =
                    (progress.cell_index, self.trace.jobs[*job_index].record.spec.id.clone());
                self.apply_event(cell_index, CellEvent::JobCancelled(id));
            }
        }
    }

    fn is_faulty(&self, worker_index: usize) -> bool {
        let faults = self.trace.faults.iter().filter(|fault| fault.worker_index == worker_index);
        faults.into_iter().any(|fault| (fault.from_ms..fault.until_ms).contains(&self.now_ms))
    }

    fn start_task(&mut self, cell_index: usize, worker: &WorkerName, running: RunningTask) {
        let worker_index = self.worker_indices[worker];
        if self.out_since_ms[cell_index]
            .is_some_and(|since_ms| self.now_ms > since_ms + DOMAIN_OUT_START_GRACE_MS)
        {
            let violation = format!("{} started in a domain that is out", running.task);
            self.metrics.violations.push(violation);
        }
        let is_faulty = self.is_faulty(worker_index);
        let job_index = self.job_indices[&running.task.job];
        let (job, progress) = (&self.trace.jobs[job_index], &mut self.job_progress[job_index]);
        let task_index = running.task.index as usize;
        if progress.running_on[task_index].replace(worker_index).is_some() {
            self.metrics.violations.push(format!("{} runs in two places", running.task));
        }
        let remaining_ms =
            to_f64(job.task_run_ms[task_index]) - progress.checkpointed_ms[task_index];
        // A start on a worker that fails everything does not end the wait of the task.
        if !is_faulty && !std::mem::replace(&mut progress.started[task_index], true) {
            self.metrics.record_wait(job.urgency_index, self.now_ms - job.submitted_at_ms);
        }
        // A faulty worker fails every task after 500 ms of work.
        let (end_kind, remaining_ms) =
            if is_faulty { (EndKind::Failed, 500.0) } else { (EndKind::Done, remaining_ms) };
        let (task, attempt) = (running.task.clone(), running.attempt);
        let simulated_task = SimulatedTask {
            job_index,
            running,
            actual_usage: job.actual_usage,
            remaining_ms,
            attempt_work_ms: remaining_ms,
            end_kind,
            is_stopping: false,
            started_at_ms: self.now_ms,
        };
        self.workers[worker_index].advance_tasks(self.now_ms);
        self.workers[worker_index].tasks.insert(task.clone(), simulated_task);
        self.update_worker(worker_index);
        self.schedule(
            self.now_ms + START_CONFIRMATION_MS,
            SimulationEvent::StartConfirmed { cell_index, task, attempt },
        );
    }

    /// Ends the tasks of a worker that are due or out of memory, and schedules the next end.
    ///
    /// Must be called after every change of what runs on the worker, since it changes
    /// the speed of its tasks.
    fn update_worker(&mut self, worker_index: usize) {
        let worker = &mut self.workers[worker_index];
        worker.advance_tasks(self.now_ms);
        for task in worker.take_finished() {
            let end = task.end_kind;
            self.end_task(worker_index, &task, end);
        }
        for task in self.workers[worker_index].take_oom_victims() {
            self.metrics.oom_failures += 1;
            self.end_task(worker_index, &task, EndKind::Failed);
        }
        let worker = &mut self.workers[worker_index];
        if let Some(at_ms) = worker.schedule_next_end() {
            let version = worker.schedule_version;
            self.schedule(
                at_ms.max(self.now_ms),
                SimulationEvent::TaskEndDue { worker_index, version },
            );
        }
    }

    fn end_task(&mut self, worker_index: usize, task: &SimulatedTask, end: EndKind) {
        let task_index = task.running.task.index as usize;
        let job = &self.trace.jobs[task.job_index];
        let progress = &mut self.job_progress[task.job_index];
        progress.running_on[task_index] = None;
        let progress_ms = task.attempt_work_ms - task.remaining_ms;
        match end {
            EndKind::Done if !progress.done[task_index] => {
                progress.done[task_index] = true;
                self.metrics.record_work(to_f64(job.task_run_ms[task_index]), job.actual_usage);
                let morning_ms = workload::MORNING_FRACTION * to_f64(self.trace.horizon_ms);
                progress.done_by_morning += u64::from(to_f64(self.now_ms) < morning_ms);
            }
            EndKind::Checkpointed => progress.checkpointed_ms[task_index] += progress_ms,
            // A service has no end by itself; all the time that it ran counts as work.
            EndKind::Stopped if job.class_kind == ClassKind::Service => {
                self.metrics.record_work(progress_ms, job.actual_usage);
            }
            _ => {}
        }
        let ended = (task.running.task.clone(), task.running.attempt, end);
        self.workers[worker_index].unreported_ends.push(ended);
    }

    fn stop_task(&mut self, worker: &WorkerName, task: TaskId, checkpoint: bool) {
        let worker_index = self.worker_indices[worker];
        let Some(simulated_task) = self.workers[worker_index].tasks.get_mut(&task) else { return };
        if std::mem::replace(&mut simulated_task.is_stopping, true) {
            return;
        }
        let attempt = simulated_task.running.attempt;
        // The duration of a checkpoint grows with the memory that has to be written.
        let delay_ms =
            if checkpoint { 200 + simulated_task.actual_usage.memory_mb / 32 } else { 50 };
        let event = SimulationEvent::StopCompleted { worker_index, task, attempt, checkpoint };
        self.schedule(self.now_ms + delay_ms, event);
    }

    fn complete_stop(
        &mut self,
        worker_index: usize,
        task: &TaskId,
        attempt: u32,
        checkpoint: bool,
    ) {
        self.update_worker(worker_index);
        let tasks = &mut self.workers[worker_index].tasks;
        if tasks.get(task).is_none_or(|simulated_task| simulated_task.running.attempt != attempt) {
            return;
        }
        let Some(simulated_task) = tasks.remove(task) else { return };
        let end = if checkpoint { EndKind::Checkpointed } else { EndKind::Stopped };
        self.end_task(worker_index, &simulated_task, end);
        self.update_worker(worker_index);
    }

    /// Reports to the cell which tasks have ended on a worker and what runs there.
    fn report_worker(&mut self, worker_index: usize) {
        let (cell_index, name) =
            (self.workers[worker_index].cell_index, self.workers[worker_index].name.clone());
        for (task, attempt, end) in std::mem::take(&mut self.workers[worker_index].unreported_ends)
        {
            let worker = name.clone();
            self.apply_event(cell_index, CellEvent::TaskEnded { task, attempt, worker, end });
        }
        let update = self.workers[worker_index].build_report(self.now_ms);
        self.apply_event(cell_index, CellEvent::WorkerReported(update));
    }

    fn request_slot(&mut self, request_index: usize, cell_index: usize, attempt: u64) {
        let request = &self.trace.requests[request_index];
        self.metrics.requests += u64::from(attempt == 0);
        let slot_request = SlotRequest {
            // Each attempt has a ticket of its own, from which the request is found again.
            ticket: request_index as u64 * MAX_REQUEST_ATTEMPTS + attempt,
            queue: request.queue.clone(),
            start_by: ClockMillis(request.arrives_at_ms + REQUEST_TIMEOUT_MS),
            avoid: self.avoided_workers.get(&request_index).cloned().unwrap_or_default(),
        };
        self.apply_event(cell_index, CellEvent::RequestArrived(slot_request));
    }

    fn start_request(&mut self, ticket: u64, worker: &WorkerName) {
        let worker_index = self.worker_indices[worker];
        let request_index = usize::try_from(ticket / MAX_REQUEST_ATTEMPTS)
            .expect("an index of a request fits usize");
        let request = &self.trace.requests[request_index];
        let healthy = !self.is_faulty(worker_index);
        if healthy {
            self.metrics.record_wait(0, self.now_ms - request.arrives_at_ms);
        }
        // A faulty worker fails every request after 50 ms.
        let until_ms = self.now_ms + if healthy { request.service_ms } else { 50 };
        let queue = self.trace.config.queues.iter().find(|queue| queue.name == request.queue);
        let class = queue.and_then(|queue| {
            self.trace.config.classes.iter().find(|class| class.name == queue.class)
        });
        self.workers[worker_index].request_usage =
            class.map(|class| class.amounts).unwrap_or_default();
        self.workers[worker_index].running_requests += 1;
        self.update_worker(worker_index);
        self.schedule(until_ms, SimulationEvent::RequestEnded { ticket, worker_index, healthy });
    }

    fn end_request(&mut self, ticket: u64, worker_index: usize, healthy: bool) {
        let cell_index = self.workers[worker_index].cell_index;
        self.workers[worker_index].running_requests -= 1;
        self.update_worker(worker_index);
        self.apply_event(cell_index, CellEvent::RequestEnded { ticket, healthy });
        if !healthy {
            let request_index = usize::try_from(ticket / MAX_REQUEST_ATTEMPTS)
                .expect("an index of a request fits usize");
            let name = self.workers[worker_index].name.clone();
            self.avoided_workers.entry(request_index).or_default().push(name);
            self.retry_request(cell_index, ticket);
        }
    }

    fn retry_request(&mut self, cell_index: usize, ticket: u64) {
        let attempt = ticket % MAX_REQUEST_ATTEMPTS + 1;
        if attempt == MAX_REQUEST_ATTEMPTS {
            self.metrics.refused_requests += 1;
            return;
        }
        let request_index = usize::try_from(ticket / MAX_REQUEST_ATTEMPTS)
            .expect("an index of a request fits usize");
        self.schedule(
            self.now_ms + REQUEST_RETRY_DELAY_MS,
            SimulationEvent::RequestArrived { request_index, cell_index, attempt },
        );
    }

    fn handle_refusal(&mut self, cell_index: usize, ticket: u64, kind: ErrorKind) {
        if kind == ErrorKind::DomainOut {
            self.retry_request((cell_index + 1) % self.cells.len(), ticket);
        } else {
            self.metrics.refused_requests += 1;
        }
    }

    fn set_allotment(&mut self, cell_index: usize, team: &TeamName, amounts: ResourceAmounts) {
        self.allotments.insert((team.clone(), cell_index), amounts);
        self.apply_event(cell_index, CellEvent::Allotment { team: team.clone(), amounts });
    }

    /// Moves a part of a team's limit from the cell with the most unused allotment.
    ///
    /// At most a sixteenth of the limit moves at a time (docs/design.md, section 5).
    fn move_allotment(&mut self, requester: usize, team: &TeamName) {
        let limit = self.trace.config.limits.iter().find(|limit| limit.team == *team);
        let Some(limit) = limit.map(|limit| limit.amounts) else { return };
        let chunk = ResourceAmounts::from_array(limit.as_array().map(|amount| amount / 16));
        let spare = |cell_index: usize| {
            let held =
                self.allotments.get(&(team.clone(), cell_index)).copied().unwrap_or_default();
            held.minus(self.cells[cell_index].team_usage(team)).min(chunk)
        };
        let others = (0..self.cells.len()).filter(|cell_index| *cell_index != requester);
        let donor = others.max_by(|left, right| {
            spare(*left).dominant_share(limit).total_cmp(&spare(*right).dominant_share(limit))
        });
        let Some(donor) = donor else { return };
        let moved = spare(donor);
        let kept = self.allotments[&(team.clone(), donor)].minus(moved);
        let raised = self.allotments[&(team.clone(), requester)].plus(moved);
        self.set_allotment(donor, team, kept);
        self.set_allotment(requester, team, raised);
    }

    fn set_domain_state(&mut self, state: DomainState) {
        let mut config = ObjectSet::clone(&self.trace.config);
        config.domains[self.trace.outage_domain].state = state;
        self.out_since_ms[self.trace.outage_domain] =
            (state == DomainState::Out).then_some(self.now_ms);
        let config = Arc::new(config);
        for cell_index in 0..self.cells.len() {
            self.apply_event(cell_index, CellEvent::Config(config.clone()));
        }
    }

    fn take_sample(&mut self) {
        let config = &self.trace.config;
        let mut capacity = ResourceAmounts::ZERO;
        for (cell_index, cell) in self.cells.iter().enumerate() {
            if self.out_since_ms[cell_index].is_some() {
                continue;
            }
            let levels = [
                model::object::UrgencyLevel::Urgent,
                model::object::UrgencyLevel::Normal,
                model::object::UrgencyLevel::Batch,
            ];
            let has_waiting_work = levels.iter().any(|level| cell.waiting_len(*level) > 0);
            let (mut cell_capacity, mut reserved) = (ResourceAmounts::ZERO, ResourceAmounts::ZERO);
            for worker in cell.workers() {
                cell_capacity = cell_capacity.plus(worker.capacity);
                reserved = reserved.plus(worker.reserved);
                if !worker.reserved.fits_in(worker.capacity) {
                    self.metrics.violations.push(format!("{} is overcommitted", worker.worker));
                }
            }
            capacity = capacity.plus(cell_capacity);
            if has_waiting_work {
                let cell_workers =
                    self.workers.iter().filter(|worker| worker.cell_index == cell_index);
                let used = cell_workers.fold(ResourceAmounts::ZERO, |sum, worker| {
                    sum.plus(worker.demand().min(worker.capacity))
                });
                self.metrics.record_packing(cell_capacity, reserved, used);
            }
        }
        self.metrics.core_capacity_ms +=
            to_f64(capacity.cpu_millis) / 1000.0 * to_f64(SAMPLE_INTERVAL_MS);
        let mut demands = self.collect_demands();
        let limits = config
            .teams
            .iter()
            .map(|team| config.limits.iter().find(|limit| limit.team == team.name));
        for (demand, limit) in demands.iter_mut().zip(limits) {
            let limit = limit.map(|limit| limit.amounts).unwrap_or_default();
            if !demand.used.fits_in(limit) {
                self.metrics.violations.push(format!("a team uses {:?} of {limit:?}", demand.used));
            }
            demand.demanded = demand.demanded.min(limit);
        }
        self.metrics.record_shares(&demands, capacity);
    }

    /// Returns what each team uses and demands, in the order of the configuration.
    fn collect_demands(&self) -> Vec<TeamDemand> {
        let weights = metrics::team_weights(&self.trace.config);
        let teams = self.trace.config.teams.iter().zip(weights);
        let mut demands: HashMap<&TeamName, TeamDemand> = teams
            .map(|(team, weight)| (&team.name, TeamDemand { weight, ..TeamDemand::default() }))
            .collect();
        for cell in &self.cells {
            for (team, used) in cell.teams() {
                let Some(demand) = demands.get_mut(team) else { continue };
                demand.used = demand.used.plus(used);
                demand.demanded = demand.demanded.plus(used);
            }
        }
        for (job, progress) in self.trace.jobs.iter().zip(&self.job_progress) {
            if !progress.submitted || progress.finished {
                continue;
            }
            let states = progress.done.iter().zip(&progress.running_on);
            let waiting = states.filter(|(done, running)| !**done && running.is_none()).count();
            if let Some(demand) = demands.get_mut(&job.record.team) {
                let amounts = job.record.spec.amounts.times(waiting as u64);
                demand.demanded = demand.demanded.plus(amounts);
            }
        }
        self.trace.config.teams.iter().map(|team| demands[&team.name]).collect()
    }

    /// Adds what is still running or waiting at the end of the run, and returns the metrics.
    fn into_metrics(mut self) -> RunMetrics {
        self.now_ms = self.trace.horizon_ms;
        for worker_index in 0..self.workers.len() {
            self.workers[worker_index].advance_tasks(self.now_ms);
            for task in self.workers[worker_index].tasks.values() {
                let progress_ms =
                    (task.attempt_work_ms - task.remaining_ms).min(task.attempt_work_ms);
                if task.end_kind == EndKind::Done && !self.job_progress[task.job_index].finished {
                    self.metrics.record_work(progress_ms, task.actual_usage);
                }
            }
        }
        for (job, progress) in self.trace.jobs.iter().zip(&self.job_progress) {
            if self.trace.morning_queue.as_ref() == Some(&job.record.spec.queue)
                && !progress.cancelled
            {
                let morning_ms = workload::MORNING_FRACTION * to_f64(self.trace.horizon_ms);
                // Jobs submitted in the last tenth of the time until the morning are left
                // out, since they do not count as late.
                if to_f64(job.submitted_at_ms) < morning_ms * 0.9 {
                    self.metrics.morning_tasks.0 += job.task_run_ms.len() as u64;
                    self.metrics.morning_tasks.1 += progress.done_by_morning;
                }
            }
            if !progress.submitted || progress.cancelled {
                continue;
            }
            for task_index in 0..job.task_run_ms.len() {
                // Tasks that a failed job never started count as waiting until the end.
                if !progress.started[task_index] {
                    self.metrics.record_wait(job.urgency_index, self.now_ms - job.submitted_at_ms);
                }
                if !progress.done[task_index] && !progress.finished {
                    self.metrics
                        .record_work(progress.checkpointed_ms[task_index], job.actual_usage);
                }
            }
        }
        self.metrics
    }
}

#[expect(clippy::cast_precision_loss, reason = "milliseconds of a run are far below 2^52")]
fn to_f64(value: u64) -> f64 {
    value as f64
}
