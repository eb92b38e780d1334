//! Property test: random events between a cell and simple models of workers. The cell's
//! invariants (docs/design.md, section 1.2) are checked after every event.
//!
//! `POLICY_SEED` sets the seed, `POLICY_CASES` the number of sequences, and `POLICY_TRACE`
//! prints all events and decisions.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use model::job::JobRecord;
use model::name::{DomainName, JobId, TaskId, TeamName, WorkerName};
use model::object::{DomainState, ObjectSet};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{
    CellDecision, CellEvent, EndKind, RunningTask, SlotRequest, TicketNumber, WorkerUpdate,
};
use policy::placement::BestFit;
use policy::rules::{GRANT_SETTLE_MS, PolicyRules};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::amounts;

const WORKERS: usize = 4;
const TEAMS: [&str; 3] = ["a", "b", "c"];
/// Cores, gigabytes of memory, accelerators and slots of each worker.
const CAPACITY: (u64, u64, u64, u64) = (8, 32, 1, 3);

/// A message from an owner or an entry to a worker.
#[derive(Clone, Debug)]
enum WorkerMessage {
    Start {
        task: TaskId,
        attempt: u32,
        team: TeamName,
        amounts: ResourceAmounts,
    },
    Stop {
        task: TaskId,
        checkpoint: bool,
    },
    /// A granted request. Entries send none later than `until`, [`GRANT_SETTLE_MS`] after
    /// its latest start.
    Request {
        ticket: TicketNumber,
        team: TeamName,
        until: u64,
    },
}

/// A message that has not reached its worker yet.
#[derive(Clone, Debug)]
struct InFlight {
    /// Number of the owner that sent it.
    owner: u32,
    /// When it was sent.
    at: u64,
    /// Boot that the sender knew; starts for another boot are refused.
    boot: u32,
    message: WorkerMessage,
}

/// A model of a worker; its messages arrive in any order and with any delay.
#[derive(Clone, Debug, Default)]
struct ModelWorker {
    /// Number of restarts.
    boot: u32,
    /// Highest owner number seen; messages of lower ones are refused.
    highest_owner: u32,
    /// Running tasks with attempt, team and amounts.
    tasks: BTreeMap<TaskId, (u32, TeamName, ResourceAmounts)>,
    /// Teams of running requests, by owner number and ticket.
    requests: BTreeMap<(u32, TicketNumber), TeamName>,
    inbox: Vec<InFlight>,
    /// Report that has not arrived, and the owner that requested it.
    report: Option<(u32, WorkerUpdate)>,
    leaving: bool,
    /// Boot in the last report that arrived.
    known_boot: u32,
    /// Whether the cell may use it by the last events: not silent, leaving or lost.
    usable: bool,
    /// Whether it was removed from the configuration.
    removed: bool,
}

/// The cell, the workers and all that the invariants refer to.
struct Simulation {
    cell: Cell,
    /// Number of the current owner.
    owner: u32,
    now: u64,
    set: ObjectSet,
    workers: Vec<ModelWorker>,
    allotments: BTreeMap<TeamName, ResourceAmounts>,
    jobs: BTreeMap<JobId, JobRecord>,
    next_job: u32,
    next_ticket: TicketNumber,
    /// Latest starts of requests that were neither granted nor refused.
    undecided: BTreeMap<TicketNumber, u64>,
    /// Workers of granted requests, by owner number and ticket; 0 for an owner that was
    /// replaced without a handover.
    granted: BTreeMap<(u32, TicketNumber), (usize, TeamName)>,
    /// Requests that were granted or refused.
    decided: BTreeSet<TicketNumber>,
    /// Whether the domain is out.
    domain_out: bool,
    /// All decisions, for the comparison of two runs.
    decisions: Vec<CellDecision>,
}

fn request_amounts() -> ResourceAmounts {
    amounts(1, 1, 0, 1)
}

impl Simulation {
    fn new() -> Self {
        let (cores, gb, accelerators, slots) = CAPACITY;
        let set = support::object_set(WORKERS, amounts(cores, gb, accelerators, slots));
        let mut simulation = Self {
            cell: Cell::new(DomainName::from("d"), 1, 0),
            owner: 1,
            now: 1_000,
            set,
            workers: vec![ModelWorker::default(); WORKERS],
            allotments: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next_job: 0,
            next_ticket: 0,
            undecided: BTreeMap::new(),
            granted: BTreeMap::new(),
            decided: BTreeSet::new(),
            domain_out: false,
            decisions: Vec::new(),
        };
        simulation.apply_event(CellEvent::Config(Arc::new(simulation.set.clone())));
        for team in TEAMS {
            simulation.set_allotment(team, amounts(24, 96, 4, 9));
        }
        simulation
    }

