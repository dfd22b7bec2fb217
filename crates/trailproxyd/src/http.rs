//! The answer to one GET, read piece by piece: its status, then its body, whether chunked or until the
//! end of the connection. Pure and bounded.

/// Longer heads and chunk lines are damage.
const LONGEST_HEAD: usize = 16 * 1024;

#[derive(Debug, PartialEq)]
enum Part {
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

pub struct Response {
    part: Part,
    line: Vec<u8>,
}

#[derive(Debug, PartialEq)]
pub struct Damaged(pub &'static str);

impl Response {
    pub fn new() -> Response {
        Response {
            part: Part::Head,
            line: Vec::new(),
        }
    }

    /// Whether the body has come to its told end.
    pub fn is_over(&self) -> bool {
        self.part == Part::Over
    }

    /// Takes what came and adds what of it is body.
    pub fn feed(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), Damaged> {
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
                return Err(Damaged("a head is too long"));
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

fn head(head: &[u8]) -> Result<Part, Damaged> {
    let text = std::str::from_utf8(head).map_err(|_| Damaged("a head is not text"))?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or("");
    let mut words = status.split(' ');
    if !words.next().is_some_and(|word| word.starts_with("HTTP/1.")) || words.next() != Some("200")
    {
        return Err(Damaged("the call was not answered with 200"));
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
                .map_err(|_| Damaged("a length can't be read"))?;
            part = if n == 0 { Part::Over } else { Part::Sized(n) };
        }
    }
    Ok(part)
}

fn chunk(line: &[u8]) -> Result<Part, Damaged> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let digits = text.split(';').next().unwrap_or("").trim();
    match usize::from_str_radix(digits, 16) {
        Ok(0) => Ok(Part::Over),
        Ok(n) => Ok(Part::Chunk(n)),
        Err(_) => Err(Damaged("a chunk's length can't be read")),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(pieces: &[&[u8]]) -> Result<Vec<u8>, Damaged> {
        let (mut response, mut body) = (Response::new(), Vec::new());
        for piece in pieces {
            response.feed(piece, &mut body)?;
        }
        Ok(body)
    }

    const CHUNKED: &[u8] =
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n4;x\r\nd\r\ne\r\n0\r\n\r\n";
    const PLAIN: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nabcd\r\ne";
    const SIZED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\nabcd\r\neXYZ";

    #[test]
    fn every_split_gives_the_same_body() {
        for whole in [CHUNKED, PLAIN, SIZED] {
            for cut in 0..=whole.len() {
                let (a, b) = whole.split_at(cut);
                assert_eq!(read(&[a, b]).expect("sound"), b"abcd\r\ne");
            }
        }
    }

    #[test]
    fn another_status_or_arbitrary_bytes_are_damage_without_a_panic() {
        assert!(read(&[b"HTTP/1.1 503 No\r\n\r\n"]).is_err());
        let mut chance = fastrand::Rng::with_seed(13);
        for _ in 0..20_000 {
            let mut bytes = CHUNKED.to_vec();
            for _ in 0..chance.usize(1..6) {
                let at = chance.usize(0..bytes.len());
                bytes[at] = chance.u8(..);
            }
            let _ = read(&[&bytes]);
        }
    }
}
