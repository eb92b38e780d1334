//! Builder of histories for tests of the checker; times are in milliseconds.

use std::fs;

use model::kind::RequestOutcome;
use model::name::TaskId;
use model::object::{
    self, ClassKind, ClassObject, DomainObject, DomainState, KeyObject, LimitObject, ObjectSet,
    QueueObject, ShareObject, TeamObject, UrgencyLevel,
};
use model::resource::ResourceAmounts;
use scenario::check::{self, Violation};
use scenario::record::{
    CALLER_FILE, OPERATOR_FILE, RUNNER_FILE, RunHistory, RunnerEvent, RunnerRecord, SignalName,
};
use scenario::report::RunSummary;
use serde::Serialize;
use tempfile::TempDir;
use wire::history::{
    CallerEvent, CallerRecord, OperatorEvent, OperatorRecord, WorkerEvent, WorkerRecord,
};
use wire::worker::TaskEnd;

/// Builds the histories of a run, one event at a time.
///
/// The cell has the domains `a` (workers `w1` and `w2`) and `b` (`w3`). Change `c1`,
/// its initial configuration, is accepted at 0 ms. Each worker has 4 slots and 4
/// cores; the limit of team `north` is 3 of each. Each method adds the events that
/// its name states.
pub struct HistoryBuilder {
    history: RunHistory,
    objects: ObjectSet,
}

/// Returns amounts of slots and thousandths of a core.
pub fn amounts(slots: u64, cpu_millis: u64) -> ResourceAmounts {
    ResourceAmounts { slots, cpu_millis, ..ResourceAmounts::ZERO }
}

/// Returns the identifier of a task.
pub fn task_id(job: &str, index: u32) -> TaskId {
    TaskId { job: job.into(), index }
}

/// Records that a change was accepted, that is, in force everywhere.
pub fn accept_change(history: &mut HistoryBuilder, at: u64, change: &str, version: u64) {
    history.change_answered(at, change, 200, version);
}

fn initial_objects() -> ObjectSet {
    let domain = |name: &str| DomainObject {
        name: name.into(),
        region: String::new(),
        state: DomainState::In,
    };
    let team = |name: &str| TeamObject { name: name.into(), parent: None };
    let key = |name: &str, team: &str| KeyObject {
        name: name.into(),
        team: team.into(),
        digest: object::key_digest(name),
    };
    let queue = |name: &str, open| QueueObject {
        name: name.into(),
        team: "north".into(),
        open,
        class: "request".into(),
        bound: 10,
    };
    ObjectSet {
        domains: vec![domain("a"), domain("b")],
        teams: vec![team("north"), team("south")],
        keys: vec![key("north-key", "north"), key("south-key", "south")],
        shares: vec![ShareObject { name: "north".into(), team: "north".into(), weight: 1 }],
        limits: vec![LimitObject {
            name: "north".into(),
            team: "north".into(),
            amounts: amounts(3, 3000),
        }],
        queues: vec![queue("sheets", false), queue("open", true)],
        classes: vec![ClassObject {
            name: "request".into(),
            kind: ClassKind::Request,
            urgency: UrgencyLevel::Normal,
            amounts: ResourceAmounts::ZERO,
            preemptible: false,
        }],
        ..ObjectSet::default()
    }
}

impl HistoryBuilder {
    pub fn new() -> Self {
        let mut history = Self { history: RunHistory::default(), objects: initial_objects() };
        for worker in ["w1", "w2", "w3"] {
            let booted = WorkerEvent::Booted { capacity: amounts(4, 4000), connections: 8 };
            history.worker_event(0, worker, booted);
        }
        history.change_sent(0, "c1", |_| {}).change_answered(0, "c1", 200, 1);
        history
    }

    /// Writes the histories to files and checks these, as after a run.
    pub fn violations(&self) -> Vec<Violation> {
        let dir = self.write_files();
        check::check_histories(dir.path()).expect("the histories can be read")
    }

    /// Asserts that the checker finds exactly these promises broken.
    #[track_caller]
    pub fn assert_broken(&self, promises: &[u8]) {
        let violations = self.violations();
        let mut broken: Vec<u8> = violations.iter().map(|violation| violation.promise).collect();
        broken.dedup();
        let text: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert_eq!(broken, promises, "{}", text.join("\n"));
    }

    pub fn summary(&self) -> RunSummary {
        let dir = self.write_files();
        RunSummary::collect(&RunHistory::read(dir.path()).expect("the histories can be read"))
    }

    pub fn write_files(&self) -> TempDir {
        let mut history = self.history.clone();
        history.sort();
        let dir = tempfile::tempdir().expect("a directory can be created");
        let write = |name: &str, text: String| {
            fs::write(dir.path().join(name), text).expect("a history can be written");
        };
        write("worker-all.1.jsonl", json_lines(&history.workers));
        write(CALLER_FILE, json_lines(&history.callers));
        write(OPERATOR_FILE, json_lines(&history.operators));
        write(RUNNER_FILE, json_lines(&history.runner));
        dir
    }

