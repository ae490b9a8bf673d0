//! The log truncated anywhere, on storage that fails at any call, and with bits flipped.

use bellcroft_attempt_log::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::io;

/// A folder in memory that counts its calls. Each file has what a killed process leaves, and how much of it a loss of
/// power leaves.
#[derive(Debug, Clone, Default)]
struct Memory {
    files: BTreeMap<String, (Vec<u8>, usize)>,
    calls: usize,
    /// This call and all behind it fail: the process is gone. An append writes a part first.
    dies_at: Option<usize>,
    /// These calls alone fail: a full disk.
    fails: Vec<usize>,
}

impl Memory {
    /// Counts a call; how much of it is done, in parts of ten.
    fn call(&mut self) -> Result<(), (usize, io::Error)> {
        self.calls += 1;
        if self.dies_at.is_some_and(|at| self.calls >= at) {
            let part = if self.dies_at == Some(self.calls) { 5 } else { 0 };
            return Err((part, io::ErrorKind::BrokenPipe.into()));
        }
        if self.fails.contains(&self.calls) {
            return Err((3, io::ErrorKind::StorageFull.into()));
        }
        Ok(())
    }

    /// What is there after the process was killed, or after the power was lost.
    fn after(&self, power: bool) -> Memory {
        let left = |(bytes, synced): &(Vec<u8>, usize)| {
            let kept = if power { *synced } else { bytes.len() };
            (bytes[..kept].to_vec(), kept)
        };
        let files = self.files.iter().map(|(name, file)| (name.clone(), left(file))).collect();
        Memory { files, ..Memory::default() }
    }
}

