//! The steps of a start, each tried again while its failure may pass.
//!
//! Which failures may pass, and for how long they are waited for, is told by `policy/system_errors`.

use crate::system_calls::errno;
use std::any::Any;
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook};
use std::time::{Duration, Instant};
use trailproxy::policy::system_errors::{
    ADDRESS_IN_USE_RETRY_PERIOD, INITIAL_STARTUP_RETRY_DELAY, MAX_STARTUP_RETRY_DELAY,
    startup_retry_period,
};
use trailproxy::units::TimeSpan;

/// Why a step has not been done.
#[derive(Debug)]
pub enum StepError {
    /// A system call failed; the text says what was tried.
    System(String, io::Error),
    /// A file seems to be half written.
    HalfWritten(String),
    /// What it was told can't be followed, however often it is tried.
    Unfit(String),
}

impl StepError {
    fn text(&self) -> String {
        match self {
            StepError::System(what, error) => format!("{what}: {error}"),
            StepError::HalfWritten(why) | StepError::Unfit(why) => why.clone(),
        }
    }

    /// For how long the step is tried that fails so.
    fn tries_for(&self) -> Duration {
        let span = match self {
            StepError::System(_, error) => startup_retry_period(errno(error)),
            StepError::HalfWritten(_) => ADDRESS_IN_USE_RETRY_PERIOD,
            StepError::Unfit(_) => TimeSpan::ZERO,
        };
        Duration::from_micros(span.0)
    }
}

/// The tries of one step.
struct Tries {
    began: Instant,
    pause: Duration,
}

impl Tries {
    fn new() -> Tries {
        Tries {
            began: Instant::now(),
            pause: Duration::from_micros(INITIAL_STARTUP_RETRY_DELAY.0),
        }
    }

    /// How long to wait before the next try, with a line that says why; the error: it has lasted too long.
    fn again(&mut self, error: &StepError) -> Result<(Duration, String), String> {
        let tried = self.began.elapsed();
        let (text, seconds) = (error.text(), tried.as_secs_f64());
        let most = error.tries_for();
        if matches!(error, StepError::Unfit(_)) {
            return Err(text);
        }
        if tried >= most {
            return Err(format!("{text}, tried for {seconds:.1} s"));
        }
        let pause = self.pause;
        let longest = Duration::from_micros(MAX_STARTUP_RETRY_DELAY.0);
        self.pause = (pause * 2).min(longest);
        Ok((pause, format!("{text}, tried for {seconds:.1} s so far")))
    }
}

/// Tries a step until it is done, without a runtime. Each failure is told on standard output.
pub fn persist<T>(mut step: impl FnMut() -> Result<T, StepError>) -> Result<T, String> {
    let mut tries = Tries::new();
    loop {
        let error = match step() {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let (pause, why) = tries.again(&error)?;
        // There is no log yet, and nobody is lost if nobody reads this.
        let _ = writeln!(io::stdout(), "trailproxyd: not started yet: {why}");
        std::thread::sleep(pause);
    }
}

/// The same within the runtime, which goes on meanwhile.
pub async fn persist_awake<T>(
    tell: impl Fn(&str),
    mut step: impl AsyncFnMut() -> Result<T, StepError>,
) -> Result<T, String> {
    let mut tries = Tries::new();
    loop {
        let error = match step().await {
            Ok(done) => return Ok(done),
            Err(error) => error,
        };
        let (pause, why) = tries.again(&error)?;
        tell(&why);
        tokio::time::sleep(pause).await;
    }
}

/// Runs what panics where the system lacks descriptors, threads or memory, and takes that for a failure that may pass.
pub fn without_panic<T>(what: &str, step: impl FnOnce() -> io::Result<T>) -> Result<T, StepError> {
    let hook = take_hook();
    set_hook(Box::new(|_| {}));
    let done = catch_unwind(AssertUnwindSafe(step));
    set_hook(hook);
    let done = done.unwrap_or_else(|panic| Err(as_lack(panic.as_ref())));
    done.map_err(|error| StepError::System(what.to_owned(), error))
}

/// What a library says of itself as it panics over a failed call.
fn as_lack(panic: &(dyn Any + Send)) -> io::Error {
    let last = io::Error::last_os_error();
    match panic.is::<String>() && errno(&last) != 0 {
        true => last,
        false => io::Error::from_raw_os_error(libc::EMFILE),
    }
}
