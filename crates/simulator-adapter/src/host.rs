//! Hosts the balancers: names in, names out, and each event to the instance that it is for.

use crate::wire::{self, Batch, Incoming, Outgoing, Reply, ReplyPart};
use bellcroft_balancer::*;
use bellcroft_platform_settings::{fnv1a, settings};
use std::collections::{BTreeMap, HashMap};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::rc::Rc;

/// One server of a numbered catalogue; the name is shared by all who refer to it.
#[derive(Debug, Clone)]
struct Known {
    name: Rc<str>,
    line: Endpoint,
}

/// What an open request still waits for, so that its name can be dropped afterwards.
#[derive(Debug)]
struct Ticket {
    id: RequestId,
    out: u32,
    ended: bool,
}

/// One life of one instance.
struct Instance {
    balancer: Balancer,
    servers: HashMap<Rc<str>, ServerId>,
    server_names: HashMap<ServerId, Rc<str>>,
    tickets: HashMap<Rc<str>, Ticket>,
    ticket_names: HashMap<RequestId, Rc<str>>,
    next_request: u64,
}

/// All instances of this process and the catalogues, the only thing that they share.
#[derive(Default)]
pub struct Host {
    catalogues: BTreeMap<u32, Vec<Known>>,
    instances: BTreeMap<u32, Instance>,
    actions: Vec<Action>,
}

impl Host {
    /// Plays one batch; an error is a fault of the batch, in plain words.
    pub fn play(&mut self, batch: Batch<'_>) -> Result<Reply, String> {
        if !batch.clock_ms.is_finite() || batch.clock_ms < 0.0 {
            return Err(format!("tMs is {}; a time of zero or more was expected", batch.clock_ms));
        }
        let now = Time::from_ms(batch.clock_ms);
        let mut reply = Reply { round: batch.round, parts: Vec::new() };
        for part in batch.parts {
            let who = part.who;
            let mut outbox = Vec::new();
            for incoming in part.inbox {
                self.one(now, who, incoming, &mut outbox)
                    .map_err(|fault| format!("instance {who}: {fault}"))?;
            }
            if !outbox.is_empty() {
                reply.parts.push(ReplyPart { who, outbox });
            }
        }
        Ok(reply)
    }

    fn one(
        &mut self,
        now: Time,
        who: u32,
        incoming: Incoming<'_>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        match incoming {
            Incoming::Catalog { r#ref, members_list } => {
                let list = members_list.into_iter().map(known).collect::<Result<_, _>>()?;
                self.catalogues.insert(r#ref, list);
                return Ok(());
            }
            Incoming::Attach { salt, params } => {
                let balancer = Balancer::new(settings(&params), salt).map_err(|e| e.to_string())?;
                self.instances.insert(who, Instance::new(balancer));
                return self.drive(now, who, None, outbox);
            }
            Incoming::Retire {} => {
                // Nothing of the ended life may act any more, not even earlier in this batch.
                self.instances.remove(&who);
                outbox.clear();
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(&who).ok_or("an event came before ATTACH")?;
        let event = match incoming {
            Incoming::Registry { form, r#ref, .. } => Some(Event::Endpoints(match form {
                wire::Form::Error => EndpointUpdate::Failed,
                form => {
                    let number = r#ref.ok_or("REGISTRY names no catalogue")?;
                    let list = self.catalogues.get(&number).ok_or_else(|| {
                        format!("REGISTRY names catalogue {number}, which no CATALOG has set up")
                    })?;
                    let lines = instance.intern_list(list);
                    match form {
                        wire::Form::Partial => EndpointUpdate::Delta(lines),
                        wire::Form::Complete => EndpointUpdate::Snapshot(lines),
                        _ => EndpointUpdate::SavedSnapshot(lines),
                    }
                }
            })),
            other => instance.translate(other)?,
        };
        match event {
            Some(event) => self.drive(now, who, Some(event), outbox),
            None => Ok(()),
        }
    }

