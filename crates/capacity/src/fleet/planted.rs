//! Mistakes put in on purpose around the cores, to show that the rig finds such.

use trailproxy_peers::decide::messages::{Message, MessagePart};

/// One mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    /// Every message of a member that spreads purges goes to all members.
    SpreadToAll,
    /// Each purge is told anew before it is forgotten, so that the list of them only grows.
    NeverForgotten,
}

impl Planted {
    pub const ALL: [Planted; 2] = [Planted::SpreadToAll, Planted::NeverForgotten];

    pub fn name(self) -> &'static str {
        match self {
            Planted::SpreadToAll => "spread_to_all",
            Planted::NeverForgotten => "never_forgotten",
        }
    }
}

/// Whether a message spreads purges.
pub fn spreads(message: &Message) -> bool {
    let rumours = |note: &MessagePart| matches!(note, MessagePart::Gossip(_));
    message.parts.iter().any(rumours)
}
