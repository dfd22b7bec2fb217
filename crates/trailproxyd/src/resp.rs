//! RESP arrays of bulk strings. Pure: bytes in, words out; an array that is not whole yet says how
//! many bytes it wants at least.

use crate::msgpack::ParseError;

/// Longer lines of a header are damage.
const LONGEST_LINE: usize = 16;

/// The words of the first array in the bytes and its length, each word at most `longest` bytes.
pub fn read(bytes: &[u8], words: usize, longest: usize) -> Result<(Vec<&[u8]>, usize), ParseError> {
    let mut at = 0;
    let n = header(bytes, &mut at, b'*')?;
    if n == 0 || n > words {
        return Err(ParseError::Malformed("an array has too many words or none"));
    }
    let mut array = Vec::with_capacity(n);
    for _ in 0..n {
        let len = header(bytes, &mut at, b'$')?;
        if len > longest {
            return Err(ParseError::Malformed("a word is too long"));
        }
        let word = bytes
            .get(at..at + len + 2)
            .ok_or(ParseError::Incomplete(at + len + 2))?;
        let (word, end) = word.split_at(len);
        if end != b"\r\n" {
            return Err(ParseError::Malformed("a word has no end"));
        }
        array.push(word);
        at += len + 2;
    }
    Ok((array, at))
}

fn header(bytes: &[u8], at: &mut usize, mark: u8) -> Result<usize, ParseError> {
    let rest = bytes.get(*at..).unwrap_or_default();
    if rest.first().is_some_and(|&first| first != mark) {
        return Err(ParseError::Malformed("not an array of bulk strings"));
    }
    let line = &rest[..rest.len().min(LONGEST_LINE)];
    let Some(end) = line.windows(2).position(|pair| pair == b"\r\n") else {
        return Err(match line.len() < LONGEST_LINE {
            true => ParseError::Incomplete(bytes.len() + 1),
            false => ParseError::Malformed("a length has no end"),
        });
    };
    let digits = &line[1..end];
    let number = std::str::from_utf8(digits)
        .ok()
        .filter(|text| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()));
    *at += end + 2;
    number
        .and_then(|text| text.parse().ok())
        .ok_or(ParseError::Malformed("a length can't be read"))
}

pub fn put_array(out: &mut Vec<u8>, words: usize) {
    out.extend(format!("*{words}\r\n").as_bytes());
}

pub fn put_word(out: &mut Vec<u8>, word: &[u8]) {
    out.extend(format!("${}\r\n", word.len()).as_bytes());
    out.extend(word);
    out.extend(b"\r\n");
}
