//! The frames of the bench's wire: little-endian records without padding.

use std::io::{self, Read};

/// Longer batches are taken for damage, not read.
const LONGEST_BATCH: u32 = 1 << 28;
const BATCH_HEADER: u32 = 16;
/// A code and the instance: no record is shorter.
const SHORTEST_RECORD: u32 = 4;

/// Why a batch can't be understood.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl<T: Into<String>> From<T> for Malformed {
    fn from(text: T) -> Malformed {
        Malformed(text.into())
    }
}

pub type Read1<T> = Result<T, Malformed>;

pub struct Batch {
    pub count: u32,
    pub clock: u64,
    pub records: Vec<u8>,
}

/// The next batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> Read1<Option<Batch>> {
    let mut header = Vec::new();
    let failed = |e: io::Error| Malformed(format!("input can't be read: {e}"));
    input
        .take(BATCH_HEADER.into())
        .read_to_end(&mut header)
        .map_err(failed)?;
    if header.is_empty() {
        return Ok(None);
    }
    let mut fields = Fields::new(&header);
    let (count, len, clock) = (fields.u32()?, fields.u32()?, fields.u64()?);
    if !(BATCH_HEADER..=LONGEST_BATCH).contains(&len) {
        return Err(format!("a batch can't be {len} bytes long").into());
    }
    let body = len - BATCH_HEADER;
    if count > body / SHORTEST_RECORD {
        return Err(format!("{count} records don't fit in {body} bytes").into());
    }
    let mut records = Vec::new();
    input
        .take(body.into())
        .read_to_end(&mut records)
        .map_err(failed)?;
    if records.len() < body as usize {
        return Err(format!(
            "input ends {} bytes into a batch of {len}",
            16 + records.len()
        )
        .into());
    }
    Ok(Some(Batch {
        count,
        clock,
        records,
    }))
}

/// Fields taken one after another from a record.
pub struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { rest: bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn bytes(&mut self, n: usize) -> Read1<&'a [u8]> {
        if n > self.rest.len() {
            return Err(format!("a field of {n} bytes runs past the end of the batch").into());
        }
        let (taken, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Read1<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Read1<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Read1<u16> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Read1<u32> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Read1<u64> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Read1<f32> {
        self.array().map(f32::from_le_bytes)
    }

    /// Four bytes of address and a port, packed into one number.
    pub fn host(&mut self) -> Read1<u64> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(u64::from(address) << 16 | u64::from(self.u16()?))
    }

    pub fn text(&mut self) -> Read1<&'a str> {
        let n = self.u32()? as usize;
        std::str::from_utf8(self.bytes(n)?).map_err(|_| "a text is not UTF-8".into())
    }
}

/// A reply under construction.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    pub fn new() -> Reply {
        Reply { bytes: vec![0; 4] }
    }

    pub fn record(&mut self, code: u16, instance: u16) -> &mut Reply {
        self.u16(code).u16(instance)
    }

    pub fn u8(&mut self, value: u8) -> &mut Reply {
        self.bytes.push(value);
        self
    }

    pub fn u16(&mut self, value: u16) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    pub fn u32(&mut self, value: u32) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    pub fn u64(&mut self, value: u64) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    pub fn host(&mut self, packed: u64) -> &mut Reply {
        self.bytes.extend(((packed >> 16) as u32).to_be_bytes());
        self.u16(packed as u16)
    }

    /// Text of up to 65,535 bytes; the rest is cut off.
    pub fn text(&mut self, text: &str) -> &mut Reply {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.u16(bytes.len() as u16);
        self.bytes.extend(bytes);
        self
    }

    /// The whole frame, its length filled in.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&len.to_le_bytes());
        self.bytes
    }
}
