//! Promises about keys, answers, refusals and repeated runs: 3, 6, 7 and 8.

use std::collections::{BTreeMap, BTreeSet};

use model::kind::RequestOutcome;
use model::name::TeamName;
use wire::history::{CallerEvent, CallerRecord, WorkerEvent};

use super::Violation;
use super::timeline::{ConfigChange, ConfigTimeline};
use super::work::{WorkId, WorkRun};
use crate::record::{RunHistory, RunnerEvent, RunnerRecord};

/// Records of one request or job in the callers' history.
#[derive(Default)]
struct CallerTrace<'a> {
    sent: Vec<&'a CallerRecord>,
    received: Vec<&'a CallerRecord>,
}

fn collect_traces(records: &[CallerRecord]) -> BTreeMap<&str, CallerTrace<'_>> {
    let mut traces: BTreeMap<&str, CallerTrace<'_>> = BTreeMap::new();
    for record in records {
        match &record.event {
            CallerEvent::Sent { request: id, .. } | CallerEvent::JobSent { job: id, .. } => {
                traces.entry(id).or_default().sent.push(record);
            }
            CallerEvent::Received { request: id, .. }
            | CallerEvent::JobReceived { job: id, .. } => {
                traces.entry(id).or_default().received.push(record);
            }
        }
    }
    traces
}

/// Decides which requests and jobs had a valid key or an open queue when they were sent.
struct KeyRules<'a> {
    timeline: &'a ConfigTimeline<'a>,
    /// Queues by job; the callers' history does not record them.
    job_queues: BTreeMap<&'a str, &'a str>,
}

impl<'a> KeyRules<'a> {
    fn new(history: &'a RunHistory, timeline: &'a ConfigTimeline<'a>) -> Self {
        let job_queue = |record: &'a RunnerRecord| match &record.event {
            RunnerEvent::JobVia { job, queue, .. } => Some((job.as_str(), queue.as_str())),
            _ => None,
        };
        Self { timeline, job_queues: history.runner.iter().filter_map(job_queue).collect() }
    }

    /// Returns the team for which a `Sent` or `JobSent` event is valid under one change.
    fn permitted_team<'b>(
        &self,
        change: &'b ConfigChange<'_>,
        event: &CallerEvent,
    ) -> Option<&'b TeamName> {
        let (key, queue) = match event {
            CallerEvent::Sent { key, queue, .. } => (key.as_deref(), queue.as_str()),
            CallerEvent::JobSent { key, job, .. } => {
                (Some(key.as_str()), *self.job_queues.get(job.as_str())?)
            }
            _ => return None,
        };
        let (team, open) = change.queue_team(queue)?;
        let key_team = key.and_then(|key| change.key_team(key));
        (open || key_team == Some(team)).then_some(team)
    }

    /// Returns true if the sent record was valid under any possible change.
    ///
    /// With `team`, it must have been valid for that team.
    fn is_permitted(&self, record: &CallerRecord, team: Option<&TeamName>) -> bool {
        self.timeline.possible_changes(record.at_us).iter().any(|change| {
            let permitted = self.permitted_team(change, &record.event);
            permitted.is_some() && (team.is_none() || permitted == team)
        })
    }
}