    fn name(index: usize) -> WorkerName {
        format!("w{index}").into()
    }

    fn index(name: &WorkerName) -> usize {
        name.as_str()[1..].parse().expect("worker names end in a number")
    }

    /// Sends an event to the cell, carries out its decisions and checks that no worker is
    /// overcommitted.
    fn apply_event(&mut self, event: CellEvent) {
        let trace = std::env::var_os("POLICY_TRACE").is_some();
        if trace {
            println!("{} {event:?}", self.now);
        }
        let decisions = self.cell.apply(ClockMillis(self.now), event);
        self.decisions.extend(decisions.iter().cloned());
        for decision in decisions {
            if trace {
                println!("  -> {decision:?}");
            }
            self.apply_decision(decision);
        }
        for (index, worker) in self.workers.iter().enumerate() {
            let used = sum(worker.all_usage(self.now).into_iter().map(|usage| usage.2));
            let (cores, gb, accelerators, slots) = CAPACITY;
            let capacity = amounts(cores, gb, accelerators, slots);
            assert!(used.fits_in(capacity), "worker w{index} is overcommitted: {used:?}");
        }
    }

    /// Checks a decision and carries it out.
    fn apply_decision(&mut self, decision: CellDecision) {
        match decision {
            CellDecision::StartTask { task, attempt, worker, team, amounts, .. } => {
                self.check_start(&task, &worker);
                let message = WorkerMessage::Start { task, attempt, team: team.clone(), amounts };
                self.send_message(&worker, message);
                self.check_team(&team);
            }
            CellDecision::StopTask { task, worker, checkpoint, .. } => {
                self.send_message(&worker, WorkerMessage::Stop { task, checkpoint });
            }
            CellDecision::GrantRequest { ticket, worker, team, .. } => {
                assert!(!self.domain_out, "ticket {ticket} was granted while the domain was out");
                let start_by = self.undecided.get(&ticket).copied().unwrap_or(self.now);
                self.record_decision(ticket);
                let index = Self::index(&worker);
                assert!(self.workers[index].takes_work(), "grant on unusable {worker}");
                self.granted.insert((self.owner, ticket), (index, team.clone()));
                let until = start_by + GRANT_SETTLE_MS;
                self.send_message(
                    &worker,
                    WorkerMessage::Request { ticket, team: team.clone(), until },
                );
                self.check_team(&team);
            }
            CellDecision::RefuseRequest { ticket, .. } => self.record_decision(ticket),
            CellDecision::JobChanged { job, state, done } => {
                let record = self.jobs.get_mut(&job).expect("only known jobs change");
                (record.state, record.done) = (state, done);
                if state.is_final() {
                    self.jobs.remove(&job);
                }
            }
            CellDecision::MoveJob(job) => {
                assert!(self.domain_out, "job {job} moved while the domain was in");
                let runs = self
                    .workers
                    .iter()
                    .any(|worker| worker.may_run(self.now, |task| task.job == job));
                assert!(!runs, "job {job} moved while a task may run");
                self.jobs.remove(&job);
            }
            CellDecision::RequestAllotment { .. } => {}
        }
    }

    /// Checks that a start goes to a usable worker and that the task runs nowhere else.
    fn check_start(&self, task: &TaskId, worker: &WorkerName) {
        assert!(!self.domain_out, "task {task} started while the domain was out");
        assert!(
            self.workers[Self::index(worker)].takes_work(),
            "task {task} started on unusable {worker}"
        );
        for (index, other) in self.workers.iter().enumerate() {
            assert!(
                !other.may_run(self.now, |other| other == task),
                "task {task} started while it may run on w{index}"
            );
        }
    }

    /// Checks that a team stays within its allotment, starts in flight included.
    fn check_team(&self, team: &TeamName) {
        let usages = self.workers.iter().flat_map(|worker| worker.all_usage(self.now));
        let used = sum(usages.filter(|usage| usage.1 == team).map(|usage| usage.2));
        let allotment = self.allotments.get(team).copied().unwrap_or_default();
        assert!(used.fits_in(allotment), "team {team} uses {used:?} of {allotment:?}");
    }

