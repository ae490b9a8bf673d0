//! The log after crashes and failures at any storage call, and with truncated or corrupt segments.

use bellcroft_attempt_log::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;

/// A folder in memory that counts calls and can fail them. Of each file it holds the written bytes, which survive a killed
/// process, and the number of synced bytes, which survive a power failure.
#[derive(Debug, Clone, Default)]
struct MemoryStorage {
    files: BTreeMap<String, (Vec<u8>, usize)>,
    calls: usize,
    /// Number of the call at which the process is killed: this call and all later ones fail. If it is an append, it writes
    /// a part of its bytes.
    killed_at: Option<usize>,
    /// Numbers of calls that fail because the disk is full.
    full_at: Vec<usize>,
}

impl MemoryStorage {
    /// Counts a call. An error comes with the part of an append that is written, in tenths.
    fn call(&mut self) -> Result<(), (usize, io::Error)> {
        self.calls += 1;
        if self.killed_at.is_some_and(|at| self.calls >= at) {
            let part = if self.killed_at == Some(self.calls) { 5 } else { 0 };
            return Err((part, io::ErrorKind::BrokenPipe.into()));
        }
        if self.full_at.contains(&self.calls) {
            return Err((3, io::ErrorKind::StorageFull.into()));
        }
        Ok(())
    }

    /// The files after the process was killed, or after a power failure.
    fn after_crash(&self, power_failed: bool) -> MemoryStorage {
        let remaining = |(bytes, synced): &(Vec<u8>, usize)| {
            let kept = if power_failed { *synced } else { bytes.len() };
            (bytes[..kept].to_vec(), kept)
        };
        let files = self.files.iter().map(|(name, file)| (name.clone(), remaining(file))).collect();
        MemoryStorage { files, ..MemoryStorage::default() }
    }
}

impl Storage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.files.get(name).map(|(bytes, _)| bytes.clone()).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let (part, failed) = match self.call() {
            Ok(()) => (10, None),
            Err((part, e)) => (part, Some(e)),
        };
        if part > 0 {
            self.files.entry(name.to_owned()).or_default().0.extend(&bytes[..bytes.len() * part / 10]);
        }
        failed.map_or(Ok(()), Err)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.call().map_err(|(_, e)| e)?;
        if let Some((bytes, synced)) = self.files.get_mut(name) {
            *synced = bytes.len();
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: usize) -> io::Result<()> {
        self.call().map_err(|(_, e)| e)?;
        if let Some((bytes, synced)) = self.files.get_mut(name) {
            bytes.truncate(length);
            *synced = (*synced).min(length);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.call().map_err(|(_, e)| e)?;
        self.files.remove(name);
        Ok(())
    }
}

fn received(request: u64) -> Record {
    let id = format!("id-{request}").into_bytes();
    let key = format!("key-{}", request / 2).into_bytes();
    let (class, tenant) = ("log-session".to_owned(), "acme".to_owned());
    let (wall_ms, at_us, deadline_us) = (5_000 + request, request * 10, request * 10 + 700_000);
    Record::Received { request, id, key, class, tenant, wall_ms, at_us, deadline_us }
}

fn intent(request: u64) -> Record {
    let (server, address) = (format!("s{}", request % 7), "127.0.0.1:1".to_owned());
    let remaining_window_us = Some(7_500_000);
    Record::Intent {
        request,
        attempt: 0,
        server,
        address,
        at_us: request * 10 + 1,
        remaining_window_us,
        written_late: false,
    }
}

fn outcome(request: u64, outcome: Outcome) -> Record {
    Record::Outcome { request, attempt: 0, outcome, at_us: request * 10 + 5 }
}

/// What actually happened, independent of the log.
#[derive(Debug, Default)]
struct GroundTruth {
    /// Requests whose first byte was sent.
    sent: Vec<u64>,
    /// Sent requests that got a response.
    responded: Vec<u64>,
    /// Sent requests whose intent could not be written.
    unrecorded: Vec<u64>,
    /// Requests whose intent was written with `Ok`.
    recorded: Vec<u64>,
}

