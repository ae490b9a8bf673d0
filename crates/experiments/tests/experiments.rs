//! The program as people run it: results that outlive kills and full disks, files that are refused, pages.

use bellcroft_simulation::{Breach, Policy, Rule};
use experiments::{compare, report, Experiment, Folder, Interval};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A folder of its own, which ends with the test.
struct Temporary(PathBuf);

impl Temporary {
    fn new() -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("bellcroft-experiments-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Temporary(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("a file");
        file
    }
}

impl Drop for Temporary {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Held while a process is being started, and while a folder of results is closed. Until a started process has replaced its
/// image it shares this process's open files, and with them the folder's lock, whatever its parent closes.
static PROCESS_START: Mutex<()> = Mutex::new(());

fn start(command: &mut Command) -> Child {
    let _start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("it runs")
}

/// Closes a folder; its lock is free when this returns.
fn close(folder: Folder) {
    let _no_start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    drop(folder);
}

fn output(command: &mut Command) -> Output {
    let child = start(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("its output")
}

fn experiments(args: &[&Path]) -> Output {
    output(Command::new(env!("CARGO_BIN_EXE_experiments")).args(args))
}

fn run(file: &Path, out: &Path, more: &[&str]) -> Output {
    let args = [Path::new("run"), file, Path::new("--out"), out, Path::new("--json")];
    experiments(&args.into_iter().chain(more.iter().map(Path::new)).collect::<Vec<_>>())
}

fn told(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn small(seeds: &str, sweep: &str, rate: f64) -> String {
    format!(
        "name = \"small\"\npolicies = [\"module\", \"uniform\", \"power_of_two\"]\nseeds = {seeds}\n{sweep}\n\
         [scenario]\nseconds = 4.0\nwarm_up = 1.0\ninstances = 4\n\n\
         [scenario.arrivals]\nkind = \"poisson\"\nrate = {rate}\n\n\
         [[scenario.classes]]\nname = \"read\"\neffect = \"idempotent\"\naim = 0.1\ndeadline = 1.0\n\
         service = {{ kind = \"exponential\", mean = 0.01 }}\n\n\
         [[scenario.servers]]\ncount = 4\ncores = 1\nqueue = 50\n"
    )
}

fn files(out: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(out.join("cells")).expect("cells").flatten();
    let own = entries.filter(|e| e.path().extension().is_some_and(|end| end == "json"));
    own.map(|e| (e.file_name().to_string_lossy().into_owned(), std::fs::read(e.path()).expect("bytes")))
        .collect()
}

#[test]
fn results_are_the_same_to_the_byte_on_one_thread_and_on_four() {
    let folder = Temporary::new();
    let file = folder.write("e.toml", &small("[1, 2]", "[sweep]\ninstances = [1, 4]", 200.0));
    let (one, four) = (folder.0.join("one"), folder.0.join("four"));
    assert!(run(&file, &one, &["--threads", "1"]).status.success());
    assert!(run(&file, &four, &["--threads", "4"]).status.success());
    let found = files(&one);
    assert_eq!(found.len(), 12);
    assert_eq!(found, files(&four));
    let again = run(&file, &one, &[]);
    assert!(
        String::from_utf8_lossy(&again.stdout).contains("\"played\":0,\"rows\""),
        "nothing is played twice"
    );
}

#[test]
fn a_lab_that_is_killed_at_any_moment_goes_on_and_repeats_no_whole_cell() {
    let folder = Temporary::new();
    let seeds: Vec<u32> = (1..=12).collect();
    let file = folder.write("e.toml", &small(&format!("{seeds:?}"), "", 300.0));
    let whole = folder.0.join("whole");
    assert!(run(&file, &whole, &[]).status.success());
    let expected = files(&whole);
    let out = folder.0.join("killed");
    let mut kills = 0;
    for stored in [1, 5, 9, 14, 20, 27, 33] {
        let mut child = start(
            Command::new(env!("CARGO_BIN_EXE_experiments"))
                .args([Path::new("run"), &file, Path::new("--out"), &out, Path::new("--json")])
                .stdout(Stdio::null()),
        );
        let count = || {
            std::fs::read_dir(out.join("cells")).map_or(0, |dir| {
                dir.flatten().filter(|e| e.path().extension().is_some_and(|x| x == "json")).count()
            })
        };
        while count() < stored && child.try_wait().expect("a status").is_none() {
            std::thread::sleep(Duration::from_millis(1));
        }
        child.kill().expect("it can be killed");
        kills += usize::from(!child.wait().expect("a status").success());
        // What is there is whole, whatever the moment.
        assert!(files(&out).iter().all(|(name, bytes)| expected[name] == *bytes));
    }
    assert!(kills >= 3, "{kills} runs were cut short");
    let before = files(&out).len();
    let last = run(&file, &out, &[]);
    assert!(last.status.success());
    let text = String::from_utf8_lossy(&last.stdout).into_owned();
    assert!(text.contains(&format!("\"played\":{}", 36 - before)), "{before}: {text}");
    assert_eq!(files(&out), expected);
}

#[test]
fn cut_off_and_spoilt_results_are_played_again_and_told_by_the_report() {
    let folder = Temporary::new();
    let file = folder.write("e.toml", &small("[1, 2, 3]", "", 100.0));
    let out = folder.0.join("out");
    assert!(run(&file, &out, &[]).status.success());
    let expected = files(&out);
    let names: Vec<&String> = expected.keys().collect();
    let cell = |n: usize| out.join("cells").join(names[n]);
    std::fs::write(cell(0), &expected[names[0]][..100]).expect("cut off");
    let mut flipped = expected[names[1]].clone();
    flipped[300] ^= 1;
    std::fs::write(cell(1), flipped).expect("spoilt");
    std::fs::write(cell(2), "").expect("emptied");
    // One cell's whole result under another's name is not that one's.
    std::fs::copy(cell(4), cell(3)).expect("swapped");
    let page = report(&Folder::open(&out).expect("results")).expect("a page");
    assert!(page.contains("4 files are cut off or spoilt"));
    let again = run(&file, &out, &[]);
    assert!(String::from_utf8_lossy(&again.stdout).contains("\"played\":4"));
    assert_eq!(files(&out), expected);
}

#[test]
fn a_full_disk_is_told_with_the_file_and_what_was_stored_stands() {
    let folder = Temporary::new();
    let file = folder.write("e.toml", &small("[1, 2]", "", 100.0));
    let out = folder.0.join("out");
    // One block is enough for the manifest and no cell; the signal that goes with the limit is ignored, as the
    // write's own error is what a full disk gives.
    let full = output(
        Command::new("sh")
            .args(["-c", "trap '' XFSZ; ulimit -f 1; exec \"$0\" run \"$1\" --out \"$2\" --json"])
            .args([Path::new(env!("CARGO_BIN_EXE_experiments")), &file, &out]),
    );
    let limited = std::fs::read_dir(out.join("cells")).expect("cells").count();
    if full.status.success() {
        panic!("cells fit in a block: {limited}");
    }
    assert_eq!(full.status.code(), Some(1), "{}", told(&full));
    assert!(told(&full).contains("experiments: ") && told(&full).contains("out"), "{}", told(&full));
    assert!(run(&file, &out, &[]).status.success());
    assert_eq!(files(&out).len(), 6);
}

#[test]
fn two_labs_on_one_folder_and_cells_of_another_file_are_refused() {
    let folder = Temporary::new();
    let file = folder.write("e.toml", &small("[1]", "", 100.0));
    let out = folder.0.join("out");
    let experiment = Experiment::parse(&small("[1]", "", 100.0)).expect("good");
    let held = Folder::create(&out, &experiment).expect("the first");
    let second = run(&file, &out, &[]);
    assert_eq!(second.status.code(), Some(1));
    assert!(told(&second).contains("another process is at work here"), "{}", told(&second));
    close(held);
    assert!(run(&file, &out, &[]).status.success());
    let other = folder.write("other.toml", &small("[1]", "", 101.0));
    let refused = run(&other, &out, &[]);
    assert_eq!(refused.status.code(), Some(1));
    assert!(told(&refused).contains("cells of another file"), "{}", told(&refused));
    let manifest = out.join("experiment.json");
    let text = std::fs::read_to_string(&manifest).expect("there");
    std::fs::write(&manifest, text.replacen("\"version\": 3", "\"version\": 4", 1)).expect("written");
    assert!(told(&run(&file, &out, &[])).contains("knows up to 3"));
}

#[test]
fn bad_files_are_refused_with_line_key_and_reason_and_nothing_is_begun() {
    let folder = Temporary::new();
    let good = small("[1]", "", 100.0);
    let many = |n: usize| format!("[sweep]\ninstances = {:?}", (1..=n).collect::<Vec<_>>());
    let cases = [
        (good.replace("instances = 4", "instnces = 4"), "line 8: unknown field `instnces`"),
        (good.replace("instances = 4", "instnces = 4"), "did you mean `instances`?"),
        (good.replace("\"uniform\"", "\"unifrom\""), "did you mean `uniform`?"),
        (good.replace("seconds = 4.0", "seconds = \"long\""), "line 6: invalid type"),
        (good.replace("seeds = [1]", "seeds = []"), "need at least one value"),
        (good.replace("cores = 1", "cores = 0"), "servers need a core"),
        (good.replace("mean = 0.01", "mean = -1.0"), "no finite mean"),
        (good.replace("name = \"small\"\n", ""), "missing field `name`"),
        (small("[1]", "[sweep]\n\"arrivals.rat\" = [1.0]", 1.0), "unknown field `rat`"),
        (small("[1]", "[sweep]\n\"servers.3.count\" = [1]", 1.0), "there is no 3"),
        (small("[1]", "[sweep]\ninstances = [1, 0]", 1.0), "0 instances"),
        (small("[1]", &many(400_000), 1.0), "the sweep has 1200000 cells; at most 100000 are begun"),
        ("x = [".to_owned(), "line 1"),
    ];
    for (text, why) in cases {
        let file = folder.write("bad.toml", &text);
        let out = folder.0.join("never");
        let refused = run(&file, &out, &[]);
        assert_eq!(refused.status.code(), Some(2), "{why}");
        assert!(told(&refused).contains(why), "{why}: {}", told(&refused));
        assert!(!out.exists(), "{why}: something was begun");
    }
}

#[test]
fn the_shipped_experiments_are_good() {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/experiments");
    let mut count = 0;
    let files = std::fs::read_dir(shipped).expect("a folder").flatten();
    for entry in files.filter(|entry| entry.path().is_file()) {
        let text = std::fs::read_to_string(entry.path()).expect("text");
        let experiment = Experiment::parse(&text).unwrap_or_else(|why| panic!("{:?}: {why}", entry.path()));
        assert!(!experiment.cells().is_empty());
        count += 1;
    }
    assert!(count >= 10, "{count}");
}

#[test]
fn a_report_stands_alone_and_a_comparison_names_what_changed_and_nothing_else() {
    let folder = Temporary::new();
    let sweep = "[sweep]\n\"arrivals.rate\" = [100.0, 250.0]";
    let seeds = "[1, 2, 3, 4]";
    let before = folder.write("a.toml", &small(seeds, sweep, 100.0));
    let slower = small(seeds, sweep, 100.0).replace("mean = 0.01", "mean = 0.014");
    let after = folder.write("b.toml", &slower.replace("seeds = [1, 2, 3, 4]", "seeds = [5, 6, 7, 8]"));
    let same = folder.write("c.toml", &small("[5, 6, 7, 8]", sweep, 100.0));
    let outs = ["a", "b", "c"].map(|name| folder.0.join(name));
    for (file, out) in [before, after, same].iter().zip(&outs) {
        assert!(run(file, out, &[]).status.success());
    }
    let folders = outs.each_ref().map(|out| Folder::open(out).expect("results"));
    let page = report(&folders[0]).expect("a page");
    for part in [
        "<svg",
        "power_of_two",
        "arrivals.rate = 250.0",
        "wanted share by arrivals.rate",
        "kind = &quot;poisson&quot;",
        "Served in the wanted time, by the second",
        "Refused, by the second",
    ] {
        assert!(page.contains(part), "{part}");
    }
    // Two figures along the swept key, and two by the second at each of its two values.
    assert_eq!(page.matches("<svg").count(), 6);
    assert!(
        !page.contains("http://")
            || page.matches("http://").count()
                == page.matches("xmlns=\"http://www.w3.org/2000/svg\"").count()
    );
    assert!(!page.contains("src=") && !page.contains("<script") && !page.contains("<link"));
    let (differences, shared) = compare(&folders[0], &folders[1]).expect("they share points");
    assert_eq!(shared, 6);
    assert!(
        differences.iter().any(|d| d.figure == "p99 ms" && d.of.contains("arrivals.rate")),
        "{differences:?}"
    );
    let (differences, _) = compare(&folders[0], &folders[2]).expect("they share points");
    assert!(differences.len() <= 1, "other seeds are no change: {differences:?}");
    assert!(compare(&folders[0], &folders[0]).expect("the same").0.is_empty());
    let differ = experiments(&[Path::new("compare"), &outs[0], &outs[1], Path::new("--exit-code")]);
    assert_eq!(differ.status.code(), Some(1));
}

/// The table of Student's t: 4.303 at two degrees of freedom, 2.776 at four.
#[test]
fn intervals_are_those_of_the_table() {
    let three = Interval::of(&[1.0, 2.0, 3.0]).expect("values");
    assert!((three.mean - 2.0).abs() < 1e-12);
    assert!((three.half.expect("more than one") - 4.303 / 3_f64.sqrt()).abs() < 1e-3);
    let five = Interval::of(&[2.0, 4.0, 6.0, 8.0, 10.0]).expect("values");
    assert!((five.half.expect("more than one") - 2.776 * (10.0_f64 / 5.0).sqrt()).abs() < 2e-3);
    assert_eq!((Interval::of(&[5.0]).and_then(|i| i.half), Interval::of(&[])), (None, None));
}

/// A small experiment that has been played: its text, its file and its folder of results.
fn played(folder: &Temporary) -> (String, PathBuf, PathBuf) {
    let text = small("[1]", "", 100.0);
    let (file, out) = (folder.write("e.toml", &text), folder.0.join("out"));
    assert!(run(&file, &out, &[]).status.success());
    (text, file, out)
}

fn opened(text: &str, out: &Path) -> Folder {
    Folder::create(out, &Experiment::parse(text).expect("good")).expect("free")
}

#[test]
fn a_broken_rule_ends_the_run_with_one_and_names_its_cell_and_request() {
    let folder = Temporary::new();
    let (text, file, out) = played(&folder);
    let stain = |policy: Policy| {
        let folder = opened(&text, &out);
        let (mut cells, _) = folder.all().expect("readable");
        let stored = cells.iter_mut().find(|s| s.cell.policy == policy).expect("played");
        stored.outcome.breaches.effect = 1;
        stored.outcome.broken = vec![Breach { rule: Rule::Effect, at: 2_000_000, want: Some(17) }];
        folder.store(stored).expect("stored");
        let id = stored.cell.id();
        close(folder);
        id
    };
    // A reference that claims nothing is no fault of anybody's.
    stain(Policy::Uniform);
    assert!(run(&file, &out, &[]).status.success());
    let guilty = stain(Policy::Module);
    let told_of = run(&file, &out, &[]);
    assert_eq!(told_of.status.code(), Some(1));
    for word in [&guilty, "module, seed 1 broke rules 1 times", "effect at 2000000 us", "17 tells its story"]
    {
        assert!(told(&told_of).contains(word), "{word}: {}", told(&told_of));
    }
    assert!(String::from_utf8_lossy(&told_of.stdout).contains("\"want\":17"));
    let plain = experiments(&[Path::new("run"), &file, Path::new("--out"), &out]);
    assert_eq!(plain.status.code(), Some(1), "without --json too");
}

#[test]
fn a_story_is_told_of_a_stored_cell_and_refused_of_anything_else() {
    let folder = Temporary::new();
    let (text, _, out) = played(&folder);
    let results = Folder::open(&out).expect("there");
    let (cells, _) = results.all().expect("readable");
    let stored = cells.iter().find(|s| s.cell.policy == Policy::Module).expect("played");
    let cell = results.file(&stored.cell.id());
    let trace = |cell: &Path, words: &[&str]| {
        let words = words.iter().map(Path::new);
        experiments(&[Path::new("trace"), cell].into_iter().chain(words).collect::<Vec<_>>())
    };
    let story = trace(&cell, &["150"]);
    let words = String::from_utf8_lossy(&story.stdout).into_owned();
    assert!(story.status.success(), "{}", told(&story));
    for word in ["read comes to instance", "sent to server", "its effect has come", "has its answer: Served"]
    {
        assert!(words.contains(word), "{word}: {words}");
    }
    assert!(String::from_utf8_lossy(&trace(&cell, &["150", "--json"]).stdout).contains("\"steps\":[{\"at\":"));
    let none = trace(&cell, &["999999"]);
    assert_eq!(none.status.code(), Some(2));
    assert!(told(&none).contains("no client came first with request 999999"), "{}", told(&none));
    assert!(told(&trace(&out.join("cells/none.json"), &["1"])).contains("no whole cell"));
    // One of another build does not come out the same, and its story would not be what happened.
    let mut other = stored.clone();
    other.outcome.attempts += 1;
    let results = opened(&text, &out);
    results.store(&other).expect("stored");
    close(results);
    assert!(told(&trace(&cell, &["150"])).contains("another build"));
}
