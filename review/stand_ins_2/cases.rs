//! The cases: a small deployment, traffic, one disruption, and the check of one rule.

use crate::agent::*;
use crate::backend::{Act, Backend, Got, Memory, World};
use crate::client::{Answer, Call, Client, End};
use crate::discovery::Discovery;
use crate::Run;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, JoinHandle};
use std::time::{Duration, Instant};

/// The lines that say how the rule was broken; or why the case could not run.
pub type Verdict = Result<Vec<String>, String>;

const ZONES: [&str; 2] = ["san-fernando", "marabella"];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn world(run: &Run) -> Arc<World> {
    Arc::new(World { record: run.record.clone(), got: Mutex::default() })
}

/// So many backends, in one zone, which remember keys for as long as the settings say.
fn backends(
    world: &Arc<World>,
    count: usize,
    choice: impl Fn(&Got) -> Act + Send + Sync + 'static,
) -> Vec<Backend> {
    let (memory, choice): (Memory, Arc<dyn Fn(&Got) -> Act + Send + Sync>) =
        (Memory::default(), Arc::new(choice));
    (0..count).map(|i| Backend::start(world, &format!("s-{i}"), &memory, 7500.0, choice.clone())).collect()
}

fn discovery(run: &Run, backends: &[Backend], zone_of: impl Fn(usize) -> &'static str) -> Arc<Discovery> {
    let hosts: Vec<_> =
        backends.iter().enumerate().map(|(i, b)| (b.name.as_str(), b.addr, zone_of(i))).collect();
    Discovery::start(&run.record, &hosts)
}

/// Clients that each send a request of the next class every so many milliseconds until they are stopped.
struct Traffic {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Answer>>>,
}

impl Traffic {
    fn start(
        run: &Run,
        listen: SocketAddr,
        clients: usize,
        every_ms: u64,
        classes: &'static [usize],
    ) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..clients)
            .map(|number| {
                let (stop, record) = (stop.clone(), run.record.clone());
                std::thread::spawn(move || {
                    let mut client = Client::new(listen, &record);
                    let mut answers = Vec::new();
                    sleep(ms(every_ms * number as u64 / clients as u64));
                    let mut next = Instant::now();
                    for count in 0.. {
                        if stop.load(Ordering::SeqCst) {
                            break;
                        }
                        let class = &CLASSES[classes[(number + count) % classes.len()]];
                        let id = format!("c{number}-{count}");
                        let key = format!("key-{id}");
                        answers.push(client.call(&Call {
                            class: class.name,
                            id: &id,
                            key: (class.effect != "idempotent").then_some(key.as_str()),
                            timeout_ms: class.deadline_ms,
                            look_ms: 1500,
                        }));
                        next = (next + ms(every_ms)).max(Instant::now());
                        sleep(next.saturating_duration_since(Instant::now()));
                    }
                    answers
                })
            })
            .collect();
        Traffic { stop, threads }
    }

    fn finish(self) -> Vec<Answer> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    }
}

/// The answers that came more than half a second after their time, or never; `STANDING.md`: such a request is lost. An answer that
/// was cut in time has failed.
fn lost(answers: &[Answer]) -> Vec<String> {
    let is_lost = |a: &&Answer| match a.end {
        End::Unreachable => false,
        End::Closed | End::Open(_) => true,
        End::Whole(..) | End::Cut(_) => a.took_ms() > a.timeout_ms as f64 + 500.0 + 50.0,
    };
    let text = |a: &Answer| {
        format!(
            "request {} of {} ms, sent at {:.0}: after {:.0} ms {:?}",
            a.id,
            a.timeout_ms,
            a.sent_ms,
            a.took_ms(),
            a.end
        )
    };
    answers.iter().filter(is_lost).map(text).collect()
}

/// An agent that serves alone at a free address, ready.
struct Alone {
    agent: Agent,
    listen: SocketAddr,
    config: std::path::PathBuf,
    discovery: SocketAddr,
    known: String,
}

fn alone(run: &Run, discovery: &Discovery, settings: &str) -> Result<Alone, String> {
    let (listen, config) = (free_address(), run.folder.join("config.json"));
    let known = discovery.list(None);
    write_whole(&config, &self::config("n1", listen, discovery.addr, &known, settings));
    let agent = Agent::start(&run.record, "n1", &run.folder, &config, listen, discovery.addr, "n1.log");
    if !wait_ready(listen, Duration::from_secs(10)) {
        return Err("the agent is not ready".into());
    }
    Ok(Alone { agent, listen, config, discovery: discovery.addr, known })
}

