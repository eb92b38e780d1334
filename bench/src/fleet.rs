//! The driver: cells of a deployment, fed with a workload on a virtual clock.

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

use crate::measure::{self, RunMeasure, TeamDemand};
use crate::worker::{FakeTask, FakeWorker};
use crate::workload::{self, WorkloadList};

/// Milliseconds between two reports of a worker (docs/design.md, section 4).
const REPORT_MS: u64 = 1_000;
const TICK_MS: u64 = 50;
const SAMPLE_MS: u64 = 2_000;
/// Milliseconds until a start is confirmed: a round trip inside a domain.
const CONFIRM_MS: u64 = 6;
/// Milliseconds until allotment has moved: the requester's mark is read, then two writes.
const ALLOT_MS: u64 = 700;
/// Milliseconds until the owner of another domain has a job that moves to it.
const MOVE_MS: u64 = 50;
/// Milliseconds from the arrival of a request to its deadline.
const PATIENCE_MS: u64 = 10_000;
/// Attempts of one request at most.
const ATTEMPTS: u64 = 4;
/// Milliseconds for which a domain that was taken out may still start tasks.
const OUT_BOUND_MS: u64 = 5_000;

/// Something that happens at an instant.
#[derive(Clone, Debug)]
enum FleetEvent {
    Job(usize),
    Moved { job: usize, cell: usize, record: Arc<JobRecord> },
    Request { request: usize, cell: usize, attempt: u64 },
    RequestEnd { ticket: u64, worker: usize, healthy: bool },
    Cancel(usize),
    Report(usize),
    Tick(usize),
    WorkerEnd { worker: usize, version: u64 },
    StopEnd { worker: usize, task: TaskId, attempt: u32, checkpoint: bool },
    Confirm { cell: usize, task: TaskId, attempt: u32 },
    Allot { cell: usize, team: TeamName },
    Domain(DomainState),
    Sample,
}

/// What the driver knows of a job.
#[derive(Clone, Debug, Default)]
struct JobTrack {
    cell: usize,
    submitted: bool,
    over: bool,
    cancelled: bool,
    started: Vec<bool>,
    done: Vec<bool>,
    saved: Vec<f64>,
    running: Vec<Option<usize>>,
    recorded: Vec<u32>,
    /// Tasks that were done before the morning.
    punctual: u64,
}

/// A run of one workload under one policy.
#[derive(Debug)]
pub struct FleetRun<'a, R: PlacementRule> {
    list: &'a WorkloadList,
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), FleetEvent>,
    cells: Vec<Cell<R>>,
    out: Vec<Option<u64>>,
    workers: Vec<FakeWorker>,
    worker_index: HashMap<WorkerName, usize>,
    job_index: HashMap<JobId, usize>,
    jobs: Vec<JobTrack>,
    avoid: HashMap<usize, WorkerList>,
    /// What each cell may run of each team.
    allotments: HashMap<(TeamName, usize), ResourceAmounts>,
    next_target: usize,
    measure: RunMeasure,
}

impl<'a, R: PlacementRule + Copy> FleetRun<'a, R> {
    /// Runs a workload to its end; `outage` tells whether its domain is taken out.
    #[must_use]
    pub fn run(list: &'a WorkloadList, rule: R, rules: PolicyRules, outage: bool) -> RunMeasure {
        let mut run = Self::new(list, rule, rules);
        run.schedule_list(outage);
        while let Some(((at, _), event)) = run.events.pop_first() {
            if at >= list.horizon {
                break;
            }
            run.now = at;
            run.take_event(event);
        }
        run.finish()
    }

