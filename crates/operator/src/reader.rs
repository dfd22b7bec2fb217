//! Runs the script and takes down its section calls. The language is Starlark with functions at top level.

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
    NoSerialize, StarlarkValue, UnpackValue, Value as Held, ValueLike, starlark_value,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;

/// What a script may use before it is stopped.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Loop rounds and calls.
    pub ticks: u64,
    pub heap_bytes: usize,
    pub calls_deep: usize,
    pub text_bytes: usize,
    pub sections: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            ticks: 2_000_000,
            heap_bytes: 64 << 20,
            calls_deep: 100,
            text_bytes: 1 << 20,
            sections: 20_000,
        }
    }
}

/// Where the calls are taken down while a script runs.
#[derive(ProvidesStaticType)]
struct Notes {
    sections: RefCell<Vec<Section>>,
    most: usize,
}

/// The function of one kind of section.
#[derive(Debug, ProvidesStaticType, NoSerialize, Allocative)]
struct Maker {
    kind: &'static str,
}

starlark::starlark_simple_value!(Maker);

impl fmt::Display for Maker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "section {}", self.kind)
    }
}

#[starlark_value(type = "section")]
impl<'v> StarlarkValue<'v> for Maker {
    fn invoke(
        &self,
        _me: Held<'v>,
        args: &Arguments<'v, '_>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> starlark::Result<Held<'v>> {
        args.no_positional_args(eval.heap())?;
        let call = eval.call_stack_top_location();
        let position = call.as_ref().map_or_else(nowhere, position_of);
        let mut fields = BTreeMap::new();
        for (name, held) in args.names_map()? {
            let at = call.as_ref().and_then(|call| keyword(call, name.as_str()));
            let position = at.unwrap_or_else(|| position.clone());
            let value = take_down(held);
            fields.insert(name.as_str().to_owned(), Field { value, position });
        }
        let notes = eval.extra.and_then(|extra| extra.downcast_ref::<Notes>());
        if let Some(notes) = notes {
            let mut sections = notes.sections.borrow_mut();
            if sections.len() >= notes.most {
                let why = format!("more than {} sections", notes.most);
                return Err(starlark::Error::new_other(Stopped(why)));
            }
            sections.push(Section {
                kind: self.kind.into(),
                position,
                fields,
            });
        }
        Ok(Held::new_none())
    }
}

#[derive(Debug)]
struct Stopped(String);

impl fmt::Display for Stopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Stopped {}

fn nowhere() -> Position {
    Position {
        file: String::new(),
        line: 1,
        column: 1,
    }
}

fn position_of(span: &FileSpan) -> Position {
    let begin = span.resolve_span().begin;
    Position {
        file: span.filename().to_owned(),
        line: begin.line + 1,
        column: begin.column + 1,
    }
}

/// Where a keyword stands in the text of its call, so that a complaint points at the field.
fn keyword(call: &FileSpan, name: &str) -> Option<Position> {
    let text = call.source_span();
    let mut from = 0;
    while let Some(found) = text[from..].find(name) {
        let at = from + found;
        from = at + name.len();
        let before = text[..at].chars().next_back();
        let whole = before.is_some_and(|c| c == '(' || c == ',' || c.is_whitespace());
        let after = text[from..].trim_start();
        if whole && after.starts_with('=') && !after.starts_with("==") {
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

fn take_down(held: Held<'_>) -> Value {
    if let Some(flag) = held.unpack_bool() {
        return Value::Flag(flag);
    }
    if let Some(n) = i64::unpack_value(held).ok().flatten() {
        return Value::Whole(n);
    }
    if let Some(n) = held.downcast_ref::<StarlarkFloat>() {
        return Value::Number(n.0);
    }
    if let Some(text) = held.unpack_str() {
        return Value::Text(text.to_owned());
    }
    if let Some(items) = ListRef::from_value(held) {
        return Value::List(items.iter().map(take_down).collect());
    }
    if let Some(items) = TupleRef::from_value(held) {
        return Value::List(items.iter().map(take_down).collect());
    }
    Value::Other(held.get_type().to_owned())
}

const ENDS: &str = "known names, and a script that ends within its bounds of time and memory";

/// Reads a script's text; `file` is the name that complaints bear.
pub fn read(
    file: &str,
    text: String,
    kinds: &[SectionKind],
    bounds: Bounds,
) -> Result<ParsedFile, Box<ConfigError>> {
    let whole = |found: String, wanted: &str| {
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
    if text.len() > bounds.text_bytes {
        let wanted = format!("{} bytes at most", bounds.text_bytes);
        return Err(whole(format!("a file of {} bytes", text.len()), &wanted));
    }
    let refused = |e: starlark::Error, wanted: &str| {
        let found = e.without_diagnostic().to_string();
        let found = found.lines().next().unwrap_or_default().to_owned();
        let position = e.span().map(position_of);
        let mut error = whole(found, wanted);
        error.position = position.unwrap_or(error.position);
        error
    };
    let dialect = Dialect {
        enable_top_level_stmt: true,
        ..Dialect::Standard
    };
    let script =
        AstModule::parse(file, text, &dialect).map_err(|e| refused(e, "a Starlark script"))?;
    let mut globals =
        GlobalsBuilder::extended_by(&[LibraryExtension::StructType, LibraryExtension::Print]);
    for kind in kinds {
        globals.set(kind.name, Maker { kind: kind.name });
    }
    let globals = globals.build();
    let notes = Notes {
        sections: RefCell::new(Vec::new()),
        most: bounds.sections,
    };
    let run = || {
        Module::with_temp_heap(|module| {
            let mut eval = Evaluator::new(&module);
            let set = eval.set_max_callstack_size(bounds.calls_deep);
            let set = set.and_then(|()| eval.set_max_heap_size(bounds.heap_bytes));
            set.and_then(|()| eval.set_max_tick_count(bounds.ticks))
                .map_err(|e| whole(e.to_string(), "bounds above zero"))?;
            eval.extra = Some(&notes);
            let ran = eval.eval_module(script, &globals);
            ran.map(|_| ()).map_err(|e| refused(e, ENDS))
        })
    };
    // One expression may outgrow what the interpreter can hold before it next looks at its bounds.
    std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
        .unwrap_or_else(|_| Err(whole("a script that outgrew the interpreter".into(), ENDS)))?;
    let sections = notes.sections.into_inner();
    check(
        ParsedFile {
            file: file.into(),
            sections,
        },
        kinds,
    )
}

/// Reads a script from disk.
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