    /// Checks that a request is decided once.
    fn record_decision(&mut self, ticket: TicketNumber) {
        assert!(self.decided.insert(ticket), "ticket {ticket} was decided twice");
        self.undecided.remove(&ticket);
    }

    /// Puts a message in flight to a worker.
    fn send_message(&mut self, worker: &WorkerName, message: WorkerMessage) {
        let worker = &mut self.workers[Self::index(worker)];
        let (owner, at, boot) = (self.owner, self.now, worker.known_boot);
        worker.inbox.push(InFlight { owner, at, boot, message });
    }

    fn set_allotment(&mut self, team: &str, amounts: ResourceAmounts) {
        self.allotments.insert(team.into(), amounts);
        self.apply_event(CellEvent::Allotment { team: team.into(), amounts });
    }

    /// Delivers one message to a worker, which follows or refuses it.
    fn deliver_message(&mut self, index: usize, which: usize) {
        let worker = &mut self.workers[index];
        if worker.inbox.is_empty() {
            return;
        }
        let sent = worker.inbox.remove(which % worker.inbox.len());
        let is_accepted = sent.owner >= worker.highest_owner;
        let is_present_owner = sent.owner == self.owner;
        worker.highest_owner = worker.highest_owner.max(sent.owner);
        match sent.message {
            WorkerMessage::Start { task, attempt, team, amounts } => {
                // 8 s is the worker's lease.
                let is_expired = self.now - sent.at > 8_000;
                let is_other_boot = sent.boot != worker.boot;
                let refused =
                    !is_accepted || is_expired || is_other_boot || worker.tasks.contains_key(&task);
                if !refused {
                    worker.tasks.insert(task.clone(), (attempt, team, amounts));
                }
                if is_present_owner {
                    self.apply_event(if refused {
                        CellEvent::StartRefused { task, attempt }
                    } else {
                        CellEvent::StartConfirmed { task, attempt }
                    });
                }
            }
            WorkerMessage::Stop { task, checkpoint } => {
                if is_accepted && let Some((attempt, ..)) = worker.tasks.remove(&task) {
                    let end = if checkpoint { EndKind::Checkpointed } else { EndKind::Stopped };
                    self.send_task_end(index, task, attempt, end);
                }
            }
            WorkerMessage::Request { ticket, team, until } => {
                if is_accepted && self.now <= until {
                    worker.requests.insert((sent.owner, ticket), team);
                } else {
                    self.send_request_end(sent.owner, ticket, true);
                }
            }
        }
    }

    fn send_task_end(&mut self, index: usize, task: TaskId, attempt: u32, end: EndKind) {
        self.apply_event(CellEvent::TaskEnded { task, attempt, worker: Self::name(index), end });
    }

    fn send_request_end(&mut self, owner: u32, ticket: TicketNumber, healthy: bool) {
        self.granted.remove(&(owner, ticket));
        if owner == self.owner {
            self.apply_event(CellEvent::RequestEnded { ticket, healthy });
        }
    }

    /// Ends one running task of a worker as done or failed.
    fn end_task(&mut self, index: usize, which: usize) {
        let worker = &mut self.workers[index];
        let chosen = worker.tasks.keys().nth(which % worker.tasks.len().max(1)).cloned();
        if let Some(task) = chosen
            && let Some((attempt, ..)) = worker.tasks.remove(&task)
        {
            let end = if which.is_multiple_of(3) { EndKind::Failed } else { EndKind::Done };
            self.send_task_end(index, task, attempt, end);
        }
    }

    /// Ends one running request of a worker, answered or not.
    fn end_request(&mut self, index: usize, which: usize) {
        let worker = &mut self.workers[index];
        let chosen = worker.requests.keys().nth(which % worker.requests.len().max(1)).copied();
        if let Some((owner, ticket)) = chosen {
            worker.requests.remove(&(owner, ticket));
            self.send_request_end(owner, ticket, !which.is_multiple_of(4));
        }
    }

