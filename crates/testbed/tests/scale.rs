//! The scale run: its counts, its comparison of hollow and real agents, its fit, and what it refuses.

use std::path::Path;
use testbed::scale::fit::{mean, Fit, Law, Point, TooFewSizes};
use testbed::scale::{
    compare, page_block, run, AgentFigures, FleetFigures, Machine, Needs, RunError, RunResult, Scenario,
};

fn scenario(text: &str) -> Scenario {
    Scenario::parse(text).unwrap_or_else(|why| panic!("{why}"))
}

async fn play(scenario: &Scenario) -> Result<RunResult, RunError> {
    run(scenario, (scenario.hollow[0], 1), |_| {}).await
}

#[tokio::test(flavor = "multi_thread")]
async fn fifty_hollow_agents_beside_three_real_ones_act_on_each_change_and_bury_the_killed_one() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale/ci.toml");
    let scenario = Scenario::read(&file).unwrap_or_else(|why| panic!("{why}"));
    let result = play(&scenario).await.unwrap_or_else(|why| panic!("{why}"));
    let fleet = &result.fleet;
    let totals = fleet.datagrams;
    assert!(totals.received > 0);
    assert_eq!(
        totals.received,
        totals.delivered + totals.lost + totals.unsent + totals.unknown,
        "{totals:?}"
    );
    assert_eq!((totals.lost, totals.unknown), (0, 0), "{totals:?}");
    assert_eq!(fleet.list_change_s.len(), 2, "each change of the list was acknowledged by all");
    assert!(fleet.config_change_s.is_some(), "and that of the configuration");
    assert_eq!(fleet.detection_holders, (52, 52), "all others held the killed agent and found it dead");
    for figures in [&result.hollow_agent, &result.real_agent] {
        assert!(figures.datagrams_out > 0.0 && figures.discovery_calls > 0.0, "{figures:?}");
        assert!(figures.telemetry_posts > 0.0 && figures.memory_mib > 0.0, "{figures:?}");
    }
    let agents = (result.hollow as f64, result.real as f64);
    let sum = |of: fn(&testbed::scale::AgentFigures) -> f64| {
        agents.0 * of(&result.hollow_agent) + agents.1 * of(&result.real_agent)
    };
    let (sent, received) = (sum(|figures| figures.datagrams_out), sum(|figures| figures.datagrams_in));
    assert!((sent - received).abs() < 0.01 * sent, "{sent} sent a second, {received} received");
}

fn side_by_side(more: &str) -> Scenario {
    scenario(&format!(
        "name = \"side by side\"\nhollow = [24]\nreal = 6\nseed = 7\nsettle_s = 8.0\nwindow_s = 20.0\n\
         telemetry_interval_s = 2.0\n{more}"
    ))
}

/// The maximum of runs on a machine that is too busy for a verdict.
const MAX_RUNS: usize = 4;

