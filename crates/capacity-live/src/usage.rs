//! What the operating system counts of a process: processor time, memory and descriptors.

use serde::{Deserialize, Serialize};
use std::io;

/// Clock ticks of `/proc/PID/stat` in a second, as Linux has them on all usual machines.
const TICKS_PER_S: f64 = 100.0;
/// Places of user and system time in `/proc/PID/stat`, counted behind the name in brackets.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;

/// What one process used from its start until it was read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub user_s: f64,
    pub system_s: f64,
    pub resident_kb: u64,
    pub descriptors: usize,
}

impl Usage {
    /// Reads what the process of that id used so far.
    pub fn of(id: u32) -> io::Result<Usage> {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"))?.count();
        let times = processor_times(&stat).ok_or_else(|| unreadable(id, "stat"))?;
        let resident_kb = resident_kb(&status).ok_or_else(|| unreadable(id, "status"))?;
        Ok(Usage {
            user_s: times.0,
            system_s: times.1,
            resident_kb,
            descriptors,
        })
    }

    /// Processor time in user and system mode together.
    pub fn processor_s(&self) -> f64 {
        self.user_s + self.system_s
    }
}

fn unreadable(id: u32, file: &str) -> io::Error {
    io::Error::other(format!("/proc/{id}/{file} has another form than expected"))
}

/// User and system time in seconds. The name may hold blanks and brackets, so fields are counted behind its last bracket.
fn processor_times(stat: &str) -> Option<(f64, f64)> {
    let (_, behind_name) = stat.rsplit_once(')')?;
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let seconds = |place: usize| Some(fields.get(place)?.parse::<f64>().ok()? / TICKS_PER_S);
    Some((seconds(USER_TICKS)?, seconds(SYSTEM_TICKS)?))
}

fn resident_kb(status: &str) -> Option<u64> {
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.split_whitespace().next()?.parse().ok()
}

/// Mean number of processes that were ready to run in the last minute, on the whole machine.
pub fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first
        .and_then(|number| number.parse().ok())
        .unwrap_or(f64::NAN)
}
