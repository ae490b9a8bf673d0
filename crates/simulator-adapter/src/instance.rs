//! An instance: its balancer, and the mapping between the simulator's names and the balancer's numbers.

use crate::error::EventError;
use crate::host::Catalogs;
use crate::wire::{self, Incoming, Outgoing};
use bellcroft_balancer::*;
use bellcroft_platform_settings::fnv1a;
use std::collections::HashMap;
use std::rc::Rc;

/// Number of known requests from which on finished ones are removed. Removing many at once keeps the cost per request low.
const REMOVAL_THRESHOLD: usize = 1024;

/// Bit of `opts` that marks the request's work estimate as valid.
const OPT_ESTIMATE: u64 = 1;
/// Bit of `opts` that marks a client's retry.
const OPT_RETRY: u64 = 2;

/// An entry of a numbered endpoint list.
#[derive(Debug, Clone)]
pub struct CatalogEntry {
    /// Name of the server, shared by all instances.
    name: Rc<str>,
    /// The endpoint, with a placeholder for the server's number, which each instance assigns.
    endpoint: Endpoint,
}

impl From<wire::Entry<'_>> for CatalogEntry {
    fn from(entry: wire::Entry<'_>) -> Self {
        CatalogEntry {
            name: Rc::from(&*entry.backend),
            endpoint: Endpoint {
                server: ServerId(0),
                zone: ZoneId(entry.campus),
                machine_type: MachineTypeId(entry.class_of_host),
                dedup_group: DedupGroupId(entry.cluster),
                status: match entry.status {
                    wire::EntryStatus::Serving => Status::Serving,
                    wire::EntryStatus::Draining => Status::Draining,
                    wire::EntryStatus::Deleted => Status::Removed,
                },
                weight: entry.units.unwrap_or(1.0),
                started_at: entry.last_start_ms.filter(|ms| *ms > 0.0).map(Time::from_ms),
            },
        }
    }
}

/// A request whose name is still needed.
#[derive(Debug)]
struct KnownRequest {
    id: RequestId,
    /// Number of attempts without an outcome.
    in_flight: u32,
    /// Whether the request has its final response, or its client has disconnected.
    is_finished: bool,
}

/// An instance between its `ATTACH` and its `RETIRE`.
pub struct Instance {
    pub balancer: Balancer,
    servers: HashMap<Rc<str>, ServerId>,
    server_names: HashMap<ServerId, Rc<str>>,
    requests: HashMap<Rc<str>, KnownRequest>,
    request_names: HashMap<RequestId, Rc<str>>,
    next_request: u64,
}

impl Instance {
    pub fn new(balancer: Balancer) -> Self {
        Instance {
            balancer,
            servers: HashMap::new(),
            server_names: HashMap::new(),
            requests: HashMap::new(),
            request_names: HashMap::new(),
            next_request: 0,
        }
    }

