//! Data model of a scenario file.

use std::time::Duration;

use model::name::{DomainName, KeyName, QueueName, TeamName};
use model::object::{ClassKind, DomainState, UrgencyLevel};
use wire::platform::VmState;

/// A whole scenario file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScenarioScript {
    /// Processes and configuration objects that exist from the start.
    pub cell: CellLayout,
    /// Steps in the order in which they run.
    pub steps: Vec<ScriptStep>,
}

/// Processes and configuration objects of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellLayout {
    /// Failure domains.
    pub domains: Vec<DomainLayout>,
    /// Teams with their keys, shares and limits.
    pub teams: Vec<TeamLayout>,
    /// Queues.
    pub queues: Vec<QueueLayout>,
    /// Settings of all entries that differ from their defaults.
    pub options: EntryOptions,
}

/// A failure domain and its VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainLayout {
    /// Name.
    pub name: DomainName,
    /// Number of entries.
    pub entries: u32,
    /// Number of workers.
    pub workers: u32,
    /// Request slots of each worker (requests that it runs at once).
    pub slots: u64,
    /// Cores of each worker.
    pub cores: u64,
    /// Memory of each worker in mebibytes.
    pub memory: u64,
    /// Connections that each worker accepts.
    pub connections: u32,
    /// Racks over which the workers are spread.
    pub racks: u32,
}

/// A team with its keys, share and limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamLayout {
    /// Name.
    pub name: TeamName,
    /// Keys; by default one with the name of the team.
    pub keys: Vec<KeyName>,
    /// Weight of its share, if declared.
    pub share: Option<u32>,
    /// Its limit, if declared.
    pub limit: Option<AmountPatch>,
}

/// Amounts of resources; resources that are not named are `None`.
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
    /// Team that its work belongs to.
    pub team: TeamName,
    /// Whether it accepts work without a key.
    pub open: bool,
    /// Kind of work in its class.
    pub class: ClassKind,
    /// Urgency of the work in its class.
    pub urgency: UrgencyLevel,
    /// Most requests that may wait in it in one domain, if it differs from the default.
    pub bound: Option<u32>,
}

/// Settings of all entries; `None` stands for the default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EntryOptions {
    /// Time without confirmation of the configuration until work with a key is refused.
    pub contact_bound: Option<Duration>,
    /// Longest time that a stopping entry waits for requests in flight.
    pub drain: Option<Duration>,
    /// Time between failing readiness checks and closing the listener, so that load
    /// balancers notice.
    pub balancer_delay: Option<Duration>,
}

/// One step with its position in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptStep {
    /// Line of the file, from 1.
    pub line: usize,
    /// Source text of the step.
    pub text: String,
    /// Action to run.
    pub action: StepAction,
}

/// Action of a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepAction {
    /// Sends requests in the background.
    Load(LoadPlan),
    /// Submits a job in the background.
    Job(JobPlan),
    /// Waits.
    Wait(Duration),
    /// Waits until every running entry is ready, up to a time limit.
    WaitReady(Duration),
    /// Sends a signal to a process or starts it again.
    Signal {
        /// Signal to send.
        kind: SignalKind,
        /// Process that gets it.
        process: ProcessRef,
        /// Name by which later steps refer to the process.
        alias: Option<String>,
    },
    /// Defines an alias for the process that a reference, such as an owner, means now.
    Name(ProcessRef, String),
    /// Starts a network fault.
    Fault(FaultPlan),
    /// Ends the network fault with an alias, or all faults.
    Heal(Option<String>),
    /// Sets the fault of the platform.
    Platform(PlatformFault),
    /// Applies one configuration change.
    Apply(ApplyPlan),
    /// Applies several configuration changes at the same time, on the same base version.
    Race(Vec<ApplyPlan>),
    /// Makes a worker announce that it is leaving.
    Leave(PlaceRef),
    /// Sets the fault of a worker, replacing an earlier one.
    WorkerFault(PlaceRef, WorkerFault),
    /// Restarts all entries, or those of one domain, one after another.
    RollingRestart(Option<DomainName>),
    /// Sets a VM's state in the platform's list; `None` removes the VM.
    Vm(ProcessRef, Option<VmState>),
    /// Checks an expectation.
    Expect(RunExpectation),
}

/// Requests to send at a steady rate for a limited time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// Queue.
    pub queue: QueueName,
    /// Team of the caller.
    pub team: TeamName,
    /// Key that the caller presents, if any.
    pub key: Option<KeyName>,
    /// Domain to whose entries the requests are sent.
    pub domain: DomainName,
    /// Requests per second.
    pub rate: u64,
    /// Run time of each request.
    pub run: Duration,
    /// Bytes of each answer.
    pub answer: u64,
    /// Whether the requests are marked as idempotent.
    pub idempotent: bool,
    /// How long the load lasts.
    pub length: Duration,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Most retries, with the same identifier, of a request that failed transiently.
    pub retry: u64,
}

