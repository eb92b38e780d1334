//! The retry budget of one entry, so that retries cannot amplify an overload.

/// Thousandths of a retry that each first attempt adds, for one retry in 10 requests.
const MILLITOKENS_PER_FIRST_ATTEMPT: u64 = 100;
/// Thousandths that one retry takes.
const MILLITOKENS_PER_RETRY: u64 = 1000;
/// Thousandths in a full bucket: at most 20 retries can be saved up.
const MAX_MILLITOKENS: u64 = 20_000;

/// A token bucket that first attempts fill and retries drain.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    millitokens: u64,
}

impl Default for RetryBudget {
    /// Returns a full bucket, so that the first failures after a start can be retried.
    fn default() -> Self {
        Self { millitokens: MAX_MILLITOKENS }
    }
}

impl RetryBudget {
    /// Adds the share of a retry that a first attempt allows.
    pub fn record_first_attempt(&mut self) {
        self.millitokens = (self.millitokens + MILLITOKENS_PER_FIRST_ATTEMPT).min(MAX_MILLITOKENS);
    }

    /// Takes one retry from the budget, if there is one; returns whether it may be made.
    pub fn try_take_retry(&mut self) -> bool {
        let is_allowed = self.millitokens >= MILLITOKENS_PER_RETRY;
        if is_allowed {
            self.millitokens -= MILLITOKENS_PER_RETRY;
        }
        is_allowed
    }
}
