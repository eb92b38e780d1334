//! Order of the calls to the advice service, and the entries that make them.
//!
//! The service works on one call of each calling VM at a time. Under load the
//! long calls of large steps would delay the short calls of urgent ones, so some
//! entries are reserved for short calls (docs/platform.md, "Advice").
//!
//! The queue is kept short. What is asked, and for which step first, is decided when an entry is
//! about to be free: a request that had waited for seconds would name workers whose capacity has
//! been used meanwhile.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use smallvec::SmallVec;

use crate::decision::AdviceRequest;

/// Longest expected duration of a short call, in milliseconds.
pub const MAX_SHORT_CALL_MS: f64 = 100.0;
/// Most calls in flight of one entry. The later ones wait at the service while the first is
/// answered, which hides the delay between two calls.
const MAX_CALLS_IN_FLIGHT: usize = 3;
/// Expected duration of the calls in flight of an entry, in milliseconds, up to which a further
/// call is sent behind them.
const MAX_IN_FLIGHT_MS: f64 = 50.0;
/// Weight of a call in the moving average of how long calls take, for each millisecond.
const SLOWDOWN_GAIN_PER_MS: f64 = 0.000_5;
/// Backoff of an entry after a failed call, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: u64 = 1_000;
/// Longest backoff of an entry whose calls fail, in milliseconds.
const MAX_BACKOFF_MS: u64 = 16_000;
/// One of this many entries is reserved for short calls.
const ENTRIES_PER_RESERVED_ENTRY: usize = 3;
/// Time without a short request after which no entry is reserved for them, in milliseconds.
const MAX_SHORT_PAUSE_MS: u64 = 1_000;
/// Expected duration of the requests of one kind that may wait for each entry, in milliseconds:
/// enough to keep the entries busy until the next decision.
const QUEUE_MS_PER_ENTRY: f64 = 200.0;
/// Shortest time after which a request goes before more urgent ones, in milliseconds.
const MIN_OVERDUE_MS: f64 = 1_000.0;
/// Multiple of its duration for which a call lets more urgent ones go first. A long call of the
/// only entry then takes up to a quarter of its time while short ones wait.
const OVERDUE_DURATION_FACTOR: f64 = 3.0;
/// Part of a single entry's time that short calls are counted on; long calls get the rest.
const SINGLE_ENTRY_SHORT_SHARE: f64 = 0.75;
/// Part of the time of an entry that is not reserved that short calls are counted on.
const UNRESERVED_SHORT_SHARE: f64 = 0.5;

/// Kind of a call, by its expected duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Takes up to [`MAX_SHORT_CALL_MS`].
    Short,
    /// Takes longer, and is kept off the reserved entries.
    Long,
}

impl CallKind {
    /// Returns the kind of a call with this expected duration.
    #[must_use]
    pub fn of(duration_ms: f64) -> Self {
        if duration_ms <= MAX_SHORT_CALL_MS { Self::Short } else { Self::Long }
    }
}

/// An amount for each kind of call: milliseconds of calls, or entries that can make them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallAmounts {
    /// Amount for short calls.
    pub short: f64,
    /// Amount for long calls.
    pub long: f64,
}

impl CallAmounts {
    /// Returns the amount for a kind.
    #[must_use]
    pub const fn get(self, kind: CallKind) -> f64 {
        match kind {
            CallKind::Short => self.short,
            CallKind::Long => self.long,
        }
    }

    /// Returns the amount for a kind, to change it.
    pub const fn get_mut(&mut self, kind: CallKind) -> &mut f64 {
        match kind {
            CallKind::Short => &mut self.short,
            CallKind::Long => &mut self.long,
        }
    }

    /// Returns the sums of two amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self { short: self.short + other.short, long: self.long + other.long }
    }
}

/// Expected duration of calls by the priority of their queues, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallTimes {
    by_priority: BTreeMap<u32, CallAmounts>,
}

impl CallTimes {
    /// Adds a call.
    pub fn add_call(&mut self, priority: u32, duration_ms: f64) {
        self.add(priority, CallKind::of(duration_ms), duration_ms);
    }

    /// Adds calls of a kind, by their expected duration together.
    pub fn add(&mut self, priority: u32, kind: CallKind, duration_ms: f64) {
        *self.by_priority.entry(priority).or_default().get_mut(kind) += duration_ms;
    }

    /// Adds other calls.
    pub fn add_all(&mut self, other: &Self) {
        for (priority, amounts) in &other.by_priority {
            let sum = self.by_priority.entry(*priority).or_default();
            *sum = sum.plus(*amounts);
        }
    }

    /// Removes calls that were added before.
    pub fn remove_all(&mut self, other: &Self) {
        for (priority, amounts) in &other.by_priority {
            if let Some(sum) = self.by_priority.get_mut(priority) {
                *sum = CallAmounts {
                    short: (sum.short - amounts.short).max(0.0),
                    long: (sum.long - amounts.long).max(0.0),
                };
            }
        }
    }

