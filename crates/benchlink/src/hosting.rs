//! Holds the dispatcher instances: gives each event to its instance and writes their actions into one reply.

use crate::frame::{Batch, Fields, Malformed, ReadResult, Reply};
use std::collections::BTreeMap;
use trailproxy::interface::*;
use trailproxy::logic::Dispatcher;
use trailproxy::units::*;
use trailproxy_terms::{FlatSettings, Reports, SettingsError, read_dispatcher_settings};

/// One dispatcher that the bench has started.
struct Instance {
    dispatcher: Dispatcher,
    class_count: usize,
    reports: Reports,
    has_event: bool,
}

/// All dispatcher instances, by instance number.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u16, Instance>,
}

impl Instances {
    /// Handles the records of a batch and returns the encoded reply.
    pub fn handle_batch(&mut self, batch: &Batch) -> ReadResult<Vec<u8>> {
        let now = Timestamp(batch.clock);
        let mut fields = Fields::new(&batch.records);
        let mut with_events = Vec::new();
        for i in 0..batch.count {
            let record = self.handle_record(&mut fields, now, &mut with_events);
            record.map_err(|Malformed(reason)| Malformed(format!("record {i}: {reason}")))?;
        }
        if !fields.is_empty() {
            return Err("bytes are left over behind the last record".into());
        }
        let mut reply = Reply::new();
        for number in with_events {
            let Some(instance) = self.instances.get_mut(&number) else {
                continue;
            };
            if std::mem::take(&mut instance.has_event) {
                for action in instance.dispatcher.take_actions(now) {
                    write_action(&mut reply, number, action);
                }
            }
        }
        Ok(reply.finish())
    }

    fn handle_record(
        &mut self,
        f: &mut Fields,
        now: Timestamp,
        with_events: &mut Vec<u16>,
    ) -> ReadResult<()> {
        let (code, number) = (f.u16()?, f.u16()?);
        if code == 1070 {
            let seed = f.u64()?;
            let read = read_dispatcher_settings(&FlatSettings::from_text(f.text()?));
            let (settings, reports) = read.map_err(|SettingsError(reason)| Malformed(reason))?;
            let class_count = settings.classes.len();
            let dispatcher = Dispatcher::new(Standalone, settings, seed);
            let instance = Instance {
                dispatcher,
                class_count,
                reports,
                has_event: true,
            };
            self.instances.insert(number, instance);
            with_events.push(number);
            return Ok(());
        }
        let unknown = || Malformed(format!("instance {number} was never started"));
        if code == 1050 {
            return self
                .instances
                .remove(&number)
                .map(|_| ())
                .ok_or_else(unknown);
        }
        let instance = self.instances.get_mut(&number).ok_or_else(unknown)?;
        if let Some(event) = read_event(code, f, instance)? {
            instance.dispatcher.handle_event(now, event);
        }
        if !std::mem::replace(&mut instance.has_event, true) {
            with_events.push(number);
        }
        Ok(())
    }
}

/// Reads the event of a record; `None` for records that the dispatcher does not use.
fn read_event(code: u16, f: &mut Fields, instance: &Instance) -> ReadResult<Option<Event>> {
    Ok(Some(match code {
        1000 => {
            f.u16()?;
            let n = f.u16()?;
            f.bytes(n.into())?;
            return Ok(None);
        }
        1010 => hosts(f)?,
        1020 => {
            let (host, ending) = (HostId(f.host()?), ending(f.u8()?)?);
            f.u32()?;
            let load = instance.reports.load(&values(f)?);
            Event::Probed { host, ending, load }
        }
        1030 => {
            let object = f.u64()?;
            Event::Purged {
                object: (object != 0).then_some(ObjectId(object)),
                group: GroupId(f.u16()?.into()),
                age: TimeSpan(f.u32()?.into()),
                stamp: None,
            }
        }
        1040 => {
            let (id, attempt) = (RequestId(f.u64()?), AttemptNo(f.u8()?));
            f.host()?;
            f.u32()?;
            Event::ResponseStarted { id, attempt }
        }
        1060 => arrival(f, instance.class_count)?,
        1080 => outcome(f, &instance.reports)?,
        1090 => Event::ClientGone {
            id: RequestId(f.u64()?),
        },
        1100 => Event::TimerFired {
            timer: TimerId(f.u32()?),
        },
        _ => return Err(format!("unknown event code {code}").into()),
    }))
}

fn hosts(f: &mut Fields) -> ReadResult<Event> {
    let kind = match f.u8()? {
        0 | 1 => HostListKind::Full,
        2 => HostListKind::Delta,
        3 => HostListKind::Failed,
        other => return Err(format!("unknown form {other} of a list").into()),
    };
    f.u64()?;
    let n = f.u32()?;
    let mut entries = Vec::new();
    for _ in 0..n {
        entries.push(entry(f)?);
    }
    Ok(Event::HostList { kind, entries })
}

