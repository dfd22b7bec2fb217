//! Parses server-sent events incrementally, without I/O and with a bounded buffer.

/// A longer event is an error. The full list of many hundred hosts fits.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// A whole event.
#[derive(Debug, PartialEq)]
pub struct Event {
    /// The last id that the stream gave, which may be that of an earlier event.
    pub id: String,
    /// The lines of data, joined by newlines.
    pub data: String,
}

/// The state of the parser.
#[derive(Default)]
pub struct EventParser {
    line: Vec<u8>,
    after_cr: bool,
    id: String,
    data: String,
}

/// An event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, PartialEq)]
pub struct EventTooLong;

impl EventParser {
    /// Parses received bytes and appends the events that are now whole to `events`.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), EventTooLong> {
        for &byte in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            match byte {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => {
                    let line = std::mem::take(&mut self.line);
                    self.end_line(&String::from_utf8_lossy(&line), events);
                }
                _ => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        Ok(())
    }

    fn end_line(&mut self, line: &str, events: &mut Vec<Event>) {
        if line.is_empty() {
            let data = std::mem::take(&mut self.data);
            if !data.is_empty() {
                let id = self.id.clone();
                events.push(Event { id, data });
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = value.to_owned(),
            "data" => {
                let separator = if self.data.is_empty() { "" } else { "\n" };
                self.data.push_str(separator);
                self.data.push_str(value);
            }
            // A comment has an empty field name. Other fields are not used.
            _ => {}
        }
    }
}
