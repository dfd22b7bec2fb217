//! Checks sections against their declarations: names, types, ranges, defaults and references. Reads no file.

use std::collections::BTreeMap;
use std::fmt;

/// A position in a file; line and column count from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The file name as the caller gave it.
    pub file: String,
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// An error in a file: its position, the section and field, what was found and what is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Where the error is.
    pub position: Position,
    /// The kind of section; empty if the error is about no section.
    pub section: String,
    /// The field, if the error is about one.
    pub field: Option<String>,
    /// What the file holds.
    pub found: String,
    /// What is accepted instead.
    pub wanted: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.position)?;
        if !self.section.is_empty() {
            write!(f, "section {}", self.section)?;
            if let Some(field) = &self.field {
                write!(f, ", field {field}")?;
            }
            write!(f, ": ")?;
        }
        write!(f, "found {}, accepted: {}", self.found, self.wanted)
    }
}

impl std::error::Error for ConfigError {}

/// The value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// `True` or `False`.
    Flag(bool),
    /// A whole number.
    Whole(i64),
    /// A floating-point number.
    Number(f64),
    /// A string.
    Text(String),
    /// A list or a tuple.
    List(Vec<Value>),
    /// A value that no field accepts, by the name of its Starlark type.
    Other(String),
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Flag(flag) => f.write_str(if *flag { "True" } else { "False" }),
            Value::Whole(n) => write!(f, "{n}"),
            Value::Number(n) => write!(f, "{n:?}"),
            Value::Text(text) => write!(f, "{text:?}"),
            Value::List(items) => {
                f.write_str("[")?;
                for (i, item) in items.iter().enumerate() {
                    write!(f, "{}{item}", if i == 0 { "" } else { ", " })?;
                }
                f.write_str("]")
            }
            Value::Other(kind) => write!(f, "a value of type {kind}"),
        }
    }
}

/// The type of a field and its accepted values. Ranges include both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldType {
    /// `True` or `False`.
    Flag,
    /// A whole number within the range.
    Whole(i64, i64),
    /// A number within the range.
    Number(f64, f64),
    /// A name: 1 to 64 letters, digits, `-`, `_`, `.` or `/`.
    Name,
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// A list of numbers, each within the range.
    Numbers(f64, f64),
    /// A list of names.
    Names,
    /// An IPv4 address and a port.
    Address,
    /// A list of IPv4 addresses with ports.
    Addresses,
    /// A list of IPv4 addresses, with or without a port, or networks.
    AddressRanges,
    /// The `name` of a section of this kind in the same file.
    Reference(&'static str),
}

impl fmt::Display for FieldType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldType::Flag => f.write_str("True or False"),
            FieldType::Whole(min, max) => write!(f, "a whole number from {min} to {max}"),
            FieldType::Number(min, max) => write!(f, "a number from {min} to {max}"),
            FieldType::Name => f.write_str("a name of 1 to 64 letters, digits, '-', '_', '.' or '/'"),
            FieldType::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            FieldType::Numbers(min, max) => write!(f, "a list of numbers from {min} to {max}"),
            FieldType::Names => f.write_str("a list of names"),
            FieldType::Address => f.write_str("an IPv4 address and a port, as in \"10.1.2.3:7946\""),
            FieldType::Addresses => f.write_str("a list of IPv4 addresses with ports"),
            FieldType::AddressRanges => f.write_str(
                "a list of IPv4 addresses, with or without a port, or networks as in \"10.1.2.0/24\"",
            ),
            FieldType::Reference(kind) => write!(f, "the name of a {kind}"),
        }
    }
}

impl FieldType {
    fn accepts(&self, value: &Value) -> bool {
        match (self, value) {
            (FieldType::Flag, Value::Flag(_)) => true,
            (FieldType::Whole(min, max), Value::Whole(n)) => (min..=max).contains(&n),
            (FieldType::Number(min, max), value) => value
                .number()
                .is_some_and(|n| n.is_finite() && (*min..=*max).contains(&n)),
            (FieldType::Name | FieldType::Reference(_), Value::Text(text)) => is_name(text),
            (FieldType::OneOf(words), Value::Text(text)) => words.contains(&text.as_str()),
            (FieldType::Numbers(min, max), Value::List(items)) => items
                .iter()
                .all(|item| FieldType::Number(*min, *max).accepts(item)),
            (FieldType::Address, Value::Text(text)) => is_address(text),
            (FieldType::Addresses, Value::List(items)) => {
                items.iter().all(|item| FieldType::Address.accepts(item))
            }
            (FieldType::AddressRanges, Value::List(items)) => items
                .iter()
                .all(|item| matches!(item, Value::Text(text) if is_address_range(text))),
            (FieldType::Names, Value::List(items)) => {
                items.iter().all(|item| FieldType::Name.accepts(item))
            }
            _ => false,
        }
    }
}

