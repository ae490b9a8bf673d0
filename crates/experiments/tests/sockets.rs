//! Tests of scenarios on the model and on sockets, and of scenarios that sockets do not support.

use bellcroft_simulation::{play, Arrivals, Policy, Scenario, Trouble, What};
use experiments::sockets::{check, compare_runs, without_network_delays, Figures};
use experiments::Experiment;

fn scenario(name: &str) -> Scenario {
    let file = format!("{}/../../deploy/experiments/sockets/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&file).expect("the file should be shipped");
    let experiment = Experiment::parse(&text).expect("the experiment should be valid");
    without_network_delays(&experiment.base_scenario().expect("the scenario should be valid"))
}

#[test]
fn shipped_scenarios_are_supported() {
    for name in ["calm", "slow-tenth", "mute", "rolling-drain", "brown-out"] {
        let scenario = scenario(name);
        assert_eq!(check(&scenario).map(|rate| rate > 0.0), Ok(true), "{name}");
        assert!(
            play(&scenario, Policy::Module, 1).expect("the scenario should run").breaches.all() == 0,
            "{name}"
        );
    }
}

#[test]
fn unsupported_scenarios_are_rejected_with_reason() {
    let supported = scenario("calm");
    let rejection = |change: fn(&mut Scenario)| {
        let mut scenario = supported.clone();
        change(&mut scenario);
        check(&scenario).expect_err("the scenario should be rejected")
    };
    assert!(rejection(|s| s.arrivals = Arrivals::Trace { times: vec![1.0] }).contains("poisson"));
    assert!(rejection(|s| s.instances = 500).contains("500 instances"));
    assert!(rejection(|s| s.seconds = 1e5).contains("100000 s"));
    assert!(rejection(|s| s.habits.retries = 1).contains("habits"));
    assert!(rejection(|s| s.tenants = 3).contains("tenants"));
    assert!(rejection(|s| s.servers[0].starts = Some(1.0)).contains("one kind"));
    let cut = What::Cut { from: 0, to: 1, on: true };
    let mut scenario = supported.clone();
    scenario.troubles.push(Trouble { at: 1.0, what: cut });
    assert!(check(&scenario).expect_err("a partition should be rejected").contains("Cut"));
}

/// A short run with a drain serves nearly all requests and has similar figures on the model and on sockets. The bounds
/// are wide, as the exact figures are measured elsewhere. Late requests are allowed, because other processes may load the machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_has_similar_figures_on_model_and_sockets() {
    let mut scenario = scenario("calm");
    (scenario.seconds, scenario.warm_up, scenario.instances) = (4.0, 1.0, 2);
    scenario.arrivals = Arrivals::Poisson { rate: 120.0 };
    scenario.troubles.push(Trouble { at: 2.0, what: What::Drain { servers: vec![0] } });
    let model = Figures::of_model(&play(&scenario, Policy::Module, 4).expect("the scenario should run"));
    let real = experiments::sockets::play(&scenario, 4, 1.0, |_| ()).await.expect("the scenario should run");
    let expected = 120.0 * 3.0;
    for (name, figures) in [("model", &model), ("sockets", &real)] {
        assert!((figures.requests as f64 - expected).abs() < expected / 3.0, "{name}: {figures:?}");
        assert!(figures.within_objective > 0.8 && figures.unserved < 0.1, "{name}: {figures:?}");
        assert!(figures.idlest < 1.0 && figures.busiest > 1.0, "{name}: {figures:?}");
    }
    let comparison = compare_runs("calm", &[model.clone(), model.clone()], &[real]).expect("both have runs");
    assert_eq!(comparison.figures.len(), model.named().len());
    assert!(comparison.figures[0].1.half.is_some() && comparison.figures[0].2.half.is_none());
}
