//! Reads the operator's file, a Starlark script of section calls, into typed and checked sections.
//!
//! A section is one call with keyword arguments, for example `zone(name = "depot", link_kb_per_s = 36000)`. Loops,
//! functions and conditions may surround the calls. Each [`SectionKind`] declares one section, its fields and their
//! accepted ranges. A section or field that does not match its declaration gives a [`ConfigError`] with file, line,
//! column, the value found and the accepted values. A script that does not end, or that allocates too much memory,
//! is stopped by [`Bounds`].

pub mod decide;
mod reader;

pub use decide::{
    ConfigError, Field, FieldType, ParsedFile, Position, Section, SectionKind, Value,
};
pub use reader::{Bounds, read, read_file};
