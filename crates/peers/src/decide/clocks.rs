//! Offsets between the clocks of other machines and the own clock.
//!
//! Clocks of members need not agree. For each process that sends messages, the offset of its clock
//! is estimated from the time stamps of its messages, and the timestamps in a message are converted
//! to the own clock before anything else reads them.
//!
//! A message takes some time to arrive, so the difference between its stamp and the time of its
//! receipt is never more than the offset; the largest difference is the best estimate. A converted
//! timestamp is therefore never too early, and too late by the delay of the fastest message.

use super::clock_offset::{ClockOffset, OffsetEstimate};
use super::facts::{Claim, Fact};
use super::messages::{BootId, Message, MessagePart, PeerId, TimeRange};
use super::{MAX_MESSAGE_DELAY, MAX_TIMESTAMP_ERROR};
use std::collections::BTreeMap;
use trailproxy::units::{TimeSpan, Timestamp};

/// The period of the estimates of members' clocks: a clock that is a percent fast is off by less
/// than [`MAX_TIMESTAMP_ERROR`] in two of them.
const SAMPLE_PERIOD: TimeSpan = TimeSpan::from_secs(30);
/// After a pause of this process, messages that waited meanwhile are read within this time. Their
/// stamps say little about a clock that was not known before.
const BACKLOG_PERIOD: TimeSpan = TimeSpan::from_millis(200);
/// Processes whose clocks are remembered. Of more, the one that was silent for longest is forgotten.
const MAX_SENDERS: usize = 2_048;

/// The estimated offsets of the clocks of all processes that send messages.
#[derive(Clone, Debug, Default)]
pub struct SenderClocks {
    estimates: BTreeMap<(PeerId, BootId), OffsetEstimate>,
    /// When this process was last run again after a pause.
    resumed_at: Option<Timestamp>,
}

impl SenderClocks {
    /// This process was paused, and runs again.
    pub fn on_pause_ended(&mut self, now: Timestamp) {
        self.resumed_at = Some(now);
    }

    /// Takes the stamp of a message into account and converts the timestamps in the message to the
    /// own clock. `None`: the message is outdated, or can't be told from an outdated one.
    pub fn to_local_time(&mut self, now: Timestamp, mut message: Message) -> Option<Message> {
        let sender = (message.from, message.boot_id);
        let stamp = Timestamp(message.stamp);
        let offset = self.observe(now, sender, stamp)?;
        let delay = offset.delay_of(ClockOffset::sample(now, stamp));
        if delay > MAX_MESSAGE_DELAY + MAX_TIMESTAMP_ERROR {
            return None;
        }
        let offset = offset.without_negligible();
        for part in &mut message.parts {
            convert_part(part, offset);
        }
        Some(message)
    }

    /// The offset of a sender's clock, with a stamp that was received now. `None`: the sender was not
    /// known, and its message may have waited during a pause.
    fn observe(
        &mut self,
        now: Timestamp,
        sender: (PeerId, BootId),
        stamp: Timestamp,
    ) -> Option<ClockOffset> {
        if let Some(estimate) = self.estimates.get_mut(&sender) {
            estimate.observe(now, stamp);
            return Some(estimate.offset());
        }
        if self.reads_backlog(now) {
            return None;
        }
        self.make_room();
        let estimate = OffsetEstimate::new(now, stamp, SAMPLE_PERIOD);
        self.estimates.insert(sender, estimate);
        Some(estimate.offset())
    }

    /// Whether messages may be read now that arrived during a pause of this process.
    fn reads_backlog(&self, now: Timestamp) -> bool {
        self.resumed_at
            .is_some_and(|at| now.since(at) < BACKLOG_PERIOD)
    }

    fn make_room(&mut self) {
        if self.estimates.len() < MAX_SENDERS {
            return;
        }
        let oldest = self
            .estimates
            .iter()
            .min_by_key(|(_, estimate)| estimate.last_sample_at())
            .map(|(&sender, _)| sender);
        if let Some(oldest) = oldest {
            self.estimates.remove(&oldest);
        }
    }
}

fn convert(at: &mut u64, offset: ClockOffset) {
    *at = offset.to_local(Timestamp(*at)).0;
}

fn convert_claims<'a>(claims: impl IntoIterator<Item = &'a mut Claim>, offset: ClockOffset) {
    for claim in claims {
        convert(&mut claim.at, offset);
    }
}

fn convert_facts(facts: &mut [Fact], offset: ClockOffset) {
    for fact in facts {
        match fact {
            Fact::Record { claims, .. } => convert_claims(claims, offset),
            Fact::Host { at, .. } => convert(at, offset),
            // By the journal service's clock, whoever passes it on.
            Fact::Purge { .. } => {}
        }
    }
}

fn convert_range(range: &mut TimeRange, offset: ClockOffset) {
    convert(&mut range.from, offset);
    convert(&mut range.until, offset);
}

/// Converts the timestamps in one part of a message. Spans and echoed stamps of the reader need no
/// conversion.
fn convert_part(part: &mut MessagePart, offset: ClockOffset) {
    match part {
        MessagePart::BreakerOpened { at, .. } => convert(at, offset),
        MessagePart::Gossip(facts)
        | MessagePart::Store(_, facts)
        | MessagePart::Page { facts, .. } => convert_facts(facts, offset),
        MessagePart::Claim { claim, .. } | MessagePart::ClaimInZone { claim, .. } => {
            convert_claims(claim, offset)
        }
        MessagePart::ClaimStatus { claims, .. } => convert_claims(claims, offset),
        MessagePart::ChecksumsInRange(range, _) => convert_range(range, offset),
        MessagePart::Ping(..)
        | MessagePart::Ack(..)
        | MessagePart::IndirectPing(..)
        | MessagePart::IndirectAck(..)
        | MessagePart::MembersRequest
        | MessagePart::MemberUpdates(_)
        | MessagePart::Stored(_)
        | MessagePart::Checksums(_)
        | MessagePart::Same { .. }
        | MessagePart::Different(_)
        | MessagePart::PageRequest { .. }
        | MessagePart::StatusRequest(_)
        | MessagePart::Leave(..)
        | MessagePart::OperatorReply(..)
        | MessagePart::SubsystemStatusRequest(..)
        | MessagePart::Subsystem(..)
        | MessagePart::SenderLocality(_)
        | MessagePart::MemberLocalities(_)
        | MessagePart::Relay(_) => {}
    }
}