/// Runs 40 requests with intent, send and outcome in the order of the agent, until the process is killed.
fn run_requests(disk: &mut MemoryStorage, policy: LogPolicy, start: u64) -> (GroundTruth, LogWriter) {
    let mut log = LogWriter::new(Incarnation(start), "n0", start * 1_000_000, policy, &Recovery::default());
    let mut truth = GroundTruth::default();
    for request in 0..40 {
        let now = request * 10;
        let written = log.write(disk, now, &[received(request), intent(request)]);
        if disk.killed_at.is_some_and(|at| disk.calls >= at) {
            break;
        }
        match written {
            Ok(()) => truth.recorded.push(request),
            // Requests continue if the log fails.
            Err(_) => truth.unrecorded.push(request),
        }
        truth.sent.push(request);
        if request % 4 != 3 {
            truth.responded.push(request);
            let _ = log.write(disk, now + 5, &[outcome(request, Outcome::Answered)]);
        }
        if policy.sync == SyncPolicy::Interval && request % 8 == 7 {
            let _ = log.sync(disk);
        }
        if disk.killed_at.is_some_and(|at| disk.calls >= at) {
            break;
        }
    }
    (truth, log)
}

/// Checks the recovered histories against what actually happened.
fn check_guarantees(truth: &GroundTruth, index: &HistoryIndex, must_be_complete: bool, context: &str) {
    // A request whose first record is lost has no id.
    let named = index.iter().filter(|request| !request.id.is_empty());
    let known: BTreeMap<Vec<u8>, State> =
        named.map(|request| (request.id.clone(), request.state())).collect();
    let state = |request: &u64| known.get(format!("id-{request}").as_bytes()).copied();
    for request in &truth.sent {
        assert_ne!(state(request), Some(State::NeverSent), "{context}: {request} was sent");
    }
    for (id, state) in &known {
        if *state == State::Answered {
            let responded = truth.responded.iter().any(|n| format!("id-{n}").as_bytes() == id.as_slice());
            assert!(responded, "{context}: {} had no response", String::from_utf8_lossy(id));
        }
    }
    if must_be_complete {
        for request in &truth.recorded {
            assert!(state(request).is_some(), "{context}: {request} was written and is missing");
        }
    }
}

const MAX_SEGMENT_BYTES: usize = 700;

/// Kills the process or fails the power at every storage call, also in the middle of a write. Then kills the recovery three
/// times, at its first, second and third call.
#[test]
fn crash_at_any_storage_call_keeps_all_guarantees() {
    for sync in [SyncPolicy::Never, SyncPolicy::Interval, SyncPolicy::EveryWrite] {
        let policy = LogPolicy { sync, max_segment_bytes: MAX_SEGMENT_BYTES, ..LogPolicy::default() };
        let mut uninterrupted = MemoryStorage::default();
        run_requests(&mut uninterrupted, policy, 1);
        assert!(
            uninterrupted.calls > 60 && uninterrupted.files.len() > 5,
            "{sync:?}: segments must be rotated"
        );
        for killed_at in 1..=uninterrupted.calls + 1 {
            for power_failed in [false, true] {
                let mut disk = MemoryStorage { killed_at: Some(killed_at), ..MemoryStorage::default() };
                let (truth, _) = run_requests(&mut disk, policy, 1);
                let left = disk.after_crash(power_failed);
                let context = format!("{sync:?}, call {killed_at}, power failure {power_failed}");
                let mut restarted = left.clone();
                for recovery_killed_at in 1..=3 {
                    restarted.calls = 0;
                    restarted.killed_at = Some(recovery_killed_at);
                    let _ = recover(&mut restarted);
                    restarted = restarted.after_crash(false);
                }
                let recovery = recover(&mut restarted).expect("listable storage");
                // After a kill only the segment that was being started may lack its header.
                assert!(
                    power_failed || recovery.unreadable.len() <= 1,
                    "{context}: {:?}",
                    recovery.unreadable
                );
                let index = HistoryIndex::new(&recovery);
                // A power failure may lose everything that was not synced; a kill loses nothing that was written.
                check_guarantees(&truth, &index, !power_failed || sync == SyncPolicy::EveryWrite, &context);
                // A second recovery finds no more tails to quarantine, and the same requests.
                let second = recover(&mut restarted).expect("listable storage");
                assert!(second.quarantined.is_empty(), "{context}");
                assert_eq!(HistoryIndex::new(&second).iter().count(), index.iter().count(), "{context}");
            }
        }
    }
}

/// The disk is full for six calls. Requests continue, only the records of these calls are lost, and the gap is written once
/// there is space.
#[test]
fn full_disk_loses_only_its_records_and_writes_gap() {
    for first in 1..60 {
        let mut disk = MemoryStorage { full_at: (first..first + 6).collect(), ..MemoryStorage::default() };
        let (truth, log) = run_requests(
            &mut disk,
            LogPolicy { max_segment_bytes: MAX_SEGMENT_BYTES, ..LogPolicy::default() },
            1,
        );
        assert_eq!(truth.sent.len(), 40, "requests must continue");
        assert_eq!(log.unreported_losses(), 0);
        let found = recover(&mut disk.after_crash(false)).expect("listable storage");
        let index = HistoryIndex::new(&found);
        check_guarantees(&truth, &index, true, &format!("full from call {first}"));
        assert!(index.lost_records > 0, "{first}: the gap must be recorded");
    }
}

