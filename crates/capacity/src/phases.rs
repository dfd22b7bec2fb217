//! What a fleet is driven through: each phase alone, from a fleet at rest.

use crate::description::{Demand, Description};
use crate::figures::{PhaseFigures, Reading, mean_held};
use crate::fleet::member::Placement;
use crate::fleet::planted::Planted;
use crate::fleet::{Fleet, Settings, Settling};
use serde::Serialize;
use std::time::Instant;
use trailproxy::units::TimeSpan;

/// A new fleet settles within this, or never.
const SETTLES_WITHIN: TimeSpan = TimeSpan::from_secs(120);
/// After that its members tell each other who is there for a while.
const QUIET_WITHIN: TimeSpan = TimeSpan::from_secs(400);
/// Budgets are divided after this.
const BUDGETS_DIVIDED: TimeSpan = TimeSpan::from_secs(5);
/// Records and purges are forgotten a little later than their settings say.
const FORGOTTEN_LATER: TimeSpan = TimeSpan::from_secs(3);
/// From the loss of members until the others are sure to know of it.
const LOSS_KNOWN: TimeSpan = TimeSpan::from_secs(8);
/// Machines of one rack.
const RACK: usize = 6;

/// One phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    Rest,
    Purges,
    Keyed,
    Budgets,
    /// Purges, keyed requests and budgets together.
    Target,
    MachineLost,
    RackLost,
    ZoneLost,
    RollingRestart,
    AllRestart,
    RegionCut,
}

impl Phase {
    pub const ALL: [Phase; 11] = [
        Phase::Rest,
        Phase::Purges,
        Phase::Keyed,
        Phase::Budgets,
        Phase::Target,
        Phase::MachineLost,
        Phase::RackLost,
        Phase::ZoneLost,
        Phase::RollingRestart,
        Phase::AllRestart,
        Phase::RegionCut,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Phase::Rest => "rest",
            Phase::Purges => "purges",
            Phase::Keyed => "keyed",
            Phase::Budgets => "budgets",
            Phase::Target => "target",
            Phase::MachineLost => "machine_lost",
            Phase::RackLost => "rack_lost",
            Phase::ZoneLost => "zone_lost",
            Phase::RollingRestart => "rolling_restart",
            Phase::AllRestart => "all_restart",
            Phase::RegionCut => "region_cut",
        }
    }

    pub fn of_name(name: &str) -> Option<Phase> {
        Phase::ALL.into_iter().find(|phase| phase.name() == name)
    }

    fn has_purges(self) -> bool {
        matches!(self, Phase::Purges | Phase::Target)
    }

    pub(crate) fn has_keyed(self) -> bool {
        matches!(self, Phase::Keyed | Phase::Target)
    }

    fn has_budgets(self) -> bool {
        matches!(self, Phase::Budgets | Phase::Target)
    }

    /// Whether figures are of a disturbance, and not of a steady load.
    fn disturbs(self) -> bool {
        self >= Phase::MachineLost
    }
}

/// How long phases run, in virtual time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lengths {
    /// Steady loads are counted for so long.
    pub counted: TimeSpan,
    /// Regions lose each other for so long.
    pub cut: TimeSpan,
    /// Machines are away for so long.
    pub away: TimeSpan,
    /// All members of a rolling restart restart within this.
    pub roll: TimeSpan,
    /// Until then a disturbance is over, or called never settled.
    pub settles: TimeSpan,
}

impl Lengths {
    pub fn full() -> Lengths {
        Lengths {
            counted: TimeSpan::from_secs(10),
            cut: TimeSpan::from_secs(120),
            away: TimeSpan::from_secs(10),
            roll: TimeSpan::from_secs(60),
            settles: TimeSpan::from_secs(120),
        }
    }

    /// As [`Lengths::full`], with regions that lose each other for an hour.
    pub fn with_hour() -> Lengths {
        Lengths {
            cut: TimeSpan::from_secs(3_600),
            ..Lengths::full()
        }
    }

    pub fn quick() -> Lengths {
        Lengths {
            counted: TimeSpan::from_secs(5),
            cut: TimeSpan::from_secs(15),
            away: TimeSpan::from_secs(8),
            roll: TimeSpan::from_secs(20),
            settles: TimeSpan::from_secs(60),
        }
    }
}

/// A description with one size of it, and how the rig runs it.
#[derive(Clone, Debug)]
pub struct Setup<'a> {
    pub description: &'a Description,
    pub members: usize,
    pub lengths: Lengths,
    pub placement: Placement,
    pub planted: Option<Planted>,
    pub seed: u64,
}

