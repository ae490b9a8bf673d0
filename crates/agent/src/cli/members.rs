//! `bellcroft members`: an instance's view of its cluster.

use super::status::request_instance;
use crate::daemon::commands::InstanceRequest;
use crate::exit;
use crate::peers::status::{DigestStatus, MembershipStatus};
use std::path::PathBuf;
use std::process::ExitCode;

/// Prints the cluster as the instance that the command line names sees it.
pub fn run(state: Option<PathBuf>, operator: Option<PathBuf>, json: bool) -> ExitCode {
    let value = match request_instance(InstanceRequest::Members, state, operator) {
        Ok(value) => value,
        Err(code) => return code,
    };
    match serde_json::from_value::<MembershipStatus>(value.clone()) {
        Ok(status) if !json => print(&status),
        Ok(_) => println!("{value}"),
        Err(e) => {
            eprintln!("bellcroft: the answer is not understood: {e}");
            return ExitCode::from(exit::NOT_DONE);
        }
    }
    ExitCode::SUCCESS
}

fn print(status: &MembershipStatus) {
    println!("member {} of {}, heard at {}", status.number, status.cluster, status.listen);
    println!("stance: {} ({})", status.quorum_state, status.reason);
    let error = status.size_error.map_or(String::new(), |e| format!(", give or take {:.0}%", 100.0 * e));
    println!(
        "here: {}{error}; roster: {}; reckoned by: {}",
        status.reachable, status.expected_size, status.effective_size
    );
    if status.local_health > 0 {
        println!("own hearing in doubt: {} of 3", status.local_health);
    }
    let percent = |share: f64| format!("{:.0}%", 100.0 * share);
    let seen = |what: &str, seen: &DigestStatus| {
        println!(
            "{what}: answers take {} of the wanted time, load speaks for {}, {} refused",
            percent(seen.latency),
            percent(seen.load),
            percent(seen.shed_ratio)
        );
    };
    if status.fleet.responses > 0.0 {
        seen("all see", &status.fleet);
        status.sites.iter().for_each(|site| seen(&format!("  site {}", site.site), &site.digest));
    }
    println!(
        "{:>7} {:<8} {:>10} {:>6} {:>5} {:<9} {:>10} address",
        "member", "state", "since", "by", "site", "duty", "answered"
    );
    let ago = |ms: u64| format!("{:.1} s", ms as f64 / 1e3);
    for m in &status.members {
        let answered = m.ms_since_ack.map_or("never".to_owned(), ago);
        println!(
            "{:>7} {:<8} {:>10} {:>6} {:>5} {:<9} {answered:>10} {}",
            m.number,
            m.state,
            ago(m.since_ms),
            m.reported_by,
            m.site,
            m.role,
            m.address
        );
    }
}
