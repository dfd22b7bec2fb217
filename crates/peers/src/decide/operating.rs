//! Requests from the operator's command line, and messages of other subsystems.

use super::*;

impl Peers {
    /// Handles a request from the command line; `false`: the message is none. It is answered in
    /// every state, and its sender does not become a member.
    pub fn on_operator_request(
        &mut self,
        now: Timestamp,
        address: Address,
        message: &Message,
    ) -> bool {
        let inquiry_id = match message.parts[..] {
            [MessagePart::StatusRequest(inquiry_id)] => inquiry_id,
            [MessagePart::Leave(inquiry_id, leaves)] => {
                if leaves {
                    self.leave(now);
                } else {
                    self.join(now);
                }
                inquiry_id
            }
            _ => return false,
        };
        let text = self.status_text(now);
        self.send_operator_reply(now, address, inquiry_id, text);
        true
    }

    /// Sends the answer to a request from the command line.
    pub fn send_operator_reply(
        &mut self,
        now: Timestamp,
        address: Address,
        inquiry_id: InquiryId,
        text: String,
    ) {
        let message = self.message(now, vec![MessagePart::OperatorReply(inquiry_id, text)]);
        self.actions.push(Action::Send(address, message));
    }

    /// Leaves the fleet in order.
    pub fn leave(&mut self, now: Timestamp) {
        if !self.is_silent() {
            self.members.leave();
            self.run_member_actions(now);
        }
    }

    /// Joins the fleet again after leaving; the state is compared as after a pause.
    pub fn join(&mut self, now: Timestamp) {
        if self.state == PeerState::Left {
            self.members.join();
            self.members.on_pause_ended(now);
            self.resync_all(now, ResyncReason::New);
            self.run_member_actions(now);
        }
    }

    /// The status as text: one line for this member, and one for each member that is not well.
    pub fn status_text(&self, now: Timestamp) -> String {
        let (mut alive, mut rest) = (0, Vec::new());
        for (id, member) in self.members.all() {
            let update = member.update;
            if update.status == MemberStatus::Alive && !member.one_way {
                alive += 1;
            } else if rest.len() < 16 {
                let [a, b, c, d] = update.address.ip;
                let how = if member.one_way {
                    "reached by others only".into()
                } else {
                    format!("{:?}", update.status)
                };
                rest.push(format!(
                    "{:016x} at {a}.{b}.{c}.{d}:{}: {how} for {:.1} s",
                    id.0,
                    update.address.port,
                    now.since(member.since).as_secs_f64()
                ));
            }
        }
        replica_view!(self, view);
        let mut text = format!(
            "{}: alive={alive} not_well={} lacking={} records={} commons={} place={} {:?}",
            self.state.as_str(),
            self.members.all().count() - alive,
            self.sync.out_of_sync_count(&view),
            self.facts.record_count(),
            self.facts.common_count(),
            self.journal_position,
            self.counts
        );
        if let Some(relays) = &self.relays {
            let ((groups, proving), (logged, elsewhere)) =
                (relays.proving_groups(), relays.entry_counts());
            let partners = relays.partners();
            text.push_str(&format!(
                "\nzone: groups={groups} proving={proving} partners={partners} logged={logged} elsewhere={elsewhere}"
            ));
        }
        for line in rest {
            text.push('\n');
            text.push_str(&line);
        }
        text
    }

    /// Sends a message of a subsystem to a member. Like any message it may be lost; it is also lost
    /// if the member is not known.
    pub fn send_to_subsystem(&mut self, now: Timestamp, to: PeerId, of: u8, bytes: Vec<u8>) {
        if !self.is_silent() {
            self.send_to(now, to, vec![MessagePart::Subsystem(of, bytes)]);
        }
    }
}
