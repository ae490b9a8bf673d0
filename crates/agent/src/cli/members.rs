//! `bellcroft members`: prints the members of a cluster as one instance sees them.

use super::status::request_instance;
use crate::daemon::commands::InstanceRequest;
use crate::exit;
use crate::peers::status::{DigestStatus, MembershipStatus};
use std::path::PathBuf;
use std::process::ExitCode;

/// Prints the view that the instance named on the command line has of its cluster.
pub fn run(state: Option<PathBuf>, operator: Option<PathBuf>, json: bool) -> ExitCode {
    let value = match request_instance(InstanceRequest::Members, state, operator) {
        Ok(value) => value,
        Err(code) => return code,
    };
    match serde_json::from_value::<MembershipStatus>(value.clone()) {
        Ok(status) if !json => print_membership(&status),
        Ok(_) => println!("{value}"),
        Err(e) => {
            eprintln!("bellcroft: the answer is not understood: {e}");
            return ExitCode::from(exit::FAILED);
        }
    }
    ExitCode::SUCCESS
}

fn print_membership(status: &MembershipStatus) {
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
    let print_digest = |what: &str, digest: &DigestStatus| {
        println!(
            "{what}: answers take {} of the wanted time, load speaks for {}, {} refused",
            percent(digest.latency),
            percent(digest.load),
            percent(digest.shed_ratio)
        );
    };
    if status.fleet.responses > 0.0 {
        print_digest("all see", &status.fleet);
        status.sites.iter().for_each(|site| print_digest(&format!("  site {}", site.site), &site.digest));
    }
    println!(
        "{:>7} {:<8} {:>10} {:>6} {:>5} {:<9} {:>10} address",
        "member", "state", "since", "by", "site", "duty", "answered"
    );
    let seconds = |ms: u64| format!("{:.1} s", ms as f64 / 1e3);
    for member in &status.members {
        let last_ack = member.ms_since_ack.map_or("never".to_owned(), seconds);
        println!(
            "{:>7} {:<8} {:>10} {:>6} {:>5} {:<9} {last_ack:>10} {}",
            member.number,
            member.state,
            seconds(member.since_ms),
            member.reported_by,
            member.site,
            member.role,
            member.address
        );
    }
}
