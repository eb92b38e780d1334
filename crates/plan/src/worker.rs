//! What workers say of themselves and of their runs.

use arcstr::ArcStr;
use model::name::{DomainName, WorkerName};
use model::resource::ResourceAmounts;

use crate::job::TaskKey;

/// A worker as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerInfo {
    /// Identifier of this life of the worker.
    pub name: WorkerName,
    /// Pool that the worker belongs to.
    pub pool: ArcStr,
    /// Failure domain.
    pub domain: DomainName,
    /// Kind of the worker and its rack.
    pub labels: Vec<ArcStr>,
    /// What may run there at once.
    pub capacity: ResourceAmounts,
    /// Whether the worker is about to leave.
    pub draining: bool,
}

impl WorkerInfo {
    /// Returns the rack, which is the last label.
    #[must_use]
    pub fn rack(&self) -> Option<&ArcStr> {
        if self.labels.len() > 1 { self.labels.last() } else { None }
    }
}

/// A run that a worker lists as present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PresentRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Saved progress; empty for none.
    pub saved: ArcStr,
    /// Progress in per cent; of a service, 100 while it is at work.
    pub percent: u32,
    /// Tail response time in milliseconds of a service, processor use of any other task.
    pub gauge: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped on order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not come.
    Alone,
}

/// An end that a worker keeps until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
    /// Saved progress; empty for none.
    pub saved: ArcStr,
}

/// The runs of a worker at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// Start of this life of the worker.
    pub incarnation: u64,
    /// What is present.
    pub running: Vec<PresentRun>,
    /// What ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// How a worker answered a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is present.
    Started,
    /// The worker refused and has done nothing.
    Refused(RefusalKind),
    /// No answer: the run may start later.
    Unknown,
}

/// Why a worker refused a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// A higher fencing token was seen.
    Fenced,
    /// The run's number is not above one that ended or was stopped there.
    OldRun,
    /// The order came after its deadline.
    Late,
    /// The task does not fit.
    NoRoom,
    /// The advice ticket is missing or has expired.
    Ticket,
    /// The worker is not healthy, or another life of it answered.
    Unhealthy,
}
