//! Results as a table for people, as JSON lines, and as the block of the page on capacity.

use super::fit::{mean, Fit, Point, Prediction, TooFewSizes, MIN_SIZES};
use super::scenario::VIEW_LIMIT;
use super::RunResult;
use std::path::Path;

/// Bytes that IP and UDP put around each datagram.
const DATAGRAM_HEADERS: f64 = 28.0;
/// Agents of the target.
const TARGET_AGENTS: f64 = 6_500.0;
/// A line says something of a size so many times the largest one that was measured, and no more.
const MAX_EXTRAPOLATION: f64 = 4.0;
/// Control bytes a second that the target allows an agent.
const TARGET_CONTROL_BYTES: f64 = 6_000.0;

/// A figure that is fitted against the number of agents.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    of: fn(&RunResult) -> Option<f64>,
}

/// All that a real agent sends for control; bytes of calls hold those of their answers.
const CONTROL_SENT: Quantity = Quantity {
    name: "control bytes sent, real agent with traffic",
    unit: "B/s",
    of: |r| Some(control_sent(r)),
};
/// The same with the datagrams that come to it.
const CONTROL_BOTH_WAYS: Quantity = Quantity {
    name: "control bytes both ways, real agent with traffic",
    unit: "B/s",
    of: |r| {
        let agent = &r.real_agent;
        Some(control_sent(r) + agent.bytes_in + DATAGRAM_HEADERS * agent.datagrams_in)
    },
};

fn control_sent(result: &RunResult) -> f64 {
    let agent = &result.real_agent;
    let membership = agent.bytes_out + DATAGRAM_HEADERS * agent.datagrams_out;
    membership + agent.discovery_bytes + agent.telemetry_bytes
}

/// What is fitted.
const QUANTITIES: [Quantity; 15] = [
    CONTROL_SENT,
    CONTROL_BOTH_WAYS,
    Quantity { name: "datagrams sent, hollow agent", unit: "/s", of: |r| Some(r.hollow_agent.datagrams_out) },
    Quantity {
        name: "membership sent with headers, hollow agent",
        unit: "B/s",
        of: |r| Some(r.hollow_agent.bytes_out + DATAGRAM_HEADERS * r.hollow_agent.datagrams_out),
    },
    Quantity {
        name: "membership sent with headers, real agent with traffic",
        unit: "B/s",
        of: |r| Some(r.real_agent.bytes_out + DATAGRAM_HEADERS * r.real_agent.datagrams_out),
    },
    Quantity {
        name: "calls to discovery, hollow agent",
        unit: "/s",
        of: |r| Some(r.hollow_agent.discovery_calls),
    },
    Quantity {
        name: "discovery bytes, hollow agent",
        unit: "B/s",
        of: |r| Some(r.hollow_agent.discovery_bytes),
    },
    Quantity {
        name: "calls to discovery, all agents",
        unit: "/s",
        of: |r| Some(r.hollow_agent.discovery_calls * agents(r)),
    },
    Quantity {
        name: "telemetry bytes, hollow agent",
        unit: "B/s",
        of: |r| Some(r.hollow_agent.telemetry_bytes),
    },
    Quantity {
        name: "CPU, hollow agent",
        unit: "% of a core",
        of: |r| Some(r.hollow_agent.cpu_share * 100.0),
    },
    Quantity {
        name: "CPU, real agent with traffic",
        unit: "% of a core",
        of: |r| Some(r.real_agent.cpu_share * 100.0),
    },
    Quantity { name: "memory, hollow agent", unit: "MiB", of: |r| Some(r.hollow_agent.memory_mib) },
    Quantity { name: "memory, real agent", unit: "MiB", of: |r| Some(r.real_agent.memory_mib) },
    Quantity {
        name: "a change of the list, to the last agent",
        unit: "s",
        of: |r| r.fleet.list_change_s.iter().copied().reduce(f64::max).filter(|_| changes_count(r)),
    },
    Quantity {
        name: "a killed agent, to the last that held it",
        unit: "s",
        of: |r| r.fleet.detection_last_s.filter(|_| changes_count(r)),
    },
];

