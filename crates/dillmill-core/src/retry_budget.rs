//! A share of first tries that may be spent on retries.

use crate::Percent;

const TRY_COST: u32 = 100;
const MAX_TRIES_SAVED: u32 = 20;

/// Counts first tries and lets a percentage of them be tried again.
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
    saved: u32,
}

impl RetryBudget {
    /// Creates an empty budget that earns `share` of each first try.
    #[must_use]
    pub fn new(share: Percent) -> Self {
        Self { share, saved: 0 }
    }

    /// Changes the share, keeping what is saved.
    pub fn set_share(&mut self, share: Percent) {
        self.share = share;
    }

    /// Earns the share of one first try.
    pub fn record_first_try(&mut self) {
        self.saved = (self.saved + u32::from(self.share.0)).min(TRY_COST * MAX_TRIES_SAVED);
    }

    /// Spends one retry if there is enough.
    pub fn try_spend(&mut self) -> bool {
        if self.saved < TRY_COST {
            return false;
        }
        self.saved -= TRY_COST;
        true
    }
}
