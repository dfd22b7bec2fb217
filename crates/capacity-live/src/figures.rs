//! What a run measured, as it is written to `live.json`.

use crate::cost::MessageCost;
use crate::slope::Slope;
use crate::usage::Usage;
use serde::{Deserialize, Serialize};
use std::fmt;

/// For control, a dispatcher of the full fleet may use this much of one core, memory and bytes a second.
pub const MOST_PROCESSOR_SHARE: f64 = 0.021;
pub const MOST_RESIDENT_KB: u64 = 32 << 10;
pub const MOST_BYTES_PER_S: f64 = 11.0 * 1024.0;

/// All figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LiveFigures {
    /// Real dispatchers among hollow members, at rest, by size of the fleet.
    pub hollow: Vec<HollowStep>,
    /// Real dispatchers at rest: many with peers, and a few without.
    pub processes: Vec<ProcessesAtRest>,
    /// Some real dispatchers under load, step by step.
    pub loads: Vec<LoadStep>,
    /// Where the time of one message goes, by size of the fleet.
    pub costs: Vec<MessageCost>,
    pub slopes: Vec<Slope>,
}

/// One process over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessFigures {
    pub name: String,
    /// Parts of one core, in user and in system mode.
    pub user_share: f64,
    pub system_share: f64,
    /// At the end of the window.
    pub resident_kb: u64,
    pub descriptors: usize,
    /// Messages and bytes a second through its datagram socket, where they were counted.
    pub wire: Option<WireFigures>,
}

/// Messages and bytes a second of one dispatcher, with the members that count them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WireFigures {
    pub messages_in_per_s: f64,
    pub messages_out_per_s: f64,
    pub bytes_in_per_s: f64,
    pub bytes_out_per_s: f64,
}

impl WireFigures {
    /// Both ways together.
    pub fn messages_per_s(&self) -> f64 {
        self.messages_in_per_s + self.messages_out_per_s
    }

    /// Both ways together.
    pub fn bytes_per_s(&self) -> f64 {
        self.bytes_in_per_s + self.bytes_out_per_s
    }
}

impl ProcessFigures {
    /// What a process used between two readings.
    pub fn between(name: &str, before: Usage, after: Usage, seconds: f64) -> ProcessFigures {
        ProcessFigures {
            name: name.to_owned(),
            user_share: (after.user_s - before.user_s) / seconds,
            system_share: (after.system_s - before.system_s) / seconds,
            resident_kb: after.resident_kb,
            descriptors: after.descriptors,
            wire: None,
        }
    }

    /// Part of one core.
    pub fn processor_share(&self) -> f64 {
        self.user_share + self.system_share
    }
}

/// Mean, least and most over several processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub mean: f64,
    pub least: f64,
    pub most: f64,
}

impl Spread {
    /// Of some values; all zero where there are none.
    pub fn of(values: impl Iterator<Item = f64>) -> Spread {
        let values: Vec<f64> = values.collect();
        if values.is_empty() {
            return Spread::default();
        }
        Spread {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            least: values.iter().copied().fold(f64::INFINITY, f64::min),
            most: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        }
    }
}

/// Real dispatchers in a fleet of one size, at rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HollowStep {
    pub members: usize,
    pub real: usize,
    pub workers: usize,
    pub seconds: f64,
    /// How long it took until each real one counted all others and lacked nothing; `None`: it did not come to that.
    pub settled_after_s: Option<f64>,
    /// The least number of others that a real one counted as alive, at both ends of the window.
    pub least_alive: usize,
    /// The least that a hollow one counted, at both ends.
    pub least_alive_hollow: usize,
    /// Real ones that lacked nothing at the end.
    pub whole: usize,
    /// What the hollow members' processes used of a core, all together.
    pub workers_share: f64,
    pub load_average: f64,
    pub processes: Vec<ProcessFigures>,
}

/// Real dispatchers only, at rest.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProcessesAtRest {
    /// Whether they know of each other.
    pub peers: bool,
    pub seconds: f64,
    pub settled_after_s: Option<f64>,
    pub least_alive: usize,
    pub whole: usize,
    pub load_average: f64,
    pub processes: Vec<ProcessFigures>,
}

/// What is stepped under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadKind {
    /// Requests without a key.
    Plain,
    /// Requests with a key of their own each.
    Keyed,
    /// Purges of groups, told by the journal.
    Purges,
}

impl LoadKind {
    /// The word for tables.
    pub fn word(self) -> &'static str {
        match self {
            LoadKind::Plain => "plain requests",
            LoadKind::Keyed => "keyed requests",
            LoadKind::Purges => "purges",
        }
    }
}

