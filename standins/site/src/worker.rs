//! A simulated worker: its lease, its fencing token, and present, ended and past runs.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Deserialize;

/// Longest lease that the worker accepts, in milliseconds; longer ones are shortened.
const MAX_LEASE_MS: u64 = 6_000;

/// Processor use of a run that works, in thousandths of a core.
const USED_CPU_MILLIS: u64 = 500;

/// Most ended runs in one answer to the call `hold`.
const MAX_LISTED_ENDS: usize = 500;

/// Body of the call `run-start`.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct StartBody {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// The payload, `MS` or `MS:fail`: the task ends after `MS` milliseconds, done or failed.
    pub spec: String,
    /// End of the lease on the worker's clock.
    pub deadline_ms: u64,
    /// Fencing token of the owner.
    pub fencing_token: u64,
    /// Ticket of the advice service; empty for none.
    #[serde(default)]
    pub ticket: String,
}

/// A run in the history, present or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HistoryRun {
    /// Name of the task.
    pub task: String,
    /// Number of the run.
    pub run: u32,
    /// The worker.
    pub worker: String,
    /// Start, in milliseconds of the worker's clock; the clocks of all workers agree closely.
    pub start_ms: u64,
    /// End; none while it runs.
    pub end_ms: Option<u64>,
    /// How it ended, as the protocol names it, or `running`; `lost` if the worker restarted, and
    /// `done-lapsed` if the lease expired, before the end was acknowledged.
    pub outcome: &'static str,
}

/// A run that has not ended.
#[derive(Debug)]
struct PresentRun {
    run: u32,
    /// When the task ends by itself, on the worker's clock.
    ends_at_ms: u64,
    /// How the task then ends.
    outcome: &'static str,
    /// Speed in per cent, which the worker reports; it does not change how long the run takes.
    percent: u32,
    /// Index of the run in the history.
    history_index: usize,
}

/// A simulated worker.
#[derive(Debug)]
pub struct SiteWorker {
    /// Name under which it is registered.
    pub name: String,
    /// Start of its process, in milliseconds since 1970; identifies its incarnation.
    pub incarnation: u64,
    /// Start of the worker's clock.
    started: Instant,
    highest_token: u64,
    /// End of the lease, on the worker's clock.
    deadline_ms: u64,
    /// End of the last lease that expired, on the worker's clock.
    lapsed_deadline_ms: u64,
    /// Present runs by task.
    present: BTreeMap<String, PresentRun>,
    /// Highest run number of each task that ended or was stopped here; runs up to it may not
    /// start any more.
    highest_ended_runs: BTreeMap<String, u32>,
    /// Ends that are not acknowledged: number, task, run and outcome.
    ended: Vec<(u64, String, u32, &'static str)>,
    last_end_number: u64,
    /// Whether the worker does not answer the call `hold`, and so neither lists its runs nor has its
    /// lease extended.
    pub is_mute: bool,
    /// Since when the runs stand still, on the worker's clock; none while they work.
    stalled_since_ms: Option<u64>,
    /// Tail response time of services, or processor use of any other run, as the worker reports it.
    pub measurement: u64,
    /// All runs, in the order of their starts.
    pub history: Vec<HistoryRun>,
}

impl SiteWorker {
    /// Creates a worker without runs and without a lease.
    #[must_use]
    pub fn new(name: String, incarnation: u64, started: Instant) -> Self {
        Self {
            name,
            incarnation,
            started,
            highest_token: 0,
            deadline_ms: 0,
            lapsed_deadline_ms: 0,
            present: BTreeMap::new(),
            highest_ended_runs: BTreeMap::new(),
            ended: Vec::new(),
            last_end_number: 0,
            is_mute: false,
            stalled_since_ms: None,
            measurement: USED_CPU_MILLIS,
            history: Vec::new(),
        }
    }

