//! Bucket hashes by which two processes find the records in which they differ.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record_bytes;
use crate::Member;

/// Average number of records in a bucket. A record that differs is sent together with the rest of its
/// bucket.
const RECORDS_PER_BUCKET: usize = 2;
const MIN_BUCKETS: usize = 64;
/// Maximum number of buckets, which take about 12 kB in each comparison.
const MAX_BUCKETS: usize = 4096;

/// All records of a process, divided into buckets with a short hash each.
///
/// Short hashes can collide although the records differ. Each comparison therefore uses a different
/// `salt`, which changes both the division into buckets and the hashes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBuckets {
    salt: u64,
    hashes: Vec<u16>,
}

impl RecordBuckets {
    /// Hashes `members`, about `n` in number, into buckets.
    pub(super) fn new<'a>(members: impl Iterator<Item = &'a Member>, n: usize, salt: u64) -> Self {
        let count = (n / RECORDS_PER_BUCKET).next_power_of_two().clamp(MIN_BUCKETS, MAX_BUCKETS);
        Self { salt, hashes: vec![0; count] }.with_same_buckets(members)
    }

    /// Hashes `members` into the same number of buckets with the same salt.
    pub(super) fn with_same_buckets<'a>(&self, members: impl Iterator<Item = &'a Member>) -> Self {
        let mut same = Self { salt: self.salt, hashes: vec![0; self.hashes.len()] };
        for member in members {
            let (bucket, hash) = same.bucket_and_hash(member);
            if let Some(sum) = same.hashes.get_mut(bucket) {
                *sum ^= hash;
            }
        }
        same
    }

    /// Returns whether the hash of the bucket that contains `member` differs in `other`, which has the
    /// same salt.
    pub(super) fn differs(&self, other: &Self, member: &Member) -> bool {
        let (bucket, _) = self.bucket_and_hash(member);
        // A request without buckets asks for all records.
        other.hashes.is_empty() || self.hashes.get(bucket) != other.hashes.get(bucket)
    }

    fn bucket_and_hash(&self, member: &Member) -> (usize, u16) {
        let [a, b, ..] = xxh3_64_with_seed(&record_bytes(member), self.salt).to_le_bytes();
        let buckets = u64::try_from(self.hashes.len()).unwrap_or(1).max(1);
        let process = member.process.0.wrapping_add(self.salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        // The high bits of the product depend on all bits of the process id.
        let bucket = usize::try_from((process >> 32) % buckets).unwrap_or(0);
        (bucket, u16::from_le_bytes([a, b]))
    }
}
