//! A set that supports random sampling.

use std::collections::HashMap;
use std::hash::Hash;

use super::RandomIndex;

/// A set in which insertion, removal and the sampling of one item take constant time.
#[derive(Debug)]
pub(super) struct SamplingSet<T> {
    items: Vec<T>,
    positions: HashMap<T, usize>,
}

impl<T> Default for SamplingSet<T> {
    fn default() -> Self {
        Self { items: Vec::new(), positions: HashMap::new() }
    }
}

impl<T: Copy + Eq + Hash> SamplingSet<T> {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Inserts `item` if `present` is set, otherwise removes it.
    pub(super) fn set(&mut self, item: T, present: bool) {
        match (present, self.positions.get(&item).copied()) {
            (true, None) => {
                self.positions.insert(item, self.items.len());
                self.items.push(item);
            }
            (false, Some(position)) => {
                self.positions.remove(&item);
                self.items.swap_remove(position);
                if let Some(moved) = self.items.get(position) {
                    self.positions.insert(*moved, position);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Returns up to `n` distinct random items.
    pub(super) fn sample(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<T> {
        if n >= self.items.len() {
            return self.items.clone();
        }
        let mut chosen: Vec<usize> = Vec::with_capacity(n);
        while chosen.len() < n {
            let i = draw(self.items.len());
            if !chosen.contains(&i) {
                chosen.push(i);
            }
        }
        chosen.into_iter().map(|i| self.items[i]).collect()
    }

    /// Returns a random item, or `None` if the set is empty.
    pub(super) fn sample_one(&self, draw: &mut RandomIndex<'_>) -> Option<T> {
        (!self.items.is_empty()).then(|| self.items[draw(self.items.len())])
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.items.iter()
    }
}
