//! The answer to one GET, read piece by piece: its status, then its body, whether chunked or until the
//! end of the connection. Pure and bounded.

/// Longer heads and chunk lines are damage.
const LONGEST_HEAD: usize = 16 * 1024;

#[derive(Debug, Default, PartialEq)]
enum Part {
    #[default]
    Head,
    /// Until the connection ends.
    Plain,
    /// What is left of a body of a told length.
    Sized(usize),
    ChunkLine,
    Chunk(usize),
    ChunkEnd,
    Over,
}

#[derive(Default)]
pub struct Response {
    part: Part,
    line: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub struct MalformedResponse(pub &'static str);

impl Response {
    /// Whether the body has come to its told end.
    pub fn is_complete(&self) -> bool {
        self.part == Part::Over
    }

    /// Takes what came and adds what of it is body.
    pub fn feed(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), MalformedResponse> {
        while let Some(&first) = bytes.first() {
            match &mut self.part {
                Part::Plain => {
                    body.extend(bytes);
                    return Ok(());
                }
                Part::Over => return Ok(()),
                Part::Sized(left) | Part::Chunk(left) => {
                    let n = bytes.len().min(*left);
                    body.extend(&bytes[..n]);
                    bytes = &bytes[n..];
                    *left -= n;
                    if *left == 0 {
                        let chunked = matches!(self.part, Part::Chunk(_));
                        self.part = if chunked { Part::ChunkEnd } else { Part::Over };
                    }
                    continue;
                }
                Part::Head | Part::ChunkLine | Part::ChunkEnd => {}
            }
            self.line.push(first);
            bytes = &bytes[1..];
            if self.line.len() > LONGEST_HEAD {
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

fn head(head: &[u8]) -> Result<Part, MalformedResponse> {
    let text = std::str::from_utf8(head).map_err(|_| MalformedResponse("a head is not text"))?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or("");
    let mut words = status.split(' ');
    if !words.next().is_some_and(|word| word.starts_with("HTTP/1.")) || words.next() != Some("200")
    {
        return Err(MalformedResponse("the call was not answered with 200"));
    }
    let mut part = Part::Plain;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            return Ok(Part::ChunkLine);
        }
        if name.eq_ignore_ascii_case("content-length") {
            let n = value
                .parse()
                .map_err(|_| MalformedResponse("a length can't be read"))?;
            part = if n == 0 { Part::Over } else { Part::Sized(n) };
        }
    }
    Ok(part)
}

fn chunk(line: &[u8]) -> Result<Part, MalformedResponse> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let digits = text.split(';').next().unwrap_or("").trim();
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Ok(Part::Over),
        Ok(n) => Ok(Part::Chunk(n)),
        Err(_) => Err(MalformedResponse("a chunk's length can't be read")),
    }
}
