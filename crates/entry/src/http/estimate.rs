//! Estimates how long requests of a queue run, from those of this thread.
//!
//! A request that gets its slot just before its deadline cannot be answered in
//! time. In an overloaded queue this is always the request at the head, so that
//! without this estimate every slot would serve an answer that comes too late.

use std::collections::HashMap;
use std::time::Duration;

use model::name::QueueName;

/// Weight of a new sample in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Smoothed run time of one queue, in seconds.
#[derive(Clone, Copy, Debug)]
struct RunTime {
    mean: f64,
    deviation: f64,
}

/// Smoothed run times by queue, computed like TCP's round-trip estimate (RFC 6298).
#[derive(Clone, Debug, Default)]
pub struct RunEstimate {
    queues: HashMap<QueueName, RunTime>,
}

impl RunEstimate {
    /// Records how long an answered attempt took.
    pub fn record_run_time(&mut self, queue: &QueueName, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        if let Some(run_time) = self.queues.get_mut(queue) {
            let error = (sample - run_time.mean).abs();
            run_time.deviation += DEVIATION_WEIGHT * (error - run_time.deviation);
            run_time.mean += MEAN_WEIGHT * (sample - run_time.mean);
        } else {
            let run_time = RunTime { mean: sample, deviation: sample / 2.0 };
            self.queues.insert(queue.clone(), run_time);
        }
    }

    /// Returns the time to reserve for running a request; zero if unknown.
    ///
    /// It is at most half of the time that remains until the deadline: after slow
    /// answers the estimate only falls if requests are still sent and answered.
    #[must_use]
    pub fn estimate_reserve(&self, queue: &QueueName, remaining: Duration) -> Duration {
        let run_time = self.queues.get(queue);
        let expected = run_time.map_or(Duration::ZERO, |run_time| {
            Duration::from_secs_f64(2.0_f64.mul_add(run_time.deviation, run_time.mean))
        });
        expected.min(remaining / 2)
    }
}
