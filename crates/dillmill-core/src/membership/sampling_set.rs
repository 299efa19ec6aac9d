//! A set from which members are drawn at random.

use std::collections::HashMap;
use std::hash::Hash;

use super::RandomIndex;

/// A set whose members are added, removed and drawn in a few steps, however many there are.
#[derive(Debug)]
pub(super) struct SamplingSet<T> {
    items: Vec<T>,
    places: HashMap<T, usize>,
}

impl<T> Default for SamplingSet<T> {
    fn default() -> Self {
        Self { items: Vec::new(), places: HashMap::new() }
    }
}

impl<T: Copy + Eq + Hash> SamplingSet<T> {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Puts `item` in or takes it out.
    pub(super) fn set(&mut self, item: T, is_in: bool) {
        match (is_in, self.places.get(&item).copied()) {
            (true, None) => {
                self.places.insert(item, self.items.len());
                self.items.push(item);
            }
            (false, Some(place)) => {
                self.places.remove(&item);
                self.items.swap_remove(place);
                if let Some(moved) = self.items.get(place) {
                    self.places.insert(*moved, place);
                }
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// Returns up to `n` different members.
    pub(super) fn draw(&self, n: usize, draw: &mut RandomIndex<'_>) -> Vec<T> {
        if n >= self.items.len() {
            return self.items.clone();
        }
        let mut drawn: Vec<usize> = Vec::with_capacity(n);
        while drawn.len() < n {
            let i = draw(self.items.len());
            if !drawn.contains(&i) {
                drawn.push(i);
            }
        }
        drawn.into_iter().map(|i| self.items[i]).collect()
    }

    /// Returns one member.
    pub(super) fn draw_one(&self, draw: &mut RandomIndex<'_>) -> Option<T> {
        (!self.items.is_empty()).then(|| self.items[draw(self.items.len())])
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &T> {
        self.items.iter()
    }
}
