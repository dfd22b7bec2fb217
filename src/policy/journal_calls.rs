//! How many calls to the journal service are open: when another one is made, and which ones are ended.
//!
//! A call whose other end has died says as little as a call that the service has not come to yet. A silent call is
//! therefore kept, and another one is made beside it; the first that speaks delivers the events. Once a call speaks
//! steadily, the younger ones are ended. The number of open calls is bounded whatever the service does, and the wait
//! before each further call grows.

use crate::units::{TimeSpan, Timestamp};

/// After this time without a byte another call is made. The service sends a comment every second.
const FIRST_SILENCE: TimeSpan = TimeSpan::from_millis(2_200);
/// How much longer the wait before each further call is than the one before.
const SILENCE_GROWTH: f64 = 1.5;
/// The longest wait before a further call.
const MAX_SILENCE: TimeSpan = TimeSpan::from_millis(4_400);
/// The longest wait before a further call if one has spoken and fallen silent: dispatchers count as informed of an event
/// 4 s after that.
const MAX_SILENCE_AFTER_SPEECH: TimeSpan = TimeSpan::from_millis(3_000);
/// A wait before a further call is longer by up to this part of it, by chance, so that a fleet is not in step.
const SILENCE_SPREAD: f64 = 0.2;
/// An event counts as told this long after it came into the service, so a call may be this late.
const TOLD_WITHIN: TimeSpan = TimeSpan::from_secs(7);
/// A call that has spoken for this long without a pause speaks steadily: shorter than [`FIRST_SILENCE`], so that a
/// service that answers in order has not come to the next call yet.
const STEADY_SPEECH: TimeSpan = TimeSpan::from_millis(1_500);
/// A call that stays silent for this long is ended.
const CALL_LIFETIME: TimeSpan = TimeSpan::from_secs(60);
/// The number of calls that are open at once. All but the oldest are replaced in turn, and each has [`TOLD_WITHIN`].
pub const MAX_CALLS: usize = 4;

/// The first wait after a failed call. Each further failure makes the wait half as long again, up to
/// [`MAX_RETRY_INTERVAL`]: a service that comes back cannot bear a fleet that calls it at the same time, and a longer wait
/// would delay events after its return.
const MIN_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
const MAX_RETRY_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// How much longer each wait after a failed call is than the one before.
const RETRY_GROWTH: f64 = 1.5;
/// A wait after a failed call is shorter or longer by up to this part of it, by chance.
const RETRY_SPREAD: f64 = 0.25;

/// A call. A call that was made later has a higher id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// What is to be done with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order<Address> {
    /// Call the service at this address, and ask for the events after the last position received.
    Open {
        id: CallId,
        address: Address,
        /// Whether a call to this address is open already.
        is_further: bool,
    },
    /// End this call.
    End { id: CallId, reason: EndReason },
}

/// Why a call is ended from this side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// Another call speaks steadily.
    Overtaken,
    /// The call has been silent, and there are as many calls as there may be, or it was silent for too long.
    Silent,
    /// The configuration names no journal service any more.
    NoService,
}

/// An open call.
#[derive(Clone, Copy, Debug)]
struct Call<Address> {
    id: CallId,
    address: Address,
    /// When the last byte of the stream of events arrived; before the first one, when the call was made.
    active_at: Timestamp,
    has_spoken: bool,
    /// Whether it went on after a silence in the middle, so that such a silence doesn't mean that it is dead.
    has_resumed: bool,
    /// The end of the first line since the last pause.
    speaking_since: Option<Timestamp>,
}

impl<Address> Call<Address> {
    fn is_speaking(&self, now: Timestamp) -> bool {
        self.has_spoken && now.since(self.active_at) < FIRST_SILENCE
    }

    /// How long the call has spoken without a pause.
    fn speech(&self, now: Timestamp) -> TimeSpan {
        match self.speaking_since {
            Some(since) if self.is_speaking(now) => self.active_at.since(since),
            _ => TimeSpan::ZERO,
        }
    }

