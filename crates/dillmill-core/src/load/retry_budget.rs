//! Limits retries to a percentage of first attempts.

use crate::Percent;

const RETRY_COST: u32 = 100;
const MAX_SAVED_RETRIES: u32 = 20;

/// Counts first attempts and allows retries for a percentage of them.
///
/// ```
/// use dillmill_core::{Percent, retry_budget::RetryBudget};
///
/// let mut budget = RetryBudget::new(Percent(20));
/// assert!(!budget.try_spend());
/// (0..5).for_each(|_| budget.record_first_try());
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: Percent,
    balance: u32,
}

impl RetryBudget {
    /// Creates an empty budget that earns `share` of a retry for each first attempt.
    #[must_use]
    pub fn new(share: Percent) -> Self {
        Self { share, balance: 0 }
    }

    /// Changes the share and keeps the balance.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Adds the share earned by one first attempt.
    pub fn record_first_try(&mut self) {
        self.balance = (self.balance + u32::from(self.share.0)).min(RETRY_COST * MAX_SAVED_RETRIES);
    }

    /// Spends one retry if the balance allows it, and returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < RETRY_COST {
            return false;
        }
        self.balance -= RETRY_COST;
        true
    }
}