    /// Hands one event (or the start) to the balancer and puts its actions on the wire.
    fn drive(
        &mut self,
        now: Time,
        who: u32,
        event: Option<Event>,
        outbox: &mut Vec<Outgoing>,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&who) else { return Ok(()) };
        let actions = &mut self.actions;
        actions.clear();
        let run = catch_unwind(AssertUnwindSafe(|| match event {
            Some(event) => instance.balancer.handle(now, event, actions),
            None => instance.balancer.start(now, actions),
        }));
        if let Err(panic) = run {
            let text = panic.downcast_ref::<String>().cloned();
            let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
            outbox.push(Outgoing::Bug { what: text.unwrap_or_else(|| "panic without a text".into()) });
            return Ok(());
        }
        for action in self.actions.drain(..) {
            outbox.push(instance.encode(action));
        }
        instance.forget_ended();
        Ok(())
    }
}

impl Instance {
    fn new(balancer: Balancer) -> Self {
        Instance {
            balancer,
            servers: HashMap::new(),
            server_names: HashMap::new(),
            tickets: HashMap::new(),
            ticket_names: HashMap::new(),
            next_request: 0,
        }
    }

    /// A server's number is a hash of its name, so that balancers mean the same by it when they talk. Should two
    /// names meet in one number, the later one takes the next that is free.
    fn intern_list(&mut self, list: &[Known]) -> Vec<Endpoint> {
        list.iter()
            .map(|known| {
                let server = *self.servers.entry(known.name.clone()).or_insert_with(|| {
                    let mut id = fnv1a(&known.name) as u32;
                    while self.server_names.contains_key(&ServerId(id)) {
                        id = id.wrapping_add(1);
                    }
                    self.server_names.insert(ServerId(id), known.name.clone());
                    ServerId(id)
                });
                Endpoint { server, ..known.line.clone() }
            })
            .collect()
    }

    /// An event in the library's terms; `None` for news of requests that are long over.
    fn translate(&mut self, incoming: Incoming<'_>) -> Result<Option<Event>, String> {
        Ok(match incoming {
            Incoming::Request { ticket, party, cls, affinity, estimate_ms, opts, expires_in_ms } => {
                let id = RequestId(self.next_request);
                self.next_request += 1;
                let name: Rc<str> = Rc::from(&*ticket);
                let entry = Ticket { id, out: 0, ended: false };
                if self.tickets.insert(name.clone(), entry).is_some() {
                    return Err(format!("REQUEST {ticket} came twice"));
                }
                self.ticket_names.insert(id, name);
                let opts = opts.unwrap_or(0);
                let hint = estimate_ms.filter(|ms| opts & 1 != 0 && ms.is_finite() && *ms > 0.0);
                Some(Event::Request(Request {
                    tenant: party.map(TenantId),
                    key: affinity.map(|key| KeyId(fnv1a(&key))),
                    cost_hint: hint.map(Micros::from_ms),
                    is_retry: opts & 2 != 0,
                    ..Request::new(id, ClassId(cls), Micros::from_ms(expires_in_ms))
                }))
            }
            Incoming::FirstByte { ticket, attempt } => self
                .tickets
                .get(&*ticket)
                .map(|t| Event::FirstByte { request: t.id, attempt: AttemptNo(attempt) }),
            Incoming::Done { ticket, finished, time_taken_ms, ending, attempt, gauge } => {
                self.tickets.get_mut(&*ticket).map(|t| {
                    t.out = t.out.saturating_sub(1);
                    t.ended |= finished;
                    Event::Outcome {
                        request: t.id,
                        attempt: AttemptNo(attempt),
                        outcome: outcome(ending),
                        elapsed: Micros::from_ms(time_taken_ms),
                        report: gauge,
                        closed: finished,
                    }
                })
            }
            Incoming::Aborted { ticket } => self.tickets.get_mut(&*ticket).map(|t| {
                t.ended = true;
                Event::ClientDisconnected { request: t.id }
            }),
            Incoming::Elapsed { key_back } => Some(Event::Timer(TimerId(key_back))),
            Incoming::Probed { backend, ending, time_taken_ms, gauge } => {
                let server = *self
                    .servers
                    .get(&*backend)
                    .ok_or_else(|| format!("PROBED names backend {backend}, which no list has named"))?;
                let elapsed = Micros::from_ms(time_taken_ms);
                Some(Event::HealthChecked { server, outcome: outcome(ending), elapsed, report: gauge })
            }
            Incoming::Mail { src_peer, raw } => {
                Some(Event::PeerMessage { from: PeerId(src_peer), payload: unhex(&raw)? })
            }
            Incoming::Attach { .. }
            | Incoming::Retire {}
            | Incoming::Catalog { .. }
            | Incoming::Registry { .. } => None,
        })
    }

