//! Intervals in which tasks and requests ran on workers.

use model::name::{DomainName, TaskId, TeamName, WorkerName};
use model::resource::ResourceAmounts;
use wire::history::{WorkerEvent, WorkerRecord};

use crate::record::{RunHistory, RunnerEvent, SignalName};

/// Time in microseconds within which a resumed worker records the ends of expired tasks.
///
/// A paused process (SIGSTOP) runs nothing, but it can record that its lease has
/// expired and its tasks have ended only after it is resumed (SIGCONT). A run that
/// ends within this time of a resume counts as ended at the pause.
const RESUME_GRACE_US: u64 = 250_000;

/// Identifies a task or a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkId {
    /// A task of a job.
    Task(TaskId),
    /// A request, by the identifier that its caller chose.
    Request(String),
}

/// One run of a task or request on one worker.
#[derive(Debug)]
pub struct WorkRun<'a> {
    /// The task or request.
    pub id: WorkId,
    /// Number of this attempt to run it.
    pub attempt: u32,
    /// Worker on which it ran.
    pub worker: &'a WorkerName,
    /// Domain of the worker.
    pub domain: &'a DomainName,
    /// Team whose limit it counts towards.
    pub team: &'a TeamName,
    /// Resources that it occupies.
    pub amounts: ResourceAmounts,
    /// When it started, in microseconds.
    pub start: u64,
    /// When it ended, in microseconds; `u64::MAX` if it never did.
    pub end: u64,
    /// History record of its start.
    pub record: &'a WorkerRecord,
}

/// Collects the runs of all workers in order of their start.
///
/// A run without a record of its end counts as ended when its worker boots again
/// or the runner sees that the worker process has exited.
pub fn collect_runs(history: &RunHistory) -> Vec<WorkRun<'_>> {
    let mut runs: Vec<WorkRun<'_>> = Vec::new();
    for record in &history.workers {
        let (id, attempt) = match &record.event {
            WorkerEvent::TaskStarted { task, attempt, team, amounts, .. } => {
                let id = WorkId::Task(task.clone());
                runs.push(begin_run(id, *attempt, team, *amounts, record));
                continue;
            }
            WorkerEvent::RequestStarted { request, attempt, team, .. } => {
                let id = WorkId::Request(request.clone());
                let slot = ResourceAmounts { slots: 1, ..ResourceAmounts::ZERO };
                runs.push(begin_run(id, *attempt, team, slot, record));
                continue;
            }
            WorkerEvent::Booted { .. } => {
                end_open_runs(&mut runs, &record.worker, record.at_us);
                continue;
            }
            WorkerEvent::TaskEnded { task, attempt, .. } => (WorkId::Task(task.clone()), *attempt),
            WorkerEvent::RequestEnded { request, attempt, .. } => {
                (WorkId::Request(request.clone()), *attempt)
            }
            _ => continue,
        };
        let is_same = |run: &&mut WorkRun<'_>| {
            run.end == u64::MAX
                && *run.worker == record.worker
                && run.id == id
                && run.attempt == attempt
        };
        if let Some(run) = runs.iter_mut().rev().find(is_same) {
            run.end = record.at_us;
        }
    }
    for run in &mut runs {
        end_at_exit(run, history);
        end_at_pause(run, history);
    }
    runs
}

fn begin_run<'a>(
    id: WorkId,
    attempt: u32,
    team: &'a TeamName,
    amounts: ResourceAmounts,
    record: &'a WorkerRecord,
) -> WorkRun<'a> {
    WorkRun {
        id,
        attempt,
        worker: &record.worker,
        domain: &record.domain,
        team,
        amounts,
        start: record.at_us,
        end: u64::MAX,
        record,
    }
}

fn end_open_runs(runs: &mut [WorkRun<'_>], worker: &WorkerName, at: u64) {
    let is_open = |run: &&mut WorkRun<'_>| run.end == u64::MAX && run.worker == worker;
    runs.iter_mut().filter(is_open).for_each(|run| run.end = at);
}

/// Ends a run no later than the first exit of its worker process.
fn end_at_exit(run: &mut WorkRun<'_>, history: &RunHistory) {
    let is_exit = |event: &RunnerEvent| matches!(event, RunnerEvent::Exited { process, .. } if process == run.worker.as_str());
    let mut later = history.runner.iter().filter(|record| record.at_us >= run.start);
    if let Some(exit) = later.find(|record| is_exit(&record.event)) {
        run.end = run.end.min(exit.at_us);
    }
}

/// Ends a run at the pause of its worker if it ended just after the resume.
fn end_at_pause(run: &mut WorkRun<'_>, history: &RunHistory) {
    let signal_times = |wanted: SignalName| {
        let worker = run.worker.as_str();
        history.runner.iter().filter_map(move |record| match &record.event {
            RunnerEvent::Signalled { process, signal }
                if process == worker && *signal == wanted =>
            {
                Some(record.at_us)
            }
            _ => None,
        })
    };
    let resume = signal_times(SignalName::Continue)
        .filter(|at| *at > run.start && *at <= run.end)
        .find(|at| run.end - at <= RESUME_GRACE_US);
    let Some(resume) = resume else { return };
    let pause = signal_times(SignalName::Stop).filter(|at| *at >= run.start && *at < resume).max();
    if let Some(pause) = pause {
        run.end = pause;
    }
}