    /// Lets a worker build a report, which arrives later.
    fn build_report(&mut self, index: usize) {
        let (now, owner) = (self.now, self.owner);
        let worker = &mut self.workers[index];
        worker.highest_owner = worker.highest_owner.max(owner);
        let task =
            |(task, (attempt, team, amounts)): (&TaskId, &(u32, TeamName, ResourceAmounts))| {
                RunningTask {
                    task: task.clone(),
                    attempt: *attempt,
                    team: team.clone(),
                    amounts: *amounts,
                    usage: amounts.min(support::amounts(1, 1, 0, 0)),
                }
            };
        let update = WorkerUpdate {
            worker: Self::name(index),
            boot: format!("{}", worker.boot).as_str().into(),
            tasks: Some(worker.tasks.iter().map(task).collect()),
            slots_used: u32::try_from(worker.requests.len()).expect("few requests"),
            leaving: worker.leaving,
            sent_at: ClockMillis(now),
        };
        worker.report = Some((owner, update));
    }

    /// Delivers the report of a worker if its owner and its boot are still the current ones.
    fn deliver_report(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        let Some((owner, update)) = worker.report.take() else { return };
        // A report of an earlier boot is lost with its connection.
        if owner != self.owner || update.boot.as_str() != format!("{}", worker.boot) {
            return;
        }
        worker.known_boot = worker.boot;
        worker.usable = !worker.leaving;
        self.apply_event(CellEvent::WorkerReported(update));
    }

    /// Lets a worker's lease expire, by which it has stopped everything.
    fn expire_lease(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.tasks.clear();
        let requests: Vec<_> = std::mem::take(&mut worker.requests).into_keys().collect();
        worker.inbox.clear();
        worker.report = None;
        worker.usable = false;
        self.apply_event(CellEvent::WorkerLost(Self::name(index)));
        for (owner, ticket) in requests {
            self.send_request_end(owner, ticket, false);
        }
        self.end_granted_requests(index);
    }

    /// Ends the requests that were granted on a worker, as the entries that sent them do.
    fn end_granted_requests(&mut self, index: usize) {
        let keys: Vec<_> = self
            .granted
            .iter()
            .filter(|(_, (worker, _))| *worker == index)
            .map(|(key, _)| *key)
            .collect();
        for (owner, ticket) in keys {
            self.send_request_end(owner, ticket, false);
        }
    }

    /// Restarts a worker. All that it ran has ended; the cell learns it from the next report.
    fn restart(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.boot += 1;
        worker.tasks.clear();
        worker.requests.clear();
        worker.inbox.clear();
        worker.report = None;
        worker.leaving = false;
        self.end_granted_requests(index);
    }

    /// Submits a random job.
    fn submit(&mut self, kind: usize, shape: usize) {
        let team = TEAMS[shape % 3];
        let class = ["batch", "firm", "urgent", "service", "gang", "rush"][kind % 6];
        let size =
            [amounts(1, 1, 0, 0), amounts(2, 8, 0, 0), amounts(4, 2, 1, 0), amounts(7, 30, 0, 0)];
        let id = format!("j{}", self.next_job);
        self.next_job += 1;
        // A gang with more tasks than workers might never fit.
        let max_tasks = if class == "gang" || class == "rush" { WORKERS } else { 7 };
        let tasks = 1 + u32::try_from(shape % max_tasks).expect("small");
        let mut record =
            support::job_record(&id, &format!("{team}-{class}"), tasks, size[(shape / 7) % 4]);
        record.spec.run_ms = [0, 500, 5_000][(shape / 3) % 3];
        self.jobs.insert(record.spec.id.clone(), record.clone());
        self.apply_event(CellEvent::JobSubmitted(Arc::new(record)));
    }

    fn cancel(&mut self, which: usize) {
        let chosen = self.jobs.keys().nth(which % self.jobs.len().max(1)).cloned();
        if let Some(job) = chosen {
            self.apply_event(CellEvent::JobCancelled(job));
        }
    }

