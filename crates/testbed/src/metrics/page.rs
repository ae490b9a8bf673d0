//! The table of all series, for the operators' page.

use bellcroft_telemetry::families::ALL;
use bellcroft_telemetry::Kind;

/// A row for each family: name, type, labels, meaning.
pub fn metrics_table() -> String {
    let mut table = String::from("| series | type | labels | what it counts |\n| --- | --- | --- | --- |\n");
    for family in ALL {
        let kind = match family.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Histogram => "histogram",
        };
        let labels: Vec<String> = family.labels.iter().map(|label| format!("`{label}`")).collect();
        table.push_str(&format!("| `{}` | {kind} | {} | {} |\n", family.name, labels.join(" "), family.help));
    }
    table
}
