//! The frames that are exchanged with the bench: little-endian records without padding.

use std::io::{self, Read};

/// A longer batch is an error and is not read.
const MAX_BATCH_BYTES: u32 = 1 << 28;
/// Length of the header: record count, batch length and clock.
const BATCH_HEADER_BYTES: u32 = 16;
/// Every record begins with a code and an instance number.
const MIN_RECORD_BYTES: u32 = 4;

/// An error in a batch, as a message.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl<T: Into<String>> From<T> for Malformed {
    fn from(text: T) -> Malformed {
        Malformed(text.into())
    }
}

/// The result of reading a part of a batch.
pub type ReadResult<T> = Result<T, Malformed>;

/// Records that share one time.
pub struct Batch {
    /// Number of records.
    pub count: u32,
    /// The time in microseconds.
    pub clock: u64,
    /// The encoded records.
    pub records: Vec<u8>,
}

/// Reads the next batch; `None` at the end of the input.
pub fn read_batch(input: &mut impl Read) -> ReadResult<Option<Batch>> {
    let mut header = Vec::new();
    let failed = |e: io::Error| Malformed(format!("input can't be read: {e}"));
    input
        .take(BATCH_HEADER_BYTES.into())
        .read_to_end(&mut header)
        .map_err(failed)?;
    if header.is_empty() {
        return Ok(None);
    }
    let mut fields = Fields::new(&header);
    let (count, len, clock) = (fields.u32()?, fields.u32()?, fields.u64()?);
    if !(BATCH_HEADER_BYTES..=MAX_BATCH_BYTES).contains(&len) {
        return Err(format!("a batch can't be {len} bytes long").into());
    }
    let body = len - BATCH_HEADER_BYTES;
    if count > body / MIN_RECORD_BYTES {
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

/// Reads fields one after another from encoded records.
pub struct Fields<'a> {
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    /// Reads from the start of `bytes`.
    pub fn new(bytes: &'a [u8]) -> Fields<'a> {
        Fields { rest: bytes }
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    /// Reads `n` bytes.
    pub fn bytes(&mut self, n: usize) -> ReadResult<&'a [u8]> {
        if n > self.rest.len() {
            return Err(format!("a field of {n} bytes runs past the end of the batch").into());
        }
        let (taken, rest) = self.rest.split_at(n);
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> ReadResult<[u8; N]> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    /// Reads one `u8`.
    pub fn u8(&mut self) -> ReadResult<u8> {
        Ok(self.array::<1>()?[0])
    }

    /// Reads one `u16`.
    pub fn u16(&mut self) -> ReadResult<u16> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads one `u32`.
    pub fn u32(&mut self) -> ReadResult<u32> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads one `u64`.
    pub fn u64(&mut self) -> ReadResult<u64> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads one `f32`.
    pub fn f32(&mut self) -> ReadResult<f32> {
        self.array().map(f32::from_le_bytes)
    }

    /// Reads four bytes of address and a port, packed into one number.
    pub fn host(&mut self) -> ReadResult<u64> {
        let address = u32::from_be_bytes(self.array()?);
        Ok(u64::from(address) << 16 | u64::from(self.u16()?))
    }

    /// Reads a length of four bytes and a UTF-8 text.
    pub fn text(&mut self) -> ReadResult<&'a str> {
        let n = self.u32()? as usize;
        std::str::from_utf8(self.bytes(n)?).map_err(|_| "a text is not UTF-8".into())
    }
}

/// Builds the reply to a batch.
pub struct Reply {
    bytes: Vec<u8>,
}

impl Reply {
    /// A reply without records; its length is filled in by [`Reply::finish`].
    pub fn new() -> Reply {
        Reply { bytes: vec![0; 4] }
    }

    /// Begins a record.
    pub fn record(&mut self, code: u16, instance: u16) -> &mut Reply {
        self.u16(code).u16(instance)
    }

    /// Appends one `u8`.
    pub fn u8(&mut self, value: u8) -> &mut Reply {
        self.bytes.push(value);
        self
    }

    /// Appends one `u16`.
    pub fn u16(&mut self, value: u16) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    /// Appends one `u32`.
    pub fn u32(&mut self, value: u32) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    /// Appends one `u64`.
    pub fn u64(&mut self, value: u64) -> &mut Reply {
        self.bytes.extend(value.to_le_bytes());
        self
    }

    /// Appends an address and a port that are packed into one number.
    pub fn host(&mut self, packed: u64) -> &mut Reply {
        self.bytes.extend(((packed >> 16) as u32).to_be_bytes());
        self.u16(packed as u16)
    }

    /// Appends a text of up to 65,535 bytes; the rest is cut off.
    pub fn text(&mut self, text: &str) -> &mut Reply {
        let bytes = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
        self.u16(bytes.len() as u16);
        self.bytes.extend(bytes);
        self
    }

    /// Fills in the length and returns the whole frame.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&len.to_le_bytes());
        self.bytes
    }
}