/// A line of the target that these runs say something of.
struct TargetLine {
    quantity: &'static str,
    limit: f64,
}

/// The lines of the target, by the quantities that they bound.
const TARGET: [TargetLine; 8] = [
    TargetLine { quantity: "control bytes sent, real agent with traffic", limit: TARGET_CONTROL_BYTES },
    TargetLine { quantity: "control bytes both ways, real agent with traffic", limit: TARGET_CONTROL_BYTES },
    TargetLine { quantity: "CPU, hollow agent", limit: 3.9 },
    TargetLine { quantity: "CPU, real agent with traffic", limit: 3.9 },
    TargetLine { quantity: "memory, hollow agent", limit: 256.0 },
    TargetLine { quantity: "memory, real agent", limit: 256.0 },
    TargetLine { quantity: "a change of the list, to the last agent", limit: 9.0 },
    TargetLine { quantity: "a killed agent, to the last that held it", limit: 9.0 },
];

/// Whether the times of changes and of detection count.
fn changes_count(result: &RunResult) -> bool {
    result.void_changes.as_ref().is_some_and(Vec::is_empty)
}

fn agents(result: &RunResult) -> f64 {
    (result.hollow + result.real) as f64
}

/// Reads results, a JSON object a line.
///
/// # Errors
///
/// The file cannot be read or a line is no result.
pub fn read_results(file: &Path) -> Result<Vec<RunResult>, String> {
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let read = |(place, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|e| format!("{}:{}: {e}", file.display(), place + 1))
    };
    lines.map(read).collect()
}

/// The runs, a line each.
pub fn summary_table(results: &[RunResult]) -> String {
    let mut table = String::from(
        "| agents | run | loss | servers | datagrams out /s | membership B/s | discovery calls /s | discovery B/s | telemetry B/s | CPU % | MiB | list change s | config change s | detection s, p50 and last | counts |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for result in results {
        table.push_str(&summary_row(result));
    }
    table
}

fn summary_row(result: &RunResult) -> String {
    let (agent, fleet) = (&result.hollow_agent, &result.fleet);
    let seconds = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.2}"));
    let slowest = fleet.list_change_s.iter().copied().reduce(f64::max);
    let verdict = match result.void.is_empty() {
        true => "yes".to_owned(),
        false => format!("VOID: {}", result.void.join("; ")),
    };
    let times = match &result.void_changes {
        None => "times: not watched".to_owned(),
        Some(reasons) if reasons.is_empty() => "times: yes".to_owned(),
        Some(reasons) => format!("times VOID: {}", reasons.join("; ")),
    };
    format!(
        "| {} + {} | {} | {:.0}% | {} | {:.2} | {:.0} | {:.3} | {:.0} | {:.0} | {:.3} | {:.3} | {} | {} | {}, {} ({} of {}) | {verdict}; {times} |\n",
        result.hollow,
        result.real,
        result.run,
        result.loss * 100.0,
        result.servers,
        agent.datagrams_out,
        agent.bytes_out + DATAGRAM_HEADERS * agent.datagrams_out,
        agent.discovery_calls,
        agent.discovery_bytes,
        agent.telemetry_bytes,
        agent.cpu_share * 100.0,
        agent.memory_mib,
        seconds(slowest),
        seconds(fleet.config_change_s),
        seconds(fleet.detection_p50_s),
        seconds(fleet.detection_last_s),
        fleet.detection_holders.1,
        fleet.detection_holders.0,
    )
}

