//! The part of the configuration that the planner needs.

use std::collections::{BTreeMap, BTreeSet};

use arcstr::ArcStr;
use model::name::{DomainName, QueueName, TeamName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};

/// Queues, teams and excluded domains, as one configuration version sets them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlanConfig {
    /// Version of the configuration, for log lines.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, QueueRule>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, TeamRule>,
    /// Failure domains that are out of service.
    pub domains_out: BTreeSet<DomainName>,
}

/// Scheduling rules for the jobs of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Pool of workers that runs the tasks.
    pub pool: ArcStr,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Failed runs of a task, or of a whole gang, after which the job fails.
    pub max_attempts: u32,
    /// Factor on the declared work of the critical path, for the time objective.
    pub stretch: f64,
    /// Milliseconds that the time objective adds to the stretched critical path.
    pub target_ms: u64,
    /// Cost of asking which workers may run a step; `None` if all workers may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceCost>,
}

/// Duration of calls to the advice service, and validity of its tickets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Milliseconds for a call, apart from those for its workers.
    pub call_ms: f64,
    /// Additional milliseconds for each worker that the call names.
    pub worker_ms: f64,
    /// Milliseconds for which workers accept a ticket.
    pub valid_ms: u64,
}

impl AdviceCost {
    /// Returns the expected duration of a call that names `workers` workers, in milliseconds.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a call names at most 100 workers")]
    pub fn duration_ms(&self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// Share and limit of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamRule {
    /// Share of the team: jobs a second that it may submit before they rank lower.
    pub weight: u64,
    /// Most resources that the team's running tasks may use;
    /// [`ResourceAmounts::UNLIMITED`] for no limit.
    pub limit: ResourceAmounts,
}
