//! A map that forgets what has not been used for a while.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::Timestamp;

/// A bounded map in two generations.
///
/// Entries that are used move to the young generation. After each `lifetime` the old generation is
/// dropped whole and the young one takes its place, so an entry is kept for one to two lifetimes
/// after its last use and no entry is ever looked for to be dropped.
#[derive(Debug)]
pub struct GenerationCache<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    lifetime: Duration,
    capacity: usize,
    turned: Option<Timestamp>,
}

impl<K: Copy + Eq + Hash, V> GenerationCache<K, V> {
    /// Creates a map; a generation of `capacity` entries makes room by dropping the old one.
    #[must_use]
    pub fn new(lifetime: Duration, capacity: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), lifetime, capacity, turned: None }
    }

    fn turn_if_due(&mut self, now: Timestamp) {
        let turned = *self.turned.get_or_insert(now);
        if now.since(turned) >= self.lifetime || self.young.len() >= self.capacity {
            self.old = std::mem::take(&mut self.young);
            self.turned = Some(now);
        }
    }

    /// Sets the value of `key`.
    pub fn insert(&mut self, key: K, value: V, now: Timestamp) {
        self.turn_if_due(now);
        self.old.remove(&key);
        self.young.insert(key, value);
    }

    /// Returns the value of `key`, which counts as a use.
    pub fn get_mut(&mut self, key: &K, now: Timestamp) -> Option<&mut V> {
        self.turn_if_due(now);
        if let Some(value) = self.old.remove(key) {
            self.young.insert(*key, value);
        }
        self.young.get_mut(key)
    }

    /// Returns the value of `key` without using it.
    #[must_use]
    pub fn peek(&self, key: &K) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Forgets `key`.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let young = self.young.remove(key);
        let old = self.old.remove(key);
        young.or(old)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.young.iter().chain(self.old.iter())
    }

    /// Returns all entries; looking at them is no use of them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.young.iter_mut().chain(self.old.iter_mut())
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
