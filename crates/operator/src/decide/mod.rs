//! What fits a section: names, types, ranges, defaults and references. No file is read here.

use std::collections::BTreeMap;
use std::fmt;

/// Where something stands: the file as it was named, line and column from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    pub file: String,
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// What does not fit: where, in which section and field, what was found and what is accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub position: Position,
    pub section: String,
    pub field: Option<String>,
    pub found: String,
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

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Flag(bool),
    Whole(i64),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    /// Anything that no field takes, by its type's name.
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

/// What a field takes. Ranges hold both ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FieldType {
    Flag,
    Whole(i64, i64),
    Number(f64, f64),
    /// A name: 1 to 64 letters, digits, `-`, `_`, `.` or `/`.
    Name,
    /// One of these words.
    OneOf(&'static [&'static str]),
    /// A list of one number for each of several things.
    Numbers(f64, f64),
    Names,
    /// An IPv4 address and a port, and a list of such.
    Address,
    Addresses,
    /// A list of IPv4 addresses, with or without a port, or networks.
    AddressRanges,
    /// The name of a section of this kind that stands in the same file.
    Reference(&'static str),
}

impl fmt::Display for FieldType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldType::Flag => f.write_str("True or False"),
            FieldType::Whole(least, most) => write!(f, "a whole number from {least} to {most}"),
            FieldType::Number(least, most) => write!(f, "a number from {least} to {most}"),
            FieldType::Name => f.write_str("a name of 1 to 64 letters, digits, '-', '_', '.' or '/'"),
            FieldType::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            FieldType::Numbers(least, most) => write!(f, "a list of numbers from {least} to {most}"),
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
            (FieldType::Whole(least, most), Value::Whole(n)) => (least..=most).contains(&n),
            (FieldType::Number(least, most), value) => value
                .number()
                .is_some_and(|n| n.is_finite() && (*least..=*most).contains(&n)),
            (FieldType::Name | FieldType::Reference(_), Value::Text(text)) => is_name(text),
            (FieldType::OneOf(words), Value::Text(text)) => words.contains(&text.as_str()),
            (FieldType::Numbers(least, most), Value::List(items)) => items
                .iter()
                .all(|item| FieldType::Number(*least, *most).accepts(item)),
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
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    (1..=64).contains(&text.len()) && text.chars().all(fits)
}

impl Value {
    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Whole(n) => Some(*n as f64),
            Value::Number(n) => Some(*n),
            _ => None,
        }
    }
}

/// One field of a kind of section, with what holds where it is not given; `None`: it must be given.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    pub name: &'static str,
    pub field_type: FieldType,
    pub default: Option<DefaultValue>,
}

/// What holds where a field is not given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefaultValue {
    Flag(bool),
    Whole(i64),
    Number(f64),
    Text(&'static str),
    /// The empty list.
    EmptyList,
}

/// A kind of section.
#[derive(Clone, Copy, Debug)]
pub struct SectionKind {
    pub name: &'static str,
    /// How many of it a file may hold.
    pub max_count: usize,
    pub required: bool,
    pub fields: &'static [FieldSpec],
}

pub const fn required(name: &'static str, field_type: FieldType) -> FieldSpec {
    FieldSpec {
        name,
        field_type,
        default: None,
    }
}

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

#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    pub value: Value,
    pub position: Position,
}

/// One section as it stands in the file; after [`check`], with every field of its kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Section {
    pub kind: String,
    pub position: Position,
    pub fields: BTreeMap<String, Field>,
}

impl Section {
    /// A complaint about one field, at its position.
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

    /// The number of a checked field; 0 for one that its kind does not have.
    pub fn number(&self, field: &str) -> f64 {
        self.value(field).and_then(Value::number).unwrap_or(0.0)
    }

    pub fn whole(&self, field: &str) -> i64 {
        match self.value(field) {
            Some(Value::Whole(n)) => *n,
            _ => 0,
        }
    }