/// Promise 3: work is accepted only with a valid key of its team, or in an open queue.
pub fn check_keys(
    history: &RunHistory,
    timeline: &ConfigTimeline<'_>,
    runs: &[WorkRun<'_>],
) -> Vec<Violation> {
    let traces = collect_traces(&history.callers);
    let rules = KeyRules::new(history, timeline);
    let mut violations = Vec::new();
    for run in runs {
        let id = match &run.id {
            WorkId::Task(task) => task.job.as_str(),
            WorkId::Request(request) => request.as_str(),
        };
        let sent = traces.get(id).map(|trace| trace.sent.as_slice()).unwrap_or_default();
        if !sent.iter().any(|record| rules.is_permitted(record, Some(run.team))) {
            let message = format!("{id} ran for team {} without a valid key", run.team);
            let violation = Violation::new(3, run.start, message).with_record(run.record);
            let add = |violation: Violation, record: &&CallerRecord| violation.with_record(*record);
            violations.push(sent.iter().fold(violation, add));
        }
    }
    for (id, trace) in &traces {
        let answers = trace.received.iter().filter(|record| is_answered(record));
        for answer in answers {
            if !trace.sent.iter().any(|record| rules.is_permitted(record, None)) {
                let message = format!("request {id} was answered without a valid key");
                violations.push(Violation::new(3, answer.at_us, message).with_record(*answer));
            }
        }
    }
    violations
}

fn answer_outcome(record: &CallerRecord) -> Option<RequestOutcome> {
    match &record.event {
        CallerEvent::Received { outcome, .. } => Some(*outcome),
        _ => None,
    }
}

fn is_answered(record: &CallerRecord) -> bool {
    answer_outcome(record) == Some(RequestOutcome::Answered)
}

/// Promise 6: a caller gets the complete answer to its own request.
pub fn check_answers(history: &RunHistory) -> Vec<Violation> {
    let ended: BTreeSet<(&str, &str)> = history
        .workers
        .iter()
        .filter_map(|record| match &record.event {
            WorkerEvent::RequestEnded { request, digest, .. } => {
                Some((request.as_str(), digest.as_str()))
            }
            _ => None,
        })
        .collect();
    let mut violations = Vec::new();
    for record in history.callers.iter().filter(|record| is_answered(record)) {
        let CallerEvent::Received { request, digest, .. } = &record.event else { continue };
        if digest.is_empty() || !ended.contains(&(request.as_str(), digest.as_str())) {
            let message = format!("request {request} got an answer that no worker gave to it");
            violations.push(Violation::new(6, record.at_us, message).with_record(record));
        }
    }
    violations
}

/// Returns the runs of one request.
fn request_runs<'a, 'b>(
    runs: &'a [WorkRun<'b>],
    id: &'a str,
) -> impl Iterator<Item = &'a WorkRun<'b>> + 'a {
    runs.iter().filter(move |run| matches!(&run.id, WorkId::Request(request) if request == id))
}

/// Promise 7: what was refused as not run did not run.
///
/// A request that was sent several times is checked only if every attempt of the
/// caller was refused, because any other attempt may have run.
pub fn check_not_run(history: &RunHistory, runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, trace) in collect_traces(&history.callers) {
        let is_refused =
            |record: &&CallerRecord| answer_outcome(record) == Some(RequestOutcome::NotRun);
        let all_refused =
            trace.received.len() >= trace.sent.len() && trace.received.iter().all(is_refused);
        let Some(refusal) = trace.received.last().filter(|_| all_refused) else { continue };
        for run in request_runs(runs, id) {
            let message = format!("request {id} was refused as not run but ran on {}", run.worker);
            let violation = Violation::new(7, run.start, message);
            violations.push(violation.with_record(*refusal).with_record(run.record));
        }
    }
    violations
}

/// Promise 7: a job runs no task if all its submissions were refused.
///
/// The history holds only the HTTP status of the answer to a job. Status 409 does
/// not count as a refusal, because an earlier submission with the same identifier
/// may have been accepted.
pub fn check_refused_jobs(history: &RunHistory, runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, trace) in collect_traces(&history.callers) {
        let is_refused = |record: &&CallerRecord| match &record.event {
            CallerEvent::JobReceived { status, .. } => {
                matches!(status, 400..500 | 503) && *status != 409
            }
            _ => false,
        };
        let all_refused =
            trace.received.len() >= trace.sent.len() && trace.received.iter().all(is_refused);
        let Some(refusal) = trace.received.last().filter(|_| all_refused) else { continue };
        let is_task =
            |run: &&WorkRun<'_>| matches!(&run.id, WorkId::Task(task) if task.job.as_str() == id);
        if let Some(run) = runs.iter().find(is_task) {
            let message = format!("job {id} was refused but a task of it ran on {}", run.worker);
            let violation = Violation::new(7, run.start, message);
            violations.push(violation.with_record(*refusal).with_record(run.record));
        }
    }
    violations
}

/// Promise 8: a non-idempotent request runs at most once.
pub fn check_run_once(history: &RunHistory, runs: &[WorkRun<'_>]) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (id, trace) in collect_traces(&history.callers) {
        let is_non_idempotent = |record: &&CallerRecord| {
            matches!(record.event, CallerEvent::Sent { idempotent: false, .. })
        };
        if !trace.sent.iter().any(is_non_idempotent) {
            continue;
        }
        let mut starts = request_runs(runs, id);
        let Some(first) = starts.next() else { continue };
        for again in starts {
            let message = format!("non-idempotent request {id} ran again on {}", again.worker);
            let violation = Violation::new(8, again.start, message);
            violations.push(violation.with_record(first.record).with_record(again.record));
        }
    }
    violations
}
