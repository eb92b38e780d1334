//! Writer of the histories of callers, operators and the runner.

use std::cell::RefCell;
use std::fs::File;
use std::io::{self, Write};
use std::path::Path;

use serde::Serialize;
use wire::history::{CallerEvent, CallerRecord, OperatorEvent, OperatorRecord, monotonic_us};

use crate::record::{CALLER_FILE, OPERATOR_FILE, RUNNER_FILE, RunnerEvent, RunnerRecord};

/// The open history files of one run, and the failures outside of any step.
#[derive(Debug)]
pub struct RunJournal {
    callers: RefCell<File>,
    operators: RefCell<File>,
    runner: RefCell<File>,
    problems: RefCell<Vec<String>>,
}

impl RunJournal {
    /// Creates the history files in a directory.
    pub fn create(dir: &Path) -> io::Result<Self> {
        let create = |name| File::create_new(dir.join(name)).map(RefCell::new);
        Ok(Self {
            callers: create(CALLER_FILE)?,
            operators: create(OPERATOR_FILE)?,
            runner: create(RUNNER_FILE)?,
            problems: RefCell::default(),
        })
    }

    /// Records what a caller did or saw now.
    pub fn record_caller(&self, event: CallerEvent) {
        self.append(&self.callers, &CallerRecord { at_us: monotonic_us(), event });
    }

    /// Records what an operator did or saw now.
    pub fn record_operator(&self, event: OperatorEvent) {
        self.record_operator_at(monotonic_us(), event);
    }

    /// Records what an operator saw in an answer, with the time `at_us` of the call.
    pub fn record_operator_at(&self, at_us: u64, event: OperatorEvent) {
        self.append(&self.operators, &OperatorRecord { at_us, event });
    }

    /// Records what the runner did or saw now.
    pub fn record_runner(&self, event: RunnerEvent) {
        self.append(&self.runner, &RunnerRecord { at_us: monotonic_us(), event });
    }

    /// Adds a failure that belongs to no step.
    pub fn record_problem(&self, message: impl Into<String>) {
        self.problems.borrow_mut().push(message.into());
    }

    /// Returns and clears the failures that belong to no step.
    pub fn take_problems(&self) -> Vec<String> {
        self.problems.take()
    }

    fn append(&self, file: &RefCell<File>, record: &impl Serialize) {
        let written = serde_json::to_vec(record).map_err(io::Error::from).and_then(|mut line| {
            line.push(b'\n');
            file.borrow_mut().write_all(&line)
        });
        if let Err(error) = written {
            self.record_problem(format!("cannot write to a history file: {error}"));
        }
    }
}
