//! Records of the runner itself, and all histories of a run.

use std::fs;
use std::io;
use std::path::Path;

use model::name::DomainName;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wire::history::{CallerRecord, OperatorRecord, WorkerRecord};

/// File with the records of test callers.
pub const CALLER_FILE: &str = "callers.jsonl";
/// File with the records of test operators.
pub const OPERATOR_FILE: &str = "operators.jsonl";
/// File with the records of the runner.
pub const RUNNER_FILE: &str = "runner.jsonl";
/// Prefix of the names of files with the records of workers.
pub const WORKER_PREFIX: &str = "worker-";

/// One record of the runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunnerRecord {
    /// `CLOCK_MONOTONIC` in microseconds.
    pub at_us: u64,
    /// What happened.
    pub event: RunnerEvent,
}

/// Action or observation of the runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum RunnerEvent {
    /// A process was started.
    Started {
        /// Name of the process.
        process: String,
    },
    /// A signal is about to be sent to a process.
    Signalled {
        /// Name of the process.
        process: String,
        /// Name of the signal.
        signal: SignalName,
    },
    /// A process has exited, as the runner noticed.
    Exited {
        /// Name of the process.
        process: String,
        /// Exit code; absent if a signal killed it.
        code: Option<i32>,
    },
    /// A network fault is about to start.
    FaultBegan {
        /// Name of the fault.
        fault: String,
        /// Source text of the step in the scenario.
        effect: String,
        /// Entries whose traffic it affects.
        entries: Vec<String>,
        /// Whether it affects their traffic to the platform.
        platform: bool,
    },
    /// A network fault has ended.
    FaultEnded {
        /// Name of the fault.
        fault: String,
    },
    /// The fault of the platform was set or ended.
    PlatformChanged {
        /// JSON body that was sent to the platform; `{}` ends the fault.
        fault: String,
    },
    /// A request is about to be sent through an entry.
    RequestVia {
        /// The caller's identifier.
        request: String,
        /// Name of the entry.
        entry: String,
    },
    /// A job is about to be submitted through an entry.
    JobVia {
        /// The job.
        job: String,
        /// Name of the entry.
        entry: String,
        /// Queue that it is submitted to.
        queue: String,
    },
    /// A load started.
    LoadBegan {
        /// Number of the load.
        load: u64,
        /// Domain to whose entries the requests are sent.
        domain: DomainName,
    },
    /// The last request of a load was sent.
    LoadEnded {
        /// Number of the load.
        load: u64,
    },
}

/// Signals that the runner sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SignalName {
    /// `SIGKILL`.
    Kill,
    /// `SIGSTOP`.
    Stop,
    /// `SIGCONT`.
    Continue,
    /// `SIGTERM`.
    Terminate,
}

/// All histories of one run, each sorted by time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunHistory {
    /// Records of all workers.
    pub workers: Vec<WorkerRecord>,
    /// Records of callers.
    pub callers: Vec<CallerRecord>,
    /// Records of operators.
    pub operators: Vec<OperatorRecord>,
    /// Records of the runner.
    pub runner: Vec<RunnerRecord>,
}

impl RunHistory {
    /// Reads all histories of a directory.
    ///
    /// # Errors
    /// Returns an error that names the file if the history of callers, operators
    /// or the runner is missing, and the line if a record cannot be read. A last
    /// line without a line end is ignored, because a killed process may have been
    /// writing it.
    pub fn read(dir: &Path) -> io::Result<Self> {
        let mut history = Self {
            workers: Vec::new(),
            callers: read_lines(&dir.join(CALLER_FILE))?,
            operators: read_lines(&dir.join(OPERATOR_FILE))?,
            runner: read_lines(&dir.join(RUNNER_FILE))?,
        };
        let mut files = fs::read_dir(dir)?.collect::<io::Result<Vec<_>>>()?;
        files.sort_by_key(fs::DirEntry::file_name);
        for file in files {
            let (name, path) = (file.file_name(), file.path());
            let is_json_lines = path.extension().is_some_and(|extension| extension == "jsonl");
            if is_json_lines && name.to_string_lossy().starts_with(WORKER_PREFIX) {
                history.workers.extend(read_lines(&path)?);
            }
        }
        history.sort();
        Ok(history)
    }

    /// Sorts the records of each kind by time.
    ///
    /// The sort is stable, so that records of one process stay in the order in
    /// which they were written.
    pub fn sort(&mut self) {
        self.workers.sort_by_key(|record| record.at_us);
        self.callers.sort_by_key(|record| record.at_us);
        self.operators.sort_by_key(|record| record.at_us);
        self.runner.sort_by_key(|record| record.at_us);
    }
}

fn read_lines<T: DeserializeOwned>(path: &Path) -> io::Result<Vec<T>> {
    let text = fs::read_to_string(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))?;
    let complete = text.rfind('\n').map_or("", |end| &text[..end]);
    let lines = complete.lines().enumerate().filter(|(_, line)| !line.is_empty());
    let parse = |(index, line): (usize, &str)| {
        serde_json::from_str(line)
            .map_err(|error| io::Error::other(format!("{}:{}: {error}", path.display(), index + 1)))
    };
    lines.map(parse).collect()
}