impl Storage for Memory {
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

/// What really happened, independent of the log.
#[derive(Debug, Default)]
struct World {
    /// Requests whose first byte left.
    sent: Vec<u64>,
    /// Those whose answer came back.
    answered: Vec<u64>,
    /// Those of them that were sent though their intent could not be written.
    unproved: Vec<u64>,
    /// Those whose intent was written with `Ok`.
    promised: Vec<u64>,
}

/// Forty requests: intent, send, outcome, as the agent does it. Ends with the disk.
fn run(disk: &mut Memory, policy: LogPolicy, start: u64) -> (World, LogWriter) {
    let mut log = LogWriter::new(Incarnation(start), "n0", start * 1_000_000, policy, &Recovery::default());
    let mut world = World::default();
    for request in 0..40 {
        let now = request * 10;
        let written = log.write(disk, now, &[received(request), intent(request)]);
        if disk.dies_at.is_some_and(|at| disk.calls >= at) {
            break;
        }
        match written {
            Ok(()) => world.promised.push(request),
            // Requests go on whatever the log does.
            Err(_) => world.unproved.push(request),
        }
        world.sent.push(request);
        if request % 4 != 3 {
            world.answered.push(request);
            let _ = log.write(disk, now + 5, &[outcome(request, Outcome::Answered)]);
        }
        if policy.sync == SyncPolicy::Interval && request % 8 == 7 {
            let _ = log.sync(disk);
        }
        if disk.dies_at.is_some_and(|at| disk.calls >= at) {
            break;
        }
    }
    (world, log)
}

/// The independent reader: what must hold between what happened and what is left of the log.
fn check(world: &World, index: &HistoryIndex, all_must_be_there: bool, at: &str) {
    // A request whose first record is lost has no name.
    let named = index.iter().filter(|request| !request.id.is_empty());
    let known: BTreeMap<Vec<u8>, State> =
        named.map(|request| (request.id.clone(), request.state())).collect();
    let state = |request: &u64| known.get(format!("id-{request}").as_bytes()).copied();
    for request in &world.sent {
        assert_ne!(state(request), Some(State::NeverSent), "{at}: {request} was sent");
    }
    for (id, state) in &known {
        if *state == State::Answered {
            let answered = world.answered.iter().any(|n| format!("id-{n}").as_bytes() == id.as_slice());
            assert!(answered, "{at}: {} had no answer", String::from_utf8_lossy(id));
        }
    }
    if all_must_be_there {
        for request in &world.promised {
            assert!(state(request).is_some(), "{at}: {request} was written and is missing");
        }
    }
}

const SMALL: usize = 700;

/// The process is killed, or the power lost, at every single call of the disk, also half way through a write; then the
/// recovery itself is killed, three times in a row, at each of its calls.
#[test]
fn crash_at_any_storage_call_keeps_all_guarantees() {
    for sync in [SyncPolicy::Never, SyncPolicy::Interval, SyncPolicy::EveryWrite] {
        let policy = LogPolicy { sync, max_segment_bytes: SMALL, ..LogPolicy::default() };
        let mut whole = Memory::default();
        run(&mut whole, policy, 1);
        assert!(whole.calls > 60 && whole.files.len() > 5, "{sync:?}: it rotates");
        for dies_at in 1..=whole.calls + 1 {
            for power in [false, true] {
                let mut disk = Memory { dies_at: Some(dies_at), ..Memory::default() };
                let (world, _) = run(&mut disk, policy, 1);
                let left = disk.after(power);
                let at = format!("{sync:?}, call {dies_at}, power {power}");
                let mut again = left.clone();
                for deaths in 1..=3 {
                    again.calls = 0;
                    again.dies_at = Some(deaths);
                    let _ = recover(&mut again);
                    again = again.after(false);
                }
                let found = recover(&mut again).expect("it can be listed");
                // Of a killed process only the segment that it was beginning may be without its header.
                assert!(power || found.unreadable.len() <= 1, "{at}: {:?}", found.unreadable);
                let index = HistoryIndex::new(&found);
                // Without a sync a loss of power may take all; a kill takes nothing that was handed over.
                check(&world, &index, !power || sync == SyncPolicy::EveryWrite, &at);
                // Once recovered there is nothing left to put aside, and nothing else to find.
                let once_more = recover(&mut again).expect("it can be listed");
                assert!(once_more.quarantined.is_empty(), "{at}");
                assert_eq!(HistoryIndex::new(&once_more).iter().count(), index.iter().count(), "{at}");
            }
        }
    }
}

/// A disk that is full for a while: requests go on, nothing else is lost, and the gap is written once there is space.
#[test]
fn full_disk_loses_only_its_records_and_writes_gap() {
    for first in 1..60 {
        let mut disk = Memory { fails: (first..first + 6).collect(), ..Memory::default() };
        let (world, log) = run(&mut disk, LogPolicy { max_segment_bytes: SMALL, ..LogPolicy::default() }, 1);
        assert_eq!(world.sent.len(), 40, "requests go on");
        assert_eq!(log.unreported_losses(), 0);
        let found = recover(&mut disk.after(false)).expect("it can be listed");
        let index = HistoryIndex::new(&found);
        check(&world, &index, true, &format!("full from call {first}"));
        assert!(index.lost_records > 0, "{first}: the gap is reported");
    }
}

#[test]
fn oldest_segments_are_removed_first() {
    let mut disk = Memory::default();
    let policy = LogPolicy { max_segment_bytes: SMALL, max_total_bytes: 4 * SMALL, ..LogPolicy::default() };
    run(&mut disk, policy, 1);
    let all: usize = disk.files.values().map(|(bytes, _)| bytes.len()).sum();
    assert!(all <= 5 * SMALL + 500, "{all} bytes are kept");
    let index = HistoryIndex::new(&recover(&mut disk).expect("it can be listed"));
    assert!(index.iter().any(|request| request.id == b"id-39"), "the newest are there");
    assert!(!index.iter().any(|request| request.id == b"id-0"), "the oldest are not");
}

/// Two starts in one folder, their segments in any order of names; a newer form, and a file that is none of it.
#[test]
fn incarnations_are_separate_and_foreign_files_untouched() {
    let mut disk = Memory::default();
    let policy = LogPolicy { max_segment_bytes: SMALL, ..LogPolicy::default() };
    run(&mut disk, policy, 9);
    let (_, _) = run(&mut disk, policy, 2);
    let mut newer = disk.files.values().next().expect("a segment").0.clone();
    newer[8] = 200;
    disk.files.insert("ledger-newer-0.log".into(), (newer.clone(), newer.len()));
    disk.files.insert("ledger-noise-0.log".into(), (b"noise".to_vec(), 5));
    disk.files.insert("notes.txt".into(), (b"mine".to_vec(), 4));
    let found = recover(&mut disk).expect("it can be listed");
    let why: Vec<String> = found.unreadable.iter().map(|file| file.error.to_string()).collect();
    assert_eq!(why, ["it is of form 200; this program reads up to 1", "it is no segment of a ledger"]);
    assert_eq!(disk.files["ledger-newer-0.log"].0, newer, "it stays as it is");
    let index = HistoryIndex::new(&found);
    assert_eq!(index.iter().count(), 80, "equal numbers of two starts are two requests");
    assert_eq!(index.with_key(b"key-3").len(), 4, "a client's retry has another id and the same key");
}

/// Each state, from the least to the most that is known.
#[test]
fn state_claims_no_more_than_records_prove() {
    let of = |records: Vec<Record>| {
        let mut disk = Memory::default();
        let mut log =
            LogWriter::new(Incarnation(1), "n0", 1_000_000, LogPolicy::default(), &Recovery::default());
        log.write(&mut disk, 0, &records).expect("it is memory");
        let index = HistoryIndex::new(&recover(&mut disk).expect("it can be listed"));
        let request = index.iter().next().expect("one").clone();
        (request.state(), request.retry_safe_until_ms(), request.may_have_run().count())
    };
    let last = |answer| Record::Completed { request: 0, response: answer, at_us: 9 };
    let until = Some(1_000_000 + 7_500);
    assert_eq!(of(vec![received(0)]), (State::NeverSent, None, 0));
    assert_eq!(of(vec![received(0), last(FinalResponse::Rejected)]), (State::Rejected, None, 0));
    assert_eq!(of(vec![received(0), intent(0)]), (State::Unknown, until, 1));
    let broken = outcome(0, Outcome::Unknown);
    assert_eq!(of(vec![received(0), intent(0), broken.clone()]), (State::Unknown, until, 1));
    assert_eq!(
        of(vec![received(0), intent(0), broken, last(FinalResponse::Failed)]),
        (State::Failed, until, 1)
    );
    let away = outcome(0, Outcome::Rejected);
    assert_eq!(of(vec![received(0), intent(0), away.clone()]), (State::NeverSent, None, 0));
    assert_eq!(
        of(vec![received(0), intent(0), away, last(FinalResponse::Rejected)]),
        (State::Rejected, None, 0)
    );
    let answered = outcome(0, Outcome::Answered);
    assert_eq!(of(vec![received(0), intent(0), answered]).0, State::Answered);
}

fn segment() -> (Vec<u8>, Vec<Record>) {
    let mut disk = Memory::default();
    let mut log = LogWriter::new(Incarnation(1), "n0", 7, LogPolicy::default(), &Recovery::default());
    let records: Vec<Record> =
        (0..12).flat_map(|n| [received(n), intent(n), outcome(n, Outcome::Answered)]).collect();
    log.write(&mut disk, 0, &records).expect("it is memory");
    (disk.files.into_values().next().expect("a segment").0, records)
}

fn read_back(bytes: &[u8]) -> Option<Vec<segment::Item>> {
    // As many items as bytes at most, or reading would not end.
    Some(segment::open(bytes).ok()?.1.take(bytes.len() + 1).collect())
}

fn records(items: &[segment::Item]) -> Vec<Record> {
    let record = |item: &segment::Item| match item {
        segment::Item::Record(record, _) => Some(record.clone()),
        segment::Item::Corrupt(_) | segment::Item::Tail(_) => None,
    };
    items.iter().filter_map(record).collect()
}

/// Whether `some` is `all` with parts left out.
fn within(some: &[Record], all: &[Record]) -> bool {
    let mut rest = all.iter();
    some.iter().all(|one| rest.any(|other| other == one))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// A flipped bit costs at most the record that it stands in.
    #[test]
    fn flipped_bit_costs_at_most_one_record(place in 0.0..1.0_f64, bit in 0..8_u32) {
        let (mut bytes, all) = segment();
        let at = (place * bytes.len() as f64) as usize;
        bytes[at] ^= 1 << bit;
        if let Some(items) = read_back(&bytes) {
            let read = records(&items);
            prop_assert!(within(&read, &all));
            prop_assert!(read.len() + 1 >= all.len());
        }
    }

    /// A segment that is cut anywhere keeps all complete records before the cut.
    #[test]
    fn truncation_keeps_all_records_before_it(place in 0.0..1.0_f64) {
        let (bytes, all) = segment();
        let cut = &bytes[..(place * bytes.len() as f64) as usize];
        if let Some(items) = read_back(cut) {
            let read = records(&items);
            prop_assert_eq!(&read[..], &all[..read.len()]);
        }
    }

    /// Noise in the middle: every record that is read was written.
    #[test]
    fn noise_yields_no_record_that_was_not_written(
        noise in proptest::collection::vec(any::<u8>(), 0..300), from in 0.0..1.0_f64, to in 0.0..1.0_f64,
    ) {
        let (mut bytes, all) = segment();
        let (a, b) = ((from * bytes.len() as f64) as usize, (to * bytes.len() as f64) as usize);
        bytes.splice(a.min(b)..a.max(b), noise);
        if let Some(items) = read_back(&bytes) {
            prop_assert!(within(&records(&items), &all));
        }
    }

    /// Bytes that were never a segment.
    #[test]
    fn arbitrary_bytes_are_read_to_their_end(bytes in proptest::collection::vec(any::<u8>(), 0..2000)) {
        let (whole, _) = segment();
        let header = whole.len() - segment::open(&whole).expect("good").1.count().min(whole.len());
        let mut all = whole[..header.min(60)].to_vec();
        all.extend(&bytes);
        prop_assert!(read_back(&all).is_none_or(|items| items.len() <= all.len()));
    }

    /// Ids and keys of any kind and length come back, cut where they are too long.
    #[test]
    fn names_of_any_length_are_read_back_truncated(
        id in proptest::collection::vec(any::<u8>(), 0..600), key in proptest::collection::vec(any::<u8>(), 0..600),
        class in ".{0,400}",
    ) {
        let Record::Received { request, wall_ms, at_us, deadline_us, tenant, .. } = received(1) else { unreachable!() };
        let record = Record::Received { request, id, key, class, tenant, wall_ms, at_us, deadline_us };
        let mut disk = Memory::default();
        let mut log = LogWriter::new(Incarnation(1), "n0", 7, LogPolicy::default(), &Recovery::default());
        log.write(&mut disk, 0, std::slice::from_ref(&record)).expect("it is memory");
        let found = recover(&mut disk).expect("it can be listed");
        prop_assert_eq!(&found.segments[0].records[..], &[record.truncated()][..]);
    }
}
