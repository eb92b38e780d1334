//! Order of the calls to the advice service, and the entries that make them.
//!
//! The service works on one call of each calling VM at a time. Under load the
//! long calls of large steps would delay the short calls of urgent ones, so some
//! entries are reserved for short calls (docs/platform.md, "Advice").

use std::collections::BTreeMap;

use arcstr::ArcStr;
use smallvec::SmallVec;

use crate::decision::AdviceRequest;

/// Longest expected duration of a short call, in milliseconds.
pub const MAX_SHORT_CALL_MS: f64 = 100.0;
/// Most calls in flight of one reserved entry. The second one waits at the service while the
/// first is answered, which hides the network delay between two calls.
const MAX_SHORT_CALLS_IN_FLIGHT: u32 = 2;
/// Backoff of an entry after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;
/// Longest backoff of an entry whose calls fail, in milliseconds.
const MAX_BACKOFF_MS: u64 = 16_000;
/// One of this many entries is reserved for short calls.
const ENTRIES_PER_RESERVED_ENTRY: usize = 3;

/// An entry that makes calls.
#[derive(Clone, Copy, Debug, Default)]
struct EntryState {
    /// Calls without a result yet.
    calls_in_flight: u32,
    /// Failed calls since the last answered one.
    consecutive_failures: u32,
    /// Time before which the entry makes no call, in milliseconds.
    backoff_until_ms: u64,
}

/// Queue of advice requests, and the entries that can send them to the service.
#[derive(Debug, Default)]
pub struct AdviceDispatcher {
    entries: BTreeMap<ArcStr, EntryState>,
    /// Requests by priority and order of arrival.
    pending: BTreeMap<(u32, u64), AdviceRequest>,
    /// Number of requests that were added so far.
    sequence: u64,
}

impl AdviceDispatcher {
    /// Sets the entries that can make calls, in ascending order of names. Calls in flight of
    /// other entries are forgotten.
    pub fn set_entries<'a>(&mut self, names: impl Iterator<Item = &'a ArcStr> + Clone) {
        if self.entries.keys().eq(names.clone()) {
            return;
        }
        let old = std::mem::take(&mut self.entries);
        self.entries =
            names.map(|name| (name.clone(), old.get(name).copied().unwrap_or_default())).collect();
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, request: AdviceRequest) {
        self.sequence += 1;
        self.pending.insert((request.priority, self.sequence), request);
    }

    /// Returns the number of requests that wait for an entry.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Records the result of a call of an entry.
    ///
    /// Each failure doubles the backoff of the entry, because an entry that is gone
    /// remains in the list of entries for a while.
    pub fn record_result(&mut self, entry: &ArcStr, answered: bool, now_ms: u64) {
        let Some(state) = self.entries.get_mut(entry) else { return };
        state.calls_in_flight = state.calls_in_flight.saturating_sub(1);
        if answered {
            state.consecutive_failures = 0;
            return;
        }
        let backoff_ms = INITIAL_BACKOFF_MS << state.consecutive_failures.min(10);
        state.consecutive_failures += 1;
        state.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Removes and returns the next request and the entry that is to send it.
    ///
    /// Returns `None` while no entry may make any of the pending calls.
    pub fn next_call(&mut self, now_ms: u64) -> Option<(ArcStr, AdviceRequest)> {
        let (key, entry) = self.pending.iter().find_map(|(key, request)| {
            Some((*key, self.find_available_entry(request.duration_ms, now_ms)?))
        })?;
        let request = self.pending.remove(&key)?;
        self.entries.entry(entry.clone()).or_default().calls_in_flight += 1;
        Some((entry, request))
    }

    /// Returns an entry that may make a call of this duration now.
    ///
    /// Entries are reserved among those whose last call was answered: entries that are gone stay
    /// in the list, and without the others nobody would make long calls.
    fn find_available_entry(&self, duration_ms: f64, now_ms: u64) -> Option<ArcStr> {
        let is_short = duration_ms <= MAX_SHORT_CALL_MS;
        let answering = self.entries.values().filter(|state| state.consecutive_failures == 0);
        let reserved_count = match answering.count() {
            0 | 1 => 0,
            count => count.div_ceil(ENTRIES_PER_RESERVED_ENTRY),
        };
        let mut reserved: SmallVec<[_; 4]> = SmallVec::new();
        let mut others: SmallVec<[_; 8]> = SmallVec::new();
        for entry in &self.entries {
            if entry.1.consecutive_failures == 0 && reserved.len() < reserved_count {
                reserved.push(entry);
            } else {
                others.push(entry);
            }
        }
        let least_busy = |candidates: &[(&ArcStr, &EntryState)], max_calls: u32| {
            candidates
                .iter()
                .filter(|(_, state)| {
                    state.calls_in_flight < max_calls && state.backoff_until_ms <= now_ms
                })
                .min_by_key(|(_, state)| (state.consecutive_failures, state.calls_in_flight))
                .map(|(name, _)| (*name).clone())
        };
        if !is_short {
            return least_busy(&others, 1);
        }
        least_busy(&reserved, 1)
            .or_else(|| least_busy(&others, 1))
            .or_else(|| least_busy(&reserved, MAX_SHORT_CALLS_IN_FLIGHT))
    }
}
