//! One dispatcher: its process, its faults, and what is owed for how it ends.

use crate::oracle::{Oracle, Promise};
use crate::wire::heartbeat;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::io::{self, Read};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use trailproxy::units::{TimeSpan, Timestamp};
use trailproxy_fault_control::{Control, VARIABLE};
use trailproxy_standins::addresses::free_stream_address;

/// A dispatcher is ready within this.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// How often one that starts or ends is looked at.
const LOOK: Duration = Duration::from_millis(20);
/// A process that was told to end has ended within this, beside the longest deadline.
const ENDS_WITHIN: Duration = Duration::from_millis(2_500);
/// The counters in its log that must stay at zero begin so.
const OWN_CHECKS: &str = "broken_";

/// One dispatcher, over all its lives in a run.
pub struct Dispatcher {
    pub number: usize,
    pub address: SocketAddr,
    pub control: Control,
    program: PathBuf,
    environment: Vec<(&'static str, PathBuf)>,
    config_path: PathBuf,
    config: RefCell<Value>,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    /// Whether the front sends new connections here.
    pub admitted: Cell<bool>,
    pub told_to_end_at: Cell<Option<Timestamp>>,
    pub killed_at: Cell<Option<Timestamp>>,
    paused_until: Cell<Option<Timestamp>>,
    /// Whether something is being done to its process, so that nothing else is.
    pub busy: Cell<bool>,
    longest_deadline: Duration,
    oracle: Rc<Oracle>,
}

/// Where a run has its files and programs.
#[derive(Clone, Debug)]
pub struct Place {
    pub program: PathBuf,
    /// The shim to preload; `None`: no system call fails and no clock is wrong.
    pub shim: Option<PathBuf>,
    pub folder: PathBuf,
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Dispatcher {
    pub fn new(
        number: usize,
        place: &Place,
        mut config: Value,
        longest_deadline: Duration,
        oracle: Rc<Oracle>,
    ) -> io::Result<Dispatcher> {
        let address = free_stream_address()?;
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(address.to_string());
        let page = place.folder.join(format!("n{number}.faults"));
        let control = Control::create(&page)?;
        let mut environment = vec![(VARIABLE, page), ("RELAY_TRACE", "1".into())];
        if let Some(shim) = &place.shim {
            environment.push(("LD_PRELOAD", shim.clone()));
        }
        Ok(Dispatcher {
            number,
            address,
            control,
            program: place.program.clone(),
            environment,
            config_path: place.folder.join(format!("n{number}.json")),
            config: RefCell::new(config),
            log: place.folder.join(format!("n{number}.log")),
            child: RefCell::new(None),
            admitted: Cell::new(false),
            told_to_end_at: Cell::new(None),
            killed_at: Cell::new(None),
            paused_until: Cell::new(None),
            busy: Cell::new(false),
            longest_deadline,
            oracle,
        })
    }

    /// Changes what its configuration says from now on.
    pub fn change(&self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config.borrow_mut());
    }

    /// Writes the configuration, with what discovery has told by now.
    pub fn write_config(&self, known: &str) -> io::Result<String> {
        let mut config = self.config.borrow_mut();
        config["known"] = serde_json::from_str(known).map_err(io::Error::other)?;
        let text = config.to_string();
        std::fs::write(&self.config_path, &text)?;
        Ok(text)
    }

    /// Writes only the first half of it.
    pub fn write_half(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.config_path, &text[..text.len() / 2])
    }

