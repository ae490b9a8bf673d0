//! A fleet's supervisor: holds the listening sockets, and starts, watches and ends the processes as
//! `bellcroft_supervisor` decides.
//!
//! Nothing is decided here. What happens to processes, the clock and commands come over one channel to the one
//! owner of the decisions, as they do for an instance's `driver`.

mod process;
mod prove;

use crate::daemon::state::{StateDir, StateDirError, StatusWriter};
use crate::daemon::{control, notify::Notify};
use crate::exit;
use crate::log::say;
use bellcroft_operator_config::{FleetFile, Member};
use bellcroft_supervisor::{Action, Command, Event, InstanceId, Phase, ReleaseId, Supervisor};
use process::{Left, Process};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tracing::info;

/// Connections that may wait at a socket that no process takes from at the moment. The kernel's own bound
/// (`net.core.somaxconn`) may be lower.
const BACKLOG: i32 = 4096;
/// How often the fleet's status file is written.
const STATUS_EVERY: Duration = Duration::from_secs(1);
/// Lines of the log that the status shows.
const LINES_KEPT: usize = 20;

/// What comes over the channel. A process's news carry its number among the starts, for it may be over.
enum News {
    Of(InstanceId, u64, Event),
    Command(Command),
    /// Another program is to be rolled through the fleet.
    Release(PathBuf),
    Reloaded(InstanceId, Result<(), String>),
}

struct Slot {
    member: Member,
    dir: PathBuf,
    listener: TcpListener,
    address: SocketAddr,
    process: Option<Process>,
    adopted: bool,
    /// Counts its processes.
    life: u64,
    /// What asks the present process for something; ended with it.
    asking: Option<JoinHandle<()>>,
}

struct Fleet {
    supervisor: Supervisor,
    slots: Vec<Slot>,
    programs: Vec<PathBuf>,
    origin: Instant,
    news: UnboundedSender<News>,
    last_roll: Option<Result<(), String>>,
    /// Rolls that have ended, and reloads that have begun, so that who asked for one knows its end from another's.
    rolls: u64,
    reloads: u64,
    reload: Reload,
    lines: VecDeque<String>,
    finished: bool,
    ready_told: bool,
}

/// The last reload: how many it asked, and what they said.
#[derive(Default)]
struct Reload {
    asked: usize,
    taken: usize,
    refused: Vec<(String, String)>,
}

/// Runs the fleet that a file describes, until it is told to end.
pub(crate) fn run(file: &Path) -> ExitCode {
    let fleet = match FleetFile::read(file) {
        Ok(fleet) => fleet,
        Err(faults) => {
            faults.iter().for_each(say);
            return ExitCode::from(exit::BAD_INPUT);
        }
    };
    let state = match StateDir::acquire(&fleet.state) {
        Ok(state) => state,
        Err(refused) => {
            say(format_args!("bellcroft: {}: {refused}", fleet.state.display()));
            let held = matches!(refused, StateDirError::Held(_));
            return ExitCode::from(if held { exit::ALREADY_RUNNING } else { exit::BAD_INPUT });
        }
    };
    exit::run(supervise(fleet, &state))
}

/// The state directory of an instance of the fleet.
pub(crate) fn instance_dir(fleet: &FleetFile, member: &Member) -> PathBuf {
    fleet.state.join("instances").join(&member.name)
}

fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let domain = match listen {
        SocketAddr::V4(_) => rustix::net::AddressFamily::INET,
        SocketAddr::V6(_) => rustix::net::AddressFamily::INET6,
    };
    let flags = rustix::net::SocketFlags::CLOEXEC;
    let socket = rustix::net::socket_with(domain, rustix::net::SocketType::STREAM, flags, None)?;
    rustix::net::sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &listen)?;
    rustix::net::listen(&socket, BACKLOG)?;
    Ok(TcpListener::from(socket))
}

