//! What a link and a reserve must be.

pub mod plan;