    pub fn flag(&self, field: &str) -> bool {
        self.value(field) == Some(&Value::Flag(true))
    }

    pub fn text(&self, field: &str) -> &str {
        match self.value(field) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    pub fn numbers(&self, field: &str) -> Vec<f64> {
        match self.value(field) {
            Some(Value::List(items)) => items.iter().filter_map(Value::number).collect(),
            _ => Vec::new(),
        }
    }

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

/// All sections of a file, in their order.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedFile {
    pub file: String,
    pub sections: Vec<Section>,
}

impl ParsedFile {
    pub fn all<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections
            .iter()
            .filter(move |section| section.kind == kind)
    }

    pub fn one<'a>(&'a self, kind: &'a str) -> Option<&'a Section> {
        self.all(kind).next()
    }
}

/// Checks each section against its kind and puts in what is not given.
pub fn check(mut sheet: ParsedFile, kinds: &[SectionKind]) -> Result<ParsedFile, Box<ConfigError>> {
    for section in &mut sheet.sections {
        let Some(kind) = kinds.iter().find(|kind| kind.name == section.kind) else {
            let names: Vec<_> = kinds.iter().map(|kind| kind.name).collect();
            return Err(Box::new(ConfigError {
                position: section.position.clone(),
                section: String::new(),
                field: None,
                found: format!("section {}", section.kind),
                wanted: format!("one of {}", names.join(", ")),
            }));
        };
        fill(section, kind)?;
    }
    for kind in kinds {
        let all: Vec<_> = sheet.all(kind.name).collect();
        if let Some(over) = all.get(kind.max_count) {
            return Err(Box::new(ConfigError {
                position: over.position.clone(),
                section: kind.name.into(),
                field: None,
                found: format!("section {} of its kind", kind.max_count + 1),
                wanted: format!("{} at most", kind.max_count),
            }));
        }
        if kind.required && all.is_empty() {
            return Err(Box::new(ConfigError {
                position: Position {
                    file: sheet.file.clone(),
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
    references(&sheet, kinds)?;
    Ok(sheet)
}

fn fill(section: &mut Section, kind: &SectionKind) -> Result<(), Box<ConfigError>> {
    let known = |name: &str| kind.fields.iter().any(|field| field.name == name);
    if let Some((name, field)) = section.fields.iter().find(|(name, _)| !known(name)) {
        let names: Vec<_> = kind.fields.iter().map(|field| field.name).collect();
        return Err(Box::new(ConfigError {
            position: field.position.clone(),
            section: kind.name.into(),
            field: None,
            found: format!("field {name}"),
            wanted: format!("one of {}", names.join(", ")),
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

/// Names are given once in a kind, and what names a section of a kind finds one.
fn references(sheet: &ParsedFile, kinds: &[SectionKind]) -> Result<(), Box<ConfigError>> {
    let named = |kind: &'static str| {
        let all = sheet
            .sections
            .iter()
            .filter(move |section| section.kind == kind);
        all.map(|section| section.text("name")).collect::<Vec<_>>()
    };
    for section in &sheet.sections {
        let Some(kind) = kinds.iter().find(|kind| kind.name == section.kind) else {
            continue;
        };
        for field in kind.fields {
            let text = section.text(field.name);
            let FieldType::Reference(other) = field.field_type else {
                continue;
            };
            // An optional reference that is not given is empty.
            let names = named(other);
            let left_out = text.is_empty() && field.default.is_some();
            if !left_out && !names.contains(&text) {
                let wanted = format!("the name of a {other}: {}", names.join(", "));
                return Err(section.field_error(field.name, wanted));
            }
        }
        let name = section.text("name");
        let twin = |other: &&Section| other.kind == section.kind && other.text("name") == name;
        let second = sheet.sections.iter().filter(twin).nth(1);
        if let Some(second) = second.filter(|_| !name.is_empty()) {
            return Err(second.field_error("name", "a name that no other section of this kind has"));
        }
    }
    Ok(())
}
