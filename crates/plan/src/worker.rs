//! Registrations of workers, their run reports and their answers to starts.

use std::collections::BTreeSet;

use arcstr::ArcStr;
use model::name::{DomainName, JobId, WorkerName};
use model::resource::ResourceAmounts;
use serde::{Deserialize, Serialize};

use crate::job::TaskKey;

/// A worker as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Name of the worker, which is the key of its registration. Calls carry it, and another
    /// registration that answers at the same address refuses them.
    pub name: WorkerName,
    /// Pool that the worker belongs to.
    pub pool: ArcStr,
    /// Failure domain of the worker.
    pub domain: DomainName,
    /// Kind of the worker, and its rack as the last label.
    pub labels: Vec<ArcStr>,
    /// Resources that the tasks on the worker may use together.
    pub capacity: ResourceAmounts,
    /// Whether the worker is about to leave and takes no new tasks.
    pub draining: bool,
    /// Least time until a draining worker leaves, in milliseconds from when the registration was
    /// written; none if it is not known.
    pub remaining_ms: Option<u64>,
}

impl WorkerInfo {
    /// Returns whether two registrations agree apart from [`Self::remaining_ms`], which falls with
    /// each heartbeat of a draining worker.
    #[must_use]
    pub fn agrees_with(&self, other: &Self) -> bool {
        let other = Self { remaining_ms: self.remaining_ms, ..other.clone() };
        *self == other
    }

    /// Returns the rack, which is the last of several labels.
    #[must_use]
    pub fn rack(&self) -> Option<&ArcStr> {
        if self.labels.len() > 1 { self.labels.last() } else { None }
    }
}

/// Runs of an earlier owner that may be present on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum InheritedRuns {
    /// Only runs of these jobs: the worker was not registered, silent or draining, so that
    /// nothing was started there since the jobs were listed.
    OfJobs(BTreeSet<JobId>),
    /// Runs of any job that the earlier owner knew.
    Any,
}

/// A run that a worker reports as present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentRun {
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Saved progress; empty for none.
    pub saved: ArcStr,
    /// Speed at which the run works, in per cent of full speed: 0 to 100, and 100 at its start.
    /// A service is at work only while it is 100.
    pub speed_percent: u32,
    /// Tail response time of a service, in milliseconds; processor use of any other task.
    pub measurement: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired during the run.
    Lapsed,
    /// The run of another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

/// A run that ended; a worker reports it until the end is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end; numbers rise within an incarnation of the worker.
    pub number: u64,
    /// Task of the run.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub kind: EndKind,
    /// Saved progress; empty for none.
    pub saved: ArcStr,
}

/// All present runs of a worker at one moment, and its unacknowledged ended runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Incarnation of the worker: when its process started; a later one is larger.
    pub incarnation: u64,
    /// Runs that are present.
    pub running: Vec<PresentRun>,
    /// Runs that ended and are not acknowledged yet, in the order of their numbers.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have further ended runs, which it lists only once these are
    /// acknowledged. A run that is missing may then be one of them.
    pub is_partial: bool,
}

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is present.
    Started,
    /// The worker refused the start and did nothing.
    Refused(RefusalKind),
    /// No answer came; the run may have started or may still start.
    Unknown,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The worker has seen a higher fencing token, of a later owner.
    Fenced,
    /// A run of the task with this or a higher number has ended or was stopped there.
    OldRun,
    /// The order arrived after its deadline.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The advice ticket is missing or has expired.
    Ticket,
    /// The worker is not healthy, or another registration answered at its address.
    Unhealthy,
    /// Not sent, as the run was not wanted any more when its turn came.
    Withdrawn,
}