    fn ticket(&mut self, id: RequestId) -> Option<(String, &mut Ticket)> {
        let name = self.ticket_names.get(&id)?;
        Some((name.to_string(), self.tickets.get_mut(name)?))
    }

    fn encode(&mut self, action: Action) -> Outgoing {
        let backend = |server: ServerId, names: &HashMap<ServerId, Rc<str>>| names[&server].to_string();
        let gone = || Outgoing::Bug { what: "an action for a request that is not open".into() };
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let backend = backend(server, &self.server_names);
                let Some((ticket, entry)) = self.ticket(request) else { return gone() };
                entry.out += 1;
                Outgoing::Route { ticket, backend, until_ms: timeout_at.ms() }
            }
            Action::Cancel { request, attempt } => {
                let Some((ticket, _)) = self.ticket(request) else { return gone() };
                Outgoing::Abandon { ticket, attempt: attempt.0 }
            }
            Action::Shed { request, retry_after } => {
                let Some((ticket, entry)) = self.ticket(request) else { return gone() };
                entry.ended = true;
                Outgoing::OverloadReply { ticket, not_before_for_ms: retry_after.map(Micros::ms) }
            }
            Action::Fail { request } => {
                let Some((ticket, entry)) = self.ticket(request) else { return gone() };
                entry.ended = true;
                Outgoing::Abort { ticket }
            }
            Action::SetTimer { at, timer } => Outgoing::Timer { at_ms: at.ms(), key_back: timer.0 },
            Action::HealthCheck { server } => {
                Outgoing::HealthCheck { backend: backend(server, &self.server_names) }
            }
            Action::CloseIdle { server } => {
                Outgoing::CloseIdle { backend: backend(server, &self.server_names) }
            }
            Action::SendHint { to, payload } => {
                Outgoing::Announce { to: to.map_or(-1, |peer| i64::from(peer.0)), raw: hex(&payload) }
            }
            Action::Watch { active } => Outgoing::Follow { active },
            Action::FetchEndpoints => Outgoing::Pull {},
            Action::Log { text } => Outgoing::NoteDown { what: text },
        }
    }

    /// Drops the names of requests that are answered and have nothing out.
    fn forget_ended(&mut self) {
        if self.tickets.len() < 2 * FORGET_FROM {
            return;
        }
        let names = &mut self.ticket_names;
        self.tickets.retain(|_, t| {
            let keep = !t.ended || t.out > 0;
            if !keep {
                names.remove(&t.id);
            }
            keep
        });
    }
}

/// Names of ended requests are swept out once this many are held, so that a sweep costs little a request.
const FORGET_FROM: usize = 512;

fn known(entry: wire::Entry<'_>) -> Result<Known, String> {
    let weight = entry.units.unwrap_or(1.0);
    let started = entry.last_start_ms.filter(|ms| *ms > 0.0).map(Time::from_ms);
    Ok(Known {
        name: Rc::from(&*entry.backend),
        line: Endpoint {
            server: ServerId(0),
            zone: ZoneId(entry.campus),
            machine_type: MachineTypeId(entry.class_of_host),
            dedup_group: DedupGroupId(entry.cluster),
            status: match entry.status {
                wire::EntryStatus::Serving => Status::Serving,
                wire::EntryStatus::Draining => Status::Draining,
                wire::EntryStatus::Deleted => Status::Gone,
            },
            weight,
            started_at: started,
        },
    })
}

fn outcome(ending: wire::Ending) -> Outcome {
    match ending {
        wire::Ending::Done => Outcome::Success,
        wire::Ending::Err => Outcome::ServerError,
        wire::Ending::Busy => Outcome::Rejected,
        wire::Ending::Etimedout => Outcome::TimedOut,
        wire::Ending::Econnrefused => Outcome::ConnectFailed,
        wire::Ending::Econnreset => Outcome::ConnectionReset,
        wire::Ending::Ecanceled => Outcome::Cancelled,
        wire::Ending::Skipped => Outcome::NotSent,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Result<Vec<u8>, String> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => Ok(digits.chunks(2).map(|p| p[0] << 4 | p[1]).collect()),
        _ => Err(format!("MAIL holds {text:?}; an even number of hex digits was expected")),
    }
}
