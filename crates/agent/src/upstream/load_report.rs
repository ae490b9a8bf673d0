//! The load reports of servers.

/// Parses a load report such as `TEXT inflight=7, queue=2`. Returns the values in the order of `fields`, NaN for missing ones;
/// `None` if it has no finite value of any field.
pub fn parse_load_report(text: &str, fields: &[String]) -> Option<Vec<f64>> {
    let text = text.trim();
    let pairs = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = vec![f64::NAN; fields.len()];
    for pair in pairs.split(',') {
        let Some((name, value)) = pair.split_once('=') else { continue };
        let Some(index) = fields.iter().position(|f| f.as_str() == name.trim()) else { continue };
        report[index] = value.trim().parse().unwrap_or(f64::NAN);
    }
    report.iter().any(|value| value.is_finite()).then_some(report)
}

#[cfg(test)]
#[path = "../../tests/unit/load_report.rs"]
mod tests;