async fn supervise(fleet: FleetFile, state: &StateDir) -> Result<(), String> {
    let signals = |kind| signal(kind).map_err(|e| format!("cannot await signals: {e}"));
    let mut term = signals(SignalKind::terminate())?;
    let mut interrupt = signals(SignalKind::interrupt())?;
    let mut hangup = signals(SignalKind::hangup())?;
    let (notify, problem) = Notify::find(|name| std::env::var_os(name));
    problem.into_iter().for_each(say);
    let program = match &fleet.program {
        Some(program) => program.clone(),
        None => std::env::current_exe().map_err(|e| format!("cannot find the own program: {e}"))?,
    };

    // All that runs already is looked for at once, and before anything is started.
    let looks: Vec<_> = fleet
        .members
        .iter()
        .map(|member| {
            let dir = instance_dir(&fleet, member);
            tokio::task::spawn_local(async move { process::adopt(&dir).await })
        })
        .collect();
    let mut slots = Vec::new();
    let mut found = Vec::new();
    for (place, (member, look)) in fleet.members.iter().zip(looks).enumerate() {
        let dir = instance_dir(&fleet, member);
        let (process, listener) = match look.await.map_err(|e| e.to_string())? {
            Left::Nothing => (None, None),
            Left::Running(process, listener) => (Some(process), listener),
            Left::Unknown => {
                let dir = dir.display();
                return Err(format!(
                    "{dir}: a process holds it and does not answer; end it, then start again"
                ));
            }
        };
        let listener = match listener {
            Some(listener) => listener,
            None => bind(member.listen)
                .map_err(|e| format!("{}: cannot listen on {}: {e}", member.name, member.listen))?,
        };
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let adopted = process.is_some();
        if adopted {
            found.push(place);
        }
        slots.push(Slot {
            member: member.clone(),
            dir,
            listener,
            address,
            process,
            adopted,
            life: 0,
            asking: None,
        });
    }

    let (news, mut heard) = unbounded_channel();
    let origin = Instant::now();
    let seed = fastrand::u64(..);
    let fleet = Rc::new(RefCell::new(Fleet {
        supervisor: Supervisor::new(fleet.policy.clone(), slots.len(), seed, Duration::ZERO),
        slots,
        programs: vec![program],
        origin,
        news: news.clone(),
        last_roll: None,
        rolls: 0,
        reloads: 0,
        reload: Reload::default(),
        lines: VecDeque::new(),
        finished: false,
        ready_told: false,
    }));
    let (answering, told) = (fleet.clone(), news);
    let answer = move |value: Value| command(&answering, &told, &value);
    let _control = control::Control::serve(state.path(), answer)
        .map_err(|e| format!("cannot make the control socket: {e}"))?;
    let writer =
        StatusWriter::start(state.path()).map_err(|e| format!("no thread writes the status: {e}"))?;
    {
        let mut fleet = fleet.borrow_mut();
        info!("fleet of {}: {} run already", fleet.slots.len(), found.len());
        for place in found {
            fleet.tell(Event::Adopted(InstanceId(place)));
            fleet.watch_adopted(InstanceId(place));
        }
        fleet.tell(Event::Tick);
    }

    let mut next_write = Instant::now();
    loop {
        {
            let mut fleet = fleet.borrow_mut();
            if fleet.finished {
                break;
            }
            if !fleet.ready_told && fleet.settled() {
                fleet.ready_told = true;
                notify.ready("all instances are ready or have failed");
            }
        }
        if Instant::now() >= next_write {
            writer.write(fleet.borrow().status().to_string().into_bytes());
            next_write = Instant::now() + STATUS_EVERY;
        }
        let wake =
            fleet.borrow().supervisor.next_wake().map_or(next_write, |at| (origin + at).min(next_write));
        tokio::select! {
            news = heard.recv() => match news {
                Some(news) => fleet.borrow_mut().take(news),
                None => break,
            },
            _ = term.recv() => fleet.borrow_mut().stop(&notify),
            _ = interrupt.recv() => fleet.borrow_mut().stop(&notify),
            _ = hangup.recv() => fleet.borrow_mut().take(News::Command(Command::Reload)),
            () = tokio::time::sleep_until(wake) => fleet.borrow_mut().tell(Event::Tick),
        }
    }
    let text = fleet.borrow().status().to_string().into_bytes();
    writer.finish(text).await;
    info!("fleet: all have ended");
    Ok(())
}

/// Answers what comes over the fleet's control socket.
fn command(fleet: &Rc<RefCell<Fleet>>, news: &UnboundedSender<News>, value: &Value) -> control::Reply {
    let roll = || fleet.borrow().supervisor.roll().is_some();
    let queued = |item: News| match news.send(item) {
        Ok(()) => json!({"ok": true}).into(),
        Err(_) => control::error("the supervisor is ending"),
    };
    match value["command"].as_str() {
        Some("status") => fleet.borrow().status().into(),
        Some(_) if fleet.borrow().supervisor.stopping() => control::error("the fleet is stopping"),
        Some("reload") => queued(News::Command(Command::Reload)),
        Some("stop") => queued(News::Command(Command::Stop)),
        Some("restart") if roll() => control::error("a roll is under way"),
        Some("restart") => match value["program"].as_str() {
            None => queued(News::Command(Command::Roll(None))),
            Some(program) => queued(News::Release(program.into())),
        },
        _ => control::error("a command was expected: status, reload, restart or stop"),
    }
}