/// Plays a scenario until its figures count. Those of a void run do not: an agent whose process got no processor for a
/// second sends less than one beside it, whatever it is.
async fn play_valid(scenario: &Scenario) -> RunResult {
    let mut reasons = Vec::new();
    for _ in 0..MAX_RUNS {
        let result = play(scenario).await.unwrap_or_else(|why| panic!("{why}"));
        if result.void.is_empty() {
            return result;
        }
        reasons.push(result.void);
    }
    panic!("the machine was too busy for a verdict, {MAX_RUNS} times: {reasons:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hollow_agent_sends_what_a_real_one_beside_it_sends() {
    let result = play_valid(&side_by_side("")).await;
    assert_eq!(compare(&result), []);
}

#[tokio::test(flavor = "multi_thread")]
async fn hollow_agent_with_another_interval_is_told_from_a_real_one() {
    let other = side_by_side("hollow_telemetry_interval_s = 1.0\n");
    let result = play_valid(&other).await;
    let differences = compare(&result);
    let figures: Vec<&str> = differences.iter().map(|difference| difference.figure).collect();
    assert_eq!(figures, ["telemetry posts"], "{differences:?}, {:?}", result.fleet);
}

/// With a window so long that the run ends by the kill and by nothing else.
#[tokio::test(flavor = "multi_thread")]
async fn hollow_process_that_dies_ends_the_run_with_its_name() {
    let endless = scenario(
        "name = \"x\"\nhollow = [4]\nreal = 0\nseed = 7\nhollow_per_process = 4\nsettle_s = 600.0\nwindow_s = 600.0\n",
    );
    let killer = tokio::spawn(async {
        loop {
            if let Some(pid) = settled_hollow_process(4) {
                testbed::kill("-KILL", pid).await;
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    });
    let ended = play(&endless).await;
    killer.abort();
    match ended {
        Err(RunError::ProcessEnded(ended)) => {
            assert_eq!(ended.name, "hollow-0");
            assert!(ended.to_string().contains("signal: 9"), "{ended}");
        }
        other => panic!("{other:?}"),
    }
}

/// A child of this process that plays hollow agents and has this many datagram sockets.
fn settled_hollow_process(sockets: usize) -> Option<u32> {
    let own = std::process::id().to_string();
    let processes = std::fs::read_dir("/proc").ok()?.flatten();
    for entry in processes {
        let read = |name: &str| std::fs::read_to_string(entry.path().join(name)).unwrap_or_default();
        let parent =
            read("stat").rsplit_once(") ").and_then(|(_, rest)| Some(rest.split(' ').nth(1)?.to_owned()));
        let assignments = read("cmdline").split('\0').nth(2).map(std::fs::read_to_string);
        let agents = assignments.and_then(Result::ok).map_or(0, |text| text.matches("operator").count());
        if parent.as_deref() == Some(&own) && agents == sockets {
            return entry.file_name().to_str()?.parse().ok();
        }
    }
    None
}

#[test]
fn machine_with_too_little_is_told_with_both_figures() {
    let machine = Machine {
        processor: "one".into(),
        cores: 2,
        memory_mib: 1_000.0,
        available_mib: 400.0,
        descriptors: 1_024,
    };
    let fits = Needs { memory_mib: 400.0, descriptors: 512, processes: 300 };
    assert_eq!(machine.check(&fits), Ok(()));
    let cases = [
        (Needs { memory_mib: 401.0, ..fits }, "401 MiB of memory", "400"),
        (Needs { descriptors: 513, ..fits }, "513 descriptors", "512"),
        (Needs { processes: 301, ..fits }, "301 processes", "300"),
    ];
    for (needs, needed, usable) in cases {
        let told = machine.check(&needs).expect_err(needed).to_string();
        assert!(told.contains(needed) && told.contains(&format!("may take {usable}")), "{told}");
    }
}

#[test]
fn scenario_that_makes_no_sense_is_refused_with_its_key() {
    let good = "name = \"x\"\nhollow = [4]\nreal = 1\nseed = 7\nsettle_s = 1.0\nwindow_s = 1.0\n";
    assert!(Scenario::parse(good).is_ok());
    let cases = [
        (good.replace("[4]", "[]"), "hollow names no size"),
        (good.replace("[4]", "[1]"), "hollow is 1"),
        (good.replace("[4]", "[20000]"), "hollow is 20000"),
        (good.replace("real = 1", "real = 99"), "real is 99"),
        (good.replace("window_s = 1.0", "window_s = 0.0"), "window_s is 0"),
        (format!("{good}loss = 0.9\n"), "loss is 0.9"),
        (format!("{good}rate = -1.0\n"), "rate is -1"),
        (format!("{good}telemetry_interval_s = 0.0\n"), "telemetry_interval_s is 0"),
        (format!("{good}hollows = 3\n"), "unknown field `hollows`"),
        (good.replace("seed = 7\n", ""), "missing field `seed`"),
    ];
    for (text, why) in cases {
        let told = Scenario::parse(&text).expect_err(why).to_string();
        assert!(told.contains(why), "{why}: {told}");
    }
}

#[test]
fn shipped_scenarios_are_good() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/scale");
    let files: Vec<_> = std::fs::read_dir(folder).expect("a folder").flatten().collect();
    assert!(!files.is_empty());
    for file in files {
        Scenario::read(&file.path()).unwrap_or_else(|why| panic!("{why}"));
    }
}

const SIZES: [f64; 6] = [200.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 6_500.0];

/// Three runs a size of a known law, with noise of the same spread at each size: so large a part of the law's range.
fn noisy(law: Law, (constant, slope): (f64, f64), noise: f64, seed: u64) -> Vec<Point> {
    let mut random = fastrand::Rng::with_seed(seed);
    let range = law.at(SIZES[SIZES.len() - 1]) - law.at(SIZES[0]);
    let mut points = Vec::new();
    for n in SIZES {
        for _ in 0..3 {
            let error = noise * range * (random.f64() * 2.0 - 1.0);
            points.push(Point { n, y: constant + slope * law.at(n) + error });
        }
    }
    points
}

#[test]
fn fit_recovers_each_law_with_noise_within_its_interval() {
    for (place, law) in Law::ALL.into_iter().enumerate() {
        let mut within = 0;
        for seed in 0..100 {
            let points = noisy(law, (50.0, 0.4), 0.002, 100 * place as u64 + seed);
            let best = Fit::best(&points).expect("enough sizes");
            assert!(best.depends_on_size());
            let fit = Fit::new(&points, law).expect("enough sizes");
            assert_eq!(fit.residuals.len(), points.len());
            within += usize::from((fit.slope - 0.4).abs() <= fit.slope_error);
            assert_eq!(best.law, law, "seed {seed}");
        }
        // 95 in 100 by the interval's meaning; under 88 would be a chance of one in 200.
        assert!(within >= 88, "{law}: {within} of 100 intervals hold the slope");
    }
}

#[test]
fn fit_predicts_the_largest_size_from_the_smaller_ones() {
    let mut within = 0;
    for seed in 0..100 {
        let points = noisy(Law::NLogN, (10.0, 0.02), 0.01, 900 + seed);
        let (smaller, largest): (Vec<Point>, Vec<Point>) = points.iter().partition(|point| point.n < 6_500.0);
        let prediction = Fit::new(&smaller, Law::NLogN).expect("enough sizes").predict(6_500.0);
        within += usize::from((largest[0].y - prediction.value).abs() <= prediction.error);
    }
    assert!(within >= 88, "{within} of 100 intervals hold the new measurement");
}

#[test]
fn fit_shows_no_dependence_on_size_where_there_is_none() {
    let flat = (0..200).map(|seed| noisy(Law::N, (50.0, 0.0), 0.01, 5_000 + seed));
    let shown =
        flat.filter(|points| Fit::new(points, Law::N).expect("enough sizes").depends_on_size()).count();
    assert!(shown <= 25, "{shown} of 200 slopes pass for one");
}

#[test]
fn mean_of_a_flat_figure_holds_a_new_measurement_within_its_interval() {
    let held = (0..100).filter(|seed| {
        let mut points = noisy(Law::N, (50.0, 0.0), 0.01, 7_000 + seed);
        let new = points.pop().expect("points");
        let mean = mean(&points).expect("enough sizes");
        (new.y - mean.value).abs() <= mean.error
    });
    let held = held.count();
    assert!(held >= 88, "{held} of 100 intervals hold the new measurement");
}

#[test]
fn fit_of_too_few_sizes_is_refused_however_many_points_there_are() {
    let three = |n: f64| (0..5).map(move |run| Point { n, y: n + f64::from(run) });
    let points: Vec<Point> = SIZES[..3].iter().flat_map(|n| three(*n)).collect();
    assert_eq!(Fit::new(&points, Law::N).err(), Some(TooFewSizes(3)));
    assert_eq!(Fit::best(&points).err(), Some(TooFewSizes(3)));
    assert_eq!(mean(&points).err(), Some(TooFewSizes(3)));
    let told = TooFewSizes(3).to_string();
    assert!(told.contains("3 sizes") && told.contains('4'), "{told}");
    let four: Vec<Point> = SIZES[..4].iter().flat_map(|n| three(*n)).collect();
    assert!(Fit::best(&four).is_ok());
}

/// A run whose agents send so many bytes and take so much of a core.
fn result(hollow: usize, (bytes, cpu): (f64, f64)) -> RunResult {
    let agent = AgentFigures { bytes_out: bytes, cpu_share: cpu, ..AgentFigures::default() };
    RunResult {
        scenario: "made up".into(),
        hollow,
        real: 12,
        run: 1,
        seed: 1,
        loss: 0.0,
        servers: 6,
        machine: Machine::this(),
        commit: "none".into(),
        ended_unix: 0,
        window_s: 20.0,
        void: Vec::new(),
        void_changes: Some(Vec::new()),
        hollow_agent: agent.clone(),
        real_agent: agent,
        fleet: FleetFigures::default(),
    }
}

fn line<'a>(block: &'a str, start: &str) -> &'a str {
    let found = block.lines().rfind(|line| line.starts_with(start));
    found.unwrap_or_else(|| panic!("no line begins with {start:?} in\n{block}"))
}

