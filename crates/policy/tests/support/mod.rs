//! A cell with a clock, and builders of events, shared by the tests of the policy.

#![allow(dead_code, reason = "each test file uses a part of the builders")]

use std::sync::Arc;

use model::job::{JobRecord, JobSpec, JobState};
use model::name::{DomainName, JobId, TaskId, TeamName, WorkerName};
use model::object::{
    ClassKind, ClassObject, DomainObject, DomainState, ObjectSet, QueueObject, ShareObject,
    TeamObject, UrgencyLevel, WorkerObject,
};
use model::resource::ResourceAmounts;
use model::time::ClockMillis;
use policy::cell::Cell;
use policy::event::{
    CellDecision, CellEvent, EndKind, RunningTask, SlotRequest, TicketNumber, WorkerUpdate,
};
use policy::placement::{BestFit, PlacementRule};
use policy::rules::PolicyRules;

/// Returns amounts of so many cores, gigabytes of memory, accelerators and slots.
pub fn amounts(cores: u64, gb: u64, accelerators: u64, slots: u64) -> ResourceAmounts {
    ResourceAmounts { cpu_millis: cores * 1000, memory_mb: gb * 1024, accelerators, slots }
}

pub fn task(job: &str, index: u32) -> TaskId {
    TaskId { job: JobId::from(job), index }
}

/// Classes, each with its kind, its urgency and whether it is preemptible. Every team has
/// a queue `TEAM-CLASS` for each of them.
const CLASSES: [(&str, ClassKind, UrgencyLevel, bool); 8] = [
    ("ask", ClassKind::Request, UrgencyLevel::Normal, false),
    ("now", ClassKind::Request, UrgencyLevel::Urgent, false),
    ("batch", ClassKind::Batch, UrgencyLevel::Batch, true),
    ("firm", ClassKind::Batch, UrgencyLevel::Batch, false),
    ("urgent", ClassKind::Batch, UrgencyLevel::Urgent, false),
    ("service", ClassKind::Service, UrgencyLevel::Normal, false),
    ("gang", ClassKind::Gang, UrgencyLevel::Batch, true),
    ("rush", ClassKind::Gang, UrgencyLevel::Urgent, false),
];

/// Returns a configuration with the domain `d`, the teams `a`, `b` and `c`, and the workers
/// `w0`, `w1` and so on, two to a rack.
pub fn object_set(workers: usize, capacity: ResourceAmounts) -> ObjectSet {
    let mut set = ObjectSet {
        domains: vec![DomainObject {
            name: "d".into(),
            region: String::new(),
            state: DomainState::In,
        }],
        ..ObjectSet::default()
    };
    for index in 0..workers {
        set.workers.push(WorkerObject {
            name: format!("w{index}").into(),
            domain: "d".into(),
            rack: format!("r{}", index / 2).into(),
            address: String::new(),
            capacity,
            connections: 64,
        });
    }
    for (name, kind, urgency, preemptible) in CLASSES {
        let amounts =
            if kind == ClassKind::Request { amounts(1, 1, 0, 0) } else { amounts(0, 0, 0, 0) };
        set.classes.push(ClassObject { name: name.into(), kind, urgency, amounts, preemptible });
    }
    for team in ["a", "b", "c"] {
        set.teams.push(TeamObject { name: team.into(), parent: None });
        for (class, ..) in CLASSES {
            set.queues.push(QueueObject {
                name: format!("{team}-{class}").into(),
                team: team.into(),
                open: false,
                class: class.into(),
                bound: 10,
            });
        }
    }
    set
}

/// Adds the weight of a team's share to a configuration.
pub fn with_weight(mut set: ObjectSet, team: &str, weight: u32) -> ObjectSet {
    set.shares.push(ShareObject { name: team.into(), team: team.into(), weight });
    set
}

/// Returns the record of a new job; the queue's name starts with its team.
#[expect(clippy::default_trait_access, reason = "the payload's type is not a dependency here")]
pub fn job_record(id: &str, queue: &str, tasks: u32, amounts: ResourceAmounts) -> JobRecord {
    let team = queue.split('-').next().unwrap_or_default();
    JobRecord {
        spec: JobSpec {
            id: id.into(),
            queue: queue.into(),
            tasks,
            amounts,
            run_ms: 0,
            payload: Default::default(),
        },
        team: team.into(),
        domain: "d".into(),
        state: JobState::Accepted,
        done: Vec::new(),
    }
}

/// A cell with its clock.
pub struct TestCell<R: PlacementRule = BestFit> {
    pub cell: Cell<R>,
    pub now: u64,
}

impl TestCell {
    /// Returns a cell with idle workers of 8 cores, 32 GB and 4 slots each, and unlimited
    /// allotments.
    pub fn with_workers(workers: usize) -> Self {
        Self::with_set(object_set(workers, amounts(8, 32, 0, 4)))
    }

    /// Returns a cell with a configuration, idle workers and unlimited allotments.
    pub fn with_set(set: ObjectSet) -> Self {
        Self::with_rules(set, PolicyRules::ALL)
    }

    /// Returns such a cell with some rules of the policy switched off.
    pub fn with_rules(set: ObjectSet, rules: PolicyRules) -> Self {
        let cell = Cell::with_rule(DomainName::from("d"), 7, 0, BestFit, rules);
        let mut cell = Self { cell, now: 1_000 };
        let names: Vec<_> = set.workers.iter().map(|worker| worker.name.clone()).collect();
        cell.apply_event(CellEvent::Config(Arc::new(set)));
        for team in ["a", "b", "c"] {
            cell.set_allotment(team, ResourceAmounts::UNLIMITED);
        }
        for name in names {
            cell.report(name.as_str(), Vec::new());
        }
        cell
    }
}