    pub fn worker_event(&mut self, at: u64, worker: &str, event: WorkerEvent) -> &mut Self {
        let domain = if worker == "w3" { "b" } else { "a" };
        self.history.workers.push(WorkerRecord {
            at_us: at * 1000,
            worker: worker.into(),
            domain: domain.into(),
            boot: "boot".into(),
            event,
        });
        self
    }

    fn caller_event(&mut self, at: u64, event: CallerEvent) -> &mut Self {
        self.history.callers.push(CallerRecord { at_us: at * 1000, event });
        self
    }

    fn operator_event(&mut self, at: u64, event: OperatorEvent) -> &mut Self {
        self.history.operators.push(OperatorRecord { at_us: at * 1000, event });
        self
    }

    fn runner_event(&mut self, at: u64, event: RunnerEvent) -> &mut Self {
        self.history.runner.push(RunnerRecord { at_us: at * 1000, event });
        self
    }

    /// Removes the limit of `north` from the initial configuration and later changes.
    pub fn without_limit(&mut self) -> &mut Self {
        self.objects.limits.clear();
        for record in &mut self.history.operators {
            if let OperatorEvent::Sent { objects, .. } = &mut record.event {
                objects.limits.clear();
            }
        }
        self
    }

    /// Sends a change: the initial configuration with an edit.
    pub fn change_sent(
        &mut self,
        at: u64,
        id: &str,
        edit: impl FnOnce(&mut ObjectSet),
    ) -> &mut Self {
        let mut objects = self.objects.clone();
        edit(&mut objects);
        self.operator_event(at, OperatorEvent::Sent { change_id: id.to_owned(), objects })
    }

    pub fn change_answered(&mut self, at: u64, id: &str, status: u16, version: u64) -> &mut Self {
        self.operator_event(
            at,
            OperatorEvent::Received {
                change_id: id.to_owned(),
                status,
                version,
                in_force: Vec::new(),
                not_confirmed: Vec::new(),
            },
        )
    }

    pub fn version_observed(&mut self, at: u64, entry: &str, version: u64) -> &mut Self {
        let entry = entry.to_owned();
        self.operator_event(at, OperatorEvent::Observed { entry, domain: "a".into(), version })
    }

    /// Sends an idempotent request with the key of `north` through entry `a-e1`.
    pub fn sent(&mut self, at: u64, request: &str) -> &mut Self {
        self.sent_via(at, request, "a-e1")
    }

    pub fn sent_via(&mut self, at: u64, request: &str, entry: &str) -> &mut Self {
        self.record_sent(at, request, entry, Some("north-key"), "sheets", true)
    }

    pub fn sent_with(
        &mut self,
        at: u64,
        request: &str,
        key: Option<&str>,
        queue: &str,
        idempotent: bool,
    ) -> &mut Self {
        self.record_sent(at, request, "a-e1", key, queue, idempotent)
    }

    fn record_sent(
        &mut self,
        at: u64,
        request: &str,
        entry: &str,
        key: Option<&str>,
        queue: &str,
        idempotent: bool,
    ) -> &mut Self {
        let (request, entry) = (request.to_owned(), entry.to_owned());
        self.runner_event(at, RunnerEvent::RequestVia { request: request.clone(), entry });
        let team = key.and_then(|key| key.strip_suffix("-key")).map(Into::into);
        self.caller_event(
            at,
            CallerEvent::Sent {
                request,
                team,
                key: key.map(str::to_owned),
                queue: queue.to_owned(),
                domain: "a".into(),
                idempotent,
            },
        )
    }

    fn request_answered(
        &mut self,
        at: u64,
        request: &str,
        status: u16,
        outcome: RequestOutcome,
        digest: String,
    ) -> &mut Self {
        let request = request.to_owned();
        self.caller_event(at, CallerEvent::Received { request, status, outcome, digest })
    }

    pub fn answered(&mut self, at: u64, request: &str) -> &mut Self {
        self.answered_with_digest(at, request, &format!("digest of {request}"))
    }

    pub fn answered_with_digest(&mut self, at: u64, request: &str, digest: &str) -> &mut Self {
        self.request_answered(at, request, 200, RequestOutcome::Answered, digest.to_owned())
    }

    /// Records an answer with another status than 200; 503 means that it did not run.
    pub fn answered_with_status(&mut self, at: u64, request: &str, status: u16) -> &mut Self {
        let outcome = if status == 503 { RequestOutcome::NotRun } else { RequestOutcome::Unknown };
        self.request_answered(at, request, status, outcome, String::new())
    }

    pub fn request_started(
        &mut self,
        at: u64,
        request: &str,
        attempt: u32,
        worker: &str,
    ) -> &mut Self {
        let started = WorkerEvent::RequestStarted {
            request: request.to_owned(),
            attempt,
            team: "north".into(),
            connections: 1,
            slots_used: 1,
        };
        self.worker_event(at, worker, started)
    }