    /// Starts the worker's process again: its runs and the ends that were not acknowledged are
    /// lost, and it numbers its ends anew. The clock and the history of the runs go on, for the
    /// test.
    pub fn restart(&mut self) {
        self.end_due_runs();
        let now = self.clock_ms();
        for (_, task, run, _) in &self.ended {
            let ended = self.history.iter_mut().find(|past| past.task == *task && past.run == *run);
            if let Some(past) = ended {
                past.outcome = "lost";
            }
        }
        for run in self.present.values() {
            self.history[run.history_index].end_ms = Some(now);
            self.history[run.history_index].outcome = "lost";
        }
        let restarted = Self::new(self.name.clone(), self.incarnation + 1, self.started);
        let history = std::mem::take(&mut self.history);
        *self = Self { history, measurement: self.measurement, ..restarted };
    }

    /// Leaves: the runs and the ends that were not acknowledged are lost, and nothing is reported
    /// any more.
    pub fn leave(&mut self) {
        self.restart();
        self.is_mute = true;
    }

    /// Lets the runs stand still, or work on. The worker answers meanwhile.
    pub fn set_stalled(&mut self, is_stalled: bool) {
        self.end_due_runs();
        let now = self.clock_ms();
        if is_stalled {
            self.stalled_since_ms.get_or_insert(now);
        } else if let Some(since_ms) = self.stalled_since_ms.take() {
            for run in self.present.values_mut() {
                let start_ms = self.history[run.history_index].start_ms;
                run.ends_at_ms += now - since_ms.max(start_ms);
            }
        }
    }

    /// Returns the worker's clock in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends the tasks whose time has come, or all runs if the lease has expired.
    ///
    /// An end that is not acknowledged when the lease expires does not bind the owner, which may
    /// start the task again: the run counts as lapsed in the history.
    pub fn end_due_runs(&mut self) {
        let now = self.clock_ms();
        if now > self.deadline_ms {
            let all: Vec<_> = self.present.keys().cloned().collect();
            for task in all {
                self.end(&task, "lapsed");
            }
            if self.lapsed_deadline_ms < self.deadline_ms {
                self.lapsed_deadline_ms = self.deadline_ms;
                self.mark_ends_lapsed();
            }
            return;
        }
        if self.stalled_since_ms.is_some() {
            return;
        }
        let due: Vec<_> = self
            .present
            .iter()
            .filter(|(_, run)| run.ends_at_ms <= now)
            .map(|(task, run)| (task.clone(), run.outcome))
            .collect();
        for (task, outcome) in due {
            self.end(&task, outcome);
        }
    }

    /// Marks the runs that ended done, and whose ends are not acknowledged, as lapsed.
    fn mark_ends_lapsed(&mut self) {
        for (_, task, run, outcome) in &self.ended {
            let is_ended = |past: &&mut HistoryRun| past.task == *task && past.run == *run;
            if *outcome == "done"
                && let Some(past) = self.history.iter_mut().find(is_ended)
            {
                past.outcome = "done-lapsed";
            }
        }
    }

    fn end(&mut self, task: &str, outcome: &'static str) {
        let Some(run) = self.present.remove(task) else { return };
        self.last_end_number += 1;
        self.ended.push((self.last_end_number, task.to_owned(), run.run, outcome));
        let highest_ended_run = self.highest_ended_runs.entry(task.to_owned()).or_insert(0);
        *highest_ended_run = run.run.max(*highest_ended_run);
        let now = self.clock_ms();
        self.history[run.history_index].end_ms = Some(now);
        self.history[run.history_index].outcome = outcome;
    }

    /// Records a fencing token; returns false if a higher one was seen before.
    pub fn accept_token(&mut self, token: u64) -> bool {
        let is_accepted = token >= self.highest_token;
        self.highest_token = self.highest_token.max(token);
        is_accepted
    }

    /// Returns the highest fencing token that an owner has sent; 0 for none.
    #[must_use]
    pub const fn highest_token(&self) -> u64 {
        self.highest_token
    }

    /// Returns the end of the lease, on the worker's clock in milliseconds.
    #[must_use]
    pub const fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }

