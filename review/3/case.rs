//! Case 3: with new configurations in quick succession and a slow discovery, the agent goes on sending to a backend that drains.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
const WORK_MS: f64 = 35.0;
/// The backend that begins to drain.
const DRAINED: usize = 0;
/// Connections of the application, each with a request every 100 ms in the mean.
const CONNECTIONS: u64 = 10;
/// The disruption: discovery takes this long for each answer (it times calls out after 2 s), and so many configurations
/// come at this interval.
const DISCOVERY_TAKES_MS: f64 = 1800.0;
const CONFIGURATIONS: u32 = 6;
const INTERVAL_MS: f64 = 1600.0;
/// A change counts as told 6 s after discovery had it, and 2 s later nothing new may go out; on sockets 50 ms more for each.
const TOLD_AFTER: Duration = Duration::from_millis(6050);
const GRACE: Duration = Duration::from_millis(2050);
const RUN_AFTER_DRAIN: Duration = Duration::from_secs(14);

type Arrivals = Arc<Mutex<Vec<Instant>>>;

fn backend(index: usize, arrivals: Arrivals, record: Record) -> Host {
    let cores = Cores::new(3);
    let address = listen(move |stream| {
        let mut wire = Wire::new(stream);
        while let Ok(Some(message)) = wire.read() {
            let id = message.header("x-request-id").unwrap_or_default().to_owned();
            arrivals.lock().unwrap().push(message.began);
            record.line(&format!("backend {index} got {id}"));
            cores.work(ms(WORK_MS));
            if wire.send(&response("200 OK", "", &format!("made for {id}"))).is_err() {
                return;
            }
        }
    });
    Host::new(index, address)
}

fn client(number: u64, address: SocketAddr, end: Instant, record: &Record) {
    let mut random = Random::new(number + 7);
    let Ok(mut wire) = Wire::connect(address) else { return };
    for n in 0.. {
        thread::sleep(ms(random.between(20.0, 180.0)));
        if Instant::now() >= end {
            return;
        }
        let id = format!("{number:04x}{n:012x}");
        record.line(&format!("client sent {id}"));
        match wire.send(&request(READ, &id, READ.deadline_ms)).and_then(|()| wire.read()) {
            Ok(Some(answer)) => record.line(&format!("client got {} for {id}", answer.status())),
            end => {
                record.line(&format!("client got no answer for {id}: {end:?}"));
                match Wire::connect(address) {
                    Ok(new) => wire = new,
                    Err(_) => return,
                }
            }
        }
    }
}

fn main() {
    let record = Record::create();
    let arrivals: Vec<Arrivals> = (0..BACKENDS).map(|_| Arrivals::default()).collect();
    let hosts = (0..BACKENDS).map(|index| backend(index, arrivals[index].clone(), record.clone())).collect();
    let discovery = Discovery::start(hosts, record.clone());
    let mut agent = Agent::start(&discovery, 1024);
    let address = agent.address;
    let end = Instant::now() + Duration::from_secs(2) + RUN_AFTER_DRAIN;
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || client(number, address, end, &record))
        })
        .collect();
    thread::sleep(ms(1900.0));
    let reload = |number: u32| {
        if trouble() {
            record.line(&format!("new configuration {number} and SIGHUP"));
            agent.reconfigure(&configuration(address, &discovery, 1024, 6 - number % 2));
        }
    };
    if trouble() {
        discovery.set_delay(ms(DISCOVERY_TAKES_MS));
    }
    reload(1);
    thread::sleep(ms(100.0));
    discovery.set_health(DRAINED, "draining");
    let drained_at = Instant::now();
    record.line(&format!("discovery has it that backend {DRAINED} drains"));
    for number in 2..=CONFIGURATIONS {
        thread::sleep(ms(INTERVAL_MS));
        reload(number);
    }
    clients.into_iter().for_each(|client| drop(client.join()));
    let before = arrivals[DRAINED].lock().unwrap().iter().filter(|at| **at < drained_at).count();
    let after: Vec<Duration> =
        arrivals[DRAINED].lock().unwrap().iter().filter_map(|at| at.checked_duration_since(drained_at)).collect();
    let limit = TOLD_AFTER + GRACE;
    let too_late = after.iter().filter(|after| **after > limit).count();
    let last = after.iter().max().copied().unwrap_or_default();
    record.say(&format!(
        "backend {DRAINED}: {before} requests before it began to drain, {} after that, the last one {:.2} s after it; \
         the limit is {:.2} s, {too_late} came later",
        after.len(),
        last.as_secs_f64(),
        limit.as_secs_f64()
    ));
    if !agent.is_alive() || before == 0 {
        finish(agent, &record, COULD_NOT_RUN, "could not run: the agent has ended, or the backend got nothing before");
    }
    match too_late {
        0 => finish(agent, &record, HELD, "held: nothing new was sent after the grace"),
        n => finish(agent, &record, BROKEN, &format!("BROKEN: {n} new requests were sent to a draining backend after the grace")),
    }
}