    /// Returns the sums of the calls that go before further calls of a priority.
    #[must_use]
    pub fn sum_up_to(&self, priority: u32) -> CallAmounts {
        let urgent = self.by_priority.range(..=priority).map(|(_, amounts)| *amounts);
        urgent.fold(CallAmounts::default(), CallAmounts::plus)
    }

    /// Returns whether there are no calls.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_priority.is_empty()
    }

    /// Removes all calls.
    pub fn clear(&mut self) {
        self.by_priority.clear();
    }
}

/// Requests that wait for an entry, and how many may wait.
#[derive(Clone, Debug, PartialEq)]
pub struct CallQueue {
    /// Expected durations of the requests.
    pub pending: CallTimes,
    /// Expected duration of the requests of one kind up to which a further one may be queued, in
    /// milliseconds.
    pub max_ms: f64,
}

impl Default for CallQueue {
    /// Returns a queue without a bound.
    fn default() -> Self {
        Self { pending: CallTimes::default(), max_ms: f64::INFINITY }
    }
}

impl CallQueue {
    /// Returns whether a request may be queued. Less urgent ones do not count, as it goes before
    /// them.
    #[must_use]
    pub fn may_queue(&self, priority: u32, duration_ms: f64) -> bool {
        self.pending.sum_up_to(priority).get(CallKind::of(duration_ms)) < self.max_ms
    }
}

/// An entry that makes calls.
#[derive(Clone, Debug, Default)]
struct EntryState {
    /// Calls without a result yet: when they were sent, and their expected durations.
    calls_in_flight: SmallVec<[(u64, f64); MAX_CALLS_IN_FLIGHT]>,
    /// When the last result came.
    last_result_ms: u64,
    /// Failed calls since the last answered one.
    consecutive_failures: u32,
    /// Time before which the entry makes no call, in milliseconds.
    backoff_until_ms: u64,
}

/// A request that waits for an entry.
#[derive(Debug)]
struct PendingRequest {
    request: AdviceRequest,
    queued_ms: u64,
}

impl PendingRequest {
    /// Returns whether the request has let more urgent ones go first for long enough.
    #[expect(clippy::cast_precision_loss, reason = "requests wait for seconds at most")]
    fn is_overdue(&self, now_ms: u64) -> bool {
        let patience_ms = (self.request.duration_ms * OVERDUE_DURATION_FACTOR).max(MIN_OVERDUE_MS);
        now_ms.saturating_sub(self.queued_ms) as f64 >= patience_ms
    }
}

