//! Reads and writes RESP arrays of bulk strings.
//!
//! Reading does no I/O: it takes bytes and returns strings. For an incomplete array it returns the smallest number of
//! bytes that the array can have.

use crate::msgpack::ParseError;

/// A longer header line is malformed.
const MAX_HEADER_BYTES: usize = 16;

/// What follows a bulk string.
pub const WORD_END: &[u8] = b"\r\n";

/// Returns the strings of the first array in the bytes and the array's length in bytes. An array of more than
/// `max_strings` strings, or with a string of more than `max_string_bytes` bytes, is malformed.
pub fn read(
    bytes: &[u8],
    max_strings: usize,
    max_string_bytes: usize,
) -> Result<(Vec<&[u8]>, usize), ParseError> {
    let mut position = 0;
    let n = header(bytes, &mut position, b'*')?;
    if n == 0 || n > max_strings {
        return Err(ParseError::Malformed(
            "an array has too many strings or none",
        ));
    }
    let mut array = Vec::with_capacity(n);
    for _ in 0..n {
        let len = header(bytes, &mut position, b'$')?;
        if len > max_string_bytes {
            return Err(ParseError::Malformed("a string is too long"));
        }
        let string = bytes
            .get(position..position + len + 2)
            .ok_or(ParseError::Incomplete(position + len + 2))?;
        let (string, end) = string.split_at(len);
        if end != b"\r\n" {
            return Err(ParseError::Malformed("a string has no end"));
        }
        array.push(string);
        position += len + 2;
    }
    Ok((array, position))
}

/// Reads a header line that starts with `type_byte`, and returns its number.
fn header(bytes: &[u8], position: &mut usize, type_byte: u8) -> Result<usize, ParseError> {
    let rest = bytes.get(*position..).unwrap_or_default();
    if rest.first().is_some_and(|&first| first != type_byte) {
        return Err(ParseError::Malformed("not an array of bulk strings"));
    }
    let line = &rest[..rest.len().min(MAX_HEADER_BYTES)];
    let Some(end) = line.windows(2).position(|pair| pair == b"\r\n") else {
        return Err(match line.len() < MAX_HEADER_BYTES {
            true => ParseError::Incomplete(bytes.len() + 1),
            false => ParseError::Malformed("a length has no end"),
        });
    };
    let digits = &line[1..end];
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
    *position += end + 2;
    number
        .and_then(|text| text.parse().ok())
        .ok_or(ParseError::Malformed("a length can't be read"))
}

/// Appends the header of an array of `strings` strings.
pub fn put_array(out: &mut Vec<u8>, strings: usize) {
    out.extend(format!("*{strings}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn put_word(out: &mut Vec<u8>, string: &[u8]) {
    put_word_head(out, string.len());
    out.extend(string);
    out.extend(WORD_END);
}

/// Appends the header of a bulk string of `length` bytes, which [`WORD_END`] follows.
pub fn put_word_head(out: &mut Vec<u8>, length: usize) {
    out.extend(format!("${length}\r\n").as_bytes());
}
