//! The HTTP API towards callers and operators.

use model::check::CheckProblem;
use model::name::{DomainName, JobId};
use model::object::{DomainState, ObjectSet};
use serde::{Deserialize, Serialize};

/// Path of the configuration (`GET`, `PUT`).
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of jobs (`POST`, and with an identifier `GET` and `DELETE`).
pub const JOB_PATH: &str = "/v1/jobs";
/// Prefix of queue paths; `POST {queue}/request` sends a request.
pub const QUEUE_PREFIX: &str = "/v1/queues/";
/// Path of the status of one entry (`GET`).
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the readiness check for the balancer (`GET`).
pub const READY_PATH: &str = "/health/ready";
/// Path of the metrics in Prometheus text format (`GET`).
pub const METRICS_PATH: &str = "/metrics";

/// Header with the request's identifier, chosen by the caller or minted.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that marks a request as non-idempotent by the value `false`.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header with the milliseconds after which the caller no longer wants the answer.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header of every answer that tells its outcome.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Header with the version that an operator's change is based on.
pub const BASE_VERSION_HEADER: &str = "x-base-version";
/// Header with the identifier of an operator's change.
pub const CHANGE_ID_HEADER: &str = "x-change-id";

/// A published configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Version, from 1; 0 before the first publication.
    pub version: u64,
    /// Identifier of the change that published it.
    pub change_id: String,
    /// The whole set.
    pub objects: ObjectSet,
}

/// Answer to a change: 200 when in force everywhere, 202 when committed only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyReply {
    /// Version that the change was committed as.
    pub version: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// Domains whose owner enforces this version or a later one.
    pub in_force: Vec<DomainName>,
    /// Domains whose owner has not confirmed it yet.
    pub not_confirmed: Vec<DomainName>,
}

/// Answer to an accepted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitReply {
    /// The job.
    pub job: JobId,
    /// Domain that runs it.
    pub domain: DomainName,
}

/// Status of one entry and of the domain that it is in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatusReply {
    /// Name of the entry.
    pub name: String,
    /// The entry's failure domain.
    pub domain: DomainName,
    /// Whether this entry owns the domain.
    pub is_owner: bool,
    /// Authority that this entry knows, `TERM.HANDOVER`.
    pub authority: String,
    /// Version in force here.
    pub config_version: u64,
    /// Whether the platform answered within the last seconds.
    pub platform_reachable: bool,
    /// Whether this entry is shutting down.
    pub draining: bool,
    /// Domains with their state and the version that their owner confirmed.
    pub domains: Vec<DomainStatus>,
    /// Workers of this domain; filled by the owner only.
    pub workers: Vec<WorkerStatus>,
}

/// Status of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainStatus {
    /// The domain.
    pub name: DomainName,
    /// Whether it takes work.
    pub state: DomainState,
    /// Version that its owner confirmed; 0 if none is known.
    pub confirmed: u64,
}

/// Status of a worker as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerStatus {
    /// Name of the worker.
    pub name: String,
    /// `reported`, `unreported`, `silent`, `lost`, `leaving`, `quarantined` or `removed`.
    pub state: String,
    /// Running tasks.
    pub tasks: u32,
    /// Request slots in use.
    pub slots_used: u32,
}

/// Answer to a check of an object set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CheckReply {
    /// Everything that is wrong.
    pub problems: Vec<CheckProblem>,
}
