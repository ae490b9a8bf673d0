//! The same scenario on the model and on sockets, and what sockets can't show.

use bellcroft_simulation::{play, Arrivals, Policy, Scenario, Trouble, What};
use experiments::sockets::{as_both, beside, check, Figures};
use experiments::Experiment;

fn scenario(name: &str) -> Scenario {
    let file = format!("{}/../../deploy/experiments/sockets/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&file).expect("it is shipped");
    as_both(&Experiment::parse(&text).expect("it is good").plain().expect("it can be played"))
}

#[test]
fn the_shipped_ones_can_be_played_on_both() {
    for name in ["calm", "slow-tenth", "mute", "rolling-drain", "brown-out"] {
        let scenario = scenario(name);
        assert_eq!(check(&scenario).map(|rate| rate > 0.0), Ok(true), "{name}");
        assert!(play(&scenario, Policy::Module, 1).expect("it plays").breaches.all() == 0, "{name}");
    }
}

#[test]
fn what_loopback_cannot_show_is_refused_by_name() {
    let good = scenario("calm");
    let refused = |change: fn(&mut Scenario)| {
        let mut scenario = good.clone();
        change(&mut scenario);
        check(&scenario).expect_err("it can't be shown")
    };
    assert!(refused(|s| s.arrivals = Arrivals::Trace { times: vec![1.0] }).contains("poisson"));
    assert!(refused(|s| s.instances = 500).contains("500 instances"));
    assert!(refused(|s| s.seconds = 1e5).contains("100000 s"));
    assert!(refused(|s| s.habits.retries = 1).contains("habits"));
    assert!(refused(|s| s.tenants = 3).contains("tenants"));
    assert!(refused(|s| s.servers[0].starts = Some(1.0)).contains("one kind"));
    let cut = What::Cut { from: 0, to: 1, on: true };
    let mut scenario = good.clone();
    scenario.troubles.push(Trouble { at: 1.0, what: cut });
    assert!(check(&scenario).expect_err("there are no zones to cut").contains("Cut"));
}

/// A short calm run with a drain on both: nobody is lost, and what both say lies in one region. The bounds are wide: it is
/// the page that has the figures. Where others use the machine too, some requests leave late, which is none of this test's
/// matter.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drain_on_both_looks_alike() {
    let mut scenario = scenario("calm");
    (scenario.seconds, scenario.warm_up, scenario.instances) = (4.0, 1.0, 2);
    scenario.arrivals = Arrivals::Poisson { rate: 120.0 };
    scenario.troubles.push(Trouble { at: 2.0, what: What::Drain { servers: vec![0] } });
    let model = Figures::of_model(&play(&scenario, Policy::Module, 4).expect("it plays"));
    let real = experiments::sockets::play(&scenario, 4, 1.0, |_| ()).await.expect("it plays");
    let expected = 120.0 * 3.0;
    for (name, figures) in [("model", &model), ("sockets", &real)] {
        assert!((figures.asked as f64 - expected).abs() < expected / 3.0, "{name}: {figures:?}");
        assert!(figures.wanted > 0.8 && figures.unserved < 0.1, "{name}: {figures:?}");
        assert!(figures.idlest < 1.0 && figures.busiest > 1.0, "{name}: {figures:?}");
    }
    let beside = beside("calm", &[model.clone(), model.clone()], &[real]).expect("there are runs");
    assert_eq!(beside.figures.len(), model.named().len());
    assert!(beside.figures[0].1.half.is_some() && beside.figures[0].2.half.is_none());
}
