//! The advice service: which workers may run a step, and how long its calls take.
//!
//! The service works on one call of each calling machine at a time, in the order of their
//! arrival. In the stand-in every entry has a port of its own for its calls, as on the loopback
//! address their sources cannot be told apart.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Most calls of one machine that wait; a further one is refused.
pub const MAX_WAITING_CALLS: usize = 32;
/// Longest answer to a call, in workers.
pub const MAX_WORKERS: usize = 100;

/// Cost of calls about a kind of job, and their verdicts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceRule {
    /// Milliseconds for a call, apart from those for its workers.
    pub decide_ms: f64,
    /// Milliseconds for each worker that a call names.
    pub each_ms: f64,
    /// Milliseconds for which a ticket is valid.
    pub valid_ms: u64,
    /// Share of the workers that may run a step, in per cent.
    pub good_percent: u64,
}

/// The advice service.
#[derive(Debug, Default)]
pub struct AdviceService {
    /// Rules by the first character of a job's identifier. The workers start no task of such a
    /// job without a valid ticket. For other jobs, calls are short and workers with an odd number
    /// may run them.
    pub rules: BTreeMap<char, AdviceRule>,
    /// Number of calls that were refused because too many waited.
    pub refused_calls: u64,
    /// Milliseconds for which the service worked on calls, by calling machine.
    pub work_ms: BTreeMap<usize, f64>,
    /// Instants at which the open calls of each machine are answered.
    open_calls: BTreeMap<usize, VecDeque<Instant>>,
    /// Instants until which tickets are valid.
    tickets: BTreeMap<String, Instant>,
}

impl AdviceService {
    /// Queues a call of a machine; returns the instant of its answer, or none if it is refused.
    pub fn admit(
        &mut self,
        caller: usize,
        step: &str,
        workers: usize,
        now: Instant,
    ) -> Option<Instant> {
        let rule = self.rule(step);
        let calls = self.open_calls.entry(caller).or_default();
        calls.retain(|answered_at| *answered_at > now);
        if calls.len() > MAX_WAITING_CALLS {
            self.refused_calls += 1;
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "a call names at most 100 workers")]
        let duration_ms = rule.decide_ms + rule.each_ms * workers as f64;
        let begins_at = calls.back().copied().unwrap_or(now);
        let answered_at = begins_at + Duration::from_secs_f64(duration_ms / 1_000.0);
        calls.push_back(answered_at);
        *self.work_ms.entry(caller).or_default() += duration_ms;
        Some(answered_at)
    }

    /// Returns whether a worker may run a step. That never changes.
    #[must_use]
    pub fn is_good(&self, step: &str, worker: &str) -> bool {
        let Some(rule) = self.find_rule(step) else {
            return worker.ends_with(['1', '3', '5', '7', '9']);
        };
        let hash =
            step.bytes().chain(worker.bytes()).fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
            });
        (hash >> 32) % 100 < rule.good_percent
    }

    /// Issues the ticket of a step for one life of a worker.
    pub fn issue_ticket(&mut self, step: &str, worker: &str, life: u64, now: Instant) -> String {
        let ticket = format!("{step}/{worker}/{life}");
        let valid_until = now + Duration::from_millis(self.rule(step).valid_ms);
        self.tickets.insert(ticket.clone(), valid_until);
        ticket
    }

    /// Returns whether a worker may start a task with this ticket.
    #[must_use]
    pub fn accepts(&self, task: &str, worker: &str, life: u64, ticket: &str, now: Instant) -> bool {
        if ticket.is_empty() {
            return self.find_rule(task).is_none();
        }
        let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
        ticket == format!("{step}/{worker}/{life}")
            && self.tickets.get(ticket).is_some_and(|valid_until| *valid_until > now)
    }

    fn find_rule(&self, name: &str) -> Option<AdviceRule> {
        name.chars().next().and_then(|first| self.rules.get(&first)).copied()
    }

    fn rule(&self, step: &str) -> AdviceRule {
        self.find_rule(step).unwrap_or(AdviceRule {
            decide_ms: 1.0,
            each_ms: 0.1,
            valid_ms: 1_500,
            good_percent: 50,
        })
    }
}