    pub fn request_ended(
        &mut self,
        at: u64,
        request: &str,
        attempt: u32,
        worker: &str,
    ) -> &mut Self {
        let ended = WorkerEvent::RequestEnded {
            request: request.to_owned(),
            attempt,
            digest: format!("digest of {request}"),
        };
        self.worker_event(at, worker, ended)
    }

    /// Records a request that is sent and runs, but has no answer.
    pub fn sent_and_run(&mut self, at: u64, request: &str, worker: &str) -> &mut Self {
        self.sent(at, request).request_started(at + 1, request, 1, worker).request_ended(
            at + 20,
            request,
            1,
            worker,
        )
    }

    /// Records a request that is sent, runs and is answered.
    pub fn answered_request(&mut self, at: u64, request: &str, worker: &str) -> &mut Self {
        self.sent_and_run(at, request, worker).answered(at + 30, request)
    }

    pub fn accepted_job(&mut self, at: u64, job: &str) -> &mut Self {
        self.job_with_status(at, job, 200)
    }

    /// Submits a job that is answered with a status.
    pub fn job_with_status(&mut self, at: u64, job: &str, status: u16) -> &mut Self {
        let via = RunnerEvent::JobVia {
            job: job.to_owned(),
            entry: "a-e1".to_owned(),
            queue: "sheets".to_owned(),
        };
        self.runner_event(at, via);
        let (team, key) = ("north".into(), "north-key".to_owned());
        self.caller_event(at, CallerEvent::JobSent { job: job.to_owned(), team, key });
        self.caller_event(at + 10, CallerEvent::JobReceived { job: job.to_owned(), status })
    }

    /// Starts a task of one core.
    pub fn task_started(
        &mut self,
        at: u64,
        job: &str,
        index: u32,
        attempt: u32,
        worker: &str,
    ) -> &mut Self {
        let started = WorkerEvent::TaskStarted {
            task: task_id(job, index),
            attempt,
            team: "north".into(),
            amounts: amounts(0, 1000),
            authority: "1.0".parse().expect("a valid authority"),
        };
        self.worker_event(at, worker, started)
    }

    pub fn task_ended(
        &mut self,
        at: u64,
        job: &str,
        index: u32,
        attempt: u32,
        worker: &str,
    ) -> &mut Self {
        let task = task_id(job, index);
        self.worker_event(at, worker, WorkerEvent::TaskEnded { task, attempt, end: TaskEnd::Done })
    }

    /// Records a load on domain `a`.
    pub fn load_between(&mut self, load: u64, from: u64, to: u64) -> &mut Self {
        self.runner_event(from, RunnerEvent::LoadBegan { load, domain: "a".into() });
        self.runner_event(to, RunnerEvent::LoadEnded { load })
    }

    pub fn process_started(&mut self, at: u64, process: &str) -> &mut Self {
        self.runner_event(at, RunnerEvent::Started { process: process.to_owned() })
    }

    fn signal(&mut self, at: u64, process: &str, signal: SignalName) -> &mut Self {
        self.runner_event(at, RunnerEvent::Signalled { process: process.to_owned(), signal })
    }

    pub fn terminate(&mut self, at: u64, process: &str) -> &mut Self {
        self.signal(at, process, SignalName::Terminate)
    }

    pub fn pause(&mut self, at: u64, process: &str) -> &mut Self {
        self.signal(at, process, SignalName::Stop)
    }

    pub fn resume(&mut self, at: u64, process: &str) -> &mut Self {
        self.signal(at, process, SignalName::Continue)
    }

    pub fn process_exited(&mut self, at: u64, process: &str, code: Option<i32>) -> &mut Self {
        self.runner_event(at, RunnerEvent::Exited { process: process.to_owned(), code })
    }

    pub fn kill(&mut self, at: u64, process: &str) -> &mut Self {
        self.signal(at, process, SignalName::Kill).process_exited(at + 1, process, None)
    }

    pub fn fault_began(&mut self, at: u64, fault: &str, entry: &str, platform: bool) -> &mut Self {
        self.runner_event(
            at,
            RunnerEvent::FaultBegan {
                fault: fault.to_owned(),
                effect: "cut".to_owned(),
                entries: vec![entry.to_owned()],
                platform,
            },
        )
    }

    pub fn fault_ended(&mut self, at: u64, fault: &str) -> &mut Self {
        self.runner_event(at, RunnerEvent::FaultEnded { fault: fault.to_owned() })
    }

    pub fn platform_changed(&mut self, at: u64, fault: &str) -> &mut Self {
        self.runner_event(at, RunnerEvent::PlatformChanged { fault: fault.to_owned() })
    }
}

fn json_lines(records: &[impl Serialize]) -> String {
    let line = |record| serde_json::to_string(record).expect("a record can be written") + "\n";
    records.iter().map(line).collect()
}
