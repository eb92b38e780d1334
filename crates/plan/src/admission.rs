//! Admission of jobs whose steps need advice.
//!
//! Each entry makes calls for one second in a second at most. When entries leave, the calls that
//! accepted jobs need can exceed what is left, and jobs would wait for calls on an idle fleet. A
//! job is therefore refused while the calls that go before its own would take longer than the job
//! can wait (docs/platform.md, "Advice").

use crate::advice::{AdviceDispatcher, CallAmounts, CallKind, CallTimes};
use crate::job::JobSpec;
use crate::order;
use crate::planner::Planner;
use crate::request;

/// Longest time that a job may have to wait for its call, in milliseconds, however late it may end.
const MAX_CALL_WAIT_MS: f64 = 4_000.0;
/// Shortest such time, so that a few calls in the queue refuse nobody.
const MIN_CALL_WAIT_MS: f64 = 1_000.0;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallRefusal {
    /// Expected time until its call, in milliseconds.
    pub wait_ms: f64,
    /// Time that it could wait, in milliseconds.
    pub limit_ms: f64,
}

impl Planner {
    /// Returns the calls that the steps of a new job need which wait for no other step.
    #[must_use]
    pub fn first_calls(&self, spec: &JobSpec) -> CallTimes {
        let mut calls = CallTimes::default();
        let rule = self.config.queues.get(&spec.queue);
        if let Some(rule) = rule.filter(|rule| rule.advice.is_some()) {
            for step in spec.steps.iter().filter(|step| step.after.is_empty()) {
                let call_ms = request::estimate_call_ms(step, rule);
                let expected_ms = self.expected_calls_ms(&spec.queue, call_ms);
                calls.add(rule.priority, CallKind::of(call_ms), expected_ms);
            }
        }
        calls
    }

    /// Returns why a new job has to be refused; none if its first calls can be made in time.
    ///
    /// The calls of more and of equally urgent jobs go before its own: those that wait here or with
    /// the dispatcher, and those for jobs that are being stored. A job that becomes due later waits
    /// for its time anyway.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times are minutes at most")]
    pub fn find_call_refusal(
        &self,
        spec: &JobSpec,
        dispatcher: &AdviceDispatcher,
        storing: &CallTimes,
    ) -> Option<CallRefusal> {
        let rule = self.config.queues.get(&spec.queue)?;
        if spec.schedule.is_some() {
            return None;
        }
        let own = self.first_calls(spec).sum_up_to(rule.priority);
        let before = [&self.delayed_calls, &dispatcher.pending_times(), storing]
            .into_iter()
            .map(|calls| calls.sum_up_to(rule.priority))
            .fold(CallAmounts::default(), CallAmounts::plus);
        let callers = dispatcher.caller_counts();
        let wait_ms = [CallKind::Short, CallKind::Long]
            .into_iter()
            .filter(|kind| own.get(*kind) > 0.0)
            .map(|kind| before.get(kind) / callers.get(kind))
            .reduce(f64::max)?;
        let path_ms = order::critical_path_ms(spec, rule);
        let slack_ms = order::objective_ms(spec, rule).saturating_sub(path_ms) as f64;
        let limit_ms = slack_ms.clamp(MIN_CALL_WAIT_MS, MAX_CALL_WAIT_MS);
        (wait_ms > limit_ms).then_some(CallRefusal { wait_ms, limit_ms })
    }
}
