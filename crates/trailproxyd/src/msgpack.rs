//! Reads and writes the part of MessagePack that MessagePack-RPC with maps of strings and binaries needs.
//!
//! Reading does no I/O: it takes bytes and returns values. For an incomplete message it returns the smallest number of
//! bytes that the message can have.

/// A message with more levels of nesting is malformed.
const MAX_DEPTH: usize = 8;

/// A message with more values is malformed. An incomplete message is parsed again from its start whenever more bytes
/// arrive, which has to stay cheap. A request has about thirty values.
const MAX_VALUES: usize = 512;

/// A MessagePack value that borrows its bytes from the message.
#[derive(Debug, PartialEq)]
pub enum Value<'a> {
    Nil,
    Bool(bool),
    Int(i64),
    Float(f64),
    /// A string or a binary.
    Bytes(&'a [u8]),
    Array(Vec<Value<'a>>),
    Map(Vec<(Value<'a>, Value<'a>)>),
}

/// Why no message could be read.
#[derive(Debug, PartialEq)]
pub enum ParseError {
    /// The message is incomplete and has at least this many bytes.
    Incomplete(usize),
    /// The bytes are no message, or exceed a limit, for this reason.
    Malformed(&'static str),
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    max_length: usize,
    /// The number of values that the message may still contain.
    values_left: usize,
    /// Whether a binary may be cut off. It is read as an empty one then.
    may_cut_binary: bool,
}

/// Returns the first message in the bytes and its length. A message of more than `max_length` bytes is malformed.
pub fn read(bytes: &[u8], max_length: usize) -> Result<(Value<'_>, usize), ParseError> {
    read_with(bytes, max_length, false)
}

/// Returns the first message in the bytes and its length, also if the bytes end within its last value and that is a
/// binary. The value of a binary that is cut off is empty.
pub fn read_without_last_binary(
    bytes: &[u8],
    max_length: usize,
) -> Result<(Value<'_>, usize), ParseError> {
    read_with(bytes, max_length, true)
}

fn read_with(
    bytes: &[u8],
    max_length: usize,
    may_cut_binary: bool,
) -> Result<(Value<'_>, usize), ParseError> {
    let mut reader = Reader {
        bytes,
        position: 0,
        max_length,
        values_left: MAX_VALUES,
        may_cut_binary,
    };
    let value = reader.value(MAX_DEPTH)?;
    Ok((value, reader.position))
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ParseError> {
        let end = self.position.saturating_add(n);
        if end > self.max_length {
            return Err(ParseError::Malformed("a message is too long"));
        }
        let taken = self
            .bytes
            .get(self.position..end)
            .ok_or(ParseError::Incomplete(end))?;
        self.position = end;
        Ok(taken)
    }

    /// Takes the bytes of a binary, or skips them if they are cut off and may be.
    fn binary(&mut self, n: usize) -> Result<&'a [u8], ParseError> {
        match self.take(n) {
            Err(ParseError::Incomplete(end)) if self.may_cut_binary => {
                self.position = end;
                Ok(&[])
            }
            taken => taken,
        }
    }

    fn number(&mut self, n: usize) -> Result<u64, ParseError> {
        let bytes = self.take(n)?;
        Ok(bytes
            .iter()
            .fold(0, |sum, &byte| sum << 8 | u64::from(byte)))
    }

    fn length(&mut self, n: usize) -> Result<usize, ParseError> {
        Ok(self.number(n)? as usize)
    }

    fn value(&mut self, depth_left: usize) -> Result<Value<'a>, ParseError> {
        let depth_below = depth_left
            .checked_sub(1)
            .ok_or(ParseError::Malformed("a message is nested too deep"))?;
        let fewer = self.values_left.checked_sub(1);
        self.values_left = fewer.ok_or(ParseError::Malformed("a message has too many values"))?;
        let code = self.number(1)? as u8;
        let n = match code {
            0x80..=0x9f => usize::from(code & 0x0f),
            0xa0..=0xbf => usize::from(code & 0x1f),
            0xc4 | 0xd9 => self.length(1)?,
            0xc5 | 0xda | 0xdc | 0xde => self.length(2)?,
            0xc6 | 0xdb | 0xdd | 0xdf => self.length(4)?,
            _ => 0,
        };
        Ok(match code {
            0x00..=0x7f => Value::Int(code.into()),
            0x80..=0x8f | 0xde | 0xdf => {
                let mut entries = Vec::new();
                for _ in 0..n {
                    entries.push((self.value(depth_below)?, self.value(depth_below)?));
                }
                Value::Map(entries)
            }
            0x90..=0x9f | 0xdc | 0xdd => {
                let mut items = Vec::new();
                for _ in 0..n {
                    items.push(self.value(depth_below)?);
                }
                Value::Array(items)
            }
            0xc4..=0xc6 => Value::Bytes(self.binary(n)?),
            0xa0..=0xbf | 0xd9..=0xdb => Value::Bytes(self.take(n)?),
            0xc0 => Value::Nil,
            0xc2 | 0xc3 => Value::Bool(code == 0xc3),
            0xca => Value::Float(f32::from_bits(self.number(4)? as u32).into()),
            0xcb => Value::Float(f64::from_bits(self.number(8)?)),
            0xcc..=0xcf => {
                let number = self.number(1 << (code - 0xcc))?;
                let fits = i64::try_from(number);
                Value::Int(fits.map_err(|_| ParseError::Malformed("a number is too large"))?)
            }
            0xd0 => Value::Int((self.number(1)? as i8).into()),
            0xd1 => Value::Int((self.number(2)? as i16).into()),
            0xd2 => Value::Int((self.number(4)? as i32).into()),
            0xd3 => Value::Int(self.number(8)? as i64),
            0xe0..=0xff => Value::Int((code as i8).into()),
            0xc1 | 0xc7..=0xc9 | 0xd4..=0xd8 => {
                return Err(ParseError::Malformed("a value has an unsupported type"));
            }
        })
    }
}