fn entry(f: &mut Fields) -> ReadResult<HostEntry> {
    let cell = CellId(f.u16()?);
    let host = HostId(f.host()?);
    let zone = ZoneId(f.u16()?);
    let started = f.u64()?;
    let capacity = f64::from(f.f32()?);
    let state = match f.u8()? {
        0 => HostState::Gone,
        1 => HostState::Ready,
        2 => HostState::Draining,
        other => return Err(format!("unknown readiness {other} of a host").into()),
    };
    let kind = KindId(f.u8()?);
    let started = (started > 0).then_some(Timestamp(started));
    Ok(HostEntry {
        host,
        cell,
        zone,
        kind,
        started,
        stamp: started,
        capacity,
        state,
    })
}

fn arrival(f: &mut Fields, class_count: usize) -> ReadResult<Event> {
    let (id, time_left, class) = (RequestId(f.u64()?), TimeSpan(f.u32()?.into()), f.u16()?);
    if usize::from(class) >= class_count {
        return Err(format!("unknown category {class}").into());
    }
    let object = ObjectId(f.u64()?);
    let group = GroupId(f.f32()? as u32);
    let kbytes = f64::from(f.f32()?);
    f.u8()?;
    f.u16()?;
    let part = f.f32()? as u32;
    let size_kb = (kbytes.is_finite() && kbytes > 0.0).then_some(kbytes);
    Ok(Event::Arrived(Arrival {
        id,
        time_left,
        class: ClassId(class),
        object,
        group,
        part,
        size_kb,
    }))
}

fn outcome(f: &mut Fields, reports: &Reports) -> ReadResult<Event> {
    let (id, attempt) = (RequestId(f.u64()?), AttemptNo(f.u8()?));
    f.host()?;
    let ending = ending(f.u8()?)?;
    let elapsed = TimeSpan(f.u32()?.into());
    let request_closed = f.u8()? != 0;
    let note = match f.u32()? {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledByOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceMiss,
        9 => Note::NoFillSlot,
        10 => Note::OriginFailed,
        _ => Note::NotReported,
    };
    let first_byte_latency = f.u32()?;
    let first_byte_latency =
        (first_byte_latency > 0).then_some(TimeSpan(first_byte_latency.into()));
    let load = reports.load(&values(f)?);
    Ok(Event::Outcome(Outcome {
        id,
        attempt,
        ending,
        elapsed,
        request_closed,
        note,
        first_byte_latency,
        load,
        client_proven: true,
        received_kb: None,
    }))
}

fn values(f: &mut Fields) -> ReadResult<Vec<f64>> {
    let n = f.u8()?;
    (0..n).map(|_| f.f32().map(f64::from)).collect()
}

fn ending(code: u8) -> ReadResult<Ending> {
    Ok(match code {
        0 => Ending::Done,
        1 => Ending::Error,
        2 => Ending::Full,
        3 => Ending::TimedOut,
        4 => Ending::NoConnection,
        5 => Ending::ConnectionLost,
        6 => Ending::Cancelled,
        7 => Ending::NotSent,
        8 => Ending::Miss,
        other => return Err(format!("unknown outcome {other}").into()),
    })
}

/// Encodes a time span. The field is a signed 32-bit number of microseconds, so the top bit must stay clear.
fn wire_span(span: TimeSpan) -> u32 {
    span.0.clamp(1, i32::MAX as u64) as u32
}

/// Appends the record of an action.
fn write_action(reply: &mut Reply, number: u16, action: Action) {
    match action {
        Action::Attempt(Attempt { id, host, fill }) => {
            let code = if fill.is_some() { 1120 } else { 1000 };
            reply.record(code, number).u64(id.0).host(host.0).u32(0);
            if let Some(fill) = fill {
                let flags = u8::from(fill.join)
                    | u8::from(fill.only_if_cached) << 1
                    | u8::from(fill.revalidate) << 3;
                reply.host(fill.source.0).u8(fill.rank);
                reply.u32(fill.max_age.map_or(0, wire_span)).u8(flags);
            }
        }
        Action::Refuse {
            id, retry_after, ..
        } => {
            let retry_after = retry_after.map_or(0, wire_span);
            reply.record(1010, number).u64(id.0).u32(retry_after);
        }
        Action::Fail { id, .. } => {
            reply.record(1020, number).u64(id.0);
        }
        Action::Cancel { id, attempt } => {
            reply.record(1030, number).u64(id.0).u8(attempt.0);
        }
        Action::SetTimer { at, timer } => {
            reply.record(1040, number).u64(at.0).u32(timer.0);
        }
        Action::Probe { host } => {
            reply.record(1050, number).host(host.0);
        }
        Action::RequestHostList => {
            reply.record(1100, number).u8(1);
        }
        Action::Log { text } => {
            reply.record(1080, number).text(&text);
        }
    }
}
