//! Budgets for all dispatchers together, divided among them by need and divided again as needs
//! change.
//!
//! [`decide::voter::LeaseVoter`] and [`decide::holder::LeaseHolder`] are the two sides,
//! [`decide::shares::BudgetShares`] holds all budgets of one dispatcher; they do no I/O and read no
//! clock. [`config`] is the operator's section. `docs/budgets.md` is the operators' page,
//! `docs/budgets-design.md` compares the designs that were considered.

/// The operator's section about budgets.
pub mod config;
/// The decisions.
pub mod decide;

use decide::shares::BudgetMessage;

/// Number of this subsystem in messages between dispatchers.
pub const SUBSYSTEM_ID: u8 = 1;

/// Encodes a message for another dispatcher.
pub fn write(message: &BudgetMessage) -> Vec<u8> {
    // It consists of numbers and lists of numbers, which can always be encoded.
    postcard::to_allocvec(message).unwrap_or_default()
}

/// Decodes a message; `None` if it is none of this version.
pub fn read(bytes: &[u8]) -> Option<BudgetMessage> {
    postcard::from_bytes(bytes).ok()
}