    /// Sends a random request.
    fn request_slot(&mut self, shape: usize) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let queue = format!("{}-{}", TEAMS[shape % 3], ["ask", "now"][(shape / 3) % 2]);
        let start_by = ClockMillis(self.now + 100 * (shape as u64 % 40));
        let avoid =
            if shape.is_multiple_of(5) { vec![Self::name(shape % WORKERS)] } else { Vec::new() };
        self.undecided.insert(ticket, start_by.0);
        self.apply_event(CellEvent::RequestArrived(SlotRequest {
            ticket,
            queue: queue.into(),
            start_by,
            avoid: avoid.into(),
        }));
    }

    fn set_domain_out(&mut self, out: bool) {
        self.domain_out = out;
        self.set.domains[0].state = if out { DomainState::Out } else { DomainState::In };
        self.apply_event(CellEvent::Config(Arc::new(self.set.clone())));
    }

    /// Removes a worker from the configuration, or brings it back.
    fn toggle_worker(&mut self, index: usize) {
        self.workers[index].removed = !self.workers[index].removed;
        let name = Self::name(index);
        if self.workers[index].removed {
            self.set.workers.retain(|object| object.name != name);
        } else {
            let (cores, gb, accelerators, slots) = CAPACITY;
            let all = support::object_set(WORKERS, amounts(cores, gb, accelerators, slots));
            self.set.workers.extend(all.workers.into_iter().filter(|object| object.name == name));
        }
        self.apply_event(CellEvent::Config(Arc::new(self.set.clone())));
    }

    /// Replaces the owner, with or without a handover; the new one reads jobs from their rows.
    fn change_owner(&mut self, handover: bool) {
        self.owner += 1;
        for worker in &mut self.workers {
            worker.report = None;
            worker.usable = false;
        }
        let domain = DomainName::from("d");
        if handover {
            let snapshot = self.cell.export();
            let (now, rules) = (ClockMillis(self.now), PolicyRules::ALL);
            self.cell = Cell::import(domain, 1, now, snapshot, BestFit, rules);
        } else {
            self.cell = Cell::new(domain, 1, self.owner * 1_000_000);
            self.undecided.clear();
            // A new owner does not know of workers that were removed before;
            // their leases have expired here (see `Cell::new`).
            for worker in self.workers.iter_mut().filter(|worker| worker.removed) {
                worker.tasks.clear();
                worker.requests.clear();
                worker.inbox.clear();
            }
        }
        // The new owner gets no events for the ends of requests that the earlier owner
        // granted, except after a handover. Their owner number becomes 0.
        let earlier = std::mem::take(&mut self.granted);
        for ((_, ticket), grant) in earlier {
            self.granted.insert((if handover { self.owner } else { 0 }, ticket), grant);
        }
        for worker in &mut self.workers {
            let requests = std::mem::take(&mut worker.requests);
            for ((_, ticket), team) in requests {
                worker.requests.insert((if handover { self.owner } else { 0 }, ticket), team);
            }
        }
        self.apply_event(CellEvent::Config(Arc::new(self.set.clone())));
        for (team, amounts) in self.allotments.clone() {
            self.apply_event(CellEvent::Allotment { team, amounts });
        }
        let records: Vec<_> = self.jobs.values().cloned().collect();
        for record in records {
            self.apply_event(CellEvent::JobSubmitted(Arc::new(record)));
        }
    }

    /// Moves the clock on and runs one random step.
    fn run_step(&mut self, kind: u8, first: usize, second: usize) {
        self.now += (second % 5) as u64 * 40;
        let index = first % WORKERS;
        match kind {
            0..=7 => self.deliver_message(index, second),
            8..=10 => self.submit(first, second),
            11..=13 => self.request_slot(second),
            14..=16 => self.end_task(index, second),
            17..=18 => self.end_request(index, second),
            19..=20 => self.build_report(index),
            21..=23 => self.deliver_report(index),
            24 => self.cancel(second),
            25 => {
                self.workers[index].usable = false;
                self.apply_event(CellEvent::WorkerSilent(Self::name(index)));
            }
            26 if second.is_multiple_of(3) => self.expire_lease(index),
            27 if second.is_multiple_of(3) => self.restart(index),
            28 => {
                self.set_allotment(
                    TEAMS[first % 3],
                    amounts(second as u64 % 32, 96, 4, second as u64 % 9),
                );
            }
            29 if second.is_multiple_of(3) => self.set_domain_out(!self.domain_out),
            30 if second.is_multiple_of(4) => self.change_owner(first.is_multiple_of(2)),
            31 => {
                self.now += 1_000;
                self.apply_event(CellEvent::Tick);
            }
            33 if second.is_multiple_of(3) => self.toggle_worker(index),
            32 if second.is_multiple_of(8) => {
                (self.workers[index].leaving, self.workers[index].usable) = (true, false);
                self.apply_event(CellEvent::WorkerLeaving(Self::name(index)));
            }
            _ => self.apply_event(CellEvent::Tick),
        }
    }

    /// Puts everything back in service, ends all work and checks that none is left.
    fn finish_all_work(&mut self) {
        if self.domain_out {
            self.set_domain_out(false);
        }
        for index in 0..WORKERS {
            if self.workers[index].removed {
                self.toggle_worker(index);
            }
        }
        for team in TEAMS {
            self.set_allotment(team, ResourceAmounts::UNLIMITED);
        }
        for index in 0..WORKERS {
            // Only a restart ends a leave, which the cell sees by a boot other than the
            // last reported one.
            self.build_report(index);
            self.deliver_report(index);
            self.restart(index);
        }
        for _ in 0..600 {
            self.now += 250;
            for index in 0..WORKERS {
                self.build_report(index);
                self.deliver_report(index);
                while !self.workers[index].inbox.is_empty() {
                    self.deliver_message(index, 0);
                }
                while !self.workers[index].tasks.is_empty() {
                    self.end_task(index, 1);
                }
                while !self.workers[index].requests.is_empty() {
                    self.end_request(index, 1);
                }
            }
            self.apply_event(CellEvent::Tick);
        }
        assert!(self.undecided.is_empty(), "requests without a decision: {:?}", self.undecided);
        assert!(self.jobs.is_empty(), "jobs that never ended: {:?}", self.jobs.values());
        for team in TEAMS {
            let used = self.cell.team_usage(&team.into());
            assert!(used.is_zero(), "team {team} is left with {used:?} in use");
        }
        assert_eq!(self.cell.running_status().count(), 0, "tasks left over");
    }
}