#[test]
fn oldest_segments_are_removed_first() {
    let mut disk = MemoryStorage::default();
    let policy = LogPolicy {
        max_segment_bytes: MAX_SEGMENT_BYTES,
        max_total_bytes: 4 * MAX_SEGMENT_BYTES,
        ..LogPolicy::default()
    };
    run_requests(&mut disk, policy, 1);
    let all: usize = disk.files.values().map(|(bytes, _)| bytes.len()).sum();
    assert!(all <= 5 * MAX_SEGMENT_BYTES + 500, "{all} bytes remain");
    let index = HistoryIndex::new(&recover(&mut disk).expect("listable storage"));
    assert!(index.iter().any(|request| request.id == b"id-39"), "the newest request must be there");
    assert!(!index.iter().any(|request| request.id == b"id-0"), "the oldest request must be removed");
}

/// One folder holds segments of two incarnations, the later one written first, a segment of a newer format, and
/// files that are not segments.
#[test]
fn incarnations_are_separate_and_foreign_files_untouched() {
    let mut disk = MemoryStorage::default();
    let policy = LogPolicy { max_segment_bytes: MAX_SEGMENT_BYTES, ..LogPolicy::default() };
    run_requests(&mut disk, policy, 9);
    let (_, _) = run_requests(&mut disk, policy, 2);
    let mut newer = disk.files.values().next().expect("a segment").0.clone();
    newer[8] = 200;
    disk.files.insert("ledger-newer-0.log".into(), (newer.clone(), newer.len()));
    disk.files.insert("ledger-noise-0.log".into(), (b"noise".to_vec(), 5));
    disk.files.insert("notes.txt".into(), (b"mine".to_vec(), 4));
    let found = recover(&mut disk).expect("listable storage");
    let errors: Vec<String> = found.unreadable.iter().map(|file| file.error.to_string()).collect();
    assert_eq!(
        errors,
        [
            "format version 200 is not supported; this program reads versions up to 1",
            "not a segment of an attempt log"
        ]
    );
    assert_eq!(disk.files["ledger-newer-0.log"].0, newer, "the file must be unchanged");
    let index = HistoryIndex::new(&found);
    assert_eq!(index.iter().count(), 80, "requests of different incarnations are distinct");
    assert_eq!(index.with_key(b"key-3").len(), 4, "a client's retry has another id and the same key");
}

/// The state for each combination of records.
#[test]
fn state_claims_no_more_than_records_prove() {
    let history_of = |records: Vec<Record>| {
        let mut disk = MemoryStorage::default();
        let mut log =
            LogWriter::new(Incarnation(1), "n0", 1_000_000, LogPolicy::default(), &Recovery::default());
        log.write(&mut disk, 0, &records).expect("storage in memory");
        let index = HistoryIndex::new(&recover(&mut disk).expect("listable storage"));
        let request = index.iter().next().expect("one").clone();
        (request.state(), request.retry_safe_until_ms(), request.may_have_run().count())
    };
    let completed = |response| Record::Completed { request: 0, response, at_us: 9 };
    let until = Some(1_000_000 + 7_500);
    assert_eq!(history_of(vec![received(0)]), (State::NeverSent, None, 0));
    assert_eq!(history_of(vec![received(0), completed(FinalResponse::Rejected)]), (State::Rejected, None, 0));
    assert_eq!(history_of(vec![received(0), intent(0)]), (State::Unknown, until, 1));
    let unknown = outcome(0, Outcome::Unknown);
    assert_eq!(history_of(vec![received(0), intent(0), unknown.clone()]), (State::Unknown, until, 1));
    assert_eq!(
        history_of(vec![received(0), intent(0), unknown, completed(FinalResponse::Failed)]),
        (State::Failed, until, 1)
    );
    let rejected = outcome(0, Outcome::Rejected);
    assert_eq!(history_of(vec![received(0), intent(0), rejected.clone()]), (State::NeverSent, None, 0));
    assert_eq!(
        history_of(vec![received(0), intent(0), rejected, completed(FinalResponse::Rejected)]),
        (State::Rejected, None, 0)
    );
    let answered = outcome(0, Outcome::Answered);
    assert_eq!(history_of(vec![received(0), intent(0), answered]).0, State::Answered);
}