/// One rate of one kind, to each of the loaded dispatchers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadStep {
    pub kind: LoadKind,
    pub asked_per_s: f64,
    /// What was done in a second for each dispatcher, as its client counted it.
    pub done_per_s: f64,
    /// Requests that were not answered well.
    pub failed: u64,
    pub seconds: f64,
    pub load_average: f64,
    pub processes: Vec<ProcessFigures>,
}

/// The table for standard output.
impl fmt::Display for LiveFigures {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if !self.hollow.is_empty() {
            writeln!(
                f,
                "real dispatchers among hollow members, at rest (mean, most)"
            )?;
            writeln!(
                f,
                "members  core %        RSS MB        messages/s    KB/s          fds  settled s  whole  load"
            )?;
        }
        for step in &self.hollow {
            writeln!(f, "{}", hollow_line(step))?;
        }
        for processes in &self.processes {
            writeln!(f, "{}", processes_line(processes))?;
        }
        for step in &self.loads {
            writeln!(f, "{}", load_line(step))?;
        }
        for cost in &self.costs {
            writeln!(f, "{}", cost_line(cost))?;
        }
        for slope in &self.slopes {
            writeln!(f, "{}", slope_line(slope))?;
        }
        Ok(())
    }
}

fn share(processes: &[ProcessFigures]) -> Spread {
    Spread::of(processes.iter().map(|of| of.processor_share() * 100.0))
}

fn resident_mb(processes: &[ProcessFigures]) -> Spread {
    Spread::of(processes.iter().map(|of| of.resident_kb as f64 / 1024.0))
}

fn settled(after: Option<f64>) -> String {
    after.map_or("never".into(), |seconds| format!("{seconds:.0}"))
}

fn pair(of: Spread, digits: usize) -> String {
    format!("{:.digits$} {:.digits$}", of.mean, of.most)
}

fn hollow_line(step: &HollowStep) -> String {
    let wires = || step.processes.iter().filter_map(|of| of.wire);
    let messages = Spread::of(wires().map(|wire| wire.messages_per_s()));
    let kb = Spread::of(wires().map(|wire| wire.bytes_per_s() / 1024.0));
    let descriptors = Spread::of(step.processes.iter().map(|of| of.descriptors as f64));
    format!(
        "{:7}  {:12}  {:12}  {:12}  {:12}  {:3}  {:9}  {:2}/{:2}  {:.1}",
        step.members,
        pair(share(&step.processes), 2),
        pair(resident_mb(&step.processes), 1),
        pair(messages, 0),
        pair(kb, 1),
        descriptors.most,
        settled(step.settled_after_s),
        step.whole,
        step.real,
        step.load_average,
    )
}

fn processes_line(of: &ProcessesAtRest) -> String {
    let descriptors = Spread::of(of.processes.iter().map(|of| of.descriptors as f64));
    format!(
        "{} real processes, peers {}, at rest for {:.0} s: core % {}, RSS MB {}, fds {}, settled s {}, whole {}, least alive {}, load {:.1}",
        of.processes.len(),
        if of.peers { "on" } else { "off" },
        of.seconds,
        pair(share(&of.processes), 2),
        pair(resident_mb(&of.processes), 1),
        descriptors.most,
        settled(of.settled_after_s),
        of.whole,
        of.least_alive,
        of.load_average,
    )
}

fn load_line(step: &LoadStep) -> String {
    format!(
        "{} processes, {:.0} {}/s each: done/s {:.1}, failed {}, core % {}, RSS MB {}, load {:.1}",
        step.processes.len(),
        step.asked_per_s,
        step.kind.word(),
        step.done_per_s,
        step.failed,
        pair(share(&step.processes), 2),
        pair(resident_mb(&step.processes), 1),
        step.load_average,
    )
}

fn cost_line(cost: &MessageCost) -> String {
    format!(
        "one message at {} members, us: heard {:.1}, advance {:.1}, next {:.1}, encode {:.1}, decode {:.1}, sum {:.1}, \
         send {:.1}, receive {:.1}; a change of one member {:.1}; {} messages, {} advances in the window",
        cost.members,
        cost.heard_us,
        cost.advance_us,
        cost.next_us,
        cost.encode_us,
        cost.decode_us,
        cost.sum_us,
        cost.send_us,
        cost.receive_us,
        cost.member_change_us,
        cost.messages,
        cost.advances,
    )
}

fn slope_line(slope: &Slope) -> String {
    format!(
        "{} by {}: {:.4} ({:.4} to {:.4} at 95%), {:.4} at zero, {} points",
        slope.of, slope.by, slope.slope, slope.least, slope.most, slope.intercept, slope.points
    )
}
