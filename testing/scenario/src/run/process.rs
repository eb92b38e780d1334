//! Child processes of a run: starts, signals and exits.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;

use nix::sys::signal::{self, Signal};
use nix::unistd::Pid;
use serde_json::Value;

use super::journal::RunJournal;
use crate::record::{RunnerEvent, SignalName};

/// One process of the run, running or not.
#[derive(Debug)]
struct ManagedProcess {
    binary: &'static str,
    settings: Value,
    child: Option<Child>,
    starts: u32,
    /// Whether its exit is expected, because SIGTERM or SIGKILL was sent.
    is_stop_requested: bool,
    /// Status of its last exit; absent while it runs.
    exit_status: Option<ExitStatus>,
}

/// All processes of one run, killed on drop if they still run.
#[derive(Debug)]
pub struct ChildTable {
    binaries: PathBuf,
    dir: PathBuf,
    journal: Rc<RunJournal>,
    processes: BTreeMap<String, ManagedProcess>,
}

impl ChildTable {
    /// Creates a table without processes.
    pub fn new(binaries: &Path, dir: &Path, journal: Rc<RunJournal>) -> Self {
        Self {
            binaries: binaries.to_owned(),
            dir: dir.to_owned(),
            journal,
            processes: BTreeMap::new(),
        }
    }

    /// Adds a process without starting it.
    pub fn add(&mut self, name: &str, binary: &'static str, settings: Value) {
        let process = ManagedProcess {
            binary,
            settings,
            child: None,
            starts: 0,
            is_stop_requested: false,
            exit_status: None,
        };
        self.processes.insert(name.to_owned(), process);
    }

    /// Starts a process that is not running.
    ///
    /// Each start has its own log and worker history, so that a restart overwrites
    /// nothing.
    pub fn start(&mut self, name: &str) -> io::Result<()> {
        let log = self.next_log(name)?;
        let process = find_process(&mut self.processes, name)?;
        if process.child.is_some() {
            return Err(io::Error::other(format!("{name} is already running")));
        }
        let mut settings = process.settings.clone();
        if let Some(history) = settings.get_mut("history") {
            let file =
                format!("{}{name}.{}.jsonl", crate::record::WORKER_PREFIX, process.starts + 1);
            *history = self.dir.join(file).to_string_lossy().into();
        }
        let path = self.dir.join(format!("{name}.json"));
        fs::write(&path, serde_json::to_vec_pretty(&settings)?)?;
        let output = File::create(log)?;
        let binary = self.binaries.join(process.binary);
        let child = Command::new(&binary)
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output)
            .spawn()
            .map_err(|error| io::Error::other(format!("{}: {error}", binary.display())))?;
        process.child = Some(child);
        process.starts += 1;
        process.is_stop_requested = false;
        process.exit_status = None;
        self.journal.record_runner(RunnerEvent::Started { process: name.to_owned() });
        Ok(())
    }

    fn next_log(&mut self, name: &str) -> io::Result<PathBuf> {
        let starts = find_process(&mut self.processes, name)?.starts + 1;
        Ok(self.dir.join(format!("{name}.{starts}.log")))
    }

    /// Returns true if the log of a process contains "listening on".
    pub fn is_listening(&self, name: &str) -> bool {
        let starts = self.processes.get(name).map_or(0, |process| process.starts);
        let log = fs::read_to_string(self.dir.join(format!("{name}.{starts}.log")));
        log.is_ok_and(|log| log.contains("listening on "))
    }

    /// Sends a signal to a running process.
    pub fn send_signal(&mut self, name: &str, wanted: SignalName) -> io::Result<()> {
        let process = find_process(&mut self.processes, name)?;
        let Some(child) = &process.child else {
            return Err(io::Error::other(format!("{name} is not running")));
        };
        let (number, stops) = match wanted {
            SignalName::Kill => (Signal::SIGKILL, true),
            SignalName::Stop => (Signal::SIGSTOP, false),
            SignalName::Continue => (Signal::SIGCONT, false),
            SignalName::Terminate => (Signal::SIGTERM, true),
        };
        process.is_stop_requested |= stops;
        let process = name.to_owned();
        self.journal.record_runner(RunnerEvent::Signalled { process, signal: wanted });
        let pid = Pid::from_raw(child.id().cast_signed());
        signal::kill(pid, number).map_err(io::Error::from)
    }

    /// Records the processes that have exited since the last call.
    ///
    /// An exit without a preceding SIGTERM or SIGKILL counts as a failure of the run.
    pub fn record_exits(&mut self) {
        for (name, managed) in &mut self.processes {
            let ended = managed.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            let Some(status) = ended else { continue };
            managed.child = None;
            managed.exit_status = Some(status);
            let process = name.clone();
            self.journal.record_runner(RunnerEvent::Exited { process, code: status.code() });
            if !managed.is_stop_requested {
                self.journal.record_problem(format!("{name} ended unexpectedly: {status}"));
            }
        }
    }

    /// Returns true if a process has been started and has not exited, even if paused.
    pub fn is_running(&self, name: &str) -> bool {
        self.processes.get(name).is_some_and(|process| process.child.is_some())
    }

    /// Returns true if a process was signalled to end but has not exited yet.
    pub fn is_stopping(&self, name: &str) -> bool {
        self.processes
            .get(name)
            .is_some_and(|process| process.child.is_some() && process.is_stop_requested)
    }

    /// Returns the exit status of a process, if it has exited since its last start.
    pub fn exit_status(&self, name: &str) -> Option<ExitStatus> {
        self.processes.get(name).and_then(|process| process.exit_status)
    }
}

fn find_process<'a>(
    processes: &'a mut BTreeMap<String, ManagedProcess>,
    name: &str,
) -> io::Result<&'a mut ManagedProcess> {
    processes.get_mut(name).ok_or_else(|| io::Error::other(format!("no process is named {name}")))
}

impl Drop for ChildTable {
    fn drop(&mut self) {
        for child in self.processes.values_mut().filter_map(|process| process.child.as_mut()) {
            // Fails only if the child has already exited.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