    /// Extends the lease to an instant of the worker's clock; never shortens it.
    pub fn extend_lease(&mut self, deadline_ms: u64) {
        let latest = self.clock_ms() + MAX_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(latest));
    }

    /// Starts a run, if `has_ticket` holds for its ticket.
    ///
    /// # Errors
    /// Returns the reason of a refusal, as the protocol names it.
    pub fn start(
        &mut self,
        body: &StartBody,
        has_ticket: impl FnOnce(&Self) -> bool,
    ) -> Result<(), &'static str> {
        self.end_due_runs();
        if !self.accept_token(body.fencing_token) {
            return Err("fence");
        }
        let now = self.clock_ms();
        if body.deadline_ms < now {
            return Err("late");
        }
        self.extend_lease(body.deadline_ms);
        if self.present.get(&body.task).is_some_and(|run| run.run == body.run) {
            return Ok(());
        }
        let is_old = self.highest_ended_runs.get(&body.task).is_some_and(|run| body.run <= *run);
        if is_old || self.present.contains_key(&body.task) {
            return Err("old");
        }
        if !has_ticket(self) {
            return Err("ticket");
        }
        let (duration, outcome) = match body.spec.split_once(':') {
            Some((duration, "fail")) => (duration, "failed"),
            _ => (body.spec.as_str(), "done"),
        };
        let ends_at_ms = now + duration.parse::<u64>().unwrap_or(0);
        self.history.push(HistoryRun {
            task: body.task.clone(),
            run: body.run,
            worker: self.name.clone(),
            start_ms: now,
            end_ms: None,
            outcome: "running",
        });
        let run = PresentRun {
            run: body.run,
            ends_at_ms,
            outcome,
            percent: 100,
            history_index: self.history.len() - 1,
        };
        self.present.insert(body.task.clone(), run);
        Ok(())
    }

    /// Stops a run, or keeps it from starting later.
    pub fn stop(&mut self, task: &str, run: u32) {
        self.end_due_runs();
        let highest_ended_run = self.highest_ended_runs.entry(task.to_owned()).or_insert(0);
        *highest_ended_run = run.max(*highest_ended_run);
        if self.present.get(task).is_some_and(|present| present.run <= run) {
            self.end(task, "stopped");
        }
    }

    /// Lets a run work at a part of its speed.
    pub fn pace(&mut self, task: &str, run: u32, percent: u32) {
        if let Some(present) = self.present.get_mut(task).filter(|present| present.run == run) {
            present.percent = percent;
        }
    }

    /// Returns the speed of a present run, in per cent.
    #[must_use]
    pub fn speed_percent(&self, task: &str) -> Option<u32> {
        self.present.get(task).map(|run| run.percent)
    }

    /// Drops the ends up to a number, which the owner has acknowledged.
    pub fn acknowledge(&mut self, number: u64) {
        self.ended.retain(|end| end.0 > number);
    }

    /// Returns whether there are ends that the owner has not acknowledged.
    #[must_use]
    pub fn has_unacknowledged_ends(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the answer to the call `hold`: present runs and ends that are not acknowledged.
    #[must_use]
    pub fn report(&self) -> serde_json::Value {
        let used_cpu = if self.stalled_since_ms.is_some() { 0 } else { self.measurement };
        // Task, run, saved progress (none), speed in per cent, and processor use.
        let running: Vec<_> = self
            .present
            .iter()
            .map(|(task, run)| (task, run.run, "", run.percent, used_cpu))
            .collect();
        // Number of the end, task, run, outcome, and saved progress (none).
        let ended: Vec<_> = self
            .ended
            .iter()
            .take(MAX_LISTED_ENDS)
            .map(|(number, task, run, outcome)| (number, task, run, outcome, ""))
            .collect();
        serde_json::json!({
            "clockMs": self.clock_ms(),
            "born": self.incarnation,
            "running": running,
            "ended": ended,
        })
    }
}
