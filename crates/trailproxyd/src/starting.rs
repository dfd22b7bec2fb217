//! The steps of a start. Each is retried while its failure may be temporary.
//!
//! `policy/system_errors` says which failures may be temporary, and for how long they are retried.

use crate::system_calls::errno;
use std::any::Any;
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::time::{Duration, Instant};
use trailproxy::policy::system_errors::{
    EXTERNAL_CAUSE_RETRY_PERIOD, INITIAL_STARTUP_RETRY_DELAY, MAX_STARTUP_RETRY_DELAY,
    startup_retry_period,
};
use trailproxy::units::TimeSpan;

/// Why a step failed.
#[derive(Debug)]
pub enum StepError {
    /// A system call failed; the text names the operation.
    System(String, io::Error),
    /// A file seems to be partly written.
    HalfWritten(String),
    /// The input is invalid, however often it is read.
    Invalid(String),
}

impl StepError {
    /// The message for the log.
    fn text(&self) -> String {
        match self {
            StepError::System(operation, error) => format!("{operation}: {error}"),
            StepError::HalfWritten(reason) | StepError::Invalid(reason) => reason.clone(),
        }
    }

    /// For how long a step that failed in this way is retried.
    fn retry_time(&self) -> Duration {
        let retry_time = match self {
            StepError::System(_, error) => startup_retry_period(errno(error)),
            StepError::HalfWritten(_) => EXTERNAL_CAUSE_RETRY_PERIOD,
            StepError::Invalid(_) => TimeSpan::ZERO,
        };
        Duration::from_micros(retry_time.0)
    }
}

/// The retries of one step.
struct Retries {
    started_at: Instant,
    pause: Duration,
}

impl Retries {
    fn new() -> Retries {
        Retries {
            started_at: Instant::now(),
            pause: Duration::from_micros(INITIAL_STARTUP_RETRY_DELAY.0),
        }
    }

    /// The pause before the next try, with a message for the log. The error: the step has been tried for long enough.
    fn next_pause(&mut self, error: &StepError) -> Result<(Duration, String), String> {
        let tried = self.started_at.elapsed();
        let (text, seconds) = (error.text(), tried.as_secs_f64());
        let retry_time = error.retry_time();
        if matches!(error, StepError::Invalid(_)) {
            return Err(text);
        }
        if tried >= retry_time {
            return Err(format!("{text}, tried for {seconds:.1} s"));
        }
        let pause = self.pause;
        let max_pause = Duration::from_micros(MAX_STARTUP_RETRY_DELAY.0);
        self.pause = (pause * 2).min(max_pause);
        Ok((pause, format!("{text}, tried for {seconds:.1} s so far")))
    }
}

/// Tries a step until it succeeds, without a runtime. Each failure is written to standard output.
pub fn retry<T>(mut step: impl FnMut() -> Result<T, StepError>) -> Result<T, String> {
    let mut retries = Retries::new();
    loop {
        let error = match step() {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let (pause, reason) = retries.next_pause(&error)?;
        // There is no log yet, and a failed write must not end the start.
        let _ = writeln!(io::stdout(), "trailproxyd: not started yet: {reason}");
        std::thread::sleep(pause);
    }
}

/// As `retry`, within the runtime: other tasks continue during the pauses.
pub async fn retry_async<T>(
    log_failure: impl Fn(&str),
    mut step: impl AsyncFnMut() -> Result<T, StepError>,
) -> Result<T, String> {
    let mut retries = Retries::new();
    loop {
        let error = match step().await {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let (pause, reason) = retries.next_pause(&error)?;
        log_failure(&reason);
        tokio::time::sleep(pause).await;
    }
}

/// Runs a step that panics where the system lacks descriptors, threads or memory, and turns the panic into an error
/// that may be temporary.
pub fn without_panic<T>(
    operation: &str,
    step: impl FnOnce() -> io::Result<T>,
) -> Result<T, StepError> {
    let hook = take_hook();
    set_hook(Box::new(|_| {}));
    let done = catch_unwind(AssertUnwindSafe(step));
    set_hook(hook);
    let done = done.unwrap_or_else(|panic| Err(error_of_panic(panic.as_ref())));
    done.map_err(|error| StepError::System(operation.to_owned(), error))
}

/// The error behind a panic. Libraries panic with a formatted message, a `String`, when a system call fails; the error
/// is then the last one of the system. Otherwise a lack of descriptors is assumed.
fn error_of_panic(panic: &(dyn Any + Send)) -> io::Error {
    let last = io::Error::last_os_error();
    match panic.is::<String>() && errno(&last) != 0 {
        true => last,
        false => io::Error::from_raw_os_error(libc::EMFILE),
    }
}
