//! Admission of jobs by the calls for advice and by the capacity before them.
//!
//! Each entry makes calls for one second in a second at most. When entries leave, the calls that
//! accepted jobs need can exceed what is left, and jobs would wait for calls on an idle fleet. A
//! job is therefore refused while the calls that go before its own would take longer than the job
//! can wait (docs/platform.md, "Advice"). It is also refused while the work before its own uses up
//! the capacity for longer than that (docs/design/insufficient-capacity.md).

use crate::advice::{AdviceDispatcher, CallAmounts, CallKind, CallTimes};
use crate::job::JobSpec;
use crate::order;
use crate::planner::Planner;
use crate::request;
use crate::room::{PendingRoom, RoomWaits};

/// Longest time that a job may have to wait for its call, in milliseconds, however late it may end.
const MAX_CALL_WAIT_MS: f64 = 4_000.0;
/// Shortest such time, so that a few calls in the queue refuse nobody.
const MIN_CALL_WAIT_MS: f64 = 1_000.0;

/// Part of the time that a job can wait after which it is refused for want of capacity. The work that
/// can be on time never takes longer than the jobs can wait, since what waits longer is late: a
/// higher limit is hardly ever reached, and most of the jobs are late then.
const ROOM_SLACK_SHARE: f64 = 0.6;
/// Shortest wait for capacity that refuses a job, in milliseconds: the time of a decision and a
/// report is not lack of capacity.
const MIN_ROOM_WAIT_MS: f64 = 250.0;
/// Time that a job can wait from which it is refused only if jobs of its priority that wait have
/// missed their objectives. A shorter time passes before such jobs are seen.
const LONG_SLACK_MS: f64 = 4_000.0;
/// Part of the time that it can wait after which a job beyond its team's share is refused. The
/// others would wait for its runs.
const BEYOND_SHARE_FACTOR: f64 = 0.5;
/// Longest `Retry-After`, in seconds.
const MAX_RETRY_S: u32 = 30;

/// Why there is no capacity for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomReason {
    /// The work before it takes too long.
    Room,
    /// Its team has used up its share, and others wait.
    Share,
}

impl RoomReason {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Share => "share",
        }
    }
}

