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
const SHORT_CALLS_QUEUED: u32 = 2;
/// Pause of a VM after a failed call, in milliseconds; it doubles with each failure.
const FAILURE_PAUSE_MS: u64 = 1_000;
/// Longest pause of a VM whose calls fail, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 16_000;
/// One VM in so many is kept for short calls.
const VMS_PER_SHORT_VM: usize = 3;

/// A VM that makes calls.
#[derive(Clone, Copy, Debug, Default)]
struct CallerState {
    /// Calls in flight.
    calls: u32,
    /// Failed calls since the last answer.
    failures: u32,
    /// No call before this instant, in milliseconds.
    paused_until: u64,
}

/// Calls that wait, and the VMs that make them.
#[derive(Debug, Default)]
pub struct AdviceDispatcher {
    callers: BTreeMap<ArcStr, CallerState>,
    waiting: BTreeMap<(u32, u64), AdviceRequest>,
    sequence: u64,
}

impl AdviceDispatcher {
    /// Sets the VMs that can call; calls in flight of others are forgotten.
    pub fn set_entries<'a>(&mut self, names: impl Iterator<Item = &'a ArcStr>) {
        let old = std::mem::take(&mut self.callers);
        self.callers =
            names.map(|name| (name.clone(), old.get(name).copied().unwrap_or_default())).collect();
    }

    /// Adds a call.
    pub fn push(&mut self, ask: AdviceRequest) {
        self.sequence += 1;
        self.waiting.insert((ask.priority, self.sequence), ask);
    }

    /// Says that a call of a VM has ended. VMs that are gone stay listed for a
    /// while, so that one whose calls fail is tried less and less.
    pub fn record_result(&mut self, caller: &ArcStr, answered: bool, now_ms: u64) {
        let Some(state) = self.callers.get_mut(caller) else { return };
        state.calls = state.calls.saturating_sub(1);
        if answered {
            state.failures = 0;
            return;
        }
        let pause = FAILURE_PAUSE_MS << state.failures.min(10);
        state.failures += 1;
        state.paused_until = now_ms + pause.min(LONGEST_PAUSE_MS);
    }

    /// Returns the next call and the VM that makes it; none while all that fit are busy.
    pub fn next_call(&mut self, now_ms: u64) -> Option<(ArcStr, AdviceRequest)> {
        let (key, caller) = self
            .waiting
            .iter()
            .find_map(|(key, ask)| Some((*key, self.free_caller(ask.duration_ms, now_ms)?)))?;
        let ask = self.waiting.remove(&key)?;
        self.callers.entry(caller.clone()).or_default().calls += 1;
        Some((caller, ask))
    }

    fn free_caller(&self, duration_ms: f64, now_ms: u64) -> Option<ArcStr> {
        let short = duration_ms <= MAX_SHORT_CALL_MS;
        let kept =
            if self.callers.len() > 1 { self.callers.len().div_ceil(VMS_PER_SHORT_VM) } else { 0 };
        let (kept_callers, others): (Vec<_>, Vec<_>) =
            self.callers.iter().enumerate().partition(|(index, _)| *index < kept);
        let idle = |callers: &[(usize, (&ArcStr, &CallerState))], most: u32| {
            callers
                .iter()
                .filter(|(_, (_, state))| state.calls < most && state.paused_until <= now_ms)
                .min_by_key(|(_, (_, state))| state.calls)
                .map(|(_, (name, _))| (*name).clone())
        };
        if !short {
            return idle(&others, 1);
        }
        idle(&kept_callers, 1)
            .or_else(|| idle(&others, 1))
            .or_else(|| idle(&kept_callers, SHORT_CALLS_QUEUED))
    }
}