    /// Converts an event for the balancer; `None` if it is about a request that has been removed.
    pub fn decode(
        &mut self,
        incoming: Incoming<'_>,
        catalogs: &Catalogs,
    ) -> Result<Option<Event>, EventError> {
        let event = match incoming {
            Incoming::Registry { form, r#ref, .. } => {
                Event::Endpoints(self.decode_endpoints(form, r#ref, catalogs)?)
            }
            Incoming::Request { ticket, party, cls, affinity, estimate_ms, opts, expires_in_ms } => {
                let id = self.add_request(&ticket)?;
                let opts = opts.unwrap_or(0);
                let estimate_ms = estimate_ms.filter(|ms| ms.is_finite() && *ms > 0.0);
                Event::Request(Request {
                    tenant: party.map(TenantId),
                    key: affinity.map(|key| KeyId(fnv1a(&key))),
                    cost_hint: estimate_ms.filter(|_| opts & OPT_ESTIMATE != 0).map(Micros::from_ms),
                    is_retry: opts & OPT_RETRY != 0,
                    ..Request::new(id, ClassId(cls), Micros::from_ms(expires_in_ms))
                })
            }
            Incoming::Elapsed { key_back } => Event::Timer(TimerId(key_back)),
            Incoming::Probed { backend, ending, time_taken_ms, gauge } => Event::HealthChecked {
                server: self.server(&backend)?,
                outcome: decode_outcome(ending),
                elapsed: Micros::from_ms(time_taken_ms),
                report: gauge,
            },
            Incoming::Mail { src_peer, raw } => {
                Event::PeerMessage { from: PeerId(src_peer), payload: decode_hex(&raw)? }
            }
            other => return Ok(self.decode_progress(other)),
        };
        Ok(Some(event))
    }

    fn decode_endpoints(
        &mut self,
        form: wire::Form,
        catalog: Option<u32>,
        catalogs: &Catalogs,
    ) -> Result<EndpointUpdate, EventError> {
        let update = match form {
            wire::Form::Error => return Ok(EndpointUpdate::Failed),
            wire::Form::Partial => EndpointUpdate::Delta,
            wire::Form::Complete => EndpointUpdate::Snapshot,
            wire::Form::Persisted => EndpointUpdate::SavedSnapshot,
        };
        let number = catalog.ok_or(EventError::MissingCatalog)?;
        let entries = catalogs.get(&number).ok_or(EventError::UnknownCatalog(number))?;
        Ok(update(entries.iter().map(|entry| self.endpoint(entry)).collect()))
    }

    /// The endpoint of an entry. A server's number is a hash of its name, so that all balancers use the same number when
    /// they exchange hints. If two names have the same hash, the later one gets the next free number.
    fn endpoint(&mut self, entry: &CatalogEntry) -> Endpoint {
        let server = *self.servers.entry(entry.name.clone()).or_insert_with(|| {
            let mut number = fnv1a(&entry.name) as u32;
            while self.server_names.contains_key(&ServerId(number)) {
                number = number.wrapping_add(1);
            }
            self.server_names.insert(ServerId(number), entry.name.clone());
            ServerId(number)
        });
        Endpoint { server, ..entry.endpoint.clone() }
    }

    fn server(&self, name: &str) -> Result<ServerId, EventError> {
        self.servers.get(name).copied().ok_or_else(|| EventError::UnknownBackend(name.to_string()))
    }

    /// Registers a new request under the next number.
    fn add_request(&mut self, ticket: &str) -> Result<RequestId, EventError> {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        let name: Rc<str> = Rc::from(ticket);
        let request = KnownRequest { id, in_flight: 0, is_finished: false };
        if self.requests.insert(name.clone(), request).is_some() {
            return Err(EventError::DuplicateTicket(ticket.to_string()));
        }
        self.request_names.insert(id, name);
        Ok(id)
    }

    /// Converts an event of a registered request; `None` if the request has been removed.
    fn decode_progress(&mut self, incoming: Incoming<'_>) -> Option<Event> {
        match incoming {
            Incoming::FirstByte { ticket, attempt } => {
                let request = self.requests.get(&*ticket)?.id;
                Some(Event::FirstByte { request, attempt: AttemptNo(attempt) })
            }
            Incoming::Done { ticket, finished, time_taken_ms, ending, attempt, gauge } => {
                let request = self.requests.get_mut(&*ticket)?;
                request.in_flight = request.in_flight.saturating_sub(1);
                request.is_finished |= finished;
                Some(Event::Outcome {
                    request: request.id,
                    attempt: AttemptNo(attempt),
                    outcome: decode_outcome(ending),
                    elapsed: Micros::from_ms(time_taken_ms),
                    report: gauge,
                    is_final: finished,
                })
            }
            Incoming::Aborted { ticket } => {
                let request = self.requests.get_mut(&*ticket)?;
                request.is_finished = true;
                Some(Event::ClientDisconnected { request: request.id })
            }
            _ => None,
        }
    }

    /// Converts an action of the balancer for the simulator.
    pub fn encode(&mut self, action: Action) -> Outgoing {
        match action {
            Action::Send { request, server, timeout_at, .. } => {
                let backend = self.backend(server);
                self.encode_for(request, |ticket, known| {
                    known.in_flight += 1;
                    Outgoing::Route { ticket, backend, until_ms: timeout_at.ms() }
                })
            }
            Action::Cancel { request, attempt } => {
                self.encode_for(request, |ticket, _| Outgoing::Abandon { ticket, attempt: attempt.0 })
            }
            Action::Shed { request, retry_after } => self.encode_for(request, |ticket, known| {
                known.is_finished = true;
                Outgoing::OverloadReply { ticket, not_before_for_ms: retry_after.map(Micros::ms) }
            }),
            Action::Fail { request } => self.encode_for(request, |ticket, known| {
                known.is_finished = true;
                Outgoing::Abort { ticket }
            }),
            Action::SetTimer { at, timer } => Outgoing::Timer { at_ms: at.ms(), key_back: timer.0 },
            Action::HealthCheck { server } => Outgoing::HealthCheck { backend: self.backend(server) },
            Action::CloseIdle { server } => Outgoing::CloseIdle { backend: self.backend(server) },
            Action::SendHint { to, payload } => {
                let to = to.map_or(wire::ALL_PEERS, |peer| i64::from(peer.0));
                Outgoing::Announce { to, raw: encode_hex(&payload) }
            }
            Action::Watch { active } => Outgoing::Follow { active },
            Action::FetchEndpoints => Outgoing::Pull {},
            Action::Log { text } => Outgoing::NoteDown { what: text },
        }
    }

    fn backend(&self, server: ServerId) -> String {
        self.server_names[&server].to_string()
    }

    /// Converts an action for a known request, using the request's name.
    fn encode_for(
        &mut self,
        id: RequestId,
        encode: impl FnOnce(String, &mut KnownRequest) -> Outgoing,
    ) -> Outgoing {
        let name = self.request_names.get(&id);
        let known = name.and_then(|name| Some((name.to_string(), self.requests.get_mut(name)?)));
        match known {
            Some((name, request)) => encode(name, request),
            None => Outgoing::Bug { what: "an action for a request that is not open".into() },
        }
    }

    /// Removes requests that are finished and have no attempt in flight, once the number of requests reaches the threshold.
    pub fn remove_finished_requests(&mut self) {
        if self.requests.len() < REMOVAL_THRESHOLD {
            return;
        }
        let names = &mut self.request_names;
        self.requests.retain(|_, request| {
            let is_needed = !request.is_finished || request.in_flight > 0;
            if !is_needed {
                names.remove(&request.id);
            }
            is_needed
        });
    }
}

fn decode_outcome(ending: wire::Ending) -> Outcome {
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

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(text: &str) -> Result<Vec<u8>, EventError> {
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    match digits {
        Some(digits) if digits.len() % 2 == 0 => {
            Ok(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
        }
        _ => Err(EventError::InvalidPayload(text.to_string())),
    }
}