/// Refusal of a job for want of capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomRefusal {
    /// Why there is none.
    pub reason: RoomReason,
    /// Expected time until there is capacity for the job, in milliseconds.
    pub wait_ms: f64,
    /// Time that it could wait to be on time, in milliseconds.
    pub limit_ms: f64,
    /// Expected time until there is capacity for it once it is late, in milliseconds.
    pub late_wait_ms: f64,
    /// Time that it could wait until its caller has no use for it, in milliseconds.
    pub late_limit_ms: f64,
    /// Shortest and longest time after which the caller may come back, in seconds. The time is drawn
    /// between them, so that the callers come back as capacity becomes free.
    pub retry_after_s: (u32, u32),
}

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
        let wait_ms = self.call_wait_ms(spec, dispatcher, storing)?;
        let path_ms = order::critical_path_ms(spec, rule);
        let slack_ms = order::objective_ms(spec, rule).saturating_sub(path_ms) as f64;
        let limit_ms = slack_ms.clamp(MIN_CALL_WAIT_MS, MAX_CALL_WAIT_MS);
        (wait_ms > limit_ms).then_some(CallRefusal { wait_ms, limit_ms })
    }

    /// Returns the expected time until the first calls of a new job, in milliseconds; none if it
    /// needs none.
    pub(crate) fn call_wait_ms(
        &self,
        spec: &JobSpec,
        dispatcher: &AdviceDispatcher,
        storing: &CallTimes,
    ) -> Option<f64> {
        let rule = self.config.queues.get(&spec.queue)?;
        let own = self.first_calls(spec).sum_up_to(rule.priority);
        let before = [&self.delayed_calls, &dispatcher.pending_times(), storing]
            .into_iter()
            .map(|calls| calls.sum_up_to(rule.priority))
            .fold(CallAmounts::default(), CallAmounts::plus);
        let callers = dispatcher.caller_counts();
        [CallKind::Short, CallKind::Long]
            .into_iter()
            .filter(|kind| own.get(*kind) > 0.0)
            .map(|kind| before.get(kind) / callers.get(kind))
            .reduce(f64::max)
    }

    /// Returns why a new job has to be refused for want of capacity; none if it can be done in time,
    /// or if that is not known.
    ///
    /// The work that goes before it counts: what waits here, and the demands of the jobs that are
    /// being stored. A job that would be late is accepted if the work before late jobs leaves it
    /// time until its caller has no use for it.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "times are minutes at most")]
    pub fn find_room_refusal(
        &self,
        spec: &JobSpec,
        storing: &PendingRoom,
        now_ms: u64,
    ) -> Option<RoomRefusal> {
        let rule = self.config.queues.get(&spec.queue)?;
        let is_exempt = spec.schedule.is_some() || spec.steps.iter().any(|step| step.service);
        if !self.options.features.room_admission || is_exempt || !self.room.is_measured(now_ms) {
            return None;
        }
        let path_ms = order::critical_path_ms(spec, rule);
        let objective_ms = order::objective_ms(spec, rule);
        let waits = self.room_waits(spec, rule, now_ms.saturating_add(objective_ms), storing)?;
        let RoomWaits { on_time: on_time_ms, late: late_ms, beyond_share: beyond_share_ms } = waits;
        let factor = self.room.underestimate_factor(spec);
        let likely_path_ms = path_ms as f64 * factor;
        let likely_objective_ms =
            objective_ms as f64 + (likely_path_ms - path_ms as f64) * rule.stretch;
        let slack_ms = (likely_objective_ms - likely_path_ms).max(0.0);
        let late_limit_ms = (order::EXPIRED_OBJECTIVE_FACTOR as f64 * likely_objective_ms
            - likely_path_ms)
            .max(0.0);
        let (reason, wait_ms, limit_ms) = if self.is_beyond_share(spec) {
            (RoomReason::Share, beyond_share_ms, slack_ms * BEYOND_SHARE_FACTOR)
        } else {
            (RoomReason::Room, on_time_ms, slack_ms * ROOM_SLACK_SHARE)
        };
        // Work that arrives later goes before jobs beyond their teams' shares. Those that wait show
        // whether a further one would be done in time.
        let is_late = wait_ms > limit_ms.max(MIN_ROOM_WAIT_MS)
            || (reason == RoomReason::Share && self.room.is_missing_objectives(rule, true));
        // The longer a job can wait, the less a forecast says: capacity is counted on for work that
        // cannot use it, such as gangs. Others like it are late first.
        let is_contradicted =
            slack_ms >= LONG_SLACK_MS && !self.room.is_missing_objectives(rule, false);
        let is_useful_late =
            reason == RoomReason::Room && (late_ms <= late_limit_ms || is_contradicted);
        if !is_late || is_useful_late {
            return None;
        }
        let returning_ms = self.room.returning_ms(&rule.pool, now_ms);
        Some(RoomRefusal {
            reason,
            wait_ms,
            limit_ms,
            late_wait_ms: late_ms,
            late_limit_ms,
            retry_after_s: retry_range_s(wait_ms - slack_ms, returning_ms, late_limit_ms),
        })
    }

    /// Records that a job was refused for want of capacity and may come back.
    pub fn record_room_refusal(&mut self, spec: &JobSpec, now_ms: u64) {
        if let Some((pool, _, demand)) = self.new_demand(spec) {
            self.room.add_returning(&pool, demand, now_ms);
        }
    }
}

/// Returns the shortest and the longest time after which a caller should come back, in seconds.
///
/// The shortest ends when a new job could be on time again, the longest after the work of the
/// callers that come back, too. Neither exceeds the time for which the caller has a use for its job
/// by more than is needed to draw between two values.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast of a float to an integer saturates"
)]
fn retry_range_s(excess_ms: f64, returning_ms: f64, useful_ms: f64) -> (u32, u32) {
    let whole_s = |millis: f64| (millis.max(0.0) / 1_000.0).ceil() as u32;
    let max_s = ((useful_ms / 1_000.0) as u32).clamp(2, MAX_RETRY_S);
    let first_s = whole_s(excess_ms).clamp(1, max_s - 1);
    let last_s = first_s.saturating_add(whole_s(returning_ms).max(1)).min(max_s);
    (first_s, last_s)
}