/// New configurations in quick succession while discovery is slow; a backend begins to drain.
pub fn reloads(run: &Run) -> Verdict {
    let world = world(run);
    let backends = backends(&world, 5, |_| Act::Serve(15));
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let alone = alone(run, &discovery, &settings(&CLASSES, 0.02))?;
    sleep(ms(1000));
    discovery.delay_ms.store(1500, Ordering::SeqCst);
    let traffic = Traffic::start(run, alone.listen, 6, 100, &[0]);
    sleep(ms(5000));
    let drained_at = run.record.now();
    discovery.set("s-0", "draining");
    sleep(ms(1000));
    for reload in 0..6 {
        if run.trouble {
            let settings = settings(&CLASSES, 0.021 + 0.001 * f64::from(reload));
            write_whole(&alone.config, &config("n1", alone.listen, alone.discovery, &alone.known, &settings));
            alone.agent.signal(SIGHUP);
        }
        sleep(ms(1400));
    }
    sleep(ms(4000));
    let answers = traffic.finish();
    let served = answers.iter().filter(|a| matches!(a.end, End::Whole(200, _))).count();
    if served * 2 < answers.len() {
        return Err(format!("{served} of {} requests were served", answers.len()));
    }
    // Told 6 s after discovery had it; 2 s of grace, and 50 ms on sockets.
    let until = drained_at + 6000.0 + 2000.0 + 50.0;
    let got = world.got.lock().unwrap();
    let late = got.iter().filter(|got| got.backend == "s-0" && got.at_ms > until);
    Ok(late
        .map(|got| format!("s-0 got {} {:.0} ms after it began to drain", got.id, got.at_ms - drained_at))
        .collect())
}

/// Spoilt answers that never end.
pub fn endless(run: &Run) -> Verdict {
    let world = world(run);
    let trouble = run.trouble;
    let backends = backends(&world, 5, move |got| match trouble && got.number % 20 == 7 {
        true => Act::Endless(24 << 10, 0, 1),
        false => Act::Serve(15),
    });
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let alone = alone(run, &discovery, &settings(&CLASSES, 0.02))?;
    let traffic = Traffic::start(run, alone.listen, 6, 150, &[0]);
    sleep(ms(15_000));
    Ok(lost(&traffic.finish()))
}

/// A fleet of one instance, by the command of the deploy file.
struct Fleet {
    folder: std::path::PathBuf,
    listen: SocketAddr,
    supervisor: std::process::Child,
}

impl Fleet {
    fn start(run: &Run, discovery: &Discovery, known: &str, policy: &str) -> Result<Fleet, String> {
        let (listen, path) = (free_address(), run.folder.join("config.json"));
        write_whole(&path, &config("n1", listen, discovery.addr, known, &settings(&CLASSES, 0.02)));
        let text = format!(
            "[fleet]\nstate = \"{}\"\n{policy}\n\n[[instance]]\nname = \"n1\"\nlisten = \"{listen}\"\nconfig = \"{}\"\n",
            run.folder.join("state").display(),
            path.display()
        );
        write_whole(&run.folder.join("fleet.toml"), &text);
        let log = std::fs::File::create(run.folder.join("fleet.log")).unwrap();
        let mut command = Fleet::command(&run.folder, "run");
        let supervisor = command.stdout(log.try_clone().unwrap()).stderr(log).spawn().unwrap();
        let fleet = Fleet { folder: run.folder.clone(), listen, supervisor };
        match wait_ready(listen, Duration::from_secs(10)) {
            true => Ok(fleet),
            false => Err("the fleet is not ready".into()),
        }
    }

    fn command(folder: &std::path::Path, command: &str) -> std::process::Command {
        let mut started = std::process::Command::new("/bin/sh");
        started.arg("-c").arg(format!("{} fleet {command} \"$0\"", run_command()));
        started.arg(folder.join("fleet.toml")).current_dir(root()).env("TMPDIR", folder);
        started
    }

    fn ask(&self, run: &Run, command: &str) {
        run.record.line("fleet", command);
        let output = Fleet::command(&self.folder, command).output();
        run.record.line("fleet", &format!("{command}: {output:?}"));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = Fleet::command(&self.folder, "stop").output();
        let _ = self.supervisor.kill();
        let _ = self.supervisor.wait();
        // An instance is a process of its own, which would outlive a supervisor that was killed.
        let lock = std::fs::read_to_string(self.folder.join("state/instances/n1/lock")).unwrap_or_default();
        let name = |pid: u32| std::fs::read_to_string(format!("/proc/{pid}/comm")).unwrap_or_default();
        if let Some(pid) = lock.trim().parse::<u32>().ok().filter(|pid| name(*pid).starts_with("bellcroft")) {
            kill_process(pid);
        }
    }
}