/// A job to submit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Team of the caller.
    pub team: TeamName,
    /// Key that the caller presents.
    pub key: KeyName,
    /// Queue.
    pub queue: QueueName,
    /// Domain to whose entry the job is sent; by default the first domain.
    pub domain: Option<DomainName>,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task reserves.
    pub amounts: AmountPatch,
    /// Run time of each task.
    pub run: Duration,
}

/// Signal of a step, or the restart of a process.
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

/// Reference to a VM of a domain, such as `a.owner` or `a.1`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlaceRef {
    /// The domain.
    pub domain: DomainName,
    /// Which of its VMs.
    pub kind: PlaceKind,
}

/// How a reference selects a VM of a domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceKind {
    /// The entry that reports to own the domain.
    Owner,
    /// The first entry that answers and reports not to own the domain.
    Standby,
    /// The VM with this number, from 1.
    Number(u32),
}

/// Reference to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryRef {
    /// By its domain and role or number.
    Place(PlaceRef),
    /// By an alias that an earlier step defined.
    Alias(String),
}

/// Reference to a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProcessRef {
    /// An entry, or any process by its alias.
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

/// A network fault between two sides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Effect on the traffic.
    pub kind: FaultKind,
    /// One side.
    pub left: LinkSide,
    /// The other side.
    pub right: LinkSide,
    /// Direction of the affected bytes: left to right is `ToTarget`.
    pub way: FaultWay,
    /// Alias by which `heal` steps refer to it.
    pub alias: Option<String>,
}

/// Effect of a network fault on the traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Bytes are discarded.
    Cut,
    /// Bytes are held back until the fault ends.
    Freeze,
    /// Bytes of replies are discarded.
    DropReplies,
    /// Bytes are delayed by this time.
    Delay(Duration),
    /// Open connections are reset and new ones refused.
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

/// A fault of the platform; each replaces the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformFault {
    /// The platform answers no call.
    Down,
    /// No fault.
    Up,
    /// Answers are delayed by this time.
    Slow(Duration),
    /// Replies to transactions are lost although these were committed.
    LoseReplies {
        /// Number of replies to lose.
        count: u64,
        /// If given, only transactions that write a key with this prefix are affected.
        prefix: Option<String>,
    },
}

/// Faulty behaviour of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerFault {
    /// Answers are cut off in the middle.
    pub truncate_answers: bool,
    /// Answers carry the identifier of another request.
    pub swap_ids: bool,
    /// Every task fails immediately.
    pub fail_tasks: bool,
    /// Answers are delayed by this time.
    pub answer_delay: Duration,
}

/// A configuration change that an operator applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApplyPlan {
    /// The change.
    pub change: ConfigChange,
    /// Entry to which it is sent; by default any ready one.
    pub via: Option<EntryRef>,
    /// Alias by which `expect apply` steps refer to it.
    pub alias: Option<String>,
}

/// One edit of the configuration objects.
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

/// Expected result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunExpectation {
    /// Bounds the number of requests with an outcome, after all loads have ended.
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
    /// Bounds the longest time without an answered request, after all loads have ended.
    Gap {
        /// The domain.
        domain: DomainName,
        /// The bound.
        under: Duration,
    },
    /// At least one job has been accepted, and all accepted jobs are done.
    JobsDone {
        /// Longest time to wait for it.
        within: Duration,
    },
    /// One change of the last race is accepted, and all others are refused as conflicts.
    RaceWon {
        /// Longest time to wait for it.
        within: Duration,
    },
    /// A change reaches a state.
    Apply {
        /// Alias of the change; `None` for the last one.
        alias: Option<String>,
        /// The state.
        state: ApplyState,
        /// Longest time to wait for it.
        within: Duration,
    },
    /// An entry reports at least this configuration version.
    Status {
        /// The entry.
        entry: EntryRef,
        /// The version.
        version: u64,
        /// Longest time to wait for it.
        within: Duration,
    },
    /// A given entry owns its domain, or, if negated, another entry does.
    Owner {
        /// The domain.
        domain: DomainName,
        /// Whether the owner must be another entry than `entry`.
        negated: bool,
        /// The entry.
        entry: EntryRef,
        /// Longest time to wait for it.
        within: Duration,
    },
    /// A process exits.
    Stopped {
        /// The process.
        process: ProcessRef,
        /// Longest time to wait for it.
        within: Duration,
        /// Expected exit code; `None` allows any.
        code: Option<i32>,
    },
}

/// State of a configuration change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyState {
    /// Committed and confirmed by every domain.
    Accepted,
    /// Committed, but not confirmed by every domain yet.
    Pending,
    /// Another change was committed first.
    Conflict,
    /// Refused for another reason.
    Refused,
}
