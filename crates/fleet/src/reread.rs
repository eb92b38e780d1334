//! When the owner reads its jobs again after writes without an answer.

use std::collections::BTreeSet;

use model::time::ClockMillis;

use crate::limits;

/// Times of the reads that are due after unanswered writes.
#[derive(Clone, Debug, Default)]
pub struct RereadSchedule {
    due: BTreeSet<ClockMillis>,
}

impl RereadSchedule {
    /// Schedules the reads after a write that got no answer by `now`. Their times are rounded up,
    /// so that the reads after many writes are made together.
    pub fn add_write(&mut self, now: ClockMillis) {
        let mut at_ms = now.0;
        for delay in limits::UNANSWERED_WRITE_REREAD_DELAYS {
            at_ms += u64::try_from(delay.as_millis()).unwrap_or_default();
            self.due.insert(ClockMillis(at_ms.next_multiple_of(limits::REREAD_INTERVAL_MS)));
        }
    }

    /// Returns when the next read is due; none if no write waits for one.
    #[must_use]
    pub fn next_read(&self) -> Option<ClockMillis> {
        self.due.first().copied()
    }

    /// Records a read that begins at `now`.
    pub fn begin_read(&mut self, now: ClockMillis) {
        self.due.retain(|at| *at > now);
    }
}
