//! A scale run beyond the machine starts nothing. Alone in its process, whose children it counts.

use std::path::Path;
use testbed::scale::{run, RunError, Scenario, ScenarioError};

/// Processes of this program that this test process has started, by their parent.
fn children() -> usize {
    let own = std::process::id().to_string();
    let stat =
        |pid: &std::ffi::OsStr| std::fs::read_to_string(Path::new("/proc").join(pid).join("stat")).ok();
    let is_child = |stat: String| {
        let fields: Vec<&str> = stat.rsplit_once(") ").map_or(vec![], |(_, rest)| rest.split(' ').collect());
        fields.get(1) == Some(&own.as_str())
    };
    let processes = std::fs::read_dir("/proc").expect("the processes").flatten();
    processes.filter_map(|entry| stat(&entry.file_name())).filter(|stat| is_child(stat.clone())).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn run_too_large_for_the_machine_is_refused_before_it_starts() {
    let large = Scenario::parse(
        "name = \"x\"\nhollow = [10000]\nreal = 1\nseed = 7\nsettle_s = 1.0\nwindow_s = 1.0\n",
    )
    .unwrap_or_else(|why| panic!("{why}"));
    let before = children();
    let refused = run(&large, (large.hollow[0], 1), |_| {}).await;
    assert!(
        matches!(refused, Err(RunError::Scenario(ScenarioError::TooLarge { hollow: 10000, .. }))),
        "{refused:?}"
    );
    assert!(children() <= before, "nothing was started");
}