/// Appends the header of an array of `n` items, at most 15.
pub fn put_array(out: &mut Vec<u8>, n: u8) {
    debug_assert!(n < 16);
    out.push(0x90 | n);
}

/// Appends nil.
pub fn put_nil(out: &mut Vec<u8>) {
    out.push(0xc0);
}

/// Appends a boolean.
pub fn put_bool(out: &mut Vec<u8>, value: bool) {
    out.push(0xc2 | u8::from(value));
}

/// Appends an unsigned integer in its shortest form.
pub fn put_int(out: &mut Vec<u8>, value: u32) {
    match value {
        0..=0x7f => out.push(value as u8),
        0x80..=0xff => out.extend([0xcc, value as u8]),
        0x100..=0xffff => {
            out.push(0xcd);
            out.extend((value as u16).to_be_bytes());
        }
        _ => {
            out.push(0xce);
            out.extend(value.to_be_bytes());
        }
    }
}

/// Appends a string.
pub fn put_text(out: &mut Vec<u8>, text: &str) {
    match text.len() {
        n @ 0..=31 => out.push(0xa0 | n as u8),
        n @ 32..=255 => out.extend([0xd9, n as u8]),
        n => {
            out.push(0xdb);
            out.extend((n as u32).to_be_bytes());
        }
    }
    out.extend(text.as_bytes());
}

/// Appends the header of a binary of `n` bytes.
pub fn put_bin_head(out: &mut Vec<u8>, n: usize) {
    match n {
        0..=0xff => out.extend([0xc4, n as u8]),
        0x100..=0xffff => {
            out.push(0xc5);
            out.extend((n as u16).to_be_bytes());
        }
        _ => {
            out.push(0xc6);
            out.extend((n as u32).to_be_bytes());
        }
    }
}

/// Appends a map of strings with at most 15 entries.
pub fn put_map(out: &mut Vec<u8>, entries: &[(&str, &str)]) {
    debug_assert!(entries.len() < 16);
    out.push(0x80 | entries.len() as u8);
    for (name, value) in entries {
        put_text(out, name);
        put_text(out, value);
    }
}
