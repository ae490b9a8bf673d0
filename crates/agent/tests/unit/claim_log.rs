//! The log of claims, as several processes read and write it.

use super::*;

const NOW: Time = Time(1_000_000);

fn claimed(id: u64, by: u64) -> ClaimEvent {
    ClaimEvent::Claimed(RequestIdHash(id), Claimant(by))
}

fn read(log: &mut ClaimLog, now: Time) -> Vec<ClaimEvent> {
    let mut events = Vec::new();
    log.read_new(now, |event| events.push(event)).expect("it can be read");
    events
}

fn joined(log: &ClaimLog) -> ClaimLog {
    ClaimLog::join(log.share().expect("a descriptor"), NOW)
}

#[test]
fn each_process_reads_all_events_once_in_one_order() {
    let mut one = ClaimLog::create(NOW).expect("a log");
    one.append(&[claimed(1, 1), claimed(2, 1)]).expect("memory");
    let mut other = joined(&one);
    other.append(&[claimed(1, 2)]).expect("memory");
    let released = ClaimEvent::Released(RequestIdHash(1), Claimant(1));
    one.append(&[released]).expect("memory");
    let events = [claimed(1, 1), claimed(2, 1), claimed(1, 2), released];
    assert_eq!(read(&mut one, NOW), events);
    assert_eq!(read(&mut other, NOW), events);
    assert_eq!(read(&mut other, NOW), []);
    assert_eq!(read(&mut joined(&other), NOW), events, "a process that joins later");
}

/// Threads stand for processes: of many claims to one id, all see the same one first.
#[test]
fn claims_in_one_moment_have_one_order() {
    let log = ClaimLog::create(NOW).expect("a log");
    let logs: Vec<ClaimLog> = (0..8).map(|_| joined(&log)).collect();
    let first_claims = |(number, mut log): (usize, ClaimLog)| {
        std::thread::spawn(move || {
            for id in 0..2_000 {
                log.append(&[claimed(id, number as u64)]).expect("memory");
            }
            log
        })
    };
    let threads: Vec<_> = logs.into_iter().enumerate().map(first_claims).collect();
    let mut logs: Vec<ClaimLog> =
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect();
    let orders: Vec<Vec<ClaimEvent>> = logs.iter_mut().map(|log| read(log, NOW)).collect();
    assert_eq!(orders[0].len(), 16_000);
    assert!(orders.iter().all(|order| *order == orders[0]));
}

#[test]
fn expired_part_is_given_back() {
    let mut log = ClaimLog::create(NOW).expect("a log");
    let many: Vec<ClaimEvent> = (0..100_000).map(|id| claimed(id, 1)).collect();
    let mut now = NOW;
    for _ in 0..4 {
        log.append(&many).expect("memory");
        now = now + RETENTION * 3.0;
        assert_eq!(read(&mut log, now).len(), many.len());
    }
    let blocks = std::os::unix::fs::MetadataExt::blocks(&log.file.metadata().expect("a file")) * 512;
    assert!(blocks < 2 * (many.len() * RECORD_BYTES) as u64, "{blocks} bytes of four times as many");
    let seen = read(&mut joined(&log), now).len();
    assert!(seen > 0 && seen < 4 * many.len(), "the latest, and not what was given back: {seen}");
}

/// Nobody can tell which claim came first behind a part of a record.
#[test]
fn part_of_a_record_makes_the_log_unreadable() {
    let mut log = ClaimLog::create(NOW).expect("a log");
    log.append(&[claimed(1, 1)]).expect("memory");
    log.file.write_all(&encode(claimed(2, 1))[..7]).expect("memory");
    let mut other = joined(&log);
    other.append(&[claimed(2, 2)]).expect("memory");
    assert!(log.read_new(NOW, |_| ()).is_err() && other.read_new(NOW, |_| ()).is_err());
}
