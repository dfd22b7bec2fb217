//! Plays the decisions of trailproxy on the bench's wire: batches on standard input, replies on
//! standard output.

mod frame;
mod hosting;

use frame::{Malformed, Read1};
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> Read1<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut hosting = hosting::Hosting::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let reply = hosting.turn(&batch)?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| Malformed(format!("the reply can't be written: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(why)) => {
            eprintln!("trailproxy-benchlink: {why}");
            ExitCode::FAILURE
        }
    }
}