/// A rolling restart while a backend hangs.
pub fn roll(run: &Run) -> Verdict {
    let world = world(run);
    let hang: Arc<AtomicBool> = Arc::default();
    let hangs = hang.clone();
    let backends =
        backends(&world, 5, move |got| match hangs.load(Ordering::SeqCst) && got.backend.as_str() <= "s-1" {
            true => Act::Hang,
            false => Act::Serve(15),
        });
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let fleet = Fleet::start(run, &discovery, &discovery.list(None), "")?;
    let traffic = Traffic::start(run, fleet.listen, 12, 150, &[0, 1, 2]);
    sleep(ms(3000));
    hang.store(run.trouble, Ordering::SeqCst);
    sleep(ms(100));
    fleet.ask(run, "restart");
    sleep(ms(3000));
    Ok(lost(&traffic.finish()))
}

/// An outage of discovery of a minute, into a rolling restart.
pub fn outage(run: &Run) -> Verdict {
    let world = world(run);
    let backends = backends(&world, 5, |_| Act::Serve(15));
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let fleet = Fleet::start(run, &discovery, "null", "ready_within = \"5s\"")?;
    let traffic = Traffic::start(run, fleet.listen, 4, 500, &[0, 1, 2]);
    sleep(ms(2000));
    if run.trouble {
        discovery.go_down();
    }
    sleep(ms(1000));
    let restarted_at = Instant::now();
    fleet.ask(run, "restart");
    sleep(ms(63_000).saturating_sub(restarted_at.elapsed()));
    if run.trouble {
        discovery.go_up();
    }
    let up_at = run.record.now();
    sleep(ms(14_000));
    let answers = traffic.finish();
    fleet.ask(run, "status");
    // What discovery has counts as told 6 s after it can be reached.
    let after: Vec<Answer> = answers.into_iter().filter(|a| a.sent_ms > up_at + 6000.0).collect();
    if after.is_empty() {
        return Err("no request was sent after the outage".into());
    }
    Ok(lost(&after))
}

/// Two new configurations within 2 s: the first makes a class's group wider, the second leaves the class as it is.
pub fn transition(run: &Run) -> Verdict {
    let world = world(run);
    // The backends of one zone drop a repeat, until all of them do 2 s after the settings say so.
    let window = CLASSES[1].window_ms as f64;
    let resets: Arc<AtomicBool> = Arc::default();
    let memories = [Memory::default(), Memory::default()];
    let backends: Vec<Backend> = (0..4)
        .map(|i| {
            let resets = resets.clone();
            let choice = move |got: &Got| match resets.load(Ordering::SeqCst) && got.number % 2 == 0 {
                true => Act::Reset(10),
                false => Act::Serve(15),
            };
            Backend::start(&world, &format!("s-{i}"), &memories[i % 2], window, Arc::new(choice))
        })
        .collect();
    let discovery = discovery(run, &backends, |i| ZONES[i % 2]);
    let alone = alone(run, &discovery, &settings(&CLASSES, 0.02))?;
    let traffic = Traffic::start(run, alone.listen, 8, 100, &[1]);
    sleep(ms(2000));
    resets.store(true, Ordering::SeqCst);
    let mut wider = CLASSES;
    wider[1].group = "all";
    let reload = |waste: f64| {
        write_whole(
            &alone.config,
            &config("n1", alone.listen, alone.discovery, &alone.known, &settings(&wider, waste)),
        );
        alone.agent.signal(SIGHUP);
    };
    let first_at = run.record.now();
    reload(0.02);
    sleep(ms(400));
    if run.trouble {
        reload(0.03);
    }
    sleep(ms(1300));
    resets.store(false, Ordering::SeqCst);
    sleep(ms(1000));
    traffic.finish();
    let got = world.got.lock().unwrap();
    let mut broken = Vec::new();
    let in_time = |got: &&Got| got.at_ms > first_at && got.at_ms < first_at + 1900.0;
    for run_again in got.iter().filter(in_time) {
        let zone = |got: &Got| got.backend.trim_start_matches("s-").parse::<usize>().unwrap() % 2;
        let before = got.iter().find(|g| g.key == run_again.key && g.ran && g.at_ms < run_again.at_ms);
        if let Some(before) = before.filter(|b| run_again.ran && zone(b) != zone(run_again)) {
            broken.push(format!(
                "{:?} ran at {} and {:.0} ms later at {}, of another zone, {:.0} ms after the first new configuration",
                before.key, before.backend, run_again.at_ms - before.at_ms, run_again.backend, run_again.at_ms - first_at
            ));
        }
    }
    Ok(broken)
}
