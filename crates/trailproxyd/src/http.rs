//! Parses the response to one GET request incrementally: its status, then its body, which is chunked, of known length or
//! ends with the connection. It does no I/O and buffers a bounded number of bytes.

/// A longer header or chunk line is malformed.
const MAX_HEADER_BYTES: usize = 16 * 1024;

/// The part of the response that the next byte belongs to.
#[derive(Debug, Default, PartialEq)]
enum Part {
    #[default]
    Head,
    /// A body that ends with the connection.
    UntilClose,
    /// A body of known length, with the number of bytes that are left.
    Sized(usize),
    ChunkLine,
    /// A chunk, with the number of bytes that are left.
    Chunk(usize),
    ChunkEnd,
    /// Nothing more belongs to the response.
    Complete,
}

/// The state of the parser.
#[derive(Default)]
pub struct Response {
    part: Part,
    line: Vec<u8>,
}

/// Why the bytes are not a response that can be used.
#[derive(Debug, PartialEq)]
pub struct MalformedResponse(pub &'static str);

impl Response {
    /// Returns whether the body has ended by its own length or by its last chunk.
    pub fn is_complete(&self) -> bool {
        self.part == Part::Complete
    }

    /// Parses received bytes and appends the bytes of the body to `body`.
    pub fn feed(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), MalformedResponse> {
        while let Some(&first) = bytes.first() {
            match &mut self.part {
                Part::UntilClose => {
                    body.extend(bytes);
                    return Ok(());
                }
                Part::Complete => return Ok(()),
                Part::Sized(left) | Part::Chunk(left) => {
                    let n = bytes.len().min(*left);
                    body.extend(&bytes[..n]);
                    bytes = &bytes[n..];
                    *left -= n;
                    if *left == 0 {
                        let chunked = matches!(self.part, Part::Chunk(_));
                        self.part = if chunked {
                            Part::ChunkEnd
                        } else {
                            Part::Complete
                        };
                    }
                    continue;
                }
                Part::Head | Part::ChunkLine | Part::ChunkEnd => {}
            }
            self.line.push(first);
            bytes = &bytes[1..];
            if self.line.len() > MAX_HEADER_BYTES {
                return Err(MalformedResponse("a head is too long"));
            }
            let end: &[u8] = if self.part == Part::Head {
                b"\r\n\r\n"
            } else {
                b"\r\n"
            };
            if self.line.ends_with(end) {
                let line = std::mem::take(&mut self.line);
                self.part = match self.part {
                    Part::Head => head(&line)?,
                    Part::ChunkEnd => Part::ChunkLine,
                    _ => chunk(&line)?,
                };
            }
        }
        Ok(())
    }
}

/// Parses the status line and the header fields, and returns the part that follows.
fn head(head: &[u8]) -> Result<Part, MalformedResponse> {
    let text = std::str::from_utf8(head).map_err(|_| MalformedResponse("a head is not text"))?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or("");
    let mut words = status.split(' ');
    if !words.next().is_some_and(|word| word.starts_with("HTTP/1.")) || words.next() != Some("200")
    {
        return Err(MalformedResponse("the response status is not 200"));
    }
    let mut part = Part::UntilClose;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            return Ok(Part::ChunkLine);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let n = value
                .parse()
                .map_err(|_| MalformedResponse("a length can't be read"))?;
            part = if n == 0 {
                Part::Complete
            } else {
                Part::Sized(n)
            };
        }
    }
    Ok(part)
}

/// Parses the line before a chunk.
fn chunk(line: &[u8]) -> Result<Part, MalformedResponse> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let digits = text.split(';').next().unwrap_or("").trim();
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Ok(Part::Complete),
        Ok(n) => Ok(Part::Chunk(n)),
        Err(_) => Err(MalformedResponse("a chunk's length can't be read")),
    }
}
