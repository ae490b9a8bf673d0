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

/// The process in the old one's place starts while discovery is down; the old one is killed.
pub fn handover(run: &Run) -> Verdict {
    let world = world(run);
    let backends = backends(&world, 5, |_| Act::Serve(15));
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let (listen, path) = (free_address(), run.folder.join("config.json"));
    write_whole(&path, &config("n1", listen, discovery.addr, "null", &settings(&CLASSES, 0.02)));
    let old = Agent::start(&run.record, "n1", &run.folder, &path, listen, discovery.addr, "old.log");
    if !wait_ready(listen, Duration::from_secs(10)) {
        return Err("the old process is not ready".into());
    }
    let traffic = Traffic::start(run, listen, 6, 150, &[0, 1, 2]);
    sleep(ms(2000));
    if run.trouble {
        discovery.go_down();
    }
    sleep(ms(500));
    let new = Agent::start(&run.record, "n1", &run.folder, &path, listen, discovery.addr, "new.log");
    sleep(ms(1500));
    let killed_at = run.record.now();
    old.signal(SIGKILL);
    sleep(ms(5000));
    let up_at = run.record.now();
    if run.trouble {
        discovery.go_up();
    }
    sleep(ms(4000));
    let answers = traffic.finish();
    drop((old, new));
    // What the killed process held is the client's to retry.
    let after: Vec<Answer> =
        answers.into_iter().filter(|a| a.sent_ms > killed_at + 100.0 && a.sent_ms < up_at + 1000.0).collect();
    Ok(lost(&after))
}

/// A rolling restart while a backend hangs.
pub fn roll(run: &Run) -> Verdict {
    let world = world(run);
    let hang: Arc<AtomicBool> = Arc::default();
    let hangs = hang.clone();
    let backends = backends(&world, 5, move |got| {
        match hangs.load(Ordering::SeqCst) && got.backend <= "s-1".to_owned() {
            true => Act::Hang,
            false => Act::Serve(15),
        }
    });
    let discovery = discovery(run, &backends, |_| ZONES[0]);
    let (listen, path) = (free_address(), run.folder.join("config.json"));
    write_whole(
        &path,
        &config("n1", listen, discovery.addr, &discovery.list(None), &settings(&CLASSES, 0.02)),
    );
    let fleet = run.folder.join("fleet.toml");
    let text = format!(
        "[fleet]\nstate = \"{}\"\n\n[[instance]]\nname = \"n1\"\nlisten = \"{listen}\"\nconfig = \"{}\"\n",
        run.folder.join("state").display(),
        path.display()
    );
    write_whole(&fleet, &text);
    let fleet_command = |command: &str| {
        let mut started = std::process::Command::new("/bin/sh");
        started
            .arg("-c")
            .arg(format!("{} fleet {command} \"$0\"", run_command()))
            .arg(&fleet)
            .current_dir(root())
            .env("TMPDIR", &run.folder);
        started
    };
    let log = std::fs::File::create(run.folder.join("fleet.log")).unwrap();
    let mut supervisor = fleet_command("run").stdout(log.try_clone().unwrap()).stderr(log).spawn().unwrap();
    let verdict = if wait_ready(listen, Duration::from_secs(10)) {
        let traffic = Traffic::start(run, listen, 12, 150, &[0, 1, 2]);
        sleep(ms(3000));
        hang.store(run.trouble, Ordering::SeqCst);
        sleep(ms(100));
        run.record.line("fleet", "restart");
        let rolled = fleet_command("restart").output();
        run.record.line("fleet", &format!("restarted: {rolled:?}"));
        sleep(ms(3000));
        Ok(lost(&traffic.finish()))
    } else {
        Err("the fleet is not ready".into())
    };
    let _ = fleet_command("stop").output();
    let _ = supervisor.kill();
    let _ = supervisor.wait();
    // An instance is a process of its own, which would outlive a supervisor that was killed.
    let lock = std::fs::read_to_string(run.folder.join("state/instances/n1/lock")).unwrap_or_default();
    let name = |pid: u32| std::fs::read_to_string(format!("/proc/{pid}/comm")).unwrap_or_default();
    if let Some(pid) = lock.trim().parse::<u32>().ok().filter(|pid| name(*pid).starts_with("bellcroft")) {
        kill_process(pid);
    }
    verdict
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
