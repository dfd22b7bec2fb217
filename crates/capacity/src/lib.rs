//! What a large fleet of dispatchers costs and achieves.
//!
//! [`description`] reads the fleet to be measured from a Starlark file, [`layout`] places its members, [`fleet`] runs the
//! real cores of all members in virtual time, [`phases`] drives them and takes figures, [`fit`] fits the figures over
//! several sizes, and [`report`] writes them down. The rig decides nothing: all decisions are the cores'.

pub mod checks;
pub mod description;
pub mod figures;
pub mod fit;
pub mod fleet;
pub mod layout;
pub mod page;
pub mod phases;
pub mod plan;
pub mod report;
