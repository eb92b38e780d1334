//! Bound on the time for which free workers are withheld from a step: those that are reserved for
//! gangs, and from fillers those that run services which they may slow.
//!
//! A reservation assumes that the runs on its workers end soon. How long they take is only declared,
//! and a worker may answer late or be in quarantine, so that the assumption can fail in ways that no
//! check beforehand finds. Keeping fillers away from services assumes that there are other workers.
//! Where neither holds, work would wait beside free workers for good.

use crate::candidate::WorkerCandidate;
use crate::capacity::PoolCapacity;
use crate::gang;
use crate::job::StepKey;
use crate::place::{PlacementPass, WaitingStep};
use crate::planner::Planner;

/// Longest time for which workers are withheld from a step that could use their free capacity, in
/// milliseconds. The platform's rules allow 3 s without a start while capacity is free.
const MAX_WITHHELD_MS: u64 = 2_000;
/// Most steps of one decision for which such workers are looked for. Each search looks at all workers.
const MAX_SEARCHES_PER_DECISION: usize = 32;

impl Planner {
    /// Returns whether workers have been withheld from a step for so long that it may use them.
    pub(crate) fn may_use_withheld_workers(&self, key: &StepKey) -> bool {
        let since_ms = self.step_state(key).and_then(|state| state.withheld_since_ms);
        since_ms.is_some_and(|since| self.now_ms.saturating_sub(since) >= MAX_WITHHELD_MS)
    }

    /// Records since when workers are withheld from a step that could use them, after it has been
    /// placed as far as possible.
    ///
    /// While most of the pool is in use, a gang would never get its workers if others could take
    /// them, so only the delay of services is bounded then: they are expected to run all the time.
    pub(crate) fn update_withheld_time(
        &mut self,
        waiting: &WaitingStep<'_>,
        capacity: &PoolCapacity,
        pass: &mut PlacementPass,
    ) {
        let key = &waiting.key;
        let step = &waiting.spec.steps[key.step as usize];
        let is_bounded = step.service || capacity.is_mostly_free();
        let are_withheld = step.filler || !pass.reserved.is_empty();
        if !is_bounded || !are_withheld {
            self.set_withheld(key, false);
        } else if pass.withheld_searches < MAX_SEARCHES_PER_DECISION {
            pass.withheld_searches += 1;
            let are_needed = self.needs_withheld_workers(waiting, pass);
            self.set_withheld(key, are_needed);
        }
    }

    fn set_withheld(&mut self, key: &StepKey, are_withheld: bool) {
        let now = self.now_ms;
        let Some(state) = self.step_mut(key) else { return };
        state.withheld_since_ms = are_withheld.then(|| state.withheld_since_ms.unwrap_or(now));
    }

    /// Returns whether waiting tasks of a step would fit, but only on workers that are withheld.
    fn needs_withheld_workers(&self, waiting: &WaitingStep<'_>, pass: &mut PlacementPass) -> bool {
        let WaitingStep { key, spec, rule, .. } = waiting;
        let step = &spec.steps[key.step as usize];
        if self.step_state(key).is_none_or(|state| state.waiting == 0) {
            return false;
        }
        let fits = |candidates: &[WorkerCandidate]| {
            if step.gang {
                gang::pack_gang(step, candidates).is_some()
            } else {
                !candidates.is_empty()
            }
        };
        pass.may_use_withheld = true;
        let mut candidates = self.find_candidates(key, step, rule, pass);
        pass.may_use_withheld = false;
        if !fits(&candidates) {
            return false;
        }
        let own = pass.own_reserved.get(key);
        candidates.retain(|candidate| {
            let name = &candidate.name;
            let is_own = own.is_some_and(|own| own.contains(name));
            let is_reserved = pass.reserved.contains(name) && !is_own;
            let is_disturbed = step.filler && candidate.has_sensitive_runs;
            !is_reserved && !is_disturbed
        });
        !fits(&candidates)
    }
}
