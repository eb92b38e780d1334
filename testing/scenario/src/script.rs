//! What a scenario file says, as data.

use std::time::Duration;

use model::name::{DomainName, KeyName, QueueName, TeamName};
use model::object::{ClassKind, DomainState, UrgencyLevel};
use wire::platform::VmState;

/// A whole scenario file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScenarioScript {
    /// The processes and objects that exist from the start.
    pub cell: CellLayout,
    /// What happens, in order.
    pub steps: Vec<ScriptStep>,
}

/// The processes and objects of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellLayout {
    /// Failure domains.
    pub domains: Vec<DomainLayout>,
    /// Teams with their keys, shares and limits.
    pub teams: Vec<TeamLayout>,
    /// Queues.
    pub queues: Vec<QueueLayout>,
    /// Settings that differ from the entry's defaults.
    pub options: EntryOptions,
}

/// A failure domain and the VMs in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainLayout {
    /// Name.
    pub name: DomainName,
    /// Number of entries.
    pub entries: u32,
    /// Number of workers.
    pub workers: u32,
    /// Request slots of each worker.
    pub slots: u64,
    /// Cores of each worker.
    pub cores: u64,
    /// Memory of each worker in mebibytes.
    pub memory: u64,
    /// Connections of each worker.
    pub connections: u32,
    /// Racks over which the workers are spread.
    pub racks: u32,
}

/// A team with the objects that belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLayout {
    /// Name.
    pub name: TeamName,
    /// Keys; one with the team's name if the file names none.
    pub keys: Vec<KeyName>,
    /// Weight of the share, if it has one.
    pub share: Option<u32>,
    /// Limit, if it has one.
    pub limit: Option<AmountPatch>,
}

/// Amounts of the resources that were named.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AmountPatch {
    /// Request slots.
    pub slots: Option<u64>,
    /// Thousandths of a core.
    pub cpu: Option<u64>,
    /// Mebibytes.
    pub memory: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
}

/// A queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueLayout {
    /// Name.
    pub name: QueueName,
    /// Team to which its work counts.
    pub team: TeamName,
    /// Whether it takes work without a key.
    pub open: bool,
    /// Kind of its class.
    pub class: ClassKind,
    /// Urgency of its class.
    pub urgency: UrgencyLevel,
    /// Most pieces of work waiting, if it differs from the default.
    pub bound: Option<u32>,
}

/// Settings of all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryOptions {
    /// Time without platform contact until keyed work is refused.
    pub contact_bound: Option<Duration>,
    /// Longest time that a shutdown waits for requests in flight.
    pub drain: Option<Duration>,
    /// Time between failing the readiness check and closing the listener.
    pub balancer_delay: Option<Duration>,
}

/// One step with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptStep {
    /// Line of the file, from 1.
    pub line: usize,
    /// Source text of the step.
    pub text: String,
    /// What to do.
    pub action: StepAction,
}

/// What a step does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepAction {
    /// Sends requests in the background.
    Load(LoadPlan),
    /// Submits a job in the background.
    Job(JobPlan),
    /// Waits.
    Wait(Duration),
    /// Waits until every running entry says that it is ready.
    WaitReady(Duration),
    /// Sends a signal to a process or starts it again.
    Signal {
        /// Which signal.
        kind: SignalKind,
        /// Which process.
        process: ProcessRef,
        /// Name by which later steps refer to the process.
        alias: Option<String>,
    },
    /// Gives a name to the process that a place stands for now.
    Name(ProcessRef, String),
    /// Makes the network misbehave.
    Fault(FaultPlan),
    /// Ends one named network fault, or all.
    Heal(Option<String>),
    /// Makes the platform misbehave.
    Platform(PlatformFault),
    /// Applies one change.
    Apply(ApplyPlan),
    /// Applies several changes that are based on the same version.
    Race(Vec<ApplyPlan>),
    /// Announces that a worker leaves.
    Leave(PlaceRef),
    /// Sets what a worker does wrongly; replaces what was set before.
    WorkerFault(PlaceRef, WorkerFault),
    /// Stops and starts the entries one after another.
    RollingRestart(Option<DomainName>),
    /// Changes the platform's list of VMs; `None` removes the VM.
    Vm(ProcessRef, Option<VmState>),
    /// Compares what happened with what was expected.
    Expect(RunExpectation),
}

/// Requests sent at a steady rate for a bounded time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Queue.
    pub queue: QueueName,
    /// Team whose key is presented.
    pub team: TeamName,
    /// Key that is presented; `None` sends none.
    pub key: Option<KeyName>,
    /// Domain whose entries get the requests.
    pub domain: DomainName,
    /// Requests per second.
    pub rate: u64,
    /// Run time of each request.
    pub run: Duration,
    /// Bytes of each answer.
    pub answer: u64,
    /// Whether the requests are marked as idempotent.
    pub idempotent: bool,
    /// How long requests are sent.
    pub length: Duration,
    /// Deadline of each request.
    pub deadline: Duration,
    /// How often a request without an answer is sent again with its identifier.
    pub retry: u64,
}

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Team whose key is presented.
    pub team: TeamName,
    /// Key that is presented.
    pub key: KeyName,
    /// Queue.
    pub queue: QueueName,
    /// Domain whose entry gets the job; the first domain if absent.
    pub domain: Option<DomainName>,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task reserves.
    pub amounts: AmountPatch,
    /// Run time of each task.
    pub run: Duration,
}