/// Queue of advice requests, and the entries that can send them to the service.
#[derive(Debug, Default)]
pub struct AdviceDispatcher {
    entries: BTreeMap<ArcStr, EntryState>,
    /// Requests by priority and order of arrival.
    pending: BTreeMap<(u32, u64), PendingRequest>,
    /// Number of requests that were added so far.
    sequence: u64,
    /// When the last short request was added, or the first one of any kind.
    last_short_ms: Option<u64>,
    /// Latest time that the caller passed.
    now_ms: u64,
    /// Moving average of the time that calls take beyond their expected duration, relative to it.
    slowdown: f64,
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
            names.map(|name| (name.clone(), old.get(name).cloned().unwrap_or_default())).collect();
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, request: AdviceRequest, now_ms: u64) {
        self.sequence += 1;
        self.now_ms = self.now_ms.max(now_ms);
        // Short requests may come soon after the first one of any kind.
        let is_short = CallKind::of(request.duration_ms) == CallKind::Short;
        if is_short || self.last_short_ms.is_none() {
            self.last_short_ms = Some(now_ms);
        }
        let key = (request.priority, self.sequence);
        self.pending.insert(key, PendingRequest { request, queued_ms: now_ms });
    }

    /// Returns the expected durations of the requests that wait for an entry, in milliseconds.
    #[must_use]
    pub fn pending_times(&self) -> CallTimes {
        let mut times = CallTimes::default();
        for PendingRequest { request, .. } in self.pending.values() {
            times.add_call(request.priority, request.duration_ms);
        }
        times
    }

    /// Returns the queue as the planner has to know it for its next decision.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "there are hundreds of entries at most")]
    pub fn queue(&self) -> CallQueue {
        let max_ms = QUEUE_MS_PER_ENTRY * self.answering_count().max(1) as f64;
        CallQueue { pending: self.pending_times(), max_ms }
    }

    /// Returns how many entries can make calls of each kind, by their last calls and by how long
    /// calls take. A single entry divides its time.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "there are hundreds of entries at most")]
    pub fn caller_counts(&self) -> CallAmounts {
        let answering = self.answering_count();
        let reserved = self.reserved_count();
        let (short, long) = if answering <= 1 {
            (SINGLE_ENTRY_SHORT_SHARE, 1.0 - SINGLE_ENTRY_SHORT_SHARE)
        } else {
            let others = (answering - reserved) as f64;
            (reserved as f64 + UNRESERVED_SHORT_SHARE * others, others)
        };
        let speed = 1.0 / (1.0 + self.slowdown);
        CallAmounts { short: short * speed, long: long * speed }
    }

    /// Returns how many of the entries that answer are reserved for short calls: none while there
    /// are no such calls, so that no entry idles while long ones wait.
    fn reserved_count(&self) -> usize {
        let is_recent = |at_ms: u64| self.now_ms.saturating_sub(at_ms) <= MAX_SHORT_PAUSE_MS;
        match self.answering_count() {
            0 | 1 => 0,
            _ if !self.last_short_ms.is_none_or(is_recent) => 0,
            count => count.div_ceil(ENTRIES_PER_RESERVED_ENTRY),
        }
    }

    /// Returns the number of entries whose last call was answered.
    fn answering_count(&self) -> usize {
        self.entries.values().filter(|state| state.consecutive_failures == 0).count()
    }

    /// Returns the number of requests that wait for an entry.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the moving average of the time that calls take beyond their expected duration,
    /// relative to it.
    #[must_use]
    pub const fn slowdown(&self) -> f64 {
        self.slowdown
    }

    /// Records the result of a call of an entry.
    ///
    /// Each failure doubles the backoff of the entry, because an entry that is gone
    /// remains in the list of entries for a while.
    pub fn record_result(&mut self, entry: &ArcStr, answered: bool, now_ms: u64) {
        let Some(state) = self.entries.get_mut(entry) else { return };
        let call = (!state.calls_in_flight.is_empty()).then(|| state.calls_in_flight.remove(0));
        let began_ms = call.map_or(now_ms, |(sent_ms, _)| sent_ms.max(state.last_result_ms));
        state.last_result_ms = now_ms;
        if answered {
            state.consecutive_failures = 0;
            if let Some((_, expected_ms)) = call {
                self.record_slowdown(expected_ms, now_ms.saturating_sub(began_ms));
            }
            return;
        }
        let backoff_ms = INITIAL_BACKOFF_MS << state.consecutive_failures.min(10);
        state.consecutive_failures += 1;
        state.backoff_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Takes an answered call into the average of how long calls take.
    #[expect(clippy::cast_precision_loss, reason = "calls take seconds at most")]
    fn record_slowdown(&mut self, expected_ms: f64, elapsed_ms: u64) {
        let gain = (expected_ms * SLOWDOWN_GAIN_PER_MS).min(1.0);
        let slowdown = (elapsed_ms as f64 / expected_ms.max(1.0) - 1.0).max(0.0);
        self.slowdown += gain * (slowdown - self.slowdown);
    }

    /// Removes and returns the next request and the entry that is to send it.
    ///
    /// Returns `None` while no entry may make any of the pending calls.
    pub fn next_call(&mut self, now_ms: u64) -> Option<(ArcStr, AdviceRequest)> {
        self.now_ms = self.now_ms.max(now_ms);
        let oldest = self.pending.iter().filter(|(_, pending)| pending.is_overdue(now_ms));
        let oldest = oldest.min_by_key(|((_, sequence), _)| *sequence);
        let (key, entry) = oldest.into_iter().chain(&self.pending).find_map(|(key, pending)| {
            Some((*key, self.find_available_entry(pending.request.duration_ms, now_ms)?))
        })?;
        let request = self.pending.remove(&key)?.request;
        let call = (now_ms, request.duration_ms);
        self.entries.entry(entry.clone()).or_default().calls_in_flight.push(call);
        Some((entry, request))
    }

    /// Returns an entry that may make a call of this duration now.
    ///
    /// Entries are reserved among those whose last call was answered: entries that are gone stay
    /// in the list, and without the others nobody would make long calls.
    fn find_available_entry(&self, duration_ms: f64, now_ms: u64) -> Option<ArcStr> {
        let is_short = CallKind::of(duration_ms) == CallKind::Short;
        let reserved_count = self.reserved_count();
        let mut reserved: SmallVec<[_; 4]> = SmallVec::new();
        let mut others: SmallVec<[_; 8]> = SmallVec::new();
        for entry in &self.entries {
            if entry.1.consecutive_failures == 0 && reserved.len() < reserved_count {
                reserved.push(entry);
            } else {
                others.push(entry);
            }
        }
        let least_busy = |candidates: &[(&ArcStr, &EntryState)], max_calls: usize| {
            candidates
                .iter()
                .filter(|(_, state)| {
                    state.calls_in_flight.len() < max_calls
                        && state.in_flight_ms() <= MAX_IN_FLIGHT_MS
                        && state.backoff_until_ms <= now_ms
                })
                .min_by_key(|(_, state)| (state.consecutive_failures, state.calls_in_flight.len()))
                .map(|(name, _)| (*name).clone())
        };
        if !is_short {
            return least_busy(&others, MAX_CALLS_IN_FLIGHT);
        }
        least_busy(&reserved, 1)
            .or_else(|| least_busy(&others, 1))
            .or_else(|| least_busy(&reserved, MAX_CALLS_IN_FLIGHT))
            .or_else(|| least_busy(&others, MAX_CALLS_IN_FLIGHT))
    }
}

impl EntryState {
    /// Returns the expected duration of the calls in flight, in milliseconds.
    fn in_flight_ms(&self) -> f64 {
        self.calls_in_flight.iter().map(|(_, expected_ms)| expected_ms).sum()
    }
}
