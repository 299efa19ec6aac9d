//! A cache that evicts entries after a period without use.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use crate::Timestamp;

/// A bounded map with two generations.
///
/// Using an entry moves it to the young generation. After each `lifetime` the old generation is dropped
/// as a whole and the young one takes its place. An entry is thus kept for one to two lifetimes after its
/// last use, and eviction never scans for expired entries.
#[derive(Debug)]
pub struct GenerationCache<K, V> {
    young: HashMap<K, V>,
    old: HashMap<K, V>,
    lifetime: Duration,
    capacity: usize,
    last_rotation: Option<Timestamp>,
}

impl<K: Copy + Eq + Hash, V> GenerationCache<K, V> {
    /// Creates an empty map. When the young generation reaches `capacity` entries, the old one is dropped
    /// early to make room.
    #[must_use]
    pub fn new(lifetime: Duration, capacity: usize) -> Self {
        Self { young: HashMap::new(), old: HashMap::new(), lifetime, capacity, last_rotation: None }
    }

    /// Sets the lifetime, also of the entries that the map holds.
    pub fn set_lifetime(&mut self, lifetime: Duration) {
        self.lifetime = lifetime;
    }

    fn rotate_if_due(&mut self, now: Timestamp) {
        let last_rotation = *self.last_rotation.get_or_insert(now);
        if now.since(last_rotation) >= self.lifetime || self.young.len() >= self.capacity {
            self.old = std::mem::take(&mut self.young);
            self.last_rotation = Some(now);
        }
    }

    /// Sets the value of `key`.
    pub fn insert(&mut self, key: K, value: V, now: Timestamp) {
        self.rotate_if_due(now);
        self.old.remove(&key);
        self.young.insert(key, value);
    }

    /// Returns the value of `key` and counts this as a use.
    pub fn get_mut(&mut self, key: &K, now: Timestamp) -> Option<&mut V> {
        self.rotate_if_due(now);
        if let Some(value) = self.old.remove(key) {
            self.young.insert(*key, value);
        }
        self.young.get_mut(key)
    }

    /// Returns the value of `key` without counting this as a use.
    #[must_use]
    pub fn peek(&self, key: &K) -> Option<&V> {
        self.young.get(key).or_else(|| self.old.get(key))
    }

    /// Removes `key` and returns its value.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let young = self.young.remove(key);
        let old = self.old.remove(key);
        young.or(old)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.young.iter().chain(self.old.iter())
    }

    /// Returns all entries without counting this as a use.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&K, &mut V)> {
        self.young.iter_mut().chain(self.old.iter_mut())
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.young.clear();
        self.old.clear();
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether the map is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
