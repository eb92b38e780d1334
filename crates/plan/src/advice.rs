//! Who asks the advice service, and in which order.
//!
//! The service answers each calling VM one call at a time. Under load the long
//! calls of large steps would hold up the short calls of urgent ones, so some
//! VMs are kept for short calls (docs/platform.md, "Advice").

use std::collections::BTreeMap;

use arcstr::ArcStr;

use crate::decision::AdviceRequest;

/// Calls up to this duration, in milliseconds, count as short.
pub const MAX_SHORT_CALL_MS: f64 = 100.0;
/// Calls that may wait at one VM kept for short calls, to hide the way there.
const MAX_SHORT_CALLS_IN_FLIGHT: u32 = 2;
/// Pause of a VM after a failed call, in milliseconds; it doubles with each failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;
/// Longest pause of a VM whose calls fail, in milliseconds.
const MAX_BACKOFF_MS: u64 = 16_000;
/// One VM in so many is kept for short calls.
const ENTRIES_PER_RESERVED_ENTRY: usize = 3;

/// A VM that makes calls.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    /// Calls in flight.
    calls_in_flight: u32,
    /// Failed calls since the last answer.
    consecutive_failures: u32,
    /// No call before this instant, in milliseconds.
    backoff_until_ms: u64,
}

/// Calls that wait, and the VMs that make them.
#[derive(Debug, Default)]
pub struct AdviceDesk {
    entries: BTreeMap<ArcStr, EntryState>,
    pending: BTreeMap<(u32, u64), AdviceAsk>,
    sequence: u64,
}

impl AdviceDispatcher {
    /// Sets the VMs that can call; calls in flight of others are forgotten.
    pub fn set_callers<'a>(&mut self, names: impl Iterator<Item = &'a ArcStr>) {
        let old = std::mem::take(&mut self.entries);
        self.entries =
            names.map(|name| (name.clone(), old.get(name).copied().unwrap_or_default())).collect();
    }

    /// Adds a call.
    pub fn push(&mut self, request: AdviceAsk) {
        self.sequence += 1;
        self.pending.insert((request.priority, self.sequence), request);
    }

    /// Says that a call of a VM has ended. VMs that are gone stay listed for a
    /// while, so that one whose calls fail is tried less and less.
    pub fn ended(&mut self, entry: &ArcStr, answered: bool, now_ms: u64) {
        let Some(state) = self.entries.get_mut(entry) else { return };
        state.calls_in_flight = state.calls_in_flight.saturating_sub(1);
        if answered {
            state.consecutive_failures = 0;
            return;
        }
        let pause = INITIAL_BACKOFF_MS << state.consecutive_failures.min(10);
        state.consecutive_failures += 1;
        state.backoff_until_ms = now_ms + pause.min(MAX_BACKOFF_MS);
    }

    /// Returns the next call and the VM that makes it; none while all that fit are busy.
    pub fn next_call(&mut self, now_ms: u64) -> Option<(ArcStr, AdviceAsk)> {
        let (key, entry) = self.pending.iter().find_map(|(key, request)| {
            Some((*key, self.find_idle_entry(request.duration_ms, now_ms)?))
        })?;
        let request = self.pending.remove(&key)?;
        self.entries.entry(entry.clone()).or_default().calls_in_flight += 1;
        Some((entry, request))
    }

    fn find_idle_entry(&self, duration_ms: f64, now_ms: u64) -> Option<ArcStr> {
        let short = duration_ms <= SHORT_CALL_MS;
        let reserved_count = if self.entries.len() > 1 {
            self.entries.len().div_ceil(ENTRIES_PER_RESERVED_ENTRY)
        } else {
            0
        };
        let (reserved, others): (Vec<_>, Vec<_>) =
            self.entries.iter().enumerate().partition(|(index, _)| *index < reserved_count);
        let idle = |entries: &[(usize, (&ArcStr, &EntryState))], most: u32| {
            entries
                .iter()
                .filter(|(_, (_, state))| {
                    state.calls_in_flight < most && state.backoff_until_ms <= now_ms
                })
                .min_by_key(|(_, (_, state))| state.calls_in_flight)
                .map(|(_, (name, _))| (*name).clone())
        };
        if !short {
            return idle(&others, 1);
        }
        idle(&reserved, 1)
            .or_else(|| idle(&others, 1))
            .or_else(|| idle(&reserved, MAX_SHORT_CALLS_IN_FLIGHT))
    }
}