fn segment() -> (Vec<u8>, Vec<Record>) {
    let mut disk = MemoryStorage::default();
    let mut log = LogWriter::new(Incarnation(1), "n0", 7, LogPolicy::default(), &Recovery::default());
    let records: Vec<Record> =
        (0..12).flat_map(|n| [received(n), intent(n), outcome(n, Outcome::Answered)]).collect();
    log.write(&mut disk, 0, &records).expect("storage in memory");
    (disk.files.into_values().next().expect("a segment").0, records)
}

fn read_back(bytes: &[u8]) -> Option<Vec<segment::Item>> {
    // Limited to one item per byte and one more, in case the iterator does not end.
    Some(segment::open(bytes).ok()?.1.take(bytes.len() + 1).collect())
}

fn records(items: &[segment::Item]) -> Vec<Record> {
    let record = |item: &segment::Item| match item {
        segment::Item::Record(record, _) => Some(record.clone()),
        segment::Item::Corrupt(_) | segment::Item::Tail(_) => None,
    };
    items.iter().filter_map(record).collect()
}

/// Whether `some` is a subsequence of `all`.
fn is_subsequence(some: &[Record], all: &[Record]) -> bool {
    let mut rest = all.iter();
    some.iter().all(|one| rest.any(|other| other == one))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// A flipped bit loses at most the record that contains it.
    #[test]
    fn flipped_bit_loses_at_most_one_record(place in 0.0..1.0_f64, bit in 0..8_u32) {
        let (mut bytes, all) = segment();
        let at = (place * bytes.len() as f64) as usize;
        bytes[at] ^= 1 << bit;
        if let Some(items) = read_back(&bytes) {
            let read = records(&items);
            prop_assert!(is_subsequence(&read, &all));
            prop_assert!(read.len() + 1 >= all.len());
        }
    }

    /// What is read from a truncated segment is a prefix of its records.
    #[test]
    fn truncation_keeps_all_records_before_it(place in 0.0..1.0_f64) {
        let (bytes, all) = segment();
        let cut = &bytes[..(place * bytes.len() as f64) as usize];
        if let Some(items) = read_back(cut) {
            let read = records(&items);
            prop_assert_eq!(&read[..], &all[..read.len()]);
        }
    }

    /// If a range of bytes is replaced by noise, every record that is read was written.
    #[test]
    fn noise_yields_no_record_that_was_not_written(
        noise in proptest::collection::vec(any::<u8>(), 0..300), from in 0.0..1.0_f64, to in 0.0..1.0_f64,
    ) {
        let (mut bytes, all) = segment();
        let (a, b) = ((from * bytes.len() as f64) as usize, (to * bytes.len() as f64) as usize);
        bytes.splice(a.min(b)..a.max(b), noise);
        if let Some(items) = read_back(&bytes) {
            prop_assert!(is_subsequence(&records(&items), &all));
        }
    }

    /// Reading arbitrary bytes after a segment's start ends.
    #[test]
    fn arbitrary_bytes_are_read_to_their_end(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let (valid_segment, _) = segment();
        let header = valid_segment.len() - segment::open(&valid_segment).expect("good").1.count().min(valid_segment.len());
        let mut all = valid_segment[..header.min(60)].to_vec();
        all.extend(&bytes);
        prop_assert!(read_back(&all).is_none_or(|items| items.len() <= all.len()));
    }

    /// Ids and keys with any bytes and of any length are read back, truncated if they are too long.
    #[test]
    fn names_of_any_length_are_read_back_truncated(
        id in proptest::collection::vec(any::<u8>(), 0..600), key in proptest::collection::vec(any::<u8>(), 0..600),
        class in ".{0,400}",
    ) {
        let Record::Received { request, wall_ms, at_us, deadline_us, tenant, .. } = received(1) else { unreachable!() };
        let record = Record::Received { request, id, key, class, tenant, wall_ms, at_us, deadline_us };
        let mut disk = MemoryStorage::default();
        let mut log = LogWriter::new(Incarnation(1), "n0", 7, LogPolicy::default(), &Recovery::default());
        log.write(&mut disk, 0, std::slice::from_ref(&record)).expect("storage in memory");
        let found = recover(&mut disk).expect("listable storage");
        prop_assert_eq!(&found.segments[0].records[..], &[record.truncated()][..]);
    }
}
