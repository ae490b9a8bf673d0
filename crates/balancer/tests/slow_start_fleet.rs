//! Rule four for the sum of many balancers: without peers, no fleet of them overloads a server in slow start.
mod slow_start;

use slow_start::{Fleet, Observed, Scenario, StartKind};

type Draw = fn(u32, StartKind, u64) -> Scenario;

/// Simulates each kind of start with these seeds.
fn play(draw: Draw, processes: u32, seeds: std::ops::Range<u64>) -> Vec<(Scenario, Observed)> {
    let kinds = |seed| StartKind::ALL.map(|kind| draw(processes, kind, seed));
    seeds.flat_map(kinds).map(|scenario| (scenario.clone(), Fleet::play(scenario))).collect()
}

/// Prints starts, those above the bound and the highest window, by kind of start.
fn print_table(processes: u32, plays: &[(Scenario, Observed)]) {
    for kind in StartKind::ALL {
        let of_kind = || plays.iter().filter(|(scenario, _)| scenario.kind == kind);
        let mut ratios: Vec<(f64, &Scenario, f64, f64)> = of_kind()
            .flat_map(|(s, o)| o.peaks.iter().map(move |p| (p.ratio, s, p.work, p.age.ms())))
            .collect();
        ratios.sort_by(|a, b| b.0.total_cmp(&a.0));
        let over = ratios.iter().filter(|r| r.0 > 1.0).count();
        let median = ratios[ratios.len() / 2].0;
        let (served, all) = of_kind().fold((0, 0), |sum, (_, o)| (sum.0 + o.served, sum.1 + o.requests));
        let served = f64::from(served) / f64::from(all);
        println!(
            "{processes:4} {kind:?}: {} starts, {over} over, median {median:.2}, worst {:.2}, served {served:.3}",
            ratios.len(),
            ratios[0].0,
        );
        for (ratio, s, work, age) in &ratios[..3.min(ratios.len())] {
            println!(
                "       {ratio:.2}: seed {} servers {} cores {} work {:.0} ms, load {:.2}, factor {} cold {:.2} warm {:.0} fall {:.0} spread {:.0} reports {:?}: {work:.1} at {age:.0} ms",
                s.seed, s.servers, s.cores, s.mean_work.ms(), s.utilisation, s.settings.overload_factor,
                s.settings.initial_capacity, s.settings.slow_start_window.ms(), s.settings.overload_tolerance.ms(), s.list_spread.ms(),
                s.settings.report_source
            );
        }
    }
}

fn assert_none_falls(draw: Draw, processes: u32, seeds: std::ops::Range<u64>) {
    let plays = play(draw, processes, seeds);
    print_table(processes, &plays);
    for (scenario, observed) in &plays {
        let worst = observed.peaks.iter().map(|p| p.ratio).fold(0.0, f64::max);
        assert!(worst <= 1.0, "{worst:.2} of what it bears: {scenario:?}");
    }
}

#[test]
fn cold_server_of_20_processes_stays_within_bound() {
    assert_none_falls(Scenario::draw, 20, 0..4);
}

#[test]
fn cold_server_of_30_processes_stays_within_bound() {
    assert_none_falls(Scenario::draw, 30, 0..4);
}

/// Each process may have one request in flight to each server, and a window withstands fewer than there are processes.
#[test]
fn small_cold_server_of_30_processes_stays_within_bound() {
    assert_none_falls(Scenario::draw_small_servers, 30, 0..4);
}

/// Run manually and optimised: `cargo test --release --test slow_start_fleet -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement over some thousands of starts"]
fn measure_thousands_of_starts() {
    for processes in [1, 3, 20, 30] {
        println!("any servers");
        print_table(processes, &play(Scenario::draw, processes, 0..40));
        println!("small servers");
        print_table(processes, &play(Scenario::draw_small_servers, processes, 0..40));
    }
}
