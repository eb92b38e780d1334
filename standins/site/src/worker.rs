//! One worker: runs, leases, fences, ends, and a history.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;

/// Longest lease in milliseconds.
const LEASE_MS: u64 = 6_000;

/// A start as it arrives.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StartBody {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// The payload: `MS` or `MS:fail` says how long a task takes and how it ends.
    pub spec: String,
    /// End of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Token of the owner.
    pub fencing_token: u64,
    /// Ticket of the advice service.
    #[serde(default)]
    pub ticket: String,
}

/// A run that is or was present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryRun {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// The worker.
    pub worker: String,
    /// Start, in milliseconds of the site's clock.
    pub start_ms: u64,
    /// End; none while it runs.
    pub end_ms: Option<u64>,
    /// How it ended.
    pub how: &'static str,
}

#[derive(Debug)]
struct PresentRun {
    run: u32,
    ends_at: u64,
    how: &'static str,
    history: usize,
}

/// A worker.
#[derive(Debug)]
pub struct SiteWorker {
    /// Its identifier.
    pub name: String,
    /// Start of its life, in milliseconds since 1970.
    pub born: u64,
    started: Instant,
    token: u64,
    deadline_ms: u64,
    present: BTreeMap<String, PresentRun>,
    stopped: BTreeMap<String, u32>,
    ended: Vec<(u64, String, u32, &'static str)>,
    numbers: u64,
    /// All runs.
    pub history: Vec<HistoryRun>,
}

impl SiteWorker {
    /// Creates a worker that runs nothing.
    #[must_use]
    pub fn new(name: String, born: u64, started: Instant) -> Self {
        Self {
            name,
            born,
            started,
            token: 0,
            deadline_ms: 0,
            present: BTreeMap::new(),
            stopped: BTreeMap::new(),
            ended: Vec::new(),
            numbers: 0,
            history: Vec::new(),
        }
    }

    /// Returns the worker's clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends what is due: tasks that are done, and everything once the lease is over.
    pub fn settle(&mut self) {
        let now = self.clock_ms();
        if now > self.deadline_ms {
            let all: Vec<_> = self.present.keys().cloned().collect();
            for task in all {
                self.end(&task, "lapsed");
            }
            return;
        }
        let due: Vec<_> = self
            .present
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(task, run)| (task.clone(), run.how))
            .collect();
        for (task, how) in due {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.present.remove(task) else { return };
        self.numbers += 1;
        self.ended.push((self.numbers, task.to_owned(), run.run, how));
        let stopped = self.stopped.entry(task.to_owned()).or_insert(0);
        *stopped = run.run.max(*stopped);
        let now = self.clock_ms();
        self.history[run.history].end_ms = Some(now);
        self.history[run.history].how = how;
    }

    /// Takes a token; false if a higher one was seen.
    pub fn take_token(&mut self, token: u64) -> bool {
        let current = token >= self.token;
        self.token = self.token.max(token);
        current
    }

    /// Prolongs the lease.
    pub fn prolong(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }

    /// Starts a run.
    ///
    /// # Errors
    /// The reason of a refusal.
    pub fn start(&mut self, body: &StartBody) -> Result<(), &'static str> {
        self.settle();
        if !self.take_token(body.fencing_token) {
            return Err("fence");
        }
        let now = self.clock_ms();
        if body.deadline_ms < now {
            return Err("late");
        }
        self.prolong(body.deadline_ms);
        if self.present.get(&body.task).is_some_and(|run| run.run == body.run) {
            return Ok(());
        }
        let old = self.stopped.get(&body.task).is_some_and(|run| body.run <= *run);
        if old || self.present.contains_key(&body.task) {
            return Err("old");
        }
        let (duration, how) = match body.spec.split_once(':') {
            Some((duration, "fail")) => (duration, "failed"),
            _ => (body.spec.as_str(), "done"),
        };
        let ends_at = now + duration.parse::<u64>().unwrap_or(0);
        self.history.push(HistoryRun {
            task: body.task.clone(),
            run: body.run,
            worker: self.name.clone(),
            start_ms: now,
            end_ms: None,
            how: "running",
        });
        let run = PresentRun { run: body.run, ends_at, how, history: self.history.len() - 1 };
        self.present.insert(body.task.clone(), run);
        Ok(())
    }

    /// Stops a run, or keeps it from starting.
    pub fn stop(&mut self, task: &str, run: u32) {
        self.settle();
        let stopped = self.stopped.entry(task.to_owned()).or_insert(0);
        *stopped = run.max(*stopped);
        if self.present.get(task).is_some_and(|present| present.run <= run) {
            self.end(task, "stopped");
        }
    }

    /// Forgets ends up to a number.
    pub fn acknowledge(&mut self, number: u64) {
        self.ended.retain(|end| end.0 > number);
    }

    /// Tells whether ends wait to be listed.
    #[must_use]
    pub fn has_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns both lists as the answer has them.
    #[must_use]
    pub fn lists(&self) -> serde_json::Value {
        let running: Vec<_> =
            self.present.iter().map(|(task, run)| (task, run.run, "", 100, 0)).collect();
        let ended: Vec<_> = self
            .ended
            .iter()
            .map(|(number, task, run, how)| (number, task, run, how, ""))
            .collect();
        serde_json::json!({
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": ended,
        })
    }
}
