//! What must hold: asserted in debug builds, counted and logged in release builds. Beside it, the
//! count of bytes held and the figures that are logged now and then.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes held in rings and queues, all connections together.
#[derive(Clone, Default)]
pub struct Held(Rc<Cell<usize>>);

impl Held {
    pub fn change(&self, before: usize, after: usize) {
        self.0.set((self.0.get() + after).saturating_sub(before));
    }

    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// The bytes of an object on their way from a host to a client, counted as held.
pub struct Parcel {
    bytes: Vec<u8>,
    held: Held,
}

impl Parcel {
    pub fn new(bytes: &[u8], held: &Held) -> Parcel {
        held.change(0, bytes.len());
        Parcel {
            bytes: bytes.to_vec(),
            held: held.clone(),
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Parcel {
    fn drop(&mut self) {
        self.held.change(self.bytes.len(), 0);
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What is counted since the start.
        #[derive(Default)]
        pub struct Counts { $($(#[$doc])* pub $name: Cell<u64>,)* }

        impl Counts {
            /// Every counter that is not zero, as `name=value` words.
            pub fn words(&self) -> String {
                let all = [$((stringify!($name), self.$name.get()),)*];
                let told = all.iter().filter(|(_, n)| *n > 0);
                told.map(|(name, n)| format!("{name}={n}")).collect::<Vec<_>>().join(" ")
            }
        }
    };
}

counters! {
    accesses,
    done,
    rejected,
    aborted,
    left,
    hand_offs,
    withdrawn,
    timed_out,
    lost,
    not_sent,
    no_connection,
    late_answers,
    bad_clients,
    bad_hosts,
    bad_entries,
    dials,
    journal_calls,
    journal_events,
    journal_repeats,
    late_finals,
    clients_stalled,
    accepts_failed,
    reading_paused,
    /// From here on: what must stay zero.
    broken_two_finals,
    broken_sent_after_end,
    broken_sent_to_drained,
    broken_two_endings,
    broken_unknown_host,
    broken_same_host_id,
    broken_journal_order,
}

pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Asserts in debug builds, counts in release builds.
pub fn must(holds: bool, counter: &Cell<u64>) {
    debug_assert!(holds, "a thing that must hold does not");
    if !holds {
        count(counter);
    }
}