fn is_address(text: &str) -> bool {
    let Some((ip, port)) = text.split_once(':') else {
        return false;
    };
    is_ip(ip) && port.parse::<u16>().is_ok_and(|port| port > 0)
}

fn is_ip(text: &str) -> bool {
    let octets = text.split('.').map(|octet| octet.parse::<u8>().is_ok());
    octets.collect::<Vec<_>>() == [true; 4]
}

fn is_address_range(text: &str) -> bool {
    match text.split_once('/') {
        Some((ip, bits)) => is_ip(ip) && bits.parse::<u8>().is_ok_and(|bits| bits <= 32),
        None => is_ip(text) || is_address(text),
    }
}

fn is_name(text: &str) -> bool {
    let is_accepted = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    (1..=64).contains(&text.len()) && text.chars().all(is_accepted)
}

impl Value {
    /// The value as a floating-point number, if it is a number.
    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Whole(n) => Some(*n as f64),
            Value::Number(n) => Some(*n),
            _ => None,
        }
    }
}

/// The declaration of one field of a section.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// The keyword of the field.
    pub name: &'static str,
    /// What the field accepts.
    pub field_type: FieldType,
    /// The value if the field is not given; `None` if it must be given.
    pub default: Option<DefaultValue>,
}

/// The value of a field that is not given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    /// `True` or `False`.
    Flag(bool),
    /// A whole number.
    Whole(i64),
    /// A floating-point number.
    Number(f64),
    /// A string.
    Text(&'static str),
    /// The empty list.
    EmptyList,
}

/// The declaration of a kind of section.
#[derive(Clone, Copy, Debug)]
pub struct SectionKind {
    /// The function name that a script calls.
    pub name: &'static str,
    /// How many sections of this kind a file may hold.
    pub max_count: usize,
    /// Whether a file must hold at least one section of this kind.
    pub required: bool,
    /// The fields of the section.
    pub fields: &'static [FieldSpec],
}

/// Declares a field that must be given.
pub const fn required(name: &'static str, field_type: FieldType) -> FieldSpec {
    FieldSpec {
        name,
        field_type,
        default: None,
    }
}

/// Declares a field that has `default` if it is not given.
pub const fn optional(
    name: &'static str,
    field_type: FieldType,
    default: DefaultValue,
) -> FieldSpec {
    FieldSpec {
        name,
        field_type,
        default: Some(default),
    }
}

/// A field of a section in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The value, or the default if the field is not given.
    pub value: Value,
    /// The position of the keyword, or of the section if the field is not given.
    pub position: Position,
}

/// One section of a file. After [`check`], it has every field of its kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    /// The name of its [`SectionKind`].
    pub kind: String,
    /// The position of the call.
    pub position: Position,
    /// The fields by name.
    pub fields: BTreeMap<String, Field>,
}

impl Section {
    /// An error about one field, at its position; `wanted` says what is accepted.
    pub fn field_error(&self, field: &str, wanted: impl Into<String>) -> Box<ConfigError> {
        let at = self.fields.get(field);
        Box::new(ConfigError {
            position: at.map_or(&self.position, |field| &field.position).clone(),
            section: self.kind.clone(),
            field: Some(field.into()),
            found: at.map_or("nothing".into(), |field| field.value.to_string()),
            wanted: wanted.into(),
        })
    }

    fn value(&self, field: &str) -> Option<&Value> {
        self.fields.get(field).map(|field| &field.value)
    }

    /// The number of a checked field; 0 if its kind does not have the field.
    pub fn number(&self, field: &str) -> f64 {
        self.value(field).and_then(Value::number).unwrap_or(0.0)
    }

    /// The whole number of a checked field; 0 if its kind does not have the field.
    pub fn whole(&self, field: &str) -> i64 {
        match self.value(field) {
            Some(Value::Whole(n)) => *n,
            _ => 0,
        }
    }

    /// Whether a checked field is `True`.
    pub fn flag(&self, field: &str) -> bool {
        self.value(field) == Some(&Value::Flag(true))
    }

    /// The text of a checked field; empty if its kind does not have the field.
    pub fn text(&self, field: &str) -> &str {
        match self.value(field) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    /// The list of numbers of a checked field; empty if its kind does not have the field.
    pub fn numbers(&self, field: &str) -> Vec<f64> {
        match self.value(field) {
            Some(Value::List(items)) => items.iter().filter_map(Value::number).collect(),
            _ => Vec::new(),
        }
    }

    /// The list of texts of a checked field; empty if its kind does not have the field.
    pub fn names(&self, field: &str) -> Vec<&str> {
        let Some(Value::List(items)) = self.value(field) else {
            return Vec::new();
        };
        let mut names = Vec::new();
        for item in items {
            if let Value::Text(text) = item {
                names.push(text.as_str());
            }
        }
        names
    }
}

/// All sections of a file, in the order of their calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedFile {
    /// The file name as the caller gave it.
    pub file: String,
    /// The sections of all kinds.
    pub sections: Vec<Section>,
}

