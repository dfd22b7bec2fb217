//! Server-sent events, read piece by piece. Pure and bounded.

/// Longer events are damage: the whole list of many hundred hosts fits.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, PartialEq)]
pub struct Event {
    pub id: String,
    pub data: String,
}

#[derive(Default)]
pub struct EventParser {
    line: Vec<u8>,
    after_cr: bool,
    id: String,
    data: String,
}

#[derive(Debug, PartialEq)]
pub struct EventTooLong;

impl EventParser {
    /// Takes what came and adds the events that are whole now.
    pub fn feed(&mut self, bytes: &[u8], told: &mut Vec<Event>) -> Result<(), EventTooLong> {
        for &byte in bytes {
            let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            match byte {
                b'\n' if after_cr => {}
                b'\n' | b'\r' => {
                    let line = std::mem::take(&mut self.line);
                    self.end_line(&String::from_utf8_lossy(&line), told);
                }
                _ => self.line.push(byte),
            }
            if self.line.len() + self.data.len() > MAX_EVENT_BYTES {
                return Err(EventTooLong);
            }
        }
        Ok(())
    }

    fn end_line(&mut self, line: &str, told: &mut Vec<Event>) {
        if line.is_empty() {
            let data = std::mem::take(&mut self.data);
            if !data.is_empty() {
                let id = self.id.clone();
                told.push(Event { id, data });
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.id = value.to_owned(),
            "data" => {
                let between = if self.data.is_empty() { "" } else { "\n" };
                self.data.push_str(between);
                self.data.push_str(value);
            }
            // A comment has an empty name; others say nothing here.
            _ => {}
        }
    }
}