    /// Whether the service may not have come to this call yet.
    fn is_pending(&self, now: Timestamp) -> bool {
        !self.has_spoken && now.since(self.active_at) < TOLD_WITHIN
    }
}

/// The calls to the journal service.
pub struct JournalCalls<Address> {
    /// Where the service is by the configuration in force.
    address: Option<Address>,
    /// In the order in which they were made. Calls to a former address are kept until one to the present address speaks.
    calls: Vec<Call<Address>>,
    next_id: u64,
    /// When the last call to the present address was made.
    opened_at: Timestamp,
    /// The time for the next call after a failed one.
    retry_at: Option<Timestamp>,
    /// The wait after the next failed call, without its random part.
    retry_interval: TimeSpan,
    /// The wait for a silent service before the next call, without its random part.
    silence: TimeSpan,
    /// The random part of that wait.
    silence_factor: f64,
    rng: fastrand::Rng,
}

impl<Address: Copy + PartialEq> JournalCalls<Address> {
    /// No calls yet to the service at `address`, if there is one.
    pub fn new(address: Option<Address>, seed: u64) -> JournalCalls<Address> {
        JournalCalls {
            address,
            calls: Vec::new(),
            next_id: 0,
            opened_at: Timestamp::default(),
            retry_at: None,
            retry_interval: MIN_RETRY_INTERVAL,
            silence: FIRST_SILENCE,
            silence_factor: 1.0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Applies a new configuration. Calls that are open go on: those to the same address because nothing has changed for
    /// them, those to another one until the new service speaks.
    pub fn set_address(&mut self, address: Option<Address>) {
        self.retry_interval = MIN_RETRY_INTERVAL;
        self.silence = FIRST_SILENCE;
        if self.address != address {
            self.address = address;
            self.opened_at = Timestamp::default();
            self.retry_at = None;
        }
    }

    /// Bytes of the stream of events have arrived on a call, and they end a line if `line_ended`.
    pub fn on_bytes(&mut self, now: Timestamp, id: CallId, line_ended: bool) {
        let address = self.address;
        let Some(call) = self.calls.iter_mut().find(|call| call.id == id) else {
            return;
        };
        if now.since(call.active_at) >= FIRST_SILENCE {
            call.speaking_since = None;
            call.has_resumed |= call.has_spoken;
        }
        call.active_at = now;
        if line_ended {
            call.has_spoken = true;
            call.speaking_since.get_or_insert(now);
        }
        if Some(call.address) != address {
            return;
        }
        let speech = call.speech(now);
        let trusted_after = if call.has_resumed {
            TOLD_WITHIN
        } else {
            STEADY_SPEECH
        };
        if speech >= STEADY_SPEECH {
            self.retry_interval = MIN_RETRY_INTERVAL;
        }
        if speech >= trusted_after {
            self.silence = FIRST_SILENCE;
        }
    }

    /// A call has failed, or the service has ended it.
    pub fn on_ended(&mut self, now: Timestamp, id: CallId) {
        let Some(index) = self.calls.iter().position(|call| call.id == id) else {
            return;
        };
        let ended = self.calls.remove(index);
        if Some(ended.address) != self.address {
            return;
        }
        // A service that turns a further call away may still come to one that it has.
        let is_awaited = |call: &Call<Address>| {
            call.is_speaking(now) || (!ended.has_spoken && call.is_pending(now))
        };
        if self.present_calls().any(is_awaited) {
            return;
        }
        let factor = 1.0 - RETRY_SPREAD + 2.0 * RETRY_SPREAD * self.rng.f64();
        self.retry_at = Some(now + self.retry_interval.mul_f64(factor));
        self.retry_interval = self
            .retry_interval
            .mul_f64(RETRY_GROWTH)
            .min(MAX_RETRY_INTERVAL);
    }

    /// When [`JournalCalls::due_orders`] is to be asked next, unless something happens before. What has arrived by then
    /// has to be reported first.
    pub fn next_due(&self, now: Timestamp) -> Option<Timestamp> {
        let ends = self.calls.iter().map(|call| self.end_of(call, now).0);
        ends.chain(self.next_open(now)).min()
    }

    /// Returns what is to be done now.
    pub fn due_orders(&mut self, now: Timestamp) -> Vec<Order<Address>> {
        let mut orders = Vec::new();
        for call in self.calls.clone() {
            let (at, reason) = self.end_of(&call, now);
            if at <= now {
                orders.push(self.end(call.id, reason));
            }
        }
        if self.next_open(now).is_some_and(|at| at <= now) {
            self.open(now, &mut orders);
        }
        orders
    }

    fn present_calls(&self) -> impl Iterator<Item = &Call<Address>> {
        let address = self.address;
        self.calls
            .iter()
            .filter(move |call| Some(call.address) == address)
    }

    /// When and why a call is to be ended, unless bytes arrive before.
    fn end_of(&self, call: &Call<Address>, now: Timestamp) -> (Timestamp, EndReason) {
        if self.address.is_none() {
            return (now, EndReason::NoService);
        }
        let is_steady = |call: &&Call<Address>| call.speech(now) >= STEADY_SPEECH;
        let is_former = Some(call.address) != self.address;
        match self.present_calls().find(is_steady) {
            Some(steady) if is_former || call.id > steady.id => (now, EndReason::Overtaken),
            // The service came to the older call first, so that one is likely to stay.
            Some(steady) if call.id < steady.id => {
                (call.active_at + TOLD_WITHIN, EndReason::Overtaken)
            }
            _ => (call.active_at + CALL_LIFETIME, EndReason::Silent),
        }
    }

    /// When the next call is to be made, unless something happens before.
    fn next_open(&self, now: Timestamp) -> Option<Timestamp> {
        self.address?;
        let Some(active_at) = self.present_calls().map(|call| call.active_at).max() else {
            return Some(self.retry_at.unwrap_or(now));
        };
        let has_spoken = self.present_calls().any(|call| call.has_spoken);
        let longest = if has_spoken {
            MAX_SILENCE_AFTER_SPEECH
        } else {
            MAX_SILENCE
        };
        let wait = self.silence.min(longest).mul_f64(self.silence_factor);
        let at = active_at.max(self.opened_at) + wait;
        let is_speaking = self.present_calls().any(|call| call.is_speaking(now));
        let retry_at = self.retry_at.filter(|_| !is_speaking);
        let at = retry_at.map_or(at, |retry_at| retry_at.min(at));
        Some(self.replaceable().map_or(at, |(_, from)| at.max(from)))
    }

    /// The call that gives way to the next one, and from when on it does, if there are as many as there may be. The call
    /// that has been silent for longest is kept: a service that is very late comes to it first.
    fn replaceable(&self) -> Option<(CallId, Timestamp)> {
        if self.calls.len() < MAX_CALLS {
            return None;
        }
        let mut former = self.calls.iter();
        if let Some(call) = former.find(|call| Some(call.address) != self.address) {
            return Some((call.id, Timestamp::default()));
        }
        let mut by_silence: Vec<&Call<Address>> = self.calls.iter().collect();
        by_silence.sort_by_key(|call| call.active_at);
        let call = by_silence[1];
        Some((call.id, call.active_at + TOLD_WITHIN))
    }

    fn open(&mut self, now: Timestamp, orders: &mut Vec<Order<Address>>) {
        let Some(address) = self.address else {
            return;
        };
        let is_further = self.present_calls().next().is_some();
        if is_further {
            self.silence = self.silence.mul_f64(SILENCE_GROWTH).min(MAX_SILENCE);
        }
        if let Some((id, _)) = self.replaceable() {
            orders.push(self.end(id, EndReason::Silent));
        }
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(Call {
            id,
            address,
            active_at: now,
            has_spoken: false,
            has_resumed: false,
            speaking_since: None,
        });
        self.opened_at = now;
        self.retry_at = None;
        self.silence_factor = 1.0 + SILENCE_SPREAD * self.rng.f64();
        orders.push(Order::Open {
            id,
            address,
            is_further,
        });
    }

    fn end(&mut self, id: CallId, reason: EndReason) -> Order<Address> {
        self.calls.retain(|call| call.id != id);
        Order::End { id, reason }
    }
}