impl Fleet {
    fn take(&mut self, news: News) {
        match news {
            News::Of(id, life, event) => {
                if self.slots[id.0].life != life {
                    return;
                }
                if matches!(event, Event::Exited(..)) {
                    let slot = &mut self.slots[id.0];
                    slot.process = None;
                    if let Some(asking) = slot.asking.take() {
                        asking.abort();
                    }
                }
                self.tell(event);
            }
            News::Command(command) => {
                if command == Command::Reload {
                    self.reload = Reload::default();
                    self.reloads += 1;
                }
                self.tell(Event::Command(command));
            }
            News::Release(program) => {
                self.programs.push(program);
                let release = ReleaseId(self.programs.len() - 1);
                self.tell(Event::Command(Command::Roll(Some(release))));
            }
            News::Reloaded(_, Ok(())) => {
                self.reload.taken += 1;
            }
            News::Reloaded(id, Err(why)) => {
                let name = self.slots[id.0].member.name.clone();
                self.log(&format!("{name}: reload: {why}"));
                self.reload.refused.push((name, why));
            }
        }
    }

    fn stop(&mut self, notify: &Notify) {
        notify.stopping();
        self.take(News::Command(Command::Stop));
    }

    /// All instances are up, or known not to come up.
    fn settled(&self) -> bool {
        let phase = |place| self.supervisor.phase(InstanceId(place));
        (0..self.slots.len()).all(|place| matches!(phase(place), Phase::Ready { .. } | Phase::Failed { .. }))
    }

    fn log(&mut self, line: &str) {
        info!("{line}");
        if self.lines.len() >= LINES_KEPT {
            self.lines.pop_front();
        }
        self.lines.push_back(line.to_owned());
    }