impl ParsedFile {
    /// The sections of one kind, in order.
    pub fn all<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }

    /// The first section of a kind, if there is one.
    pub fn one<'a>(&'a self, kind: &'a str) -> Option<&'a Section> {
        self.all(kind).next()
    }
}

/// Checks each section against its kind and adds the defaults of fields that are not given.
pub fn check(
    mut parsed: ParsedFile,
    kinds: &[SectionKind],
) -> Result<ParsedFile, Box<ConfigError>> {
    for section in &mut parsed.sections {
        let Some(kind) = kinds.iter().find(|kind| kind.name == section.kind) else {
            let accepted: Vec<_> = kinds.iter().map(|kind| kind.name).collect();
            return Err(Box::new(ConfigError {
                position: section.position.clone(),
                section: String::new(),
                field: None,
                found: format!("section {}", section.kind),
                wanted: format!("one of {}", accepted.join(", ")),
            }));
        };
        check_fields(section, kind)?;
    }
    for kind in kinds {
        let all: Vec<_> = parsed.all(kind.name).collect();
        if let Some(excess) = all.get(kind.max_count) {
            return Err(Box::new(ConfigError {
                position: excess.position.clone(),
                section: kind.name.into(),
                field: None,
                found: format!("section {} of its kind", kind.max_count + 1),
                wanted: format!("{} at most", kind.max_count),
            }));
        }
        if kind.required && all.is_empty() {
            return Err(Box::new(ConfigError {
                position: Position {
                    file: parsed.file.clone(),
                    line: 1,
                    column: 1,
                },
                section: kind.name.into(),
                field: None,
                found: "no such section".into(),
                wanted: "one".into(),
            }));
        }
    }
    check_references(&parsed, kinds)?;
    Ok(parsed)
}

/// Checks the fields of one section and adds defaults.
fn check_fields(section: &mut Section, kind: &SectionKind) -> Result<(), Box<ConfigError>> {
    let is_known = |name: &str| kind.fields.iter().any(|field| field.name == name);
    if let Some((name, field)) = section.fields.iter().find(|(name, _)| !is_known(name)) {
        let accepted: Vec<_> = kind.fields.iter().map(|field| field.name).collect();
        return Err(Box::new(ConfigError {
            position: field.position.clone(),
            section: kind.name.into(),
            field: None,
            found: format!("field {name}"),
            wanted: format!("one of {}", accepted.join(", ")),
        }));
    }
    for field in kind.fields {
        match (section.fields.get(field.name), field.default) {
            (Some(given), _) if !field.field_type.accepts(&given.value) => {
                return Err(section.field_error(field.name, field.field_type.to_string()));
            }
            (Some(_), _) => {}
            (None, None) => {
                return Err(section.field_error(field.name, field.field_type.to_string()));
            }
            (None, Some(default)) => {
                let value = match default {
                    DefaultValue::Flag(flag) => Value::Flag(flag),
                    DefaultValue::Whole(n) => Value::Whole(n),
                    DefaultValue::Number(n) => Value::Number(n),
                    DefaultValue::Text(text) => Value::Text(text.into()),
                    DefaultValue::EmptyList => Value::List(Vec::new()),
                };
                let position = section.position.clone();
                section
                    .fields
                    .insert(field.name.into(), Field { value, position });
            }
        }
    }
    Ok(())
}

/// Checks that names are unique within a kind and that each reference names an existing section.
fn check_references(parsed: &ParsedFile, kinds: &[SectionKind]) -> Result<(), Box<ConfigError>> {
    let names_of = |kind: &'static str| {
        let all = parsed
            .sections
            .iter()
            .filter(move |section| section.kind == kind);
        all.map(|section| section.text("name")).collect::<Vec<_>>()
    };
    for section in &parsed.sections {
        let Some(kind) = kinds.iter().find(|kind| kind.name == section.kind) else {
            continue;
        };
        for field in kind.fields {
            let text = section.text(field.name);
            let FieldType::Reference(referenced) = field.field_type else {
                continue;
            };
            // An optional reference that is not given is empty.
            let names = names_of(referenced);
            let is_omitted = text.is_empty() && field.default.is_some();
            if !is_omitted && !names.contains(&text) {
                let wanted = format!("the name of a {referenced}: {}", names.join(", "));
                return Err(section.field_error(field.name, wanted));
            }
        }
        let name = section.text("name");
        let has_same_name =
            |other: &&Section| other.kind == section.kind && other.text("name") == name;
        let second = parsed.sections.iter().filter(has_same_name).nth(1);
        if let Some(second) = second.filter(|_| !name.is_empty()) {
            return Err(second.field_error("name", "a name that no other section of this kind has"));
        }
    }
    Ok(())
}