    /// Starts it, and waits until it is ready.
    pub async fn start(&self, known: &str) -> io::Result<()> {
        self.write_config(known)?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.program);
        command
            .env("RELAY_CONFIG", &self.config_path)
            .envs(self.environment.iter().map(|(name, value)| (name, value)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: one system call between fork and exec, which allocates nothing.
        unsafe { command.pre_exec(end_with_the_parent) };
        let child = command.spawn()?;
        *self.child.borrow_mut() = Some(child);
        let begun = Instant::now();
        while !self.is_ready().await {
            if self.status().is_some() {
                self.breach(Promise::NoCrash, "it ended during its start");
                return Ok(());
            }
            if begun.elapsed() > READY_WITHIN {
                self.breach(Promise::InTime, "it was not ready within ten seconds");
                return Ok(());
            }
            sleep(LOOK).await;
        }
        self.told_to_end_at.set(None);
        self.killed_at.set(None);
        self.admitted.set(true);
        Ok(())
    }

    /// Whether it answers a heartbeat.
    async fn is_ready(&self) -> bool {
        let asked = async {
            let mut stream = TcpStream::connect(self.address).await?;
            stream.write_all(&heartbeat(1)).await?;
            let mut answer = [0; 64];
            stream.read(&mut answer).await
        };
        let answer = timeout(Duration::from_millis(500), asked).await;
        matches!(answer, Ok(Ok(size)) if size > 0)
    }

    fn status(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        child.as_mut()?.try_wait().ok().flatten()
    }

    fn breach(&self, promise: Promise, what: &str) {
        let what = format!("dispatcher {}: {what}", self.number);
        self.oracle.breach(promise, what);
    }

    /// Whether it runs; one that has ended by itself is a breach.
    pub fn check_runs(&self) {
        if self.busy.get() {
            return;
        }
        if let Some(status) = self.status() {
            self.breach(Promise::NoCrash, &format!("it ended by itself: {status}"));
            self.admitted.set(false);
            self.killed_at.set(Some(self.oracle.now()));
            self.child.take();
        }
    }

    pub fn signal(&self, signal: i32) {
        let child = self.child.borrow();
        let Some(id) = child.as_ref().map(Child::id) else {
            return;
        };
        // SAFETY: a signal to a child of this process that has not been waited for.
        unsafe { libc::kill(id as i32, signal) };
    }

    /// Tells it to end, and waits until it has; the front sends nobody new shortly after.
    pub async fn stop(&self, front_notices: Duration) {
        self.told_to_end_at.set(Some(self.oracle.now()));
        self.signal(libc::SIGTERM);
        sleep(front_notices).await;
        self.admitted.set(false);
        let begun = Instant::now();
        let within = self.longest_deadline + ENDS_WITHIN;
        loop {
            if let Some(status) = self.status() {
                if status.code() != Some(0) {
                    self.breach(
                        Promise::NoCrash,
                        &format!("told to end, it ended with {status}"),
                    );
                }
                break;
            }
            if begun.elapsed() > within {
                self.breach(Promise::InTime, "told to end, it did not");
                self.kill();
                break;
            }
            sleep(LOOK).await;
        }
        self.child.take();
    }

    /// Ends it without a word.
    pub fn kill(&self) {
        self.killed_at.set(Some(self.oracle.now()));
        self.admitted.set(false);
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops it for a while.
    pub async fn pause(&self, lasts: Duration) {
        let until = self.oracle.now() + TimeSpan(lasts.as_micros() as u64);
        self.paused_until.set(Some(until));
        self.admitted.set(false);
        self.signal(libc::SIGSTOP);
        sleep(lasts).await;
        self.signal(libc::SIGCONT);
        self.admitted.set(true);
    }

    /// For how long it is stopped still.
    pub fn pause_left(&self) -> Duration {
        let until = self.paused_until.get();
        let left = until.map_or(TimeSpan::ZERO, |until| until.since(self.oracle.now()));
        Duration::from_micros(left.0)
    }

    /// Whether it was stopped at some time since, so that it could not answer in time.
    pub fn was_paused_since(&self, at: Timestamp) -> bool {
        let longest = TimeSpan(self.longest_deadline.as_micros() as u64);
        self.paused_until
            .get()
            .is_some_and(|until| until + longest > at)
    }

    /// Reads its log for panics and for broken invariants that it counted itself.
    pub fn check_log(&self) {
        let mut text = String::new();
        let read = std::fs::File::open(&self.log).and_then(|mut log| log.read_to_string(&mut text));
        if read.is_err() {
            return;
        }
        for line in text.lines().filter(|line| line.contains("panicked")) {
            self.breach(Promise::NoCrash, line);
        }
        let counted = text.lines().rfind(|line| line.contains(OWN_CHECKS));
        if let Some(line) = counted {
            let words = line.split([' ', ',']);
            let broken: Vec<&str> = words.filter(|word| word.starts_with(OWN_CHECKS)).collect();
            self.breach(Promise::OwnCheck, &broken.join(" "));
        }
    }
}

/// Nothing that a run has started outlives it, however it ends.
fn end_with_the_parent() -> io::Result<()> {
    // SAFETY: it takes a signal and nothing else.
    match unsafe { libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// Makes a folder of its own for a run.
pub fn fresh_folder(parent: &Path, seed: u64) -> io::Result<PathBuf> {
    let folder = parent.join(format!("soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
