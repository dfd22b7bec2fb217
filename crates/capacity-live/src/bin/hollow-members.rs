//! Many hollow members of a fleet in one process; started by the measurement, ended with its standard input.

use std::process::ExitCode;
use tokio::task::LocalSet;

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let served = runtime.and_then(|runtime| {
        let serving = trailproxy_capacity_live::worker::serve();
        let served = LocalSet::new().block_on(&runtime, serving);
        // The reader of standard input has a thread of its own, which nothing ends but the input.
        runtime.shutdown_background();
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("hollow-members: {why}");
            ExitCode::FAILURE
        }
    }
}