/// The block of the page: all runs, then the slopes of those that count, then the predictions of the largest size.
pub fn page_block(results: &[RunResult]) -> String {
    let mut block = summary_table(results);
    let valid: Vec<&RunResult> = results.iter().filter(|result| result.void.is_empty()).collect();
    if let Some(result) = results.first() {
        let machine = &result.machine;
        block.push_str(&format!(
            "\nMachine: {}, {} cores, {:.0} MiB; rows `hollow + real`; rates and shares are means of one hollow agent.\n",
            machine.processor, machine.cores, machine.memory_mib
        ));
        let mut versions: Vec<String> =
            results.iter().map(|r| format!("{} (seeds from {})", r.commit, r.seed)).collect();
        versions.dedup();
        block.push_str(&format!("Code: {}.\n", versions.join(", ")));
    }
    let lossless: Vec<&RunResult> = valid.into_iter().filter(|result| result.loss == 0.0).collect();
    // A fleet that fits into every view is of another kind: each agent holds all others.
    let past_view = |result: &&RunResult| result.hollow + result.real > VIEW_LIMIT + 1;
    let sampled: Vec<&RunResult> = lossless.iter().copied().filter(past_view).collect();
    for (which, results) in [("all sizes", &lossless), ("more than 256 agents", &sampled)] {
        block.push_str(&slopes(which, results));
        block.push_str(&predictions(which, results));
    }
    let (which, chosen) = if sizes(&sampled) >= MIN_SIZES {
        ("more than 256 agents", &sampled)
    } else {
        ("all sizes, for of more than 256 agents there are too few", &lossless)
    };
    block.push_str(&target(which, chosen));
    block.push_str(&target_at_loss(results));
    block
}

fn points(results: &[&RunResult], quantity: &Quantity) -> Vec<Point> {
    let point = |result: &&RunResult| Some(Point { n: agents(result), y: (quantity.of)(result)? });
    results.iter().filter_map(point).collect()
}

/// How a figure goes with the size.
enum Model {
    /// By a law.
    Line(Fit),
    /// In no way that was shown: the mean, with the interval of one new measurement.
    Flat(Prediction),
}

impl Model {
    fn of(points: &[Point]) -> Result<Self, TooFewSizes> {
        let best = Fit::best(points)?;
        match best.depends_on_size() {
            true => Ok(Model::Line(best)),
            false => mean(points).map(Model::Flat),
        }
    }

    fn predict(&self, n: f64) -> Prediction {
        match self {
            Model::Line(fit) => fit.predict(n),
            Model::Flat(mean) => *mean,
        }
    }

    fn law(&self) -> String {
        match self {
            Model::Line(fit) => fit.law.to_string(),
            Model::Flat(_) => "none shown".to_owned(),
        }
    }
}

fn sizes(results: &[&RunResult]) -> usize {
    let mut sizes: Vec<usize> = results.iter().map(|result| result.hollow).collect();
    sizes.sort_unstable();
    sizes.dedup();
    sizes.len()
}

fn slopes(which: &str, results: &[&RunResult]) -> String {
    let mut table = format!(
        "\nSlopes, over runs without loss of {which}:\n\n\
         | figure | law | constant | slope | residual s.d. | at 6,500, extrapolated |\n\
         | --- | --- | --- | --- | --- | --- |\n"
    );
    for quantity in &QUANTITIES {
        let row = match Model::of(&points(results, quantity)) {
            Ok(model) => slope_row(quantity, &model),
            Err(TooFewSizes(sizes)) => {
                format!("| {} | - | not known: {sizes} sizes | | | |\n", quantity.name)
            }
        };
        table.push_str(&row);
    }
    table
}

fn slope_row(quantity: &Quantity, model: &Model) -> String {
    let Quantity { name, unit, .. } = quantity;
    let target = model.predict(TARGET_AGENTS);
    let line = match model {
        Model::Line(fit) => format!(
            "{:.4} ± {:.4} | {:.3e} ± {:.1e} | {:.4}",
            fit.constant, fit.constant_error, fit.slope, fit.slope_error, fit.residual_sd
        ),
        Model::Flat(mean) => format!("{:.4} | - | -", mean.value),
    };
    format!("| {name}, {unit} | {} | {line} | {:.3} ± {:.3} |\n", model.law(), target.value, target.error)
}

