//! The retry budget of one entry, so that retries cannot multiply an overload.

/// Retries earned by each first attempt, in thousandths: 10 %.
const MILLITOKENS_PER_FIRST_ATTEMPT: u64 = 100;
/// Cost of one retry in thousandths.
const MILLITOKENS_PER_RETRY: u64 = 1000;
/// Most retries that a quiet time can save up, in thousandths.
const MAX_MILLITOKENS: u64 = 20_000;

/// A token bucket that first attempts fill and retries empty.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    millitokens: u64,
}

impl Default for RetryBudget {
    /// Starts full, so that the first failures after a start can be retried.
    fn default() -> Self {
        Self { millitokens: MAX_MILLITOKENS }
    }
}

impl RetryBudget {
    /// Notes a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.millitokens = (self.millitokens + MILLITOKENS_PER_FIRST_ATTEMPT).min(MAX_MILLITOKENS);
    }

    /// Takes one retry from the budget; returns whether it may be made.
    pub fn try_take_retry(&mut self) -> bool {
        let is_allowed = self.millitokens >= MILLITOKENS_PER_RETRY;
        if is_allowed {
            self.millitokens -= MILLITOKENS_PER_RETRY;
        }
        is_allowed
    }
}
