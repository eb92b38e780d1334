//! Decisions of the planner: starts, stops, the pace of runs, and requests for advice.

use std::sync::Arc;

use arcstr::ArcStr;
use model::name::WorkerName;
use serde::{Deserialize, Serialize};

use crate::job::{JobSpec, StepKey, TaskKey};

/// An action that the planner's caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanDecision {
    /// Start a run of a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Let a run work at a part of its speed.
    Pace(PaceOrder),
    /// Ask the advice service which workers may run a step.
    RequestAdvice(AdviceRequest),
}

/// An order to a worker to start one run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Worker that runs the task.
    pub worker: WorkerName,
    /// Task to run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Job of the task, whose payload is sent with the order.
    pub job: Arc<JobSpec>,
    /// Saved progress to resume from; empty for none.
    pub saved: ArcStr,
    /// Ticket of the advice service; empty for none.
    pub ticket: ArcStr,
}

/// An order to a worker to stop one run of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Worker that has the run.
    pub worker: WorkerName,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Reason for the log and the metrics.
    pub reason: &'static str,
}

/// An order to a worker to let one run work, and disturb others, at a part of its speed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// Worker that has the run.
    pub worker: WorkerName,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Speed in per cent of full speed.
    pub percent: u32,
}

/// A request to the advice service: which of these workers may run a step.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// Step to be started.
    pub step: StepKey,
    /// Workers that the service has to judge.
    pub workers: Vec<WorkerName>,
    /// Expected duration of the call, in milliseconds.
    pub duration_ms: f64,
    /// Priority of the queue; 0 is the most urgent.
    pub priority: u32,
}

/// An answer of the advice service, or the failure of a call to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// Step of the request.
    pub step: StepKey,
    /// Workers that were judged; empty if the call failed.
    #[serde(rename = "asked")]
    pub considered: Vec<WorkerName>,
    /// Workers that may run the step, each with its ticket.
    #[serde(rename = "good")]
    pub eligible: Vec<(WorkerName, ArcStr)>,
}