    fn new(list: &'a WorkloadList, rule: R, rules: PolicyRules) -> Self {
        let set = &list.set;
        let cell_of = |name| set.domains.iter().position(|domain| domain.name == name);
        let workers = set.workers.iter().map(|worker| {
            let cell = cell_of(worker.domain.clone()).expect("domain of a worker");
            FakeWorker::new(cell, worker.name.clone(), worker.capacity)
        });
        let workers: Vec<FakeWorker> = workers.collect();
        let names = workers.iter().enumerate().map(|(index, worker)| (worker.name.clone(), index));
        let ids = list.jobs.iter().enumerate();
        let tracks = list.jobs.iter().map(|job| JobTrack {
            cell: job.domain,
            started: vec![false; job.runs.len()],
            done: vec![false; job.runs.len()],
            saved: vec![0.0; job.runs.len()],
            running: vec![None; job.runs.len()],
            ..JobTrack::default()
        });
        let cells = set.domains.iter().enumerate().map(|(index, domain)| {
            Cell::with_rule(domain.name.clone(), index as u64, 0, rule, rules)
        });
        let mut run = Self {
            list,
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            cells: cells.collect(),
            out: vec![None; set.domains.len()],
            worker_index: names.collect(),
            workers,
            job_index: ids.map(|(index, job)| (job.record.spec.id.clone(), index)).collect(),
            jobs: tracks.collect(),
            avoid: HashMap::new(),
            allotments: HashMap::new(),
            next_target: 0,
            measure: RunMeasure::default(),
        };
        run.set_up();
        run
    }

    /// Gives the cells configuration, allotments and first reports.
    fn set_up(&mut self) {
        let set = self.list.set.clone();
        let domains = set.domains.iter().map(|domain| workload::capacity_of(&set, &domain.name));
        let domains: Vec<ResourceAmounts> = domains.collect();
        let total = domains.iter().fold(ResourceAmounts::ZERO, |sum, part| sum.plus(*part));
        for (cell, part) in domains.iter().enumerate() {
            self.apply(cell, CellEvent::Config(set.clone()));
            for limit in &set.limits {
                let amounts = limit.amounts.times(part.cpu_millis).as_array();
                let amounts = amounts.map(|amount| amount / total.cpu_millis);
                self.allot(cell, &limit.team, ResourceAmounts::from_array(amounts));
            }
        }
        for worker in 0..self.workers.len() {
            self.report(worker);
            self.schedule(REPORT_MS * worker as u64 / 50, FleetEvent::Report(worker));
        }
    }

    fn schedule_list(&mut self, outage: bool) {
        let list = self.list;
        for (index, job) in list.jobs.iter().enumerate() {
            self.schedule(job.at, FleetEvent::Job(index));
        }
        for (index, request) in list.requests.iter().enumerate() {
            let event = FleetEvent::Request { request: index, cell: request.domain, attempt: 0 };
            self.schedule(request.at, event);
        }
        for (index, (at, _)) in list.cancels.iter().enumerate() {
            self.schedule(*at, FleetEvent::Cancel(index));
        }
        for cell in 0..self.cells.len() {
            self.schedule(TICK_MS, FleetEvent::Tick(cell));
        }
        self.schedule(SAMPLE_MS, FleetEvent::Sample);
        if outage {
            self.schedule(list.horizon / 3, FleetEvent::Domain(DomainState::Out));
            self.schedule(list.horizon * 2 / 3, FleetEvent::Domain(DomainState::In));
        }
    }

