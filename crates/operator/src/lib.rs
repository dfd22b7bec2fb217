//! The operator's own file: a Starlark script of section calls, read into typed, checked sections.
//!
//! A section is one call by keywords, `zone(name = "depot", link_kb_per_s = 36000)`. Loops, functions and
//! conditions may stand around calls. What sections there are, their fields and ranges are told by a [`SectionKind`] each;
//! what stands in the file and does not fit is a [`ConfigError`] with file, line, column, what was found and what is
//! accepted. A script that runs or allocates without end is stopped by [`Bounds`].

pub mod decide;
mod reader;

pub use decide::{
    ConfigError, Field, FieldType, ParsedFile, Position, Section, SectionKind, Value,
};
pub use reader::{Bounds, read, read_file};
