//! A worker process: many hollow members on one thread, counted for whoever started it.
//!
//! Its order comes as one line of JSON on standard input, and each further line is a question, answered by one line on
//! standard output. It ends when its input ends, so that nothing is left behind by a parent that dies.

use crate::member::{Member, Shared, Traffic, UnixClock, run};
pub use crate::order::{Hollow, Order};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::io;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines, Stdin};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A worker that does not answer by then is taken for dead.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// A worker that is killed is gone by then.
const GONE_WITHIN: Duration = Duration::from_secs(2);

/// What a worker is asked, one line each.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    Count,
}

/// What a worker counted so far.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// In the order of [`Order::watched`].
    pub watched: Vec<Traffic>,
    pub all: Traffic,
    pub members: usize,
    /// The least number of others that one of its members counts as alive.
    pub least_alive: usize,
    /// Members that lack nothing.
    pub whole: usize,
}

impl Counts {
    /// Counts of two workers with the same order of watched addresses.
    pub fn join(mut self, other: Counts) -> Counts {
        let pairs = self.watched.iter_mut().zip(&other.watched);
        pairs.for_each(|(own, other)| own.add(*other));
        self.all.add(other.all);
        self.members += other.members;
        self.least_alive = self.least_alive.min(other.least_alive);
        self.whole += other.whole;
        self
    }
}

/// The worker's side: runs until its input ends.
pub async fn serve() -> io::Result<()> {
    let mut input = BufReader::new(tokio::io::stdin()).lines();
    let order: Order = match input.next_line().await? {
        Some(line) => serde_json::from_str(&line)?,
        None => return Ok(()),
    };
    let members: Rc<RefCell<Vec<Shared>>> = Rc::default();
    let starting = spawn_local(start(order.clone(), members.clone()));
    let answered = answer(&mut input, &order, &members).await;
    starting.abort();
    answered
}

async fn start(order: Order, members: Rc<RefCell<Vec<Shared>>>) -> io::Result<()> {
    let clock = UnixClock::start();
    let mut opened = Vec::new();
    for own in &order.own {
        opened.push(Member::open(own, &order, clock).await?);
    }
    for mut member in opened {
        member.introduce(&order.known);
        let member = Rc::new(RefCell::new(member));
        members.borrow_mut().push(member.clone());
        spawn_local(run(member));
        tokio::task::yield_now().await;
    }
    Ok(())
}

async fn answer(
    input: &mut Lines<BufReader<Stdin>>,
    order: &Order,
    members: &RefCell<Vec<Shared>>,
) -> io::Result<()> {
    let mut output = tokio::io::stdout();
    while let Some(line) = input.next_line().await? {
        let counts = match serde_json::from_str(&line)? {
            Question::Count => count(order, &members.borrow()),
        };
        let mut line = serde_json::to_string(&counts)?;
        line.push('\n');
        output.write_all(line.as_bytes()).await?;
        output.flush().await?;
    }
    Ok(())
}

fn count(order: &Order, members: &[Shared]) -> Counts {
    let mut counts = Counts {
        watched: vec![Traffic::default(); order.watched.len()],
        members: members.len(),
        least_alive: usize::MAX,
        ..Counts::default()
    };
    for member in members {
        let member = member.borrow();
        counts.all.add(member.all());
        counts.least_alive = counts.least_alive.min(member.alive());
        counts.whole += usize::from(member.whole());
        for (sum, at) in counts.watched.iter_mut().zip(&order.watched) {
            sum.add(member.watched(*at));
        }
    }
    counts
}

/// The parent's side: a running worker, ended when it is dropped.
pub struct Worker {
    child: Child,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        // It fails only where it has ended by itself.
        let _ = self.child.start_kill();
        let until = Instant::now() + GONE_WITHIN;
        while matches!(self.child.try_wait(), Ok(None)) && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl Worker {
    /// Starts a worker with its order.
    pub async fn start(program: &Path, order: &Order) -> io::Result<Worker> {
        let mut command = Command::new(program);
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let unstarted = |e: io::Error| {
            let program = program.display();
            io::Error::new(e.kind(), format!("{program} can't be started: {e}"))
        };
        let mut child = command.kill_on_drop(true).spawn().map_err(unstarted)?;
        let (input, output) = (child.stdin.take(), child.stdout.take());
        let input = input.ok_or(io::ErrorKind::BrokenPipe)?;
        let output = output.ok_or(io::ErrorKind::BrokenPipe)?;
        let output = BufReader::new(output).lines();
        let mut worker = Worker {
            child,
            input,
            output,
        };
        worker.write(&serde_json::to_string(order)?).await?;
        Ok(worker)
    }

    /// The id of its process, as long as it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// What it counted so far.
    pub async fn count(&mut self) -> io::Result<Counts> {
        self.write(&serde_json::to_string(&Question::Count)?)
            .await?;
        let line = timeout(ANSWER_WITHIN, self.output.next_line()).await??;
        let line = line.ok_or_else(|| io::Error::other("a worker of hollow members has ended"))?;
        serde_json::from_str(&line).map_err(io::Error::other)
    }

    async fn write(&mut self, line: &str) -> io::Result<()> {
        self.input.write_all(line.as_bytes()).await?;
        self.input.write_all(b"\n").await?;
        self.input.flush().await
    }
}
