//! MessagePack, as far as MessagePack-RPC with maps of strings and binaries needs it. Pure: bytes in,
//! values out; a message that is not whole yet says how many bytes it wants at least.

/// Nested deeper, a message is taken for damage.
const DEEPEST: usize = 8;

/// With more values, a message is taken for damage: one that is not whole yet is read from its start again with every
/// piece that comes, which has to stay cheap. A request has some thirty.
const MOST_VALUES: usize = 512;

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

#[derive(Debug, PartialEq)]
pub enum ParseError {
    /// Not whole before so many bytes are there.
    Incomplete(usize),
    Malformed(&'static str),
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
    longest: usize,
    /// So many values may come still.
    values: usize,
}

/// The first message in the bytes and its length; none is longer than `longest`.
pub fn read(bytes: &[u8], longest: usize) -> Result<(Value<'_>, usize), ParseError> {
    let mut reader = Reader {
        bytes,
        at: 0,
        longest,
        values: MOST_VALUES,
    };
    let value = reader.value(DEEPEST)?;
    Ok((value, reader.at))
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], ParseError> {
        let end = self.at.saturating_add(n);
        if end > self.longest {
            return Err(ParseError::Malformed("a message is too long"));
        }
        let taken = self
            .bytes
            .get(self.at..end)
            .ok_or(ParseError::Incomplete(end))?;
        self.at = end;
        Ok(taken)
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

    fn value(&mut self, deep: usize) -> Result<Value<'a>, ParseError> {
        let deeper = deep
            .checked_sub(1)
            .ok_or(ParseError::Malformed("a message is nested too deep"))?;
        let fewer = self.values.checked_sub(1);
        self.values = fewer.ok_or(ParseError::Malformed("a message has too many values"))?;
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
                    entries.push((self.value(deeper)?, self.value(deeper)?));
                }
                Value::Map(entries)
            }
            0x90..=0x9f | 0xdc | 0xdd => {
                let mut items = Vec::new();
                for _ in 0..n {
                    items.push(self.value(deeper)?);
                }
                Value::Array(items)
            }
            0xa0..=0xbf | 0xc4..=0xc6 | 0xd9..=0xdb => Value::Bytes(self.take(n)?),
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
                return Err(ParseError::Malformed("a type is not spoken here"));
            }
        })
    }
}

pub fn put_array(out: &mut Vec<u8>, n: u8) {
    debug_assert!(n < 16);
    out.push(0x90 | n);
}

pub fn put_nil(out: &mut Vec<u8>) {
    out.push(0xc0);
}

pub fn put_bool(out: &mut Vec<u8>, value: bool) {
    out.push(0xc2 | u8::from(value));
}

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

/// What goes before a binary of that length.
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

pub fn put_map(out: &mut Vec<u8>, entries: &[(&str, &str)]) {
    debug_assert!(entries.len() < 16);
    out.push(0x80 | entries.len() as u8);
    for (name, value) in entries {
        put_text(out, name);
        put_text(out, value);
    }
}
