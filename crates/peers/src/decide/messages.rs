//! What dispatchers say to each other: messages of a few notes each.
//!
//! Every note may be lost, doubled, late or out of order, and means the same then. Points in time are the writer's, in
//! microseconds of Unix time; a message whose own stamp is too far from the reader's clock is not read at all, so that no
//! writer's clock is ahead of a reader's by more than [`super::APART`].

use super::facts::{Claim, Fact, FactId, Slot};
use serde::{Deserialize, Serialize};

/// A member of the fleet, by its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PeerId(pub u64);

impl PeerId {
    pub fn of_name(name: &str) -> PeerId {
        PeerId(trailproxy::units::HostId::of_name(name).0)
    }
}

/// One process under a name: a later one has a higher number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life(pub u64);

/// Where a member is written to: IPv4.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address {
    pub ip: [u8; 4],
    pub port: u16,
}

/// How a member stands; what is further down holds against what is further up of the same life and incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    Alive,
    Suspected,
    Dead,
    Left,
}

/// What somebody says of a member. The greater of two holds: a later life, then a later incarnation, then [`Standing`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub id: PeerId,
    pub address: Address,
    pub life: Life,
    /// Raised by the member itself, when it hears that it is doubted.
    pub incarnation: u32,
    pub standing: Standing,
}

impl MemberUpdate {
    pub fn rank(&self) -> (Life, u32, Standing) {
        (self.life, self.incarnation, self.standing)
    }
}

/// One question that is answered with its number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AskNo(pub u64);

/// How much one knows, told with signs of life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    pub whole: bool,
    pub records: u32,
    /// The last place in the journal.
    pub place: u64,
    /// A sum of who is there, and in which life.
    pub roster: u64,
}

/// How much of a slot its keeper has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Has {
    /// Something may be lacking, from any time.
    Some,
    /// All that it took part in, and not what others did while it was cut off.
    Own,
    All,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Note {
    Ping(AskNo, State),
    Ack(AskNo, State),
    /// Ping that one for me: I don't reach it.
    PingFor(AskNo, PeerId, Address),
    /// It is alive, though you don't reach it.
    AckFor(AskNo, PeerId),
    /// Who is there?
    Join,
    Updates(Vec<MemberUpdate>),
    /// A breaker opened at that moment, for a host that started then (in seconds).
    Opened {
        host: u64,
        started: u64,
        at: u64,
    },
    /// Facts for whoever keeps them; nothing is answered.
    Rumours(Vec<Fact>),
    /// I am about to send under this key: what is known of it? `claim` is none where it only looks.
    Claim {
        no: AskNo,
        key: u128,
        claim: Option<Claim>,
    },
    /// All that is known of the key; `sure`: what is not there never was, for as long as it matters.
    Stood {
        no: AskNo,
        sure: bool,
        claims: Vec<Claim>,
    },
    /// Facts that the writer wants to be sure of.
    Put(AskNo, Vec<Fact>),
    Taken(AskNo),
    /// Sums of what I have in these slots.
    Sums(Vec<(Slot, u64)>),
    /// The same here.
    Same {
        slots: Vec<Slot>,
        has: Has,
    },
    /// Not the same here: I fetch what you have, and you may fetch what I have.
    Differ(Vec<Slot>),
    /// Give me what you have of a slot, from after that fact on.
    Pull {
        slot: Slot,
        after: Option<FactId>,
    },
    /// `end`: there is no more of it.
    Page {
        slot: Slot,
        after: Option<FactId>,
        facts: Vec<Fact>,
        end: bool,
        has: Has,
    },
    /// From the command line: how do you stand?
    Show(AskNo),
    /// From the command line: leave the fleet and serve alone, or come back to it.
    Leave(AskNo, bool),
    Shown(AskNo, String),
    /// From the command line: how does that subsystem stand?
    ShowOf(AskNo, u8),
    /// Of another subsystem, which reads it by itself: its number, and its bytes.
    Beside(u8, Vec<u8>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    pub from: PeerId,
    pub life: Life,
    pub incarnation: u32,
    /// When it was written, by the writer's clock.
    pub stamp: u64,
    pub notes: Vec<Note>,
}