impl ModelWorker {
    fn takes_work(&self) -> bool {
        self.usable && !self.removed
    }

    /// Returns whether a message can still take effect.
    fn is_valid(&self, sent: &InFlight, now: u64) -> bool {
        let for_boot =
            sent.boot == self.boot || !matches!(sent.message, WorkerMessage::Start { .. });
        let in_time = match sent.message {
            WorkerMessage::Start { .. } => now - sent.at <= 8_000,
            WorkerMessage::Request { until, .. } => now <= until,
            WorkerMessage::Stop { .. } => true,
        };
        sent.owner >= self.highest_owner && for_boot && in_time
    }

    /// Returns the task (`None` for a request), team and amounts of all that runs, and of
    /// all that messages in flight can still start.
    fn all_usage(&self, now: u64) -> Vec<(Option<&TaskId>, &TeamName, ResourceAmounts)> {
        let tasks =
            self.tasks.iter().map(|(task, (_, team, amounts))| (Some(task), team, *amounts));
        let requests = self.requests.values().map(|team| (None, team, request_amounts()));
        let coming = self.inbox.iter().filter(|sent| self.is_valid(sent, now));
        let coming = coming.filter_map(|sent| match &sent.message {
            WorkerMessage::Start { task, team, amounts, .. } => Some((Some(task), team, *amounts)),
            WorkerMessage::Request { team, .. } => Some((None, team, request_amounts())),
            WorkerMessage::Stop { .. } => None,
        });
        tasks.chain(requests).chain(coming).collect()
    }

    fn may_run(&self, now: u64, matches: impl Fn(&TaskId) -> bool) -> bool {
        self.all_usage(now).iter().any(|(task, ..)| task.is_some_and(&matches))
    }
}

fn sum(amounts: impl Iterator<Item = ResourceAmounts>) -> ResourceAmounts {
    amounts.fold(ResourceAmounts::ZERO, ResourceAmounts::plus)
}

/// Guards against overcommitted workers, tasks that run twice, teams above their allotment,
/// starts in a domain that is out, requests that are decided twice, and work that never
/// ends. They come about when reports, messages, restarts and owner changes cross. The
/// same events must also give the same decisions.
#[test]
fn promises_hold_under_random_events() {
    let given = std::env::var("POLICY_SEED").ok().and_then(|text| text.parse().ok());
    let seed: u64 = given.unwrap_or_else(rand::random);
    println!("POLICY_SEED={seed}");
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let cases = std::env::var("POLICY_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(200), failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let step = (0..36_u8, 0..64_usize, 0..256_usize);
    let steps = proptest::collection::vec(step, 0..400);
    let result = runner.run(&steps, |steps| {
        let run = || {
            let mut simulation = Simulation::new();
            for (kind, first, second) in &steps {
                simulation.run_step(*kind, *first, *second);
            }
            simulation.finish_all_work();
            simulation.decisions
        };
        assert!(run() == run(), "the same events gave other decisions");
        Ok(())
    });
    if let Err(error) = result {
        panic!("POLICY_SEED={seed}: {error}");
    }
}
