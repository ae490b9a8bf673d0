//! The randomized soak, small and with fixed seeds; `testbed soak` runs it larger and for more seeds.

use testbed::soak::{self, SoakPlan};

/// The maximum of runs of a seed on a machine that is too busy for a verdict.
const MAX_RUNS: usize = 4;

/// Runs a seed until the machine was idle enough for a verdict.
async fn play(plan: SoakPlan) {
    for _ in 0..MAX_RUNS {
        let report = soak::run(plan).await;
        if report.starved() {
            continue;
        }
        assert!(report.passed(), "{report:#?}");
        for kind in ["planned restart", "stall"] {
            assert!(report.faults.contains_key(kind), "no {kind}: the soak shows nothing");
        }
        assert!(report.requests["served"] > 100, "{report:#?}");
        return;
    }
    panic!("the machine was too busy for a verdict, {MAX_RUNS} times");
}

const SMALL: SoakPlan =
    SoakPlan { seed: 1, instances: 10, servers: 8, seconds: 12.0, clients: 4, failing_calls: true };

#[tokio::test(flavor = "multi_thread")]
async fn no_violations_under_overlapping_faults_and_failing_calls() {
    for seed in [10, 11, 12] {
        play(SoakPlan { seed, ..SMALL }).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_violations_under_overlapping_faults() {
    play(SoakPlan { seed: 21, failing_calls: false, ..SMALL }).await;
}
