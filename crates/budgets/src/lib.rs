//! Budgets of the whole fleet: what all dispatchers together may do, divided among them by need and divided anew.
//!
//! [`decide::voter::LeaseVoter`] and [`decide::holder::LeaseHolder`] are the two sides, [`decide::shares::BudgetShares`] all of one
//! dispatcher's budgets, without I/O and without a clock; [`config`] is what the operator's file says. `docs/budgets.md` is
//! the operators' page, `docs/budgets-design.md` has the ways weighed.

pub mod config;
pub mod decide;

use decide::shares::BudgetMessage;

/// The number of this subsystem's words among those of the dispatchers.
pub const SUBSYSTEM_ID: u8 = 1;

/// A word as it goes to another dispatcher.
pub fn write(note: &BudgetMessage) -> Vec<u8> {
    // Its parts are numbers and lists of numbers: nothing that can't be written.
    postcard::to_allocvec(note).unwrap_or_default()
}

/// `None`: no word of this version.
pub fn read(bytes: &[u8]) -> Option<BudgetMessage> {
    postcard::from_bytes(bytes).ok()
}
