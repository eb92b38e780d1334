//! Promise 11: an accepted configuration is in force everywhere and stays so.

use std::collections::BTreeMap;

use wire::history::OperatorEvent;

use super::timeline::ConfigTimeline;
use super::{SETTLE_US, Violation};
use crate::record::{RunHistory, RunnerEvent, RunnerRecord, SignalName};

/// Promise 11: versions never go down, and accepted ones are seen within the bound.
pub fn check_versions(history: &RunHistory, timeline: &ConfigTimeline<'_>) -> Vec<Violation> {
    let mut latest: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    let mut violations = Vec::new();
    for record in &history.operators {
        let OperatorEvent::Observed { entry, version, .. } = &record.event else { continue };
        let state = EntryState::at(&history.runner, entry, record.at_us);
        let before = latest.insert(entry, (record.at_us, *version));
        if before.is_some_and(|(at, seen)| at >= state.started && seen > *version) {
            let message = format!("entry {entry} went back to version {version}");
            violations.push(Violation::new(11, record.at_us, message).with_record(record));
        }
        let accepted = timeline.settled(record.at_us).and_then(|change| change.version);
        if accepted.is_some_and(|accepted| *version < accepted) && !state.is_excused() {
            let accepted = accepted.unwrap_or_default();
            let message = format!(
                "entry {entry} has version {version}, but {accepted} was accepted more than 5 s ago"
            );
            violations.push(Violation::new(11, record.at_us, message).with_record(record));
        }
    }
    violations
}

/// What happened to one entry until an instant.
struct EntryState {
    at: u64,
    started: u64,
    /// When the platform was last other than up.
    platform_fault: Option<u64>,
    /// When a fault last touched the entry's traffic to the platform.
    platform_cut: Option<u64>,
    /// When a fault last touched any of the entry's traffic.
    any_cut: Option<u64>,
    paused: Option<u64>,
}

impl EntryState {
    fn at(records: &[RunnerRecord], entry: &str, at: u64) -> Self {
        let mut state = Self {
            at,
            started: 0,
            platform_fault: None,
            platform_cut: None,
            any_cut: None,
            paused: None,
        };
        let mut cuts: BTreeMap<&str, bool> = BTreeMap::new();
        let mut platform_faulty = false;
        let mut paused = false;
        for record in records.iter().take_while(|record| record.at_us <= at) {
            match &record.event {
                RunnerEvent::Started { process } if process == entry => {
                    state.started = record.at_us;
                    paused = false;
                }
                RunnerEvent::Signalled { process, signal: SignalName::Stop }
                    if process == entry =>
                {
                    paused = true;
                }
                RunnerEvent::Signalled { process, signal: SignalName::Continue }
                    if process == entry =>
                {
                    paused = false;
                    state.paused = Some(record.at_us);
                }
                RunnerEvent::FaultBegan { fault, entries, platform, .. }
                    if entries.iter().any(|name| name == entry) =>
                {
                    cuts.insert(fault, *platform);
                }
                RunnerEvent::FaultEnded { fault } => {
                    if let Some(platform) = cuts.remove(fault.as_str()) {
                        state.any_cut = Some(record.at_us);
                        state.platform_cut =
                            Some(record.at_us).filter(|_| platform).or(state.platform_cut);
                    }
                }
                RunnerEvent::PlatformChanged { fault } => {
                    if platform_faulty {
                        state.platform_fault = Some(record.at_us);
                    }
                    platform_faulty = fault != "{}";
                }
                _ => {}
            }
        }
        let now = |holds: bool, earlier: Option<u64>| if holds { Some(at) } else { earlier };
        state.paused = now(paused, state.paused);
        state.any_cut = now(!cuts.is_empty(), state.any_cut);
        state.platform_cut = now(cuts.values().any(|platform| *platform), state.platform_cut);
        state.platform_fault = now(platform_faulty, state.platform_fault);
        state
    }

    fn is_recent(&self, instant: Option<u64>) -> bool {
        instant.is_some_and(|instant| instant + SETTLE_US >= self.at)
    }

    /// Tells whether the entry may lag behind.
    ///
    /// An entry that reaches the platform reads the head there, so that a fault
    /// between entries exemptions it only while the platform is faulty as well.
    fn is_excused(&self) -> bool {
        self.is_recent(Some(self.started))
            || self.is_recent(self.paused)
            || self.is_recent(self.platform_cut)
            || (self.is_recent(self.any_cut) && self.is_recent(self.platform_fault))
    }
}
