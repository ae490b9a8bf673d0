//! Results as a table for people, as JSON lines, and as the block of the page on capacity.

use super::fit::{Fit, Point, TooFewSizes};
use super::RunResult;
use std::path::Path;

/// Bytes that IP and UDP put around each datagram.
const DATAGRAM_HEADERS: f64 = 28.0;
/// Agents of the target.
const TARGET_AGENTS: f64 = 6_500.0;

/// A figure that is fitted against the number of agents.
struct Quantity {
    name: &'static str,
    unit: &'static str,
    of: fn(&RunResult) -> Option<f64>,
}

/// What is fitted.
const QUANTITIES: [Quantity; 13] = [
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
        of: |r| r.fleet.list_change_s.iter().copied().reduce(f64::max),
    },
    Quantity {
        name: "a killed agent, to the last that held it",
        unit: "s",
        of: |r| r.fleet.detection_last_s,
    },
];

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
    format!(
        "| {} + {} | {} | {:.0}% | {} | {:.2} | {:.0} | {:.3} | {:.0} | {:.0} | {:.3} | {:.3} | {} | {} | {}, {} ({} of {}) | {verdict} |\n",
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
    block.push_str(&slopes(&lossless));
    block.push_str(&predictions(&lossless));
    block
}

fn points(results: &[&RunResult], quantity: &Quantity) -> Vec<Point> {
    let point = |result: &&RunResult| Some(Point { n: agents(result), y: (quantity.of)(result)? });
    results.iter().filter_map(point).collect()
}

fn slopes(results: &[&RunResult]) -> String {
    let mut table = String::from(
        "\n| figure | law | constant | slope | residual s.d. | at 6,500, extrapolated | depends on size |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for quantity in &QUANTITIES {
        let row = match Fit::best(&points(results, quantity)) {
            Ok(fit) => slope_row(quantity, &fit),
            Err(TooFewSizes(sizes)) => {
                format!("| {} | - | not known: {sizes} sizes | | | | |\n", quantity.name)
            }
        };
        table.push_str(&row);
    }
    table
}

fn slope_row(quantity: &Quantity, fit: &Fit) -> String {
    let Quantity { name, unit, .. } = quantity;
    let target = fit.predict(TARGET_AGENTS);
    format!(
        "| {name}, {unit} | {} | {:.4} ± {:.4} | {:.3e} ± {:.1e} | {:.4} | {:.3} ± {:.3} | {} |\n",
        fit.law,
        fit.constant,
        fit.constant_error,
        fit.slope,
        fit.slope_error,
        fit.residual_sd,
        target.value,
        target.error,
        if fit.depends_on_size() { "yes" } else { "not shown" },
    )
}

/// The largest size by a line through the smaller ones, against what was measured there.
fn predictions(results: &[&RunResult]) -> String {
    let Some(largest) = results.iter().map(|result| result.hollow).max() else { return String::new() };
    let mut table = format!(
        "\nThe size of {largest} hollow agents, predicted from the smaller ones alone:\n\n\
         | figure | law | predicted | measured | error |\n| --- | --- | --- | --- | --- |\n"
    );
    let (at_largest, smaller): (Vec<&RunResult>, Vec<&RunResult>) =
        results.iter().partition(|result| result.hollow == largest);
    for quantity in &QUANTITIES {
        let measured = points(&at_largest, quantity);
        let Some(n) = measured.first().map(|point| point.n) else { continue };
        let mean = measured.iter().map(|point| point.y).sum::<f64>() / measured.len() as f64;
        let row = match Fit::best(&points(&smaller, quantity)) {
            Ok(fit) => {
                let prediction = fit.predict(n);
                format!(
                    "| {}, {} | {} | {:.4} ± {:.4} | {mean:.4} | {:+.1}% |\n",
                    quantity.name,
                    quantity.unit,
                    fit.law,
                    prediction.value,
                    prediction.error,
                    (mean - prediction.value) / prediction.value * 100.0
                )
            }
            Err(TooFewSizes(sizes)) => {
                format!("| {} | - | not known: {sizes} smaller sizes | {mean:.4} | |\n", quantity.name)
            }
        };
        table.push_str(&row);
    }
    table
}
