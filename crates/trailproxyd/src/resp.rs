//! Reads and writes RESP arrays of bulk strings.
//!
//! Reading does no I/O: it takes bytes and returns strings. For an incomplete array it returns the smallest number of
//! bytes that the array can have.

use crate::msgpack::ParseError;

/// A longer header line is malformed.
const MAX_HEADER_BYTES: usize = 16;

/// Returns the strings of the first array in the bytes and the array's length in bytes. An array of more than `max_words`
/// strings, or with a string of more than `max_word_bytes` bytes, is malformed.
pub fn read(
    bytes: &[u8],
    max_words: usize,
    max_word_bytes: usize,
) -> Result<(Vec<&[u8]>, usize), ParseError> {
    let mut position = 0;
    let n = header(bytes, &mut position, b'*')?;
    if n == 0 || n > max_words {
        return Err(ParseError::Malformed("an array has too many words or none"));
    }
    let mut array = Vec::with_capacity(n);
    for _ in 0..n {
        let len = header(bytes, &mut position, b'$')?;
        if len > max_word_bytes {
            return Err(ParseError::Malformed("a word is too long"));
        }
        let word = bytes
            .get(position..position + len + 2)
            .ok_or(ParseError::Incomplete(position + len + 2))?;
        let (word, end) = word.split_at(len);
        if end != b"\r\n" {
            return Err(ParseError::Malformed("a word has no end"));
        }
        array.push(word);
        position += len + 2;
    }
    Ok((array, position))
}

/// Reads a header line that starts with `mark`, and returns its number.
fn header(bytes: &[u8], position: &mut usize, mark: u8) -> Result<usize, ParseError> {
    let rest = bytes.get(*position..).unwrap_or_default();
    if rest.first().is_some_and(|&first| first != mark) {
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

/// Appends the header of an array of `words` strings.
pub fn put_array(out: &mut Vec<u8>, words: usize) {
    out.extend(format!("*{words}\r\n").as_bytes());
}

/// Appends a bulk string.
pub fn put_word(out: &mut Vec<u8>, word: &[u8]) {
    out.extend(format!("${}\r\n", word.len()).as_bytes());
    out.extend(word);
    out.extend(b"\r\n");
}