impl Setup<'_> {
    /// A fleet of that size that has settled and is at rest.
    pub fn settled_fleet(&self) -> Result<Fleet, String> {
        let settings = Settings {
            demand: self.description.demand.clone(),
            placement: self.placement,
            planted: self.planted,
        };
        let mut fleet = Fleet::new(self.description, self.members, settings, self.seed);
        fleet.introduce_all();
        if fleet.run_until_settled(SETTLES_WITHIN).settled.is_none() {
            let seconds = SETTLES_WITHIN.as_secs_f64();
            return Err(format!(
                "a fleet of {} members did not settle within {seconds} s of virtual time",
                self.members
            ));
        }
        fleet.run_until_quiet(QUIET_WITHIN);
        Ok(fleet)
    }

    /// Drives a settled fleet through a phase.
    pub fn run(&self, phase: Phase, mut fleet: Fleet) -> PhaseFigures {
        let begun = Instant::now();
        let demand = self.description.demand.clone();
        self.load(phase, &demand, &mut fleet);
        fleet.reset_counts();
        let held = mean_held(&fleet);
        let settling = self.disturb(phase, &mut fleet);
        let reading = Reading::new(&fleet);
        PhaseFigures {
            phase: phase.name(),
            members: self.members,
            sites: fleet.layout.sites(),
            regions: fleet.layout.regions,
            keyed_per_s: if phase.has_keyed() {
                demand.keyed_per_s()
            } else {
                0.0
            },
            purges_per_s: if phase.has_purges() {
                demand.purges_per_s
            } else {
                0.0
            },
            seconds: reading.seconds(),
            sent_messages_per_s: reading.sent_messages(),
            sent_kb_per_s: reading.sent_kb(),
            received_messages_per_s: reading.received_messages(),
            received_kb_per_s: reading.received_kb(),
            peak_kb_per_s: reading.peak_kb(),
            events_per_s: reading.events(),
            kinds: reading.kinds(),
            state: reading.state(),
            state_growth: mean_held(&fleet) - held,
            purges: phase.has_purges().then(|| reading.purges()),
            keyed: phase.has_keyed().then(|| reading.keyed()),
            budget_overruns: phase.has_budgets().then_some(fleet.budget_overruns),
            agreed_after_s: settling.agreed.map(TimeSpan::as_secs_f64),
            settled_after_s: settling.settled.map(TimeSpan::as_secs_f64),
            never_settled: phase.disturbs() && settling.settled.is_none(),
            timing: reading.timing(begun.elapsed().as_secs_f64()),
        }
    }

    /// Starts the load of a phase and runs until what is held of it is steady.
    fn load(&self, phase: Phase, demand: &Demand, fleet: &mut Fleet) {
        let mut steady = TimeSpan::ZERO;
        if phase.has_budgets() {
            fleet.start_budgets();
            steady = steady.max(BUDGETS_DIVIDED);
        }
        if phase.has_purges() {
            fleet.set_purge_rate(demand.purges_per_s);
            steady = steady.max(demand.purges_last + FORGOTTEN_LATER);
        }
        if phase.has_keyed() {
            fleet.set_keyed_rate(demand.keyed_per_s());
            steady = steady.max(demand.keep + FORGOTTEN_LATER);
        }
        fleet.run(steady);
    }

    /// What happens while it is counted; for a disturbance, how long after its end all was settled.
    fn disturb(&self, phase: Phase, fleet: &mut Fleet) -> Settling {
        match phase {
            Phase::Rest | Phase::Purges | Phase::Keyed | Phase::Budgets | Phase::Target => {
                fleet.run(self.lengths.counted);
                return Settling::default();
            }
            Phase::MachineLost => self.lose(fleet, |_, member| member == 1),
            Phase::RackLost => self.lose_rack(fleet),
            Phase::ZoneLost => self.lose(fleet, |fleet, member| {
                fleet.layout.members[member].zone == 0
            }),
            Phase::RollingRestart => self.roll(fleet),
            Phase::AllRestart => restart_all(fleet),
            Phase::RegionCut => {
                fleet.cut_regions();
                fleet.run(self.lengths.cut);
                fleet.heal();
            }
        }
        fleet.run_until_settled(self.lengths.settles)
    }

    fn lose_rack(&self, fleet: &mut Fleet) {
        let site = fleet.layout.largest_site();
        let members = fleet.layout.members.iter().enumerate();
        let of_site = members
            .filter(|(_, of)| of.site == site)
            .map(|(nth, _)| nth);
        let rack: Vec<usize> = of_site.take(RACK).collect();
        self.lose(fleet, |_, member| rack.contains(&member));
    }

    /// Members are lost at once, and start again after a while.
    fn lose(&self, fleet: &mut Fleet, which: impl Fn(&Fleet, usize) -> bool) {
        let lost: Vec<usize> = (0..self.members)
            .filter(|&member| which(fleet, member))
            .collect();
        lost.iter().for_each(|&member| fleet.kill(member));
        fleet.run(self.lengths.away.max(LOSS_KNOWN));
        lost.iter().for_each(|&member| fleet.start(member));
    }

    /// One member after another leaves and starts again.
    fn roll(&self, fleet: &mut Fleet) {
        let pause = self.lengths.roll.mul_f64(1.0 / self.members as f64);
        for member in 0..self.members {
            fleet.leave(member);
            fleet.run(pause);
            fleet.start(member);
        }
    }
}

fn restart_all(fleet: &mut Fleet) {
    let members = fleet.members.len();
    (0..members).for_each(|member| fleet.kill(member));
    (0..members).for_each(|member| fleet.start(member));
}