#[test]
fn page_tells_met_missed_and_not_known_lines_of_the_target_apart() {
    // Two bytes a second more with each agent: 13 KB/s at 6,500. A twentieth of a percent of a core, whatever the size.
    let sizes = [388, 588, 988, 1_988, 2_988];
    let mut results: Vec<RunResult> =
        sizes.iter().map(|&size| result(size, (2.0 * (size + 12) as f64, 0.0005))).collect();
    let block = page_block(&results);
    assert!(
        line(&block, "| control bytes sent").ends_with("missed, 2.17 times the limit at least |"),
        "{block}"
    );
    assert!(line(&block, "| CPU, hollow agent").contains("met, 78.0 times below the limit"), "{block}");
    assert!(line(&block, "| a change of the list").contains("not known"), "{block}");
    assert!(block.contains("2988 hollow agents, predicted from the smaller ones of more than"), "{block}");
    // Four times the largest size is as far as a line tells.
    let near: Vec<RunResult> = results.iter().filter(|result| result.hollow < 1_000).cloned().collect();
    let more = result(788, (1_600.0, 0.0005));
    let block = page_block(&[near, vec![more]].concat());
    assert!(line(&block, "| CPU, hollow agent").contains("not known, extrapolated too far"), "{block}");
    // Runs that are void make no line, nor do those of fleets that every view holds whole past that.
    results.iter_mut().take(2).for_each(|result| result.void.push("it was late".into()));
    let block = page_block(&results);
    assert!(line(&block, "| control bytes sent").contains("not known: 3 sizes"), "{block}");
    assert!(block.contains("VOID: it was late"), "{block}");
    results.push(result(100, (0.0, 0.0)));
    let block = page_block(&results);
    let (_, past_view) =
        block.split_once("Slopes, over runs without loss of more than 256").expect("a table");
    assert!(
        past_view.contains("| control bytes sent, real agent with traffic | - | not known: 3 sizes"),
        "{block}"
    );
    assert!(block.contains("by all sizes, for of more than 256 agents there are too few"), "{block}");
}

