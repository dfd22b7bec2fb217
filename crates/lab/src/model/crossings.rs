//! What crosses between zones, as the dispatchers' accounts and the links have it.

use super::World;
use trailproxy::units::ZoneId;

impl World<'_> {
    /// Brings one dispatcher's account up to now and takes the rises that it tells.
    pub(super) fn pass(&mut self, seat: usize) {
        let now = self.now;
        let decider = self.seats[seat].decider.as_mut();
        if let Some(zones) = decider.and_then(|decider| decider.zones()) {
            let told = zones.advance(now);
            self.crossed
                .rises
                .extend(told.into_iter().map(|rise| (now, seat, rise)));
        }
    }

    /// Takes up what a dispatcher booked, before it ends.
    pub(super) fn close_account(&mut self, seat: usize) {
        self.pass(seat);
        let decider = self.seats[seat].decider.as_mut();
        if let Some(zones) = decider.and_then(|decider| decider.zones()) {
            for (key, sum) in zones.account().totals() {
                *self.crossed.booked.entry((key.to, key.class)).or_default() += sum.kb;
            }
            let refused = zones.refused();
            self.crossed.turned_away.resize(refused.len(), 0);
            let sums = self.crossed.turned_away.iter_mut().zip(refused);
            sums.for_each(|(sum, (n, _))| *sum += n);
        }
    }

    /// Takes the bytes of the last second.
    pub(super) fn sample(&mut self) {
        let zones = 0..self.scenario.shape.zones.len();
        let crossed = zones.map(|zone| self.fleet.crossed_kb(ZoneId(zone as u16)));
        self.tally
            .moved(self.now, self.fleet.moved(), crossed.collect());
    }
}
