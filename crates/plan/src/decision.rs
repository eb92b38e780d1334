//! What a planner decides.

use std::sync::Arc;

use arcstr::ArcStr;
use model::name::WorkerName;
use serde::{Deserialize, Serialize};

use crate::job::{JobSpec, StepKey, TaskKey};

/// Something that the planner wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlanDecision {
    /// Start a run of a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    RequestAdvice(AdviceRequest),
}

/// A start of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Where.
    pub worker: WorkerName,
    /// What.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The job, for its payload.
    pub job: Arc<JobSpec>,
    /// Saved progress to resume from; empty for none.
    pub saved: ArcStr,
    /// Ticket of the advice service; empty for none.
    pub ticket: ArcStr,
}

/// A stop of one run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// Where.
    pub worker: WorkerName,
    /// What.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why, for the log.
    pub reason: &'static str,
}

/// A question to the advice service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Workers to be judged.
    pub workers: Vec<WorkerName>,
    /// Expected duration of the call in milliseconds.
    pub duration_ms: f64,
    /// Urgency of the queue; 0 comes first.
    pub priority: u32,
}

/// An answer of the advice service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceAnswer {
    /// The step.
    pub step: StepKey,
    /// Workers that were judged; empty if the call failed.
    #[serde(rename = "asked")]
    pub considered: Vec<WorkerName>,
    /// Workers that may run the step, each with its ticket.
    #[serde(rename = "good")]
    pub eligible: Vec<(WorkerName, ArcStr)>,
}