#[test]
fn times_of_changes_that_nobody_watched_or_that_are_void_make_no_line() {
    let watched = |size: usize, void_changes: Option<Vec<String>>| {
        let mut result = result(size, (1_000.0, 0.0005));
        result.fleet.detection_last_s = Some(6.5);
        result.fleet.list_change_s = vec![0.1, 0.2];
        RunResult { void_changes, ..result }
    };
    let sizes = [388, 588, 988, 1_988];
    let all = |void_changes: Option<Vec<String>>| {
        page_block(&sizes.map(|size| watched(size, void_changes.clone())))
    };
    for (void_changes, expected) in [
        (Some(Vec::new()), "met"),
        (Some(vec!["it was late".to_owned()]), "not known: 0 sizes"),
        (None, "not known: 0 sizes"),
    ] {
        let block = all(void_changes);
        for figure in ["| a change of the list", "| a killed agent"] {
            assert!(line(&block, figure).contains(expected), "{expected}: {block}");
        }
    }
}

/// Processes whose command line names this text.
fn named(text: &str) -> usize {
    let processes = std::fs::read_dir("/proc").expect("the processes").flatten();
    let lines = processes.filter_map(|entry| std::fs::read(entry.path().join("cmdline")).ok());
    lines.filter(|line| String::from_utf8_lossy(line).contains(text)).count()
}

#[tokio::test]
async fn harness_that_is_told_to_end_leaves_no_process_behind() {
    let folder = testbed::Folder::new();
    let file = folder.write(
        "scenario.toml",
        "name = \"x\"\nhollow = [4]\nreal = 1\nseed = 7\nsettle_s = 600.0\nwindow_s = 600.0\n",
    );
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_testbed"));
    let mut harness = command.arg("scale").arg(&file).kill_on_drop(true).spawn().expect("the harness starts");
    let id = harness.id().expect("it runs");
    // The files of its agents lie in folders that it names by its own number.
    let mark = format!("bellcroft-testbed-{id}-");
    testbed::soon("the start of its processes", async {
        while named(&mark) < 2 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    })
    .await;
    testbed::kill("-TERM", id).await;
    let ended = testbed::soon("its end", harness.wait()).await.expect("a status");
    assert_eq!(ended.code(), Some(1));
    testbed::soon("the end of its processes", async {
        while named(&mark) > 0 {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    })
    .await;
}
