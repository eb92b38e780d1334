//! Promise 10: a planned stop of an entry interrupts no request.

use std::collections::{BTreeMap, BTreeSet};

use wire::history::{CallerEvent, OperatorEvent};

use super::Violation;
use crate::record::{RunHistory, RunnerEvent, RunnerRecord, SignalName};

/// One attempt of a caller to send a request through an entry.
///
/// Times are in microseconds; `status` is 0 if the connection failed.
struct CallerAttempt<'a> {
    request: &'a str,
    entry: &'a str,
    sent: u64,
    received: u64,
    status: u16,
}

/// Pairs the attempts of each request with their answers, in order.
///
/// This is unambiguous because a caller retries only after the previous attempt
/// has been answered or has failed. Attempts without a result are left out.
fn collect_attempts(history: &RunHistory) -> Vec<CallerAttempt<'_>> {
    let mut answers: BTreeMap<&str, Vec<(u64, u16)>> = BTreeMap::new();
    for record in &history.callers {
        if let CallerEvent::Received { request, status, .. } = &record.event {
            answers.entry(request).or_default().push((record.at_us, *status));
        }
    }
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    let mut attempts = Vec::new();
    for record in &history.runner {
        let RunnerEvent::RequestVia { request, entry } = &record.event else { continue };
        let count = counts.entry(request).or_default();
        let answer = answers.get(request.as_str()).and_then(|answers| answers.get(*count));
        *count += 1;
        if let Some((received, status)) = answer.copied() {
            attempts.push(CallerAttempt { request, entry, sent: record.at_us, received, status });
        }
    }
    attempts
}

/// Returns the intervals in which a network fault was active or a process was paused.
///
/// The key of an active fault is the name of the fault, with `true`, or of the
/// process, with `false`.
fn collect_fault_intervals(records: &[RunnerRecord]) -> Vec<(u64, u64)> {
    let mut active: BTreeMap<(&str, bool), u64> = BTreeMap::new();
    let mut intervals = Vec::new();
    for record in records {
        let (key, begins) = match &record.event {
            RunnerEvent::FaultBegan { fault, .. } => ((fault.as_str(), true), true),
            RunnerEvent::FaultEnded { fault } => ((fault.as_str(), true), false),
            RunnerEvent::Signalled { process, signal: SignalName::Stop } => {
                ((process.as_str(), false), true)
            }
            RunnerEvent::Signalled { process, signal: SignalName::Continue } => {
                ((process.as_str(), false), false)
            }
            _ => continue,
        };
        if begins {
            active.entry(key).or_insert(record.at_us);
        } else if let Some(start) = active.remove(&key) {
            intervals.push((start, record.at_us));
        }
    }
    intervals.extend(active.into_values().map(|start| (start, u64::MAX)));
    intervals
}

/// Promise 10: an entry that is stopped with SIGTERM interrupts no request and exits with 0.
///
/// A lost connection is tolerated if the entry itself was killed, or if a network
/// fault or a paused process overlapped the request. The end of another process
/// is no excuse, because callers connect to the entry directly.
pub fn check_stops(history: &RunHistory) -> Vec<Violation> {
    let attempts = collect_attempts(history);
    let faults = collect_fault_intervals(&history.runner);
    let observed = history.operators.iter().filter_map(|record| match &record.event {
        OperatorEvent::Observed { entry, .. } => Some(entry.as_str()),
        _ => None,
    });
    let entries: BTreeSet<&str> =
        attempts.iter().map(|attempt| attempt.entry).chain(observed).collect();
    let mut violations = Vec::new();
    for (index, record) in history.runner.iter().enumerate() {
        let RunnerEvent::Signalled { process, signal: SignalName::Terminate } = &record.event
        else {
            continue;
        };
        if !entries.contains(process.as_str()) {
            continue;
        }
        let exit = find_exit(&history.runner[index..], process);
        if exit.killed {
            continue;
        }
        if let Some(exit_record) = exit.record.filter(|_| exit.code != Some(0)) {
            let message = format!("entry {process} did not end its planned stop with code 0");
            let violation = Violation::new(10, exit.at, message);
            violations.push(violation.with_record(record).with_record(exit_record));
        }
        let interrupted = attempts.iter().filter(|attempt| {
            attempt.entry == process
                && attempt.status == 0
                && attempt.sent <= exit.at
                && attempt.received >= record.at_us
                && !faults
                    .iter()
                    .any(|(start, end)| *start <= attempt.received && *end >= attempt.sent)
        });
        for attempt in interrupted {
            let message = format!(
                "request {} sent at {} us through entry {process} lost its connection during a planned stop",
                attempt.request, attempt.sent
            );
            violations.push(Violation::new(10, attempt.received, message).with_record(record));
        }
    }
    violations
}

/// How an entry exited after SIGTERM; `at` is `u64::MAX` while it has not.
struct EntryExit<'a> {
    at: u64,
    code: Option<i32>,
    killed: bool,
    record: Option<&'a RunnerRecord>,
}

/// Finds the exit of a process in records that start with its SIGTERM.
fn find_exit<'a>(records: &'a [RunnerRecord], name: &str) -> EntryExit<'a> {
    let mut exit = EntryExit { at: u64::MAX, code: None, killed: false, record: None };
    for record in records {
        match &record.event {
            RunnerEvent::Signalled { process, signal: SignalName::Kill } if process == name => {
                exit.killed = true;
            }
            RunnerEvent::Exited { process, code } if process == name => {
                exit.at = record.at_us;
                exit.code = *code;
                exit.record = Some(record);
                return exit;
            }
            _ => {}
        }
    }
    exit
}