/// The largest size by a line through the smaller ones, against what was measured there.
fn predictions(which: &str, results: &[&RunResult]) -> String {
    let Some(largest) = results.iter().map(|result| result.hollow).max() else { return String::new() };
    let mut table = format!(
        "\n{largest} hollow agents, predicted from the smaller ones of {which}:\n\n\
         | figure | law | predicted | measured | error |\n| --- | --- | --- | --- | --- |\n"
    );
    let (at_largest, smaller): (Vec<&RunResult>, Vec<&RunResult>) =
        results.iter().partition(|result| result.hollow == largest);
    for quantity in &QUANTITIES {
        let measured = points(&at_largest, quantity);
        let Some(n) = measured.first().map(|point| point.n) else { continue };
        let measured = measured.iter().map(|point| point.y).sum::<f64>() / measured.len() as f64;
        let row = match Model::of(&points(&smaller, quantity)) {
            Ok(model) => prediction_row(quantity, (&model.law(), model.predict(n)), measured),
            Err(TooFewSizes(sizes)) => {
                format!("| {} | - | not known: {sizes} smaller sizes | {measured:.4} | |\n", quantity.name)
            }
        };
        table.push_str(&row);
    }
    table
}

fn prediction_row(quantity: &Quantity, (law, predicted): (&str, Prediction), measured: f64) -> String {
    let Quantity { name, unit, .. } = quantity;
    let Prediction { value, error } = predicted;
    let miss = (measured - value) / value * 100.0;
    let within = if (measured - value).abs() <= error { "within" } else { "outside" };
    format!(
        "| {name}, {unit} | {law} | {value:.4} ± {error:.4} | {measured:.4} | {miss:+.1}%, {within} the interval |\n"
    )
}

/// Each line of the target against the value at its size, the upper end of the interval counting.
fn target(which: &str, results: &[&RunResult]) -> String {
    let largest = results.iter().map(|result| agents(result)).fold(0.0, f64::max);
    let mut table = format!(
        "\nThe target at 6,500 agents, extrapolated {:.1} times past the largest size ({largest:.0} agents), by {which}:\n\n\
         | figure | limit | expected | verdict |\n| --- | --- | --- | --- |\n",
        TARGET_AGENTS / largest.max(1.0)
    );
    for TargetLine { quantity: name, limit } in &TARGET {
        let Some(quantity) = QUANTITIES.iter().find(|quantity| quantity.name == *name) else { continue };
        let row = match Model::of(&points(results, quantity)) {
            Ok(model) => {
                let Prediction { value, error } = model.predict(TARGET_AGENTS);
                let mut verdict = verdict(value + error, (value - error).max(0.0), *limit);
                if TARGET_AGENTS > MAX_EXTRAPOLATION * largest {
                    verdict = format!("not known, extrapolated too far; by the line: {verdict}");
                }
                format!("{value:.3} ± {error:.3} | {verdict}")
            }
            Err(TooFewSizes(sizes)) => format!("- | not known: {sizes} sizes"),
        };
        table.push_str(&format!("| {name}, {} | {limit} | {row} |\n", quantity.unit));
    }
    table
}

fn verdict(most: f64, least: f64, limit: f64) -> String {
    if most <= limit {
        format!("met, {:.1} times below the limit", limit / most)
    } else if least > limit {
        format!("missed, {:.2} times the limit at least", least / limit)
    } else {
        "not known: the interval holds the limit".to_owned()
    }
}

/// Control bytes of the runs with loss, as measured at their sizes.
fn target_at_loss(results: &[RunResult]) -> String {
    let lossy: Vec<&RunResult> = results.iter().filter(|result| result.loss > 0.0).collect();
    if lossy.is_empty() {
        return String::new();
    }
    let mut table = String::from(
        "\nWith loss, as measured, against 6,000 B/s:\n\n\
         | agents | loss | sent, B/s | of the limit | both ways, B/s | of the limit | counts |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for result in lossy {
        let [sent, both] = [CONTROL_SENT, CONTROL_BOTH_WAYS].map(|q| (q.of)(result).unwrap_or(f64::NAN));
        let counts = if result.void.is_empty() { "yes" } else { "VOID" };
        table.push_str(&format!(
            "| {:.0} | {:.0}% | {sent:.0} | {:.2} | {both:.0} | {:.2} | {counts} |\n",
            agents(result),
            result.loss * 100.0,
            sent / TARGET_CONTROL_BYTES,
            both / TARGET_CONTROL_BYTES,
        ));
    }
    table
}
