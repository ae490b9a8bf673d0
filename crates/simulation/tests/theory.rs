//! The model where theory knows the answer. Each figure is a mean over seeds, held against the formula within three
//! standard errors and a tolerance for what is finite here.

use bellcroft_simulation::*;

/// One class whose clients wait for ever, on a network without time.
fn scenario(servers: Vec<Servers>, rate: f64, service: Dist, seconds: f64) -> Scenario {
    Scenario {
        seconds,
        warm_up: seconds / 5.0,
        instances: 1,
        zones: 1,
        classes: vec![ClassSpec {
            name: "read".into(),
            share: 1.0,
            effect: bellcroft_simulation::Effect::Idempotent,
            window: 0.0,
            aim: 1e5,
            deadline: 1e5,
            service,
        }],
        servers,
        network: Network::default(),
        arrivals: Arrivals::Poisson { rate },
        tenants: 0,
        zipf: 0.0,
        attempts: 1,
        reports: Reports::None,
        report_faults: ReportFaults::default(),
        peers: false,
        digest: false,
        list_delay: 0.0,
        habits: Habits::default(),
        troubles: Vec::new(),
    }
}

fn servers(count: usize, cores: usize, speed: f64) -> Servers {
    Servers { count, zone: None, cores, queue: None, speed, starts: None }
}

/// Mean and standard error over seeds.
fn over_seeds(seeds: u64, of: impl Fn(u64) -> f64) -> (f64, f64) {
    let values: Vec<f64> = (1..=seeds).map(of).collect();
    let mean = values.iter().sum::<f64>() / seeds as f64;
    let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (seeds as f64 - 1.0);
    (mean, (variance / seeds as f64).sqrt())
}

fn holds(what: &str, (mean, error): (f64, f64), expected: f64, tolerance: f64) {
    println!("{what}: expected {expected:.4}, found {mean:.4} +- {error:.4}");
    assert!(
        (mean - expected).abs() <= 3.0 * error + tolerance * expected,
        "{what}: {mean} +- {error}, not {expected}"
    );
}

fn mean_wait(scenario: &Scenario, policy: Policy) -> impl Fn(u64) -> f64 + '_ {
    move |seed| play(scenario, policy, seed).expect("it plays").mean_wait
}

#[test]
fn waiting_in_m_m_1_is_as_known() {
    for load in [0.5, 0.8] {
        let one = scenario(vec![servers(1, 1, 1.0)], load, Dist::Exponential { mean: 1.0 }, 60_000.0);
        // rho / (mu - lambda)
        holds("M/M/1", over_seeds(8, mean_wait(&one, Policy::Uniform)), load / (1.0 - load), 0.01);
    }
}

#[test]
fn waiting_in_m_m_c_is_as_known() {
    let (c, load) = (4_usize, 0.8);
    let one = scenario(vec![servers(1, c, 1.0)], load * c as f64, Dist::Exponential { mean: 1.0 }, 30_000.0);
    // Erlang's C formula: the share that waits, over what is free.
    let offered = load * c as f64;
    let term = |n: usize| offered.powi(n as i32) / (1..=n).map(|k| k as f64).product::<f64>();
    let full = term(c) / (1.0 - load);
    let waits = full / ((0..c).map(term).sum::<f64>() + full);
    holds("M/M/4", over_seeds(8, mean_wait(&one, Policy::Uniform)), waits / (c as f64 * (1.0 - load)), 0.01);
}

#[test]
fn waiting_in_m_g_1_is_as_known() {
    let load = 0.7;
    // Pollaczek and Khinchine: lambda E[S^2] / (2 (1 - rho)).
    for (name, service, second_moment) in [
        ("M/D/1", Dist::Constant { mean: 1.0 }, 1.0),
        ("M/LogNormal/1", Dist::LogNormal { mean: 1.0, sigma: 0.8 }, (0.8_f64 * 0.8).exp()),
        ("M/Pareto/1", Dist::Pareto { mean: 1.0, shape: 5.0 }, (0.8_f64).powi(2) * 5.0 / 3.0),
        ("M/Empirical/1", Dist::Empirical { values: vec![0.5, 0.5, 2.0] }, (0.25 + 0.25 + 4.0) / 3.0),
    ] {
        let one = scenario(vec![servers(1, 1, 1.0)], load, service, 60_000.0);
        let expected = load * second_moment / (2.0 * (1.0 - load));
        holds(name, over_seeds(8, mean_wait(&one, Policy::Uniform)), expected, 0.01);
    }
}

#[test]
fn two_choices_come_to_the_fixed_point_of_the_supermarket_model() {
    for load in [0.7_f64, 0.9] {
        let many = scenario(vec![servers(250, 1, 1.0)], load * 250.0, Dist::Exponential { mean: 1.0 }, 200.0);
        let time = |policy: Policy| {
            let many = &many;
            over_seeds(4, move |seed| play(many, policy, seed).expect("it plays").classes[0].mean)
        };
        // The mean time in the system is the sum of lambda^((d^i - d) / (d - 1)) (Mitzenmacher 1996, with d = 2).
        let expected: f64 = (1..=12).map(|i| load.powf(2_f64.powi(i) - 2.0)).sum();
        holds("two choices", time(Policy::PowerOfTwo), expected, 0.04);
        // One choice is M/M/1.
        let uniform = time(Policy::Uniform);
        assert!(uniform.0 > 1.5 * expected, "{uniform:?}");
    }
}

/// The paper's claim: below capacity, with unequal speeds, memory is stable where plain random draws are not.
#[test]
fn memory_is_stable_with_unequal_speeds_where_plain_draws_are_not() {
    let unequal = |seconds| {
        let groups = vec![servers(50, 1, 0.4), servers(50, 1, 1.6)];
        scenario(groups, 80.0, Dist::Exponential { mean: 1.0 }, seconds)
    };
    let held = |policy, seconds| play(&unequal(seconds), policy, 7).expect("it plays").peak_held;
    // Plain draws send the slow ones twice what they can do: the queue grows with time, and on.
    let (short, long) = (held(Policy::Uniform, 250.0), held(Policy::Uniform, 1000.0));
    assert!(long > 3 * short && long > 300, "{short} {long}");
    for policy in [Policy::Memory, Policy::MemoryTwo] {
        let (short, long) = (held(policy, 250.0), held(policy, 1000.0));
        assert!(long < 2 * short && long < 40, "{policy:?}: {short} {long}");
    }
}

/// Balls that never leave: the fullest bin of n balls in n bins (Mitzenmacher, Prabhakar, Shah 2002).
#[test]
fn the_fullest_bin_is_as_small_as_known() {
    let n = 4000;
    let bins = scenario(vec![servers(n, 1, 1.0)], n as f64, Dist::Constant { mean: 1e6 }, 1.0);
    let fullest = |policy| {
        let runs = (1..=5).map(|seed| play(&bins, policy, seed).expect("it plays").peak_held as f64);
        runs.sum::<f64>() / 5.0
    };
    let (uniform, two) = (fullest(Policy::Uniform), fullest(Policy::PowerOfTwo));
    let (memory, memory_two) = (fullest(Policy::Memory), fullest(Policy::MemoryTwo));
    println!("uniform {uniform}, two choices {two}, memory (1,1) {memory}, (2,2) {memory_two}");
    // ln n / ln ln n is 3.9 and the constant is near 1.7; ln ln n / ln 2 is 3.05.
    assert!((5.0..=9.0).contains(&uniform) && (3.0..=4.0).contains(&two));
    assert!(memory <= two + 0.5 && memory_two <= memory, "(1,1) is as good as two choices, (2,2) better");
}
