//! Periodic log lines: counts, sizes and the account of traffic between zones.

use super::Dispatch;
use crate::memory::{MemoryAccount, MemoryUse};
use slog::info;
use tokio::time::Instant;

impl Dispatch {
    /// Brings the account of traffic between zones up to now.
    pub(super) fn advance_accounts(&mut self, instant: Instant) {
        let now = self.clock.timestamp(instant);
        if let (Some((accounts, ..)), Some(zones)) =
            (&mut self.accounts, &mut self.decisions.crossings.zones)
        {
            accounts.advance(zones, now, instant);
        }
    }

    /// Writes the last account before the process ends.
    pub(super) fn write_final_account(&mut self) {
        let now = self.clock.timestamp(Instant::now());
        if let (Some((accounts, ..)), Some(zones)) =
            (&mut self.accounts, &mut self.decisions.crossings.zones)
        {
            accounts.write_report(zones, now);
        }
    }

    /// Logs counts, sizes and the state of the subsystems.
    pub(super) fn report(&self) {
        let (attempts, connections, pools) = self.pools.sizes();
        let state = &self.state;
        info!(self.log, "figures"; "counts" => self.counts.summary(), "open" => state.requests.len(),
            "calls" => state.client_requests.len(), "clients" => state.clients.len(), "out" => attempts,
            "lines" => connections, "pools" => pools, "ids" => state.ids.len(), "timers" => state.deadlines.len() + state.timers.len(),
            "held" => held_bytes(&self.pools.shared.memory), "memory" => memory_figures(&self.pools.shared.memory),
            "process" => process_figures());
        if let Some(store) = &self.decisions.crossings.store {
            info!(self.log, "store counts"; "what" => store.summary());
        }
        let now = self.clock.timestamp(Instant::now());
        if let Some(peers) = &self.decisions.crossings.peers {
            info!(self.log, "peers counts"; "what" => peers.summary(now));
        }
        if let Some(budgets) = &self.decisions.crossings.budgets {
            for line in budgets
                .follower
                .show(now)
                .lines()
                .filter(|line| line.starts_with("budget"))
            {
                info!(self.log, "budgets"; "is" => line);
            }
        }
    }
}

/// The bytes that requests and answers use.
fn held_bytes(memory: &MemoryAccount) -> usize {
    memory.used(MemoryUse::Requests) + memory.used(MemoryUse::Answers)
}

/// The memory by its use, with the estimate of what is not counted.
fn memory_figures(memory: &MemoryAccount) -> String {
    let [connections, requests, answers] = [
        MemoryUse::Connections,
        MemoryUse::Requests,
        MemoryUse::Answers,
    ]
    .map(|kind| memory.used(kind));
    let overhead = memory.overhead();
    format!("connections={connections} requests={requests} answers={answers} overhead={overhead}")
}

/// Resident memory with its peak, open descriptors and processor time, as the kernel reports them.
fn process_figures() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.split_whitespace().nth(1))
            .unwrap_or("?")
            .to_owned()
    };
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |dir| dir.count());
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let ticks = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let ticks: u64 = ticks
        .skip(11)
        .take(2)
        .filter_map(|n| n.parse::<u64>().ok())
        .sum();
    let (now, peak) = (field("VmRSS:"), field("VmHWM:"));
    format!("rss_kb={now} peak_kb={peak} descriptors={descriptors} cpu_ticks={ticks}")
}
