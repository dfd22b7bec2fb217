//! Runs the script and records its section calls. The dialect is standard Starlark, with statements such as loops and
//! conditions allowed at the top level.

use crate::decide::{ConfigError, Field, ParsedFile, Position, Section, SectionKind, Value, check};
use allocative::Allocative;
use starlark::any::ProvidesStaticType;
use starlark::codemap::FileSpan;
use starlark::environment::{GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::{Arguments, Evaluator};
use starlark::syntax::{AstModule, Dialect};
use starlark::values::float::StarlarkFloat;
use starlark::values::list::ListRef;
use starlark::values::tuple::TupleRef;
use starlark::values::{
    NoSerialize, StarlarkValue, UnpackValue, Value as StarlarkRef, ValueLike, starlark_value,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

/// Limits on the resources of a script; a script that exceeds one is stopped with an error.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Loop iterations and function calls.
    pub max_ticks: u64,
    /// Size of the interpreter's heap.
    pub max_heap_bytes: usize,
    /// Depth of nested function calls.
    pub max_call_depth: usize,
    /// Length of the script's text.
    pub max_text_bytes: usize,
    /// Number of section calls.
    pub max_sections: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            max_ticks: 2_000_000,
            max_heap_bytes: 64 << 20,
            max_call_depth: 100,
            max_text_bytes: 1 << 20,
            max_sections: 20_000,
        }
    }
}

/// Collects the section calls while a script runs.
#[derive(ProvidesStaticType)]
struct Recorder {
    sections: RefCell<Vec<Section>>,
    max_sections: usize,
}

/// The Starlark function that records a section of one kind when a script calls it.
#[derive(Debug, ProvidesStaticType, NoSerialize, Allocative)]
struct SectionFunction {
    kind: &'static str,
}

starlark::starlark_simple_value!(SectionFunction);

impl fmt::Display for SectionFunction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "section {}", self.kind)
    }
}

#[starlark_value(type = "section")]
impl<'v> StarlarkValue<'v> for SectionFunction {
    fn invoke(
        &self,
        _me: StarlarkRef<'v>,
        args: &Arguments<'v, '_>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> starlark::Result<StarlarkRef<'v>> {
        args.no_positional_args(eval.heap())?;
        let call = eval.call_stack_top_location();
        let position = call.as_ref().map_or_else(unknown_position, position_of);
        let mut fields = BTreeMap::new();
        for (name, value) in args.names_map()? {
            let keyword = call
                .as_ref()
                .and_then(|call| keyword_position(call, name.as_str()));
            let position = keyword.unwrap_or_else(|| position.clone());
            let value = to_value(value);
            fields.insert(name.as_str().to_owned(), Field { value, position });
        }
        let recorder = eval
            .extra
            .and_then(|extra| extra.downcast_ref::<Recorder>());
        if let Some(recorder) = recorder {
            let mut sections = recorder.sections.borrow_mut();
            if sections.len() >= recorder.max_sections {
                let reason = format!("more than {} sections", recorder.max_sections);
                return Err(starlark::Error::new_other(TooManySections(reason)));
            }
            sections.push(Section {
                kind: self.kind.into(),
                position,
                fields,
            });
        }
        Ok(StarlarkRef::new_none())
    }
}

/// Stops a script that makes more section calls than [`Bounds`] allow.
#[derive(Debug)]
struct TooManySections(String);

impl fmt::Display for TooManySections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for TooManySections {}

/// The position of a call whose location in the script is not known.
fn unknown_position() -> Position {
    Position {
        file: String::new(),
        line: 1,
        column: 1,
    }
}

/// The position at which a span begins.
fn position_of(span: &FileSpan) -> Position {
    let begin = span.resolve_span().begin;
    Position {
        file: span.filename().to_owned(),
        line: begin.line + 1,
        column: begin.column + 1,
    }
}

/// Finds the position of a keyword in the text of its call, so that an error points at the field.
fn keyword_position(call: &FileSpan, name: &str) -> Option<Position> {
    let text = call.source_span();
    let mut search_from = 0;
    while let Some(found) = text[search_from..].find(name) {
        let at = search_from + found;
        search_from = at + name.len();
        let before = text[..at].chars().next_back();
        let starts_word = before.is_some_and(|c| c == '(' || c == ',' || c.is_whitespace());
        let after = text[search_from..].trim_start();
        if starts_word && after.starts_with('=') && !after.starts_with("==") {
            let base = position_of(call);
            let lines = text[..at].matches('\n').count();
            let column = match text[..at].rfind('\n') {
                Some(newline) => text[newline + 1..at].chars().count() + 1,
                None => base.column + text[..at].chars().count(),
            };
            return Some(Position {
                line: base.line + lines,
                column,
                ..base
            });
        }
    }
    None
}

