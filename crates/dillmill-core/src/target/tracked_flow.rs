//! Defines the state that an agent tracks of one flow of its target.

use std::time::Duration;

use crate::Timestamp;
use crate::segment::{Segment, SegmentKind};

/// A request that has waited longer is not counted as running, because its caller has usually
/// given up.
pub(super) const REQUEST_LIFETIME: Duration = Duration::from_secs(3);
/// How long a new flow counts as a request before its first bytes arrive: about two round trips
/// between data centres.
const FIRST_REQUEST_WINDOW: Duration = Duration::from_millis(30);

/// Maximum distance of a caller's acknowledgement from the last byte that the target has sent.
const ACK_WINDOW: u32 = 1 << 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The opening packet was delivered to the target.
    Opening,
    /// The caller has acknowledged the target, or data has passed.
    Open,
    /// Either end has finished or reset the flow.
    Closed,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedFlow {
    pub(super) stage: Stage,
    pub(super) target_seq: Option<u32>,
    /// Number after the last byte that the target has sent, if a packet of it was seen.
    pub(super) target_sent: Option<u32>,
    pub(super) taken_at: Timestamp,
    /// Number of the byte that the caller expects next.
    pub(super) caller_expects: u32,
    /// When the pending request began, if there is one.
    pub(super) request: Option<Timestamp>,
    /// Whether a request has arrived, so that the flow is no longer expected to bring its first.
    pub(super) had_request: bool,
    /// Since when the target serves the pending request, if that is known. The time before is spent in
    /// the target's own queue.
    pub(super) served_since: Option<Timestamp>,
    /// Whether the pending request was already recorded as overdue.
    pub(super) overdue: bool,
    /// Sequence number with which the latest answer began.
    pub(super) answer_seq: Option<u32>,
}

impl TrackedFlow {
    /// Returns a flow whose opening packet is delivered to the target.
    pub(super) fn opening(now: Timestamp) -> Self {
        Self {
            stage: Stage::Opening,
            target_seq: None,
            target_sent: None,
            taken_at: now,
            caller_expects: 0,
            request: None,
            had_request: false,
            served_since: None,
            overdue: false,
            answer_seq: None,
        }
    }

    /// Returns a flow that is first seen by a packet of the target.
    pub(super) fn seen_at_target(seg: &Segment, now: Timestamp) -> Self {
        let accept = seg.kind == SegmentKind::Accept;
        Self {
            stage: if accept { Stage::Opening } else { Stage::Open },
            target_seq: accept.then_some(seg.seq),
            target_sent: Some(seg.seq.wrapping_add(u32::from(seg.len))),
            caller_expects: seg.seq,
            had_request: true,
            ..Self::opening(now)
        }
    }

    /// Returns whether a caller's packet belongs to this flow. A later flow of the same addresses and ports
    /// acknowledges other sequence numbers. A caller's reset need not acknowledge anything.
    pub(super) fn matches(&self, seg: &Segment) -> bool {
        let near = |sent: u32| {
            let ahead = seg.ack.wrapping_sub(sent);
            ahead.min(ahead.wrapping_neg()) <= ACK_WINDOW
        };
        seg.kind == SegmentKind::Reset || self.target_sent.is_none_or(near)
    }

    /// Records a packet of the target.
    pub(super) fn note_sent(&mut self, seg: &Segment) {
        if seg.kind != SegmentKind::Reset {
            self.target_sent = Some(seg.seq.wrapping_add(u32::from(seg.len)));
        }
    }

    /// Returns whether the flow counts as a request: one is unanswered, or the first is about to
    /// arrive.
    pub(super) fn has_request(&self, now: Timestamp) -> bool {
        let expected = !self.had_request && now.since(self.taken_at) < FIRST_REQUEST_WINDOW;
        let running = self.request.is_some_and(|since| now.since(since) < REQUEST_LIFETIME);
        match self.stage {
            Stage::Opening => expected,
            Stage::Open => running || expected,
            Stage::Closed => false,
        }
    }
}
