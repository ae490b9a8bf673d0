//! Tests of the command line program: durable results after kills and full disks, invalid files, reports, traces.

use bellcroft_simulation::{Breach, Policy, Rule};
use experiments::{compare, report, Experiment, Interval, ResultsDir};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// A temporary directory, deleted on drop.
struct TempDir(PathBuf);

impl TempDir {
    fn new() -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("bellcroft-experiments-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the directory should be creatable");
        TempDir(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let file = self.0.join(name);
        std::fs::write(&file, text).expect("the file should be writable");
        file
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Held while a process is started and while a results directory is closed. Between fork and exec a child shares this
/// process's open files, so it would keep the directory's lock after the parent closed the file.
static PROCESS_START: Mutex<()> = Mutex::new(());

fn start(command: &mut Command) -> Child {
    let _start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program should start")
}

/// Closes a results directory. Its lock is released when this returns.
fn close(results: ResultsDir) {
    let _no_start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    drop(results);
}

fn output(command: &mut Command) -> Output {
    let child = start(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("the output should be readable")
}

fn experiments(args: &[&Path]) -> Output {
    output(Command::new(env!("CARGO_BIN_EXE_experiments")).args(args))
}

fn run(file: &Path, out: &Path, more: &[&str]) -> Output {
    let args = [Path::new("run"), file, Path::new("--out"), out, Path::new("--json")];
    experiments(&args.into_iter().chain(more.iter().map(Path::new)).collect::<Vec<_>>())
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn small_experiment(seeds: &str, sweep: &str, rate: f64) -> String {
    format!(
        "name = \"small\"\npolicies = [\"module\", \"uniform\", \"power_of_two\"]\nseeds = {seeds}\n{sweep}\n\
         [scenario]\nseconds = 4.0\nwarm_up = 1.0\ninstances = 4\n\n\
         [scenario.arrivals]\nkind = \"poisson\"\nrate = {rate}\n\n\
         [[scenario.classes]]\nname = \"read\"\neffect = \"idempotent\"\naim = 0.1\ndeadline = 1.0\n\
         service = {{ kind = \"exponential\", mean = 0.01 }}\n\n\
         [[scenario.servers]]\ncount = 4\ncores = 1\nqueue = 50\n"
    )
}

fn cell_files(out: &Path) -> BTreeMap<String, Vec<u8>> {
    let entries = std::fs::read_dir(out.join("cells")).expect("cells").flatten();
    let cells = entries.filter(|e| e.path().extension().is_some_and(|end| end == "json"));
    cells
        .map(|e| (e.file_name().to_string_lossy().into_owned(), std::fs::read(e.path()).expect("bytes")))
        .collect()
}

#[test]
fn results_do_not_depend_on_thread_count() {
    let temp = TempDir::new();
    let file = temp.write("e.toml", &small_experiment("[1, 2]", "[sweep]\ninstances = [1, 4]", 200.0));
    let (one, four) = (temp.0.join("one"), temp.0.join("four"));
    assert!(run(&file, &one, &["--threads", "1"]).status.success());
    assert!(run(&file, &four, &["--threads", "4"]).status.success());
    let cells = cell_files(&one);
    assert_eq!(cells.len(), 12);
    assert_eq!(cells, cell_files(&four));
    let again = run(&file, &one, &[]);
    assert!(
        String::from_utf8_lossy(&again.stdout).contains("\"played\":0,\"rows\""),
        "stored cells must not be simulated again"
    );
}

/// Runs that are killed at any time leave only complete cells, and the next run simulates only the missing ones.
#[test]
fn killed_run_is_resumed() {
    let temp = TempDir::new();
    let seeds: Vec<u32> = (1..=12).collect();
    let file = temp.write("e.toml", &small_experiment(&format!("{seeds:?}"), "", 300.0));
    let uninterrupted = temp.0.join("whole");
    assert!(run(&file, &uninterrupted, &[]).status.success());
    let expected = cell_files(&uninterrupted);
    let out = temp.0.join("killed");
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
        child.kill().expect("the process should be killable");
        kills += usize::from(!child.wait().expect("a status").success());
        // Every stored cell is complete.
        assert!(cell_files(&out).iter().all(|(name, bytes)| expected[name] == *bytes));
    }
    assert!(kills >= 3, "only {kills} runs were killed before they finished");
    let before = cell_files(&out).len();
    let last = run(&file, &out, &[]);
    assert!(last.status.success());
    let text = String::from_utf8_lossy(&last.stdout).into_owned();
    assert!(text.contains(&format!("\"played\":{}", 36 - before)), "{before}: {text}");
    assert_eq!(cell_files(&out), expected);
}

#[test]
fn damaged_results_are_reported_and_simulated_again() {
    let temp = TempDir::new();
    let file = temp.write("e.toml", &small_experiment("[1, 2, 3]", "", 100.0));
    let out = temp.0.join("out");
    assert!(run(&file, &out, &[]).status.success());
    let expected = cell_files(&out);
    let names: Vec<&String> = expected.keys().collect();
    let cell = |n: usize| out.join("cells").join(names[n]);
    std::fs::write(cell(0), &expected[names[0]][..100]).expect("the cell should be writable");
    let mut flipped = expected[names[1]].clone();
    flipped[300] ^= 1;
    std::fs::write(cell(1), flipped).expect("the cell should be writable");
    std::fs::write(cell(2), "").expect("the cell should be writable");
    // An intact cell under the name of another is damaged too.
    std::fs::copy(cell(4), cell(3)).expect("the cell should be copied");
    let page = report(&ResultsDir::open(&out).expect("results should be stored"))
        .expect("the report should be rendered");
    assert!(page.contains("4 files are truncated or corrupt"));
    let again = run(&file, &out, &[]);
    assert!(String::from_utf8_lossy(&again.stdout).contains("\"played\":4"));
    assert_eq!(cell_files(&out), expected);
}

#[test]
fn full_disk_is_reported_and_run_can_be_resumed() {
    let temp = TempDir::new();
    let file = temp.write("e.toml", &small_experiment("[1, 2]", "", 100.0));
    let out = temp.0.join("out");
    // A file size limit of one block allows the manifest and no cell. The signal of the limit is ignored, so that writes
    // fail with an error, as on a full disk.
    let full = output(
        Command::new("sh")
            .args(["-c", "trap '' XFSZ; ulimit -f 1; exec \"$0\" run \"$1\" --out \"$2\" --json"])
            .args([Path::new(env!("CARGO_BIN_EXE_experiments")), &file, &out]),
    );
    let limited = std::fs::read_dir(out.join("cells")).expect("cells").count();
    if full.status.success() {
        panic!("cells fit within the file size limit: {limited}");
    }
    assert_eq!(full.status.code(), Some(1), "{}", stderr(&full));
    assert!(stderr(&full).contains("experiments: ") && stderr(&full).contains("out"), "{}", stderr(&full));
    assert!(run(&file, &out, &[]).status.success());
    assert_eq!(cell_files(&out).len(), 6);
}

#[test]
fn locked_directory_and_cells_of_another_experiment_are_rejected() {
    let temp = TempDir::new();
    let file = temp.write("e.toml", &small_experiment("[1]", "", 100.0));
    let out = temp.0.join("out");
    let experiment =
        Experiment::parse(&small_experiment("[1]", "", 100.0)).expect("the experiment should be valid");
    let locked = ResultsDir::create(&out, &experiment).expect("the directory should be free");
    let second = run(&file, &out, &[]);
    assert_eq!(second.status.code(), Some(1));
    assert!(stderr(&second).contains("another process uses this directory"), "{}", stderr(&second));
    close(locked);
    assert!(run(&file, &out, &[]).status.success());
    let other = temp.write("other.toml", &small_experiment("[1]", "", 101.0));
    let rejected = run(&other, &out, &[]);
    assert_eq!(rejected.status.code(), Some(1));
    assert!(stderr(&rejected).contains("cells of another file"), "{}", stderr(&rejected));
    let manifest = out.join("experiment.json");
    let text = std::fs::read_to_string(&manifest).expect("the manifest should be readable");
    std::fs::write(&manifest, text.replacen("\"version\": 3", "\"version\": 4", 1))
        .expect("the manifest should be writable");
    assert!(stderr(&run(&file, &out, &[])).contains("supports up to 3"));
}

/// Errors name the line, the key and the reason, and no results directory is created.
#[test]
fn invalid_experiments_are_rejected() {
    let temp = TempDir::new();
    let valid = small_experiment("[1]", "", 100.0);
    let many = |n: usize| format!("[sweep]\ninstances = {:?}", (1..=n).collect::<Vec<_>>());
    let cases = [
        (valid.replace("instances = 4", "instnces = 4"), "line 8: unknown field `instnces`"),
        (valid.replace("instances = 4", "instnces = 4"), "did you mean `instances`?"),
        (valid.replace("\"uniform\"", "\"unifrom\""), "did you mean `uniform`?"),
        (valid.replace("seconds = 4.0", "seconds = \"long\""), "line 6: invalid type"),
        (valid.replace("seeds = [1]", "seeds = []"), "need at least one value"),
        (valid.replace("cores = 1", "cores = 0"), "servers need a core"),
        (valid.replace("mean = 0.01", "mean = -1.0"), "no finite mean"),
        (valid.replace("name = \"small\"\n", ""), "missing field `name`"),
        (small_experiment("[1]", "[sweep]\n\"arrivals.rat\" = [1.0]", 1.0), "unknown field `rat`"),
        (small_experiment("[1]", "[sweep]\n\"servers.3.count\" = [1]", 1.0), "there is no 3"),
        (small_experiment("[1]", "[sweep]\ninstances = [1, 0]", 1.0), "0 instances"),
        (
            small_experiment("[1]", &many(400_000), 1.0),
            "the sweep has 1200000 cells; at most 100000 are begun",
        ),
        ("x = [".to_owned(), "line 1"),
    ];
    for (text, reason) in cases {
        let file = temp.write("bad.toml", &text);
        let out = temp.0.join("never");
        let rejected = run(&file, &out, &[]);
        assert_eq!(rejected.status.code(), Some(2), "{reason}");
        assert!(stderr(&rejected).contains(reason), "{reason}: {}", stderr(&rejected));
        assert!(!out.exists(), "{reason}: no results directory should be created");
    }
}

#[test]
fn shipped_experiments_are_valid() {
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/experiments");
    let mut count = 0;
    let files = std::fs::read_dir(shipped).expect("the directory should be readable").flatten();
    for entry in files.filter(|entry| entry.path().is_file()) {
        let text = std::fs::read_to_string(entry.path()).expect("the file should be readable");
        let experiment =
            Experiment::parse(&text).unwrap_or_else(|reason| panic!("{:?}: {reason}", entry.path()));
        assert!(!experiment.cells().is_empty());
        count += 1;
    }
    assert!(count >= 10, "{count}");
}

/// The report has no external resources. The comparison lists changed figures, and at most one false difference between
/// runs of other seeds.
#[test]
fn report_is_self_contained_and_comparison_finds_changes() {
    let temp = TempDir::new();
    let sweep = "[sweep]\n\"arrivals.rate\" = [100.0, 250.0]";
    let seeds = "[1, 2, 3, 4]";
    let before = temp.write("a.toml", &small_experiment(seeds, sweep, 100.0));
    let slower = small_experiment(seeds, sweep, 100.0).replace("mean = 0.01", "mean = 0.014");
    let after = temp.write("b.toml", &slower.replace("seeds = [1, 2, 3, 4]", "seeds = [5, 6, 7, 8]"));
    let same = temp.write("c.toml", &small_experiment("[5, 6, 7, 8]", sweep, 100.0));
    let outs = ["a", "b", "c"].map(|name| temp.0.join(name));
    for (file, out) in [before, after, same].iter().zip(&outs) {
        assert!(run(file, out, &[]).status.success());
    }
    let results = outs.each_ref().map(|out| ResultsDir::open(out).expect("results should be stored"));
    let page = report(&results[0]).expect("the report should be rendered");
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
    // Two charts by the swept key, and two charts over time for each of the key's two values.
    assert_eq!(page.matches("<svg").count(), 6);
    assert!(
        !page.contains("http://")
            || page.matches("http://").count()
                == page.matches("xmlns=\"http://www.w3.org/2000/svg\"").count()
    );
    assert!(!page.contains("src=") && !page.contains("<script") && !page.contains("<link"));
    let (differences, shared) =
        compare(&results[0], &results[1]).expect("the directories should share points");
    assert_eq!(shared, 6);
    assert!(
        differences.iter().any(|d| d.figure == "p99 ms" && d.cell.contains("arrivals.rate")),
        "{differences:?}"
    );
    let (differences, _) = compare(&results[0], &results[2]).expect("the directories should share points");
    assert!(differences.len() <= 1, "other seeds alone should not differ significantly: {differences:?}");
    assert!(compare(&results[0], &results[0]).expect("the directories should share points").0.is_empty());
    let comparison = experiments(&[Path::new("compare"), &outs[0], &outs[1], Path::new("--exit-code")]);
    assert_eq!(comparison.status.code(), Some(1));
}

/// Expected intervals use the 97.5% quantile of Student's t: 4.303 at two degrees of freedom, 2.776 at four.
#[test]
fn intervals_match_students_t() {
    let three = Interval::of(&[1.0, 2.0, 3.0]).expect("an interval of values");
    assert!((three.mean - 2.0).abs() < 1e-12);
    assert!((three.half.expect("an interval of several values") - 4.303 / 3_f64.sqrt()).abs() < 1e-3);
    let five = Interval::of(&[2.0, 4.0, 6.0, 8.0, 10.0]).expect("an interval of values");
    assert!(
        (five.half.expect("an interval of several values") - 2.776 * (10.0_f64 / 5.0).sqrt()).abs() < 2e-3
    );
    assert_eq!((Interval::of(&[5.0]).and_then(|i| i.half), Interval::of(&[])), (None, None));
}

/// Runs a small experiment. Returns its text, its file and its results directory.
fn run_small_experiment(temp: &TempDir) -> (String, PathBuf, PathBuf) {
    let text = small_experiment("[1]", "", 100.0);
    let (file, out) = (temp.write("e.toml", &text), temp.0.join("out"));
    assert!(run(&file, &out, &[]).status.success());
    (text, file, out)
}

fn open_for_writing(text: &str, out: &Path) -> ResultsDir {
    let experiment = Experiment::parse(text).expect("the experiment should be valid");
    ResultsDir::create(out, &experiment).expect("the directory should be free")
}

/// A run exits with code 1 and names the cell and request if a policy that claims to keep the rules violated one.
#[test]
fn rule_violations_fail_the_run() {
    let temp = TempDir::new();
    let (text, file, out) = run_small_experiment(&temp);
    let add_violation = |policy: Policy| {
        let results = open_for_writing(&text, &out);
        let (mut cells, _) = results.load_all().expect("the results should be readable");
        let stored = cells.iter_mut().find(|s| s.cell.policy == policy).expect("the cell should be stored");
        stored.outcome.breaches.effect = 1;
        stored.outcome.broken = vec![Breach { rule: Rule::Effect, at: 2_000_000, want: Some(17) }];
        results.store(stored).expect("the cell should be writable");
        let id = stored.cell.id();
        close(results);
        id
    };
    // The uniform policy does not claim to keep the rules.
    add_violation(Policy::Uniform);
    assert!(run(&file, &out, &[]).status.success());
    let violating_cell = add_violation(Policy::Module);
    let failed = run(&file, &out, &[]);
    assert_eq!(failed.status.code(), Some(1));
    for part in [
        violating_cell.as_str(),
        "module, seed 1 violated rules 1 times",
        "effect at 2000000 us; to trace it: experiments trace ",
        &format!("{violating_cell}.json 17\n"),
    ] {
        assert!(stderr(&failed).contains(part), "{part}: {}", stderr(&failed));
    }
    assert!(String::from_utf8_lossy(&failed.stdout).contains("\"want\":17"));
    let without_json = experiments(&[Path::new("run"), &file, Path::new("--out"), &out]);
    assert_eq!(without_json.status.code(), Some(1), "exit code without --json");
}

#[test]
fn trace_prints_steps_of_stored_cells_only() {
    let temp = TempDir::new();
    let (text, _, out) = run_small_experiment(&temp);
    let results = ResultsDir::open(&out).expect("results should be stored");
    let (cells, _) = results.load_all().expect("the results should be readable");
    let stored = cells.iter().find(|s| s.cell.policy == Policy::Module).expect("the cell should be stored");
    let cell = results.cell_path(&stored.cell.id());
    let trace = |cell: &Path, args: &[&str]| {
        let args = args.iter().map(Path::new);
        experiments(&[Path::new("trace"), cell].into_iter().chain(args).collect::<Vec<_>>())
    };
    let traced = trace(&cell, &["150"]);
    let steps = String::from_utf8_lossy(&traced.stdout).into_owned();
    assert!(traced.status.success(), "{}", stderr(&traced));
    for part in ["read comes to instance", "sent to server", "its effect has come", "has its answer: Served"]
    {
        assert!(steps.contains(part), "{part}: {steps}");
    }
    assert!(String::from_utf8_lossy(&trace(&cell, &["150", "--json"]).stdout).contains("\"steps\":[{\"at\":"));
    let missing = trace(&cell, &["999999"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(
        stderr(&missing).contains("no client operation started with request 999999"),
        "{}",
        stderr(&missing)
    );
    assert!(stderr(&trace(&out.join("cells/none.json"), &["1"])).contains("missing or not an intact cell"));
    // A cell whose outcome differs in this build is rejected, since its trace would not show what happened.
    let mut other = stored.clone();
    other.outcome.attempts += 1;
    let results = open_for_writing(&text, &out);
    results.store(&other).expect("the cell should be writable");
    close(results);
    assert!(stderr(&trace(&cell, &["150"])).contains("another build"));
}
