//! The table of `testbed measure path`.

use super::{Measurement, Options, Round, Route};
use std::time::Duration;
use testbed::open_loop::quantile;

const SHARES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// One row for each rate and route over the rounds that count, and one over those that are void, so marked.
pub fn table(rates: &[(f64, Vec<Round>)], options: &Options) -> String {
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    let mut text = format!(
        "{cores} cores; {} rounds of {} s on each route, seed {}; milliseconds, added to direct where a sign stands.\n\n\
         | calls a second | route | rounds | calls | p50 | p90 | p99 (each round) | p99.9 | CPU a call | opened a 1,000 calls | held at the end |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        options.pairs, options.seconds, options.seed
    );
    for (rate, rounds) in rates {
        let (void, valid): (Vec<&Round>, Vec<&Round>) =
            rounds.iter().partition(|round| round.void_because().is_some());
        for (rounds, mark) in [(&valid, ""), (&void, " (void)")] {
            for route in [Route::Direct, Route::Before, Route::After] {
                text.push_str(&row(*rate, route, rounds, mark));
            }
        }
    }
    text
}

/// A route over some rounds; nothing if there are none.
fn row(rate: f64, route: Route, rounds: &[&Round], mark: &str) -> String {
    let parts: Vec<&Measurement> = rounds.iter().filter_map(|round| round.part(route)).collect();
    let name = match route {
        Route::Direct => "direct",
        Route::Before => "before",
        Route::After => "after",
    };
    if parts.is_empty() {
        return String::new();
    }
    let latencies = pooled(&parts);
    let calls = latencies.len();
    let added = |share: f64| match route {
        Route::Direct => format!("{:.2}", milliseconds(quantile(&latencies, share))),
        _ => format!("{:+.2}", difference(&latencies, &pooled_direct(rounds), share)),
    };
    let [p50, p90, p99, p999] = SHARES.map(added);
    let each = match route {
        Route::Direct => String::new(),
        _ => format!(" ({})", each_round(rounds, route).join(", ")),
    };
    let cpu = parts.iter().map(|part| part.cpu).sum::<Duration>().as_secs_f64() * 1e6 / calls as f64;
    let opened = parts.iter().map(|part| part.opened).sum::<usize>() as f64 * 1e3 / calls as f64;
    let held = parts.iter().map(|part| part.held).sum::<usize>() as f64 / parts.len() as f64;
    let [cpu, opened, held] = match route {
        Route::Direct => ["", "", ""].map(String::from),
        _ => [format!("{cpu:.0} us"), format!("{opened:.1}"), format!("{held:.1}")],
    };
    format!(
        "| {rate} | {name}{mark} | {} | {calls} | {p50} | {p90} | {p99}{each} | {p999} | {cpu} | {opened} | {held} |\n",
        parts.len()
    )
}

fn pooled(parts: &[&Measurement]) -> Vec<Duration> {
    parts.iter().flat_map(|part| part.latencies()).collect()
}

fn pooled_direct(rounds: &[&Round]) -> Vec<Duration> {
    let parts: Vec<&Measurement> = rounds.iter().filter_map(|round| round.part(Route::Direct)).collect();
    pooled(&parts)
}

/// What a route adds at the 99th percentile, round by round.
fn each_round(rounds: &[&Round], route: Route) -> Vec<String> {
    let added = |round: &&Round| {
        let (own, direct) = (round.part(route)?.latencies(), round.part(Route::Direct)?.latencies());
        Some(format!("{:+.2}", difference(&own, &direct, 0.99)))
    };
    rounds.iter().filter_map(added).collect()
}

fn difference(own: &[Duration], direct: &[Duration], share: f64) -> f64 {
    milliseconds(quantile(own, share)) - milliseconds(quantile(direct, share))
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