/// Which signal a step sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalKind {
    /// `SIGKILL`.
    Kill,
    /// `SIGSTOP`.
    Pause,
    /// `SIGCONT`.
    Resume,
    /// `SIGTERM`.
    Terminate,
    /// Starts a process that has ended, at the same addresses.
    Start,
}

/// A VM of a domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceRef {
    /// The domain.
    pub domain: DomainName,
    /// Which VM of the domain.
    pub kind: PlaceKind,
}

/// Which VM of a domain is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceKind {
    /// The entry that says it owns the domain.
    Owner,
    /// The first entry that answers and does not own the domain.
    Standby,
    /// The VM with this number, from 1.
    Number(u32),
}

/// An entry, by its place or by an alias given earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryRef {
    /// By its place.
    Place(PlaceRef),
    /// By an alias.
    Alias(String),
}

/// A process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessRef {
    /// An entry, or whatever an alias stands for.
    Entry(EntryRef),
    /// A worker.
    Worker(PlaceRef),
}

/// One side of a network fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// The platform.
    Platform,
    /// All workers of all domains.
    Workers,
    /// One worker.
    Worker(PlaceRef),
    /// One entry.
    Entry(EntryRef),
    /// All entries and workers of a domain.
    Domain(DomainName),
}

/// A fault of the network between two sides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// What happens to the traffic.
    pub kind: FaultKind,
    /// One side.
    pub left: LinkSide,
    /// The other side.
    pub right: LinkSide,
    /// Limits the fault to bytes from left to right (`ToTarget`) or back.
    pub way: FaultWay,
    /// Name for `heal`.
    pub alias: Option<String>,
}

/// What happens to the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Bytes are discarded.
    Cut,
    /// Bytes are held until the fault ends.
    Freeze,
    /// Bytes of replies are discarded.
    DropReplies,
    /// Bytes are late.
    Delay(Duration),
    /// Connections are reset and refused.
    Reset,
}

/// Direction of a network fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultWay {
    /// Both directions.
    Both,
    /// From left to right.
    ToTarget,
    /// From right to left.
    ToClient,
}

/// A fault of the platform; each replaces the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// Nothing is answered.
    Down,
    /// No fault.
    Up,
    /// Answers are late.
    Slow(Duration),
    /// Replies to committed transactions are lost.
    LoseReplies {
        /// How many replies.
        count: u64,
        /// Only transactions that write a key with this prefix.
        prefix: Option<String>,
    },
}

/// What a worker does wrongly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFault {
    /// Answers end in the middle.
    pub truncate_answers: bool,
    /// Answers carry another request's identifier.
    pub swap_ids: bool,
    /// Every task fails at once.
    pub fail_tasks: bool,
    /// Answers are late by this time.
    pub answer_delay: Duration,
}

/// A change that an operator applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyPlan {
    /// The change.
    pub change: ConfigChange,
    /// Entry that gets the change; any ready one if absent.
    pub via: Option<EntryRef>,
    /// Name for `expect apply`.
    pub alias: Option<String>,
}

/// An edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigChange {
    /// Removes a key.
    Withdraw(KeyName),
    /// Adds a key to a team.
    Grant(KeyName, TeamName),
    /// Sets the named amounts of a team's limit.
    Limit(TeamName, AmountPatch),
    /// Sets a team's share.
    Share(TeamName, u32),
    /// Takes a domain out of service or back in.
    Domain(DomainName, DomainState),
}

/// What a run is expected to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunExpectation {
    /// Number of requests with an outcome, counted after all loads have ended.
    Count {
        /// Which outcome.
        outcome: model::kind::RequestOutcome,
        /// Whether the number is a lower bound, otherwise an upper one.
        at_least: bool,
        /// The bound.
        number: u64,
        /// Only requests sent to this domain.
        domain: Option<DomainName>,
    },
    /// Longest time without an answered request, measured after all loads have ended.
    Gap {
        /// The domain.
        domain: DomainName,
        /// The bound.
        under: Duration,
    },
    /// At least one job was accepted, and every accepted one is done.
    JobsDone {
        /// How long to wait.
        within: Duration,
    },
    /// Exactly one change of the last race is accepted, and all others met a conflict.
    RaceWon {
        /// How long to wait.
        within: Duration,
    },
    /// A change reaches a state.
    Apply {
        /// Alias of the change; `None` for the last one.
        alias: Option<String>,
        /// The state.
        state: ApplyState,
        /// How long to wait.
        within: Duration,
    },
    /// An entry reports at least a version.
    Status {
        /// The entry.
        entry: EntryRef,
        /// The version.
        version: u64,
        /// How long to wait.
        within: Duration,
    },
    /// An entry reports that it owns its domain, or another one does.
    Owner {
        /// The domain.
        domain: DomainName,
        /// Whether the owner has to be another one than `entry`.
        negated: bool,
        /// The entry.
        entry: EntryRef,
        /// How long to wait.
        within: Duration,
    },
    /// A process ends.
    Stopped {
        /// The process.
        process: ProcessRef,
        /// How long to wait.
        within: Duration,
        /// The exit code; any if absent.
        code: Option<i32>,
    },
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyState {
    /// Committed and confirmed by every domain.
    Accepted,
    /// Committed, but not confirmed by every domain.
    Pending,
    /// Another change was committed first.
    Conflict,
    /// Refused for another reason.
    Refused,
}
