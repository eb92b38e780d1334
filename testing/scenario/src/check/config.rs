//! Promise 11: an accepted configuration is in force everywhere and is not reverted.

use std::collections::BTreeMap;

use wire::history::OperatorEvent;

use super::timeline::ConfigTimeline;
use super::{SETTLE_US, Violation};
use crate::record::{RunHistory, RunnerEvent, RunnerRecord, SignalName};

/// Promise 11: no entry reverts to an older version or misses an accepted one for 5 s.
pub fn check_versions(history: &RunHistory, timeline: &ConfigTimeline<'_>) -> Vec<Violation> {
    let mut latest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &history.operators {
        let OperatorEvent::Observed { entry, version, .. } = &record.event else { continue };
        let state = EntryState::replay(&history.runner, entry, record.at_us);
        let before = latest.insert(entry, (record.at_us, *version));
        if before.is_some_and(|(at, seen)| at >= state.started_at && seen > *version) {
            let message = format!("entry {entry} went back to version {version}");
            violations.push(Violation::new(11, record.at_us, message).with_record(record));
        }
        let accepted = timeline.settled_change(record.at_us).and_then(|change| change.version);
        if accepted.is_some_and(|accepted| *version < accepted) && !state.may_lag() {
            let accepted = accepted.unwrap_or_default();
            let message = format!(
                "entry {entry} has version {version}, but {accepted} was accepted more than 5 s ago"
            );
            violations.push(Violation::new(11, record.at_us, message).with_record(record));
        }
    }
    violations
}

/// Faults that one entry was exposed to up to the instant `at`, in microseconds.
struct EntryState {
    at: u64,
    started_at: u64,
    /// Last instant at which the platform had a fault.
    last_platform_fault: Option<u64>,
    /// Last instant at which a network fault affected the entry's traffic to the platform.
    last_platform_cut: Option<u64>,
    /// Last instant at which a network fault affected any traffic of the entry.
    last_cut: Option<u64>,
    /// Last instant at which the process was paused.
    last_pause: Option<u64>,
}

impl EntryState {
    /// Rebuilds the state from the runner's records up to `at`.
    fn replay(records: &[RunnerRecord], entry: &str, at: u64) -> Self {
        let mut state = Self {
            at,
            started_at: 0,
            last_platform_fault: None,
            last_platform_cut: None,
            last_cut: None,
            last_pause: None,
        };
        let mut cuts: BTreeMap<&str, bool> = BTreeMap::new();
        let mut is_platform_faulty = false;
        let mut is_paused = false;
        for record in records.iter().take_while(|record| record.at_us <= at) {
            match &record.event {
                RunnerEvent::Started { process } if process == entry => {
                    state.started_at = record.at_us;
                    is_paused = false;
                }
                RunnerEvent::Signalled { process, signal: SignalName::Stop }
                    if process == entry =>
                {
                    is_paused = true;
                }
                RunnerEvent::Signalled { process, signal: SignalName::Continue }
                    if process == entry =>
                {
                    is_paused = false;
                    state.last_pause = Some(record.at_us);
                }
                RunnerEvent::FaultBegan { fault, entries, platform, .. }
                    if entries.iter().any(|name| name == entry) =>
                {
                    cuts.insert(fault, *platform);
                }
                RunnerEvent::FaultEnded { fault } => {
                    if let Some(platform) = cuts.remove(fault.as_str()) {
                        state.last_cut = Some(record.at_us);
                        state.last_platform_cut =
                            Some(record.at_us).filter(|_| platform).or(state.last_platform_cut);
                    }
                }
                RunnerEvent::PlatformChanged { fault } => {
                    if is_platform_faulty {
                        state.last_platform_fault = Some(record.at_us);
                    }
                    is_platform_faulty = fault != "{}";
                }
                _ => {}
            }
        }
        let latest =
            |holds_now: bool, earlier: Option<u64>| if holds_now { Some(at) } else { earlier };
        state.last_pause = latest(is_paused, state.last_pause);
        state.last_cut = latest(!cuts.is_empty(), state.last_cut);
        state.last_platform_cut =
            latest(cuts.values().any(|platform| *platform), state.last_platform_cut);
        state.last_platform_fault = latest(is_platform_faulty, state.last_platform_fault);
        state
    }

    fn is_recent(&self, instant: Option<u64>) -> bool {
        instant.is_some_and(|instant| instant + SETTLE_US >= self.at)
    }

    /// Returns true if the entry may have an older version than the accepted one.
    ///
    /// An entry that reaches the platform reads the newest version there, so a
    /// network fault between entries is an excuse only if the platform had a fault
    /// as well.
    fn may_lag(&self) -> bool {
        self.is_recent(Some(self.started_at))
            || self.is_recent(self.last_pause)
            || self.is_recent(self.last_platform_cut)
            || (self.is_recent(self.last_cut) && self.is_recent(self.last_platform_fault))
    }
}
