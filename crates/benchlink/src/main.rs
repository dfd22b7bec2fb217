//! Runs trailproxy dispatchers for the bench: reads batches of records from standard input and writes replies to
//! standard output.

mod frame;
mod hosting;

use frame::{Malformed, ReadResult};
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

fn serve() -> ReadResult<()> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut instances = hosting::Instances::default();
    while let Some(batch) = frame::read_batch(&mut input)? {
        let reply = instances.handle_batch(&batch)?;
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|e| Malformed(format!("the reply can't be written: {e}")))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(Malformed(reason)) => {
            eprintln!("trailproxy-benchlink: {reason}");
            ExitCode::FAILURE
        }
    }
}