    fn tell(&mut self, event: Event) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut actions = Vec::new();
            self.supervisor.handle(self.origin.elapsed(), event, &mut actions);
            for action in actions {
                // A start that fails is news of its own, and comes after the other actions.
                events.extend(self.carry_out(action));
            }
        }
    }

    fn carry_out(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Start(id, release) => return self.start(id, release),
            Action::Terminate(id) => self.terminate(id),
            Action::Kill(id) => {
                if let Some(process) = &self.slots[id.0].process {
                    process.signal(Signal::KILL);
                }
            }
            Action::Reload(id) => self.reload(id),
            Action::Prove(id) => {
                let slot = &self.slots[id.0];
                let (dir, address) = (slot.dir.clone(), slot.address);
                self.ask(id, move |pid| async move {
                    match prove::serves(&dir, pid, address).await {
                        Ok(()) => Event::Proved(id),
                        Err(why) => Event::Disproved(id, why),
                    }
                });
            }
            Action::RollEnded(how) => {
                match &how {
                    Ok(()) => self.log("the roll is over; all are renewed"),
                    Err(why) => self.log(&format!("the roll has stopped: {why}")),
                }
                self.last_roll = Some(how);
                self.rolls += 1;
            }
            Action::Refused(why) => self.log(&format!("refused: {why}")),
            Action::Log(text) => {
                let text = self.named(&text);
                self.log(&text);
            }
            Action::Finished => self.finished = true,
        }
        None
    }

    /// The decisions know instances by number, people by name.
    fn named(&self, text: &str) -> String {
        let Some((head, rest)) = text.strip_prefix("instance ").and_then(|rest| rest.split_once(' ')) else {
            return text.to_owned();
        };
        match head.parse::<usize>().ok().and_then(|place| self.slots.get(place)) {
            Some(slot) => format!("{} {rest}", slot.member.name),
            None => text.to_owned(),
        }
    }

    fn start(&mut self, id: InstanceId, release: ReleaseId) -> Option<Event> {
        let program = &self.programs[release.0];
        let slot = &mut self.slots[id.0];
        let (process, mut child) = match process::start(&slot.member, program, &slot.dir, &slot.listener) {
            Ok(started) => started,
            Err(e) => return Some(Event::NotStarted(id, e.to_string())),
        };
        slot.life += 1;
        slot.adopted = false;
        let (news, life) = (self.news.clone(), slot.life);
        tokio::task::spawn_local(async move {
            let how = match child.wait().await {
                Ok(status) => status.to_string(),
                Err(e) => e.to_string(),
            };
            let _ = news.send(News::Of(id, life, Event::Exited(id, how)));
        });
        slot.process = Some(process);
        self.watch_ready(id);
        None
    }

    /// Has the process of an instance asked for something; what comes of it is news of that process.
    fn ask<F>(&mut self, id: InstanceId, question: impl FnOnce(u32) -> F)
    where
        F: std::future::Future<Output = Event> + 'static,
    {
        let slot = &mut self.slots[id.0];
        let Some(process) = &slot.process else { return };
        let (news, life, answer) = (self.news.clone(), slot.life, question(process.pid));
        let asking = tokio::task::spawn_local(async move {
            let event = answer.await;
            let _ = news.send(News::Of(id, life, event));
        });
        if let Some(before) = slot.asking.replace(asking) {
            before.abort();
        }
    }

    fn watch_ready(&mut self, id: InstanceId) {
        let dir = self.slots[id.0].dir.clone();
        self.ask(id, move |pid| async move {
            prove::ready(&dir, pid).await;
            Event::Ready(id)
        });
    }

    fn watch_adopted(&mut self, id: InstanceId) {
        let slot = &self.slots[id.0];
        let (news, life) = (self.news.clone(), slot.life);
        if let Some(Ok(process)) = slot.process.as_ref().map(Process::try_clone) {
            tokio::task::spawn_local(async move {
                process.ended().await;
                let how = "it ended; how is not known, for an earlier supervisor had started it";
                let _ = news.send(News::Of(id, life, Event::Exited(id, how.into())));
            });
        }
        self.watch_ready(id);
    }

    /// Has an instance end. While the fleet goes on, another process takes over its socket: it need not wait for
    /// clients that come late, who wait for the next one. One that does not listen to that is told by a signal.
    fn terminate(&mut self, id: InstanceId) {
        let handover = !self.supervisor.stopping();
        let slot = &mut self.slots[id.0];
        if let Some(asking) = slot.asking.take() {
            asking.abort();
        }
        let Some(process) = &slot.process else { return };
        if !handover {
            return process.signal(Signal::TERM);
        }
        let Ok(process) = process.try_clone() else { return process.signal(Signal::TERM) };
        let dir = slot.dir.clone();
        tokio::task::spawn_local(async move {
            let drain = json!({"command": "drain", "handover": true});
            if control::request(&dir, &drain).await.is_err() {
                process.signal(Signal::TERM);
            }
        });
    }

    fn reload(&mut self, id: InstanceId) {
        self.reload.asked += 1;
        let (news, dir) = (self.news.clone(), self.slots[id.0].dir.clone());
        tokio::task::spawn_local(async move {
            let told = control::request(&dir, &json!({"command": "reload"})).await;
            let _ = news.send(News::Reloaded(id, told.map(drop).map_err(|e| e.to_string())));
        });
    }

    fn status(&self) -> Value {
        let instance = |(place, slot): (usize, &Slot)| {
            let id = InstanceId(place);
            let phase = self.supervisor.phase(id);
            let why = match phase {
                Phase::Failed { why } => Some(why.clone()),
                _ => None,
            };
            json!({"name": slot.member.name, "phase": phase.word(), "pid": slot.process.as_ref().map(|p| p.pid),
                   "listen": slot.address.to_string(), "starts": self.supervisor.starts(id),
                   "adopted": slot.adopted, "program": self.programs[self.supervisor.release(id).0],
                   "state": slot.dir, "why": why})
        };
        let instances: Vec<Value> = self.slots.iter().enumerate().map(instance).collect();
        json!({
            "version": 1,
            "pid": std::process::id(),
            "stopping": self.supervisor.stopping(),
            "instances": instances,
            "roll": self.supervisor.roll().map(|(done, all)| json!({"done": done, "all": all})),
            "last_roll": self.last_roll.as_ref().map(|how| match how {
                Ok(()) => json!({"ok": true}),
                Err(why) => json!({"ok": false, "why": self.named(why)}),
            }),
            "rolls": self.rolls,
            "reloads": self.reloads,
            "reload": {"asked": self.reload.asked, "taken": self.reload.taken,
                       "refused": self.reload.refused.iter().map(|(name, why)| json!({"name": name, "why": why}))
                           .collect::<Vec<_>>()},
            "log": self.lines,
        })
    }
}