    fn schedule(&mut self, at: u64, event: FleetEvent) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn take_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Job(job) => self.submit(job),
            FleetEvent::Moved { job, cell, record } => {
                self.jobs[job].cell = cell;
                if !self.jobs[job].over {
                    self.apply(cell, CellEvent::JobSubmitted(record));
                }
            }
            FleetEvent::Request { request, cell, attempt } => self.ask(request, cell, attempt),
            FleetEvent::RequestEnd { ticket, worker, healthy } => {
                self.request_end(ticket, worker, healthy);
            }
            FleetEvent::Cancel(burst) => self.cancel(burst),
            FleetEvent::Report(worker) => {
                self.report(worker);
                self.schedule(self.now + REPORT_MS, FleetEvent::Report(worker));
            }
            FleetEvent::Tick(cell) => {
                self.apply(cell, CellEvent::Tick);
                self.schedule(self.now + TICK_MS, FleetEvent::Tick(cell));
            }
            FleetEvent::WorkerEnd { worker, version } => {
                if self.workers[worker].version == version {
                    self.settle(worker);
                }
            }
            FleetEvent::StopEnd { worker, task, attempt, checkpoint } => {
                self.stop_end(worker, &task, attempt, checkpoint);
            }
            FleetEvent::Confirm { cell, task, attempt } => {
                self.apply(cell, CellEvent::StartConfirmed { task, attempt });
            }
            FleetEvent::Allot { cell, team } => self.move_allotment(cell, &team),
            FleetEvent::Domain(state) => self.set_domain(state),
            FleetEvent::Sample => {
                self.sample();
                self.schedule(self.now + SAMPLE_MS, FleetEvent::Sample);
            }
        }
    }

    /// Gives one event to a cell and carries out what it decides.
    fn apply(&mut self, cell: usize, event: CellEvent) {
        let begin = Instant::now();
        let decisions = self.cells[cell].apply(ClockMillis(self.now), event);
        self.measure.note_call(begin.elapsed(), decisions.len());
        for decision in decisions {
            self.carry_out(cell, decision);
        }
    }

    fn carry_out(&mut self, cell: usize, decision: CellDecision) {
        match decision {
            CellDecision::StartTask { task, attempt, worker, team, amounts, .. } => {
                let usage = ResourceAmounts::ZERO;
                self.start(cell, &worker, RunningTask { task, attempt, team, amounts, usage });
            }
            CellDecision::StopTask { task, worker, checkpoint, reason } => {
                let preempted = reason.starts_with("preempted") || reason == "share-reclaimed";
                self.measure.preempted += u64::from(preempted);
                self.stop(&worker, task, checkpoint);
            }
            CellDecision::GrantRequest { ticket, worker, .. } => self.grant(ticket, &worker),
            CellDecision::RefuseRequest { ticket, kind } => self.refuse(cell, ticket, kind),
            CellDecision::JobChanged { job, state, done } => {
                let track = &mut self.jobs[self.job_index[&job]];
                track.recorded = done;
                track.over |= state.is_final();
                self.measure.failed += u64::from(state == JobState::Failed);
            }
            CellDecision::MoveJob(job) => self.move_job(self.job_index[&job]),
            CellDecision::RequestAllotment { team, .. } => {
                self.schedule(self.now + ALLOT_MS, FleetEvent::Allot { cell, team });
            }
        }
    }

    fn submit(&mut self, job: usize) {
        let track = &mut self.jobs[job];
        track.submitted = true;
        let cell = track.cell;
        self.apply(cell, CellEvent::JobSubmitted(self.list.jobs[job].record.clone()));
    }

    /// Sends a job of a domain that is out to the other domains in turn.
    fn move_job(&mut self, job: usize) {
        let count = self.cells.len();
        let open = (1..=count).map(|step| (self.next_target + step) % count);
        let Some(cell) = open.into_iter().find(|cell| self.out[*cell].is_none()) else { return };
        self.next_target = cell;
        let record = &self.list.jobs[job].record;
        let domain = self.list.set.domains[cell].name.clone();
        let done = self.jobs[job].recorded.clone();
        let record = Arc::new(JobRecord { domain, done, ..(**record).clone() });
        self.schedule(self.now + MOVE_MS, FleetEvent::Moved { job, cell, record });
    }

    fn cancel(&mut self, burst: usize) {
        for job in &self.list.cancels[burst].1 {
            let track = &mut self.jobs[*job];
            if track.submitted && !track.over {
                (track.over, track.cancelled) = (true, true);
                let (cell, id) = (track.cell, self.list.jobs[*job].record.spec.id.clone());
                self.apply(cell, CellEvent::JobCancelled(id));
            }
        }
    }

    fn is_faulty(&self, worker: usize) -> bool {
        let faults = self.list.faults.iter().filter(|fault| fault.worker == worker);
        faults.into_iter().any(|fault| (fault.from..fault.until).contains(&self.now))
    }

    fn start(&mut self, cell: usize, worker: &WorkerName, running: RunningTask) {
        let worker = self.worker_index[worker];
        if self.out[cell].is_some_and(|since| self.now > since + OUT_BOUND_MS) {
            self.measure.breaches.push(format!("{} started in a domain that is out", running.task));
        }
        let faulty = self.is_faulty(worker);
        let job = self.job_index[&running.task.job];
        let (plan, track) = (&self.list.jobs[job], &mut self.jobs[job]);
        let index = running.task.index as usize;
        if track.running[index].replace(worker).is_some() {
            self.measure.breaches.push(format!("{} runs in two places", running.task));
        }
        let left = millis(plan.runs[index]) - track.saved[index];
        // A start on a worker that fails everything ends no wait.
        if !faulty && !std::mem::replace(&mut track.started[index], true) {
            self.measure.note_wait(plan.urgency, self.now - plan.at);
        }
        let (end, left) = if faulty { (EndKind::Failed, 500.0) } else { (EndKind::Done, left) };
        let (task, attempt) = (running.task.clone(), running.attempt);
        let started = FakeTask {
            job,
            running,
            actual: plan.actual,
            left,
            total: left,
            end,
            stopping: false,
            started_at: self.now,
        };
        self.workers[worker].advance(self.now);
        self.workers[worker].tasks.insert(task.clone(), started);
        self.settle(worker);
        self.schedule(self.now + CONFIRM_MS, FleetEvent::Confirm { cell, task, attempt });
    }

    /// Takes the ends that are due on a worker and schedules the next one.
    fn settle(&mut self, worker: usize) {
        let fake = &mut self.workers[worker];
        fake.advance(self.now);
        for task in fake.take_done() {
            let end = task.end;
            self.end_task(worker, &task, end);
        }
        for task in self.workers[worker].take_starved() {
            self.measure.starved += 1;
            self.end_task(worker, &task, EndKind::Failed);
        }
        let fake = &mut self.workers[worker];
        if let Some(at) = fake.next_end() {
            let version = fake.version;
            self.schedule(at.max(self.now), FleetEvent::WorkerEnd { worker, version });
        }
    }

    fn end_task(&mut self, worker: usize, task: &FakeTask, end: EndKind) {
        let index = task.running.task.index as usize;
        let plan = &self.list.jobs[task.job];
        let track = &mut self.jobs[task.job];
        track.running[index] = None;
        let progress = task.total - task.left;
        match end {
            EndKind::Done if !track.done[index] => {
                track.done[index] = true;
                self.measure.note_work(millis(plan.runs[index]), plan.actual);
                let morning = workload::MORNING * millis(self.list.horizon);
                track.punctual += u64::from(millis(self.now) < morning);
            }
            EndKind::Checkpointed => track.saved[index] += progress,
            // A service has served its time, whatever becomes of it.
            EndKind::Stopped if plan.kind == ClassKind::Service => {
                self.measure.note_work(progress, plan.actual);
            }
            _ => {}
        }
        let ended = (task.running.task.clone(), task.running.attempt, end);
        self.workers[worker].ended.push(ended);
    }

    fn stop(&mut self, worker: &WorkerName, task: TaskId, checkpoint: bool) {
        let worker = self.worker_index[worker];
        let Some(fake) = self.workers[worker].tasks.get_mut(&task) else { return };
        if std::mem::replace(&mut fake.stopping, true) {
            return;
        }
        let attempt = fake.running.attempt;
        // A checkpoint takes longer the more memory has to be written.
        let delay = if checkpoint { 200 + fake.actual.memory_mb / 32 } else { 50 };
        let event = FleetEvent::StopEnd { worker, task, attempt, checkpoint };
        self.schedule(self.now + delay, event);
    }

    fn stop_end(&mut self, worker: usize, task: &TaskId, attempt: u32, checkpoint: bool) {
        self.settle(worker);
        let tasks = &mut self.workers[worker].tasks;
        if tasks.get(task).is_none_or(|fake| fake.running.attempt != attempt) {
            return;
        }
        let Some(fake) = tasks.remove(task) else { return };
        let end = if checkpoint { EndKind::Checkpointed } else { EndKind::Stopped };
        self.end_task(worker, &fake, end);
        self.settle(worker);
    }

    /// Tells the owner of a worker what has ended and what runs.
    fn report(&mut self, worker: usize) {
        let (cell, name) = (self.workers[worker].cell, self.workers[worker].name.clone());
        for (task, attempt, end) in std::mem::take(&mut self.workers[worker].ended) {
            let worker = name.clone();
            self.apply(cell, CellEvent::TaskEnded { task, attempt, worker, end });
        }
        let update = self.workers[worker].report(self.now);
        self.apply(cell, CellEvent::WorkerReported(update));
    }

    fn ask(&mut self, request: usize, cell: usize, attempt: u64) {
        let plan = &self.list.requests[request];
        self.measure.requests += u64::from(attempt == 0);
        let ask = SlotRequest {
            ticket: request as u64 * ATTEMPTS + attempt,
            queue: plan.queue.clone(),
            start_by: ClockMillis(plan.at + PATIENCE_MS),
            avoid: self.avoid.get(&request).cloned().unwrap_or_default(),
        };
        self.apply(cell, CellEvent::RequestArrived(ask));
    }

    fn grant(&mut self, ticket: u64, worker: &WorkerName) {
        let worker = self.worker_index[worker];
        let request = usize::try_from(ticket / ATTEMPTS).expect("position of a request");
        let plan = &self.list.requests[request];
        let healthy = !self.is_faulty(worker);
        if healthy {
            self.measure.note_wait(0, self.now - plan.at);
        }
        let until = self.now + if healthy { plan.service_ms } else { 50 };
        let queue = self.list.set.queues.iter().find(|queue| queue.name == plan.queue);
        let class = queue
            .and_then(|queue| self.list.set.classes.iter().find(|class| class.name == queue.class));
        self.workers[worker].request = class.map(|class| class.amounts).unwrap_or_default();
        self.workers[worker].requests += 1;
        self.settle(worker);
        self.schedule(until, FleetEvent::RequestEnd { ticket, worker, healthy });
    }

    fn request_end(&mut self, ticket: u64, worker: usize, healthy: bool) {
        let cell = self.workers[worker].cell;
        self.workers[worker].requests -= 1;
        self.settle(worker);
        self.apply(cell, CellEvent::RequestEnded { ticket, healthy });
        if !healthy {
            let request = usize::try_from(ticket / ATTEMPTS).expect("position of a request");
            let name = self.workers[worker].name.clone();
            self.avoid.entry(request).or_default().push(name);
            self.ask_again(cell, ticket);
        }
    }

    fn ask_again(&mut self, cell: usize, ticket: u64) {
        let attempt = ticket % ATTEMPTS + 1;
        if attempt == ATTEMPTS {
            self.measure.refused += 1;
            return;
        }
        let request = usize::try_from(ticket / ATTEMPTS).expect("position of a request");
        self.schedule(self.now + 3, FleetEvent::Request { request, cell, attempt });
    }

    fn refuse(&mut self, cell: usize, ticket: u64, kind: ErrorKind) {
        if kind == ErrorKind::DomainOut {
            self.ask_again((cell + 1) % self.cells.len(), ticket);
        } else {
            self.measure.refused += 1;
        }
    }

    fn allot(&mut self, cell: usize, team: &TeamName, amounts: ResourceAmounts) {
        self.allotments.insert((team.clone(), cell), amounts);
        self.apply(cell, CellEvent::Allotment { team: team.clone(), amounts });
    }

    /// Moves a chunk of a team's limit from the cell with the most headroom
    /// (docs/design.md, section 5).
    fn move_allotment(&mut self, requester: usize, team: &TeamName) {
        let limit = self.list.set.limits.iter().find(|limit| limit.team == *team);
        let Some(limit) = limit.map(|limit| limit.amounts) else { return };
        let chunk = ResourceAmounts::from_array(limit.as_array().map(|amount| amount / 16));
        let spare = |cell: usize| {
            let held = self.allotments.get(&(team.clone(), cell)).copied().unwrap_or_default();
            held.minus(self.cells[cell].team_usage(team)).min(chunk)
        };
        let others = (0..self.cells.len()).filter(|cell| *cell != requester);
        let donor = others.max_by(|left, right| {
            spare(*left).dominant_share(limit).total_cmp(&spare(*right).dominant_share(limit))
        });
        let Some(donor) = donor else { return };
        let moved = spare(donor);
        let kept = self.allotments[&(team.clone(), donor)].minus(moved);
        let raised = self.allotments[&(team.clone(), requester)].plus(moved);
        self.allot(donor, team, kept);
        self.allot(requester, team, raised);
    }

    fn set_domain(&mut self, state: DomainState) {
        let mut set = ObjectSet::clone(&self.list.set);
        set.domains[self.list.outage].state = state;
        self.out[self.list.outage] = (state == DomainState::Out).then_some(self.now);
        let set = Arc::new(set);
        for cell in 0..self.cells.len() {
            self.apply(cell, CellEvent::Config(set.clone()));
        }
    }

    fn sample(&mut self) {
        let set = &self.list.set;
        let mut capacity = ResourceAmounts::ZERO;
        for (index, cell) in self.cells.iter().enumerate() {
            if self.out[index].is_some() {
                continue;
            }
            let levels = [
                model::object::UrgencyLevel::Urgent,
                model::object::UrgencyLevel::Normal,
                model::object::UrgencyLevel::Batch,
            ];
            let waits = levels.iter().any(|level| cell.waiting_len(*level) > 0);
            let (mut offered, mut reserved) = (ResourceAmounts::ZERO, ResourceAmounts::ZERO);
            for worker in cell.workers() {
                offered = offered.plus(worker.capacity);
                reserved = reserved.plus(worker.reserved);
                if !worker.reserved.fits_in(worker.capacity) {
                    self.measure.breaches.push(format!("{} is overcommitted", worker.worker));
                }
            }
            capacity = capacity.plus(offered);
            if waits {
                let mine = self.workers.iter().filter(|worker| worker.cell == index);
                let used = mine.fold(ResourceAmounts::ZERO, |sum, worker| {
                    sum.plus(worker.load().min(worker.capacity))
                });
                self.measure.note_packing(offered, reserved, used);
            }
        }
        self.measure.core_bound += millis(capacity.cpu_millis) / 1000.0 * millis(SAMPLE_MS);
        let mut demands = self.demands();
        for (demand, limit) in demands.iter_mut().zip(
            set.teams.iter().map(|team| set.limits.iter().find(|limit| limit.team == team.name)),
        ) {
            let limit = limit.map(|limit| limit.amounts).unwrap_or_default();
            if !demand.used.fits_in(limit) {
                self.measure.breaches.push(format!("a team uses {:?} of {limit:?}", demand.used));
            }
            demand.wanted = demand.wanted.min(limit);
        }
        self.measure.note_shares(&demands, capacity);
    }

    /// Returns what each team uses and wants, in the order of the configuration.
    fn demands(&self) -> Vec<TeamDemand> {
        let weights = measure::weights(&self.list.set);
        let teams = self.list.set.teams.iter().zip(weights);
        let mut demands: HashMap<&TeamName, TeamDemand> = teams
            .map(|(team, weight)| (&team.name, TeamDemand { weight, ..TeamDemand::default() }))
            .collect();
        for cell in &self.cells {
            for (team, used) in cell.teams() {
                let Some(demand) = demands.get_mut(team) else { continue };
                demand.used = demand.used.plus(used);
                demand.wanted = demand.wanted.plus(used);
            }
        }
        for (plan, track) in self.list.jobs.iter().zip(&self.jobs) {
            if !track.submitted || track.over {
                continue;
            }
            let states = track.done.iter().zip(&track.running);
            let waiting = states.filter(|(done, running)| !**done && running.is_none()).count();
            if let Some(demand) = demands.get_mut(&plan.record.team) {
                let amounts = plan.record.spec.amounts.times(waiting as u64);
                demand.wanted = demand.wanted.plus(amounts);
            }
        }
        self.list.set.teams.iter().map(|team| demands[&team.name]).collect()
    }

    /// Counts what is still running or waiting at the end.
    fn finish(mut self) -> RunMeasure {
        self.now = self.list.horizon;
        for worker in 0..self.workers.len() {
            self.workers[worker].advance(self.now);
            for task in self.workers[worker].tasks.values() {
                let progress = (task.total - task.left).min(task.total);
                if task.end == EndKind::Done && !self.jobs[task.job].over {
                    self.measure.note_work(progress, task.actual);
                }
            }
        }
        for (plan, track) in self.list.jobs.iter().zip(&self.jobs) {
            if self.list.dated.as_ref() == Some(&plan.record.spec.queue) && !track.cancelled {
                let morning = workload::MORNING * millis(self.list.horizon);
                // What is ordered in the last minutes before the morning cannot be late.
                if millis(plan.at) < morning * 0.9 {
                    self.measure.dated.0 += plan.runs.len() as u64;
                    self.measure.dated.1 += track.punctual;
                }
            }
            if !track.submitted || track.cancelled {
                continue;
            }
            for index in 0..plan.runs.len() {
                // What a failed job left undone is never done; it counts as waiting.
                if !track.started[index] {
                    self.measure.note_wait(plan.urgency, self.now - plan.at);
                }
                if !track.done[index] && !track.over {
                    self.measure.note_work(track.saved[index], plan.actual);
                }
            }
        }
        self.measure
    }
}

#[expect(clippy::cast_precision_loss, reason = "milliseconds of a run are far below 2^52")]
fn millis(value: u64) -> f64 {
    value as f64
}
