//! Rule four for many balancers together: even without peer hints they do not overload a server in slow start.
mod slow_start;

use slow_start::{Fleet, Observed, Scenario, StartKind};

type DrawScenario = fn(u32, StartKind, u64) -> Scenario;

/// Simulates each kind of start with these seeds.
fn simulate(draw: DrawScenario, processes: u32, seeds: std::ops::Range<u64>) -> Vec<(Scenario, Observed)> {
    let kinds = |seed| StartKind::ALL.map(|kind| draw(processes, kind, seed));
    seeds.flat_map(kinds).map(|scenario| (scenario.clone(), Fleet::simulate(scenario))).collect()
}

/// Prints for each kind of start the number of starts, the number above the bound, and the windows with the highest load.
fn print_table(processes: u32, results: &[(Scenario, Observed)]) {
    for kind in StartKind::ALL {
        let of_kind = || results.iter().filter(|(scenario, _)| scenario.kind == kind);
        let mut ratios: Vec<(f64, &Scenario, f64, f64)> = of_kind()
            .flat_map(|(s, o)| o.peaks.iter().map(move |p| (p.ratio, s, p.work, p.age.ms())))
            .collect();
        ratios.sort_by(|a, b| b.0.total_cmp(&a.0));
        let above_bound = ratios.iter().filter(|r| r.0 > 1.0).count();
        let median = ratios[ratios.len() / 2].0;
        let (served, all) = of_kind().fold((0, 0), |sum, (_, o)| (sum.0 + o.served, sum.1 + o.requests));
        let served = f64::from(served) / f64::from(all);
        println!(
            "{processes:4} {kind:?}: {} starts, {above_bound} above the bound, median {median:.2}, worst {:.2}, served {served:.3}",
            ratios.len(),
            ratios[0].0,
        );
        for (ratio, s, work, age) in &ratios[..3.min(ratios.len())] {
            println!(
                "       {ratio:.2}: seed {} servers {} cores {} work {:.0} ms, load {:.2}, factor {} capacity {:.2} slow start {:.0} tolerance {:.0} spread {:.0} reports {:?}: {work:.1} at {age:.0} ms",
                s.seed, s.servers, s.cores, s.mean_work.ms(), s.utilisation, s.settings.overload_factor,
                s.settings.initial_capacity, s.settings.slow_start_window.ms(), s.settings.overload_tolerance.ms(), s.list_spread.ms(),
                s.settings.report_source
            );
        }
    }
}

fn assert_within_bound(draw: DrawScenario, processes: u32, seeds: std::ops::Range<u64>) {
    let results = simulate(draw, processes, seeds);
    print_table(processes, &results);
    for (scenario, observed) in &results {
        let worst = observed.peaks.iter().map(|p| p.ratio).fold(0.0, f64::max);
        assert!(worst <= 1.0, "{worst:.2} times the bound: {scenario:?}");
    }
}

#[test]
fn slow_start_with_20_balancers_stays_within_bound() {
    assert_within_bound(Scenario::random, 20, 0..4);
}

#[test]
fn slow_start_with_30_balancers_stays_within_bound() {
    assert_within_bound(Scenario::random, 30, 0..4);
}

/// Each process may have one request in flight to each server, and a server withstands fewer requests per window than there
/// are processes.
#[test]
fn small_servers_with_30_balancers_stay_within_bound() {
    assert_within_bound(Scenario::random_small_servers, 30, 0..4);
}

/// Run manually with optimisation: `cargo test --release --test slow_start_fleet -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement of several thousand starts"]
fn measure_thousands_of_starts() {
    for processes in [1, 3, 20, 30] {
        println!("any servers");
        print_table(processes, &simulate(Scenario::random, processes, 0..40));
        println!("small servers");
        print_table(processes, &simulate(Scenario::random_small_servers, processes, 0..40));
    }
}