impl<R: PlacementRule> TestCell<R> {
    pub fn apply_event(&mut self, event: CellEvent) -> Vec<CellDecision> {
        self.cell.apply(ClockMillis(self.now), event)
    }

    /// Moves the clock on and sends one tick.
    pub fn advance(&mut self, millis: u64) -> Vec<CellDecision> {
        self.now += millis;
        self.apply_event(CellEvent::Tick)
    }

    /// Moves the clock on and sends a tick every 50 ms.
    pub fn advance_in_ticks(&mut self, millis: u64) -> Vec<CellDecision> {
        (0..millis / 50).flat_map(|_| self.advance(50)).collect()
    }

    pub fn set_allotment(&mut self, team: &str, amounts: ResourceAmounts) -> Vec<CellDecision> {
        self.apply_event(CellEvent::Allotment { team: team.into(), amounts })
    }

    /// Returns a report of an idle endpoint with these tasks, requested now.
    pub fn worker_update(&self, worker: &str, tasks: Option<Vec<RunningTask>>) -> WorkerUpdate {
        WorkerUpdate {
            worker: worker.into(),
            boot: "boot".into(),
            tasks,
            slots_used: 0,
            leaving: false,
            sent_at: ClockMillis(self.now),
        }
    }

    /// Applies a full report of a worker.
    pub fn report(&mut self, worker: &str, tasks: Vec<RunningTask>) -> Vec<CellDecision> {
        let update = self.worker_update(worker, Some(tasks));
        self.apply_event(CellEvent::WorkerReported(update))
    }

    /// Submits a job without a declared run time.
    pub fn submit(
        &mut self,
        id: &str,
        queue: &str,
        tasks: u32,
        amounts: ResourceAmounts,
    ) -> Vec<CellDecision> {
        self.apply_event(CellEvent::JobSubmitted(Arc::new(job_record(id, queue, tasks, amounts))))
    }

    /// Submits a job whose tasks declare a run time.
    pub fn submit_with_run_time(
        &mut self,
        id: &str,
        queue: &str,
        tasks: u32,
        amounts: ResourceAmounts,
        run_ms: u64,
    ) -> Vec<CellDecision> {
        let mut record = job_record(id, queue, tasks, amounts);
        record.spec.run_ms = run_ms;
        self.apply_event(CellEvent::JobSubmitted(Arc::new(record)))
    }

    /// Sends a request that may wait for `wait_ms`.
    pub fn request_slot(
        &mut self,
        ticket: TicketNumber,
        queue: &str,
        wait_ms: u64,
    ) -> Vec<CellDecision> {
        let start_by = ClockMillis(self.now + wait_ms);
        let avoid = Vec::<WorkerName>::new().into();
        self.apply_event(CellEvent::RequestArrived(SlotRequest {
            ticket,
            queue: queue.into(),
            start_by,
            avoid,
        }))
    }

    /// Ends a request that the worker answered.
    pub fn end_request(&mut self, ticket: TicketNumber) -> Vec<CellDecision> {
        self.apply_event(CellEvent::RequestEnded { ticket, healthy: true })
    }

    pub fn end_task(&mut self, start: &Start, end: EndKind) -> Vec<CellDecision> {
        self.apply_event(CellEvent::TaskEnded {
            task: start.task.clone(),
            attempt: start.attempt,
            worker: start.worker.clone(),
            end,
        })
    }

    pub fn team_usage(&self, team: &str) -> ResourceAmounts {
        self.cell.team_usage(&TeamName::from(team))
    }
}

/// The parts of a start decision that the tests check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    pub task: TaskId,
    pub attempt: u32,
    pub worker: WorkerName,
    pub amounts: ResourceAmounts,
}

/// Returns the started tasks.
pub fn starts(decisions: &[CellDecision]) -> Vec<Start> {
    let start = |decision: &CellDecision| match decision {
        CellDecision::StartTask { task, attempt, worker, amounts, .. } => Some(Start {
            task: task.clone(),
            attempt: *attempt,
            worker: worker.clone(),
            amounts: *amounts,
        }),
        _ => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// Returns the stopped tasks, whether each is checkpointed, and the reasons.
pub fn stops(decisions: &[CellDecision]) -> Vec<(TaskId, bool, &'static str)> {
    let stop = |decision: &CellDecision| match decision {
        CellDecision::StopTask { task, checkpoint, reason, .. } => {
            Some((task.clone(), *checkpoint, *reason))
        }
        _ => None,
    };
    decisions.iter().filter_map(stop).collect()
}

/// Returns the granted requests with their workers.
pub fn grants(decisions: &[CellDecision]) -> Vec<(TicketNumber, WorkerName)> {
    let grant = |decision: &CellDecision| match decision {
        CellDecision::GrantRequest { ticket, worker, .. } => Some((*ticket, worker.clone())),
        _ => None,
    };
    decisions.iter().filter_map(grant).collect()
}

/// Returns a started task as its worker reports it.
pub fn reported_task(start: &Start, team: &str) -> RunningTask {
    RunningTask {
        task: start.task.clone(),
        attempt: start.attempt,
        team: team.into(),
        amounts: start.amounts,
        usage: ResourceAmounts::ZERO,
    }
}
