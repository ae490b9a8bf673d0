//! Case 3: clients that stop in the middle of a request leave the requests of a sound client without an answer.

#[path = "../stand_ins/common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BACKENDS: usize = 9;
const WORK_MS: f64 = 35.0;
/// The agent's limit of descriptors; the pages name 1,024 as the most.
const SOCKETS: u32 = 512;
/// The disruption: this many clients send half of a request and stay until the agent ends them.
const STALLED: usize = 260;
/// The application: one request every 100 ms, each on a connection of its own.
const REQUESTS: usize = 60;
const INTERVAL_MS: f64 = 100.0;
/// A request is lost if its answer comes later than this after its time: half a second, and 50 ms on sockets.
const SLACK: Duration = Duration::from_millis(550);

fn backend(index: usize, record: Record) -> Host {
    let cores = Cores::new(3);
    let address = listen(move |stream| {
        let mut wire = Wire::new(stream);
        while let Ok(Some(message)) = wire.read() {
            let id = message.header("x-request-id").unwrap_or_default().to_owned();
            let told = message.header("x-timeout").unwrap_or_default().to_owned();
            record.line(&format!("backend {index} got {id}, told X-Timeout {told}"));
            cores.work(ms(WORK_MS));
            if wire.send(&response("200 OK", "", &format!("made for {id}"))).is_err() {
                return;
            }
        }
    });
    Host::new(index, address)
}

/// A client that sends half of a request and stays; it records when the agent ends it.
fn stalled(number: usize, address: SocketAddr, record: &Record) {
    let Ok(mut wire) = Wire::connect(address) else { return };
    let whole = request(READ, &format!("stalled-{number:08}"), READ.deadline_ms);
    let began = Instant::now();
    if wire.send(&whole[..whole.len() / 2]).is_err() {
        return;
    }
    let end = wire.read().map(|answer| answer.map(|answer| answer.status()));
    record.line(&format!("stalled client {number} was ended after {:.2} s: {end:?}", began.elapsed().as_secs_f64()));
}

/// Sends a request on a new connection and returns how long its answer took; none if it never came. If the connection is
/// closed with no answer, the client sends the request once more on a new one, as the protocol page has it.
fn ask(id: &str, address: SocketAddr, record: &Record) -> Option<Duration> {
    let sent = Instant::now();
    for _ in 0..2 {
        let Ok(mut wire) = Wire::connect(address) else { continue };
        // It waits longer than the rule allows, so that the record shows when an answer came after all.
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
        record.line(&format!("client sends {id} on a new connection"));
        if wire.send(&request(READ, id, READ.deadline_ms)).is_err() {
            continue;
        }
        match wire.read() {
            Ok(Some(answer)) => {
                let took = sent.elapsed();
                record.line(&format!("client got {} for {id} after {:.0} ms", answer.status(), took.as_secs_f64() * 1e3));
                return Some(took);
            }
            end => record.line(&format!("client got no answer for {id}: {end:?}")),
        }
    }
    None
}

fn main() {
    let record = Record::create();
    let hosts = (0..BACKENDS).map(|index| backend(index, record.clone())).collect();
    let discovery = Discovery::start(hosts, record.clone());
    let mut agent = Agent::start(&discovery, SOCKETS);
    let address = agent.address;
    for number in 0..10 {
        if ask(&format!("warm-up-{number:08}"), address, &record).is_none() {
            finish(agent, &record, COULD_NOT_RUN, "could not run: no answer before the disruption");
        }
    }
    if trouble() {
        for number in 0..STALLED {
            let record = record.clone();
            thread::spawn(move || stalled(number, address, &record));
        }
        thread::sleep(ms(150.0));
    }
    let late = Arc::new(Mutex::new((0, 0, Duration::ZERO)));
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (late, record) = (late.clone(), record.clone());
            let request = thread::spawn(move || {
                let took = ask(&format!("request-{number:08}"), address, &record);
                let limit = Duration::from_millis(READ.deadline_ms) + SLACK;
                let mut late = late.lock().unwrap();
                match took {
                    Some(took) if took <= limit => late.0 += 1,
                    took => {
                        late.1 += 1;
                        late.2 = late.2.max(took.unwrap_or(Duration::from_secs(10)));
                    }
                }
            });
            thread::sleep(ms(INTERVAL_MS));
            request
        })
        .collect();
    requests.into_iter().for_each(|request| drop(request.join()));
    let (in_time, lost, longest) = *late.lock().unwrap();
    record.say(&format!(
        "requests of the application {REQUESTS}: answered within their time and half a second {in_time}, lost {lost} \
         (the longest wait {:.2} s, their time {:.1} s)",
        longest.as_secs_f64(),
        READ.deadline_ms as f64 / 1e3
    ));
    if !agent.is_alive() {
        finish(agent, &record, BROKEN, "BROKEN: the agent has ended");
    }
    match lost {
        0 => finish(agent, &record, HELD, "held: every request got its answer"),
        n => finish(agent, &record, BROKEN, &format!("BROKEN: {n} requests got no answer by half a second after their time")),
    }
}