/// Converts a Starlark value.
fn to_value(value: StarlarkRef<'_>) -> Value {
    if let Some(flag) = value.unpack_bool() {
        return Value::Flag(flag);
    }
    if let Some(n) = i64::unpack_value(value).ok().flatten() {
        return Value::Whole(n);
    }
    if let Some(n) = value.downcast_ref::<StarlarkFloat>() {
        return Value::Number(n.0);
    }
    if let Some(text) = value.unpack_str() {
        return Value::Text(text.to_owned());
    }
    if let Some(items) = ListRef::from_value(value) {
        return Value::List(items.iter().map(to_value).collect());
    }
    if let Some(items) = TupleRef::from_value(value) {
        return Value::List(items.iter().map(to_value).collect());
    }
    Value::Other(value.get_type().to_owned())
}

/// What [`ConfigError::wanted`] says when a script fails or is stopped while it runs.
const ACCEPTED_SCRIPT: &str =
    "known names, and a script that ends within its bounds of time and memory";

/// Runs a script and checks its sections against `kinds`; errors name the file `file`.
pub fn read(
    file: &str,
    text: String,
    kinds: &[SectionKind],
    bounds: Bounds,
) -> Result<ParsedFile, Box<ConfigError>> {
    let file_error = |found: String, wanted: &str| {
        Box::new(ConfigError {
            position: Position {
                file: file.into(),
                line: 1,
                column: 1,
            },
            section: String::new(),
            field: None,
            found,
            wanted: wanted.into(),
        })
    };
    if text.len() > bounds.max_text_bytes {
        let wanted = format!("{} bytes at most", bounds.max_text_bytes);
        return Err(file_error(
            format!("a file of {} bytes", text.len()),
            &wanted,
        ));
    }
    let script_error = |e: starlark::Error, wanted: &str| {
        let found = e.without_diagnostic().to_string();
        let found = found.lines().next().unwrap_or_default().to_owned();
        let position = e.span().map(position_of);
        let mut error = file_error(found, wanted);
        error.position = position.unwrap_or(error.position);
        error
    };
    let dialect = Dialect {
        enable_top_level_stmt: true,
        ..Dialect::Standard
    };
    let script =
        AstModule::parse(file, text, &dialect).map_err(|e| script_error(e, "a Starlark script"))?;
    let mut globals =
        GlobalsBuilder::extended_by(&[LibraryExtension::StructType, LibraryExtension::Print]);
    for kind in kinds {
        globals.set(kind.name, SectionFunction { kind: kind.name });
    }
    let globals = globals.build();
    let recorder = Recorder {
        sections: RefCell::new(Vec::new()),
        max_sections: bounds.max_sections,
    };
    let run = || {
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            let set = eval.set_max_callstack_size(bounds.max_call_depth);
            let set = set.and_then(|()| eval.set_max_heap_size(bounds.max_heap_bytes));
            set.and_then(|()| eval.set_max_tick_count(bounds.max_ticks))
                .map_err(|e| file_error(e.to_string(), "bounds above zero"))?;
            eval.extra = Some(&recorder);
            let ran = eval.eval_module(script, &globals);
            ran.map(|_| ())
                .map_err(|e| script_error(e, ACCEPTED_SCRIPT))
        })
    };
    // A single expression may exceed what the interpreter can hold before it next checks its limits; it then panics.
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).unwrap_or_else(|_| {
        Err(file_error(
            "a script that outgrew the interpreter".into(),
            ACCEPTED_SCRIPT,
        ))
    })?;
    let sections = recorder.sections.into_inner();
    check(
        ParsedFile {
            file: file.into(),
            sections,
        },
        kinds,
    )
}

/// Reads a script from disk, with the default [`Bounds`].
pub fn read_file(path: &str, kinds: &[SectionKind]) -> Result<ParsedFile, Box<ConfigError>> {
    let text = std::fs::read_to_string(path).map_err(|e| {
        Box::new(ConfigError {
            position: Position {
                file: path.into(),
                line: 1,
                column: 1,
            },
            section: String::new(),
            field: None,
            found: format!("no readable file ({e})"),
            wanted: "the path of a Starlark script".into(),
        })
    })?;
    read(path, text, kinds, Bounds::default())
}
