//! Bound on the time for which workers that are reserved for gangs keep other steps from starting.
//!
//! A reservation assumes that the runs on its workers end soon. How long they take is only declared,
//! and a worker may answer late or be in quarantine, so that the assumption can fail in ways that no
//! check beforehand finds. Then the work behind the gang would wait beside free workers.

use crate::candidate::WorkerCandidate;
use crate::capacity::PoolCapacity;
use crate::gang;
use crate::job::StepKey;
use crate::place::{PlacementPass, WaitingStep};
use crate::planner::Planner;

/// Longest time for which reservations keep a step from free capacity that it could use, in
/// milliseconds. The platform's rules allow 3 s without a start while capacity is free.
const MAX_RESERVATION_DELAY_MS: u64 = 2_000;
/// Most steps of one decision that are checked for such a delay. Each check looks at all workers.
const MAX_DELAY_CHECKS_PER_DECISION: usize = 32;

impl Planner {
    /// Returns whether reservations have kept a step from starting for so long that it may use
    /// reserved workers.
    pub(crate) fn has_long_reservation_delay(&self, key: &StepKey) -> bool {
        let since_ms = self.step_state(key).and_then(|state| state.reservation_delay_since_ms);
        since_ms.is_some_and(|since| self.now_ms.saturating_sub(since) >= MAX_RESERVATION_DELAY_MS)
    }

    /// Records since when reservations keep a step from starting, after it has been placed as far as
    /// possible.
    ///
    /// While most of the pool is in use, a gang would never get its workers if others could take
    /// them, so only the delay of services is bounded then: they are expected to run all the time.
    pub(crate) fn update_reservation_delay(
        &mut self,
        waiting: &WaitingStep<'_>,
        capacity: &PoolCapacity,
        pass: &mut PlacementPass,
    ) {
        let key = &waiting.key;
        let is_service = waiting.spec.steps[key.step as usize].service;
        let is_bounded = is_service || capacity.is_mostly_free();
        if !is_bounded || pass.reserved.is_empty() {
            self.set_reservation_delay(key, false);
        } else if pass.delay_checks < MAX_DELAY_CHECKS_PER_DECISION {
            pass.delay_checks += 1;
            let is_delayed = self.is_kept_by_reservations(waiting, pass);
            self.set_reservation_delay(key, is_delayed);
        }
    }

    fn set_reservation_delay(&mut self, key: &StepKey, is_delayed: bool) {
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        state.reservation_delay_since_ms =
            is_delayed.then(|| state.reservation_delay_since_ms.unwrap_or(now));
    }

    /// Returns whether waiting tasks of a step would fit, but only on workers reserved for gangs.
    fn is_kept_by_reservations(&self, waiting: &WaitingStep<'_>, pass: &mut PlacementPass) -> bool {
        let WaitingStep { key, spec, rule, .. } = waiting;
        let step = &spec.steps[key.step as usize];
        if self.step_state(key).is_none_or(|state| state.waiting == 0) {
            return false;
        }
        pass.may_use_reserved = true;
        let candidates = self.find_candidates(key, step, rule, pass);
        pass.may_use_reserved = false;
        let fits = |candidates: &[WorkerCandidate]| {
            if step.gang {
                gang::pack_gang(step, candidates).is_some()
            } else {
                !candidates.is_empty()
            }
        };
        let own = pass.own_reserved.get(key);
        let is_left = |candidate: &WorkerCandidate| {
            let name = &candidate.name;
            !pass.reserved.contains(name) || own.is_some_and(|own| own.contains(name))
        };
        fits(&candidates) && {
            let left: Vec<_> = candidates.into_iter().filter(is_left).collect();
            !fits(&left)
        }
    }
}
