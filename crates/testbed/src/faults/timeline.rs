//! A file of faults: the troubles of the model's scenarios, on real processes.

use bellcroft_simulation::{Trouble, What};
use serde::Deserialize;
use std::path::Path;

/// A play: how large the cluster is, its traffic, and what goes wrong when.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// What it shows.
    pub name: String,
    /// Seed of traffic, servers and links.
    #[serde(default = "one")]
    pub seed: u64,
    /// Programs.
    pub instances: usize,
    /// Stand-in servers.
    pub servers: usize,
    /// Requests a second to each program.
    pub rate: f64,
    /// When the quiet tail begins: all that is wrong is put right, and all must agree again.
    pub seconds: f64,
    /// What goes wrong. Servers and instances are named by their numbers.
    #[serde(default)]
    pub troubles: Vec<Trouble>,
}

fn one() -> u64 {
    1
}

/// Processes and servers that one machine plays.
const INSTANCES_MOST: usize = 60;
const SERVERS_MOST: usize = 40;

impl Timeline {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// What is wrong with it, with its file and, for what is no TOML, its line.
    pub fn read(file: &Path) -> Result<Self, String> {
        let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
        Self::parse(&text).map_err(|why| format!("{}: {why}", file.display()))
    }

    /// Reads and checks a file's text.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Self, String> {
        let mut timeline: Timeline = toml::from_str(text).map_err(|e| e.to_string().trim().to_owned())?;
        let wrong = |what: String| Err(what);
        if !(1..=INSTANCES_MOST).contains(&timeline.instances)
            || !(1..=SERVERS_MOST).contains(&timeline.servers)
        {
            return wrong(format!("instances are 1 to {INSTANCES_MOST}, servers 1 to {SERVERS_MOST}"));
        }
        if !(0.1..=1000.0).contains(&timeline.rate) || !(1.0..=3600.0).contains(&timeline.seconds) {
            return wrong("rate is 0.1 to 1000 a second, seconds 1 to 3600".into());
        }
        for (place, trouble) in timeline.troubles.iter().enumerate() {
            let at = |why: String| format!("troubles[{place}] at {}: {why}", trouble.at);
            trouble.check(timeline.instances, timeline.servers).map_err(|e| at(e.0))?;
            if trouble.at > timeline.seconds {
                return wrong(at(format!("comes after the quiet tail begins at {}", timeline.seconds)));
            }
            let servers = match &trouble.what {
                What::Cut { .. } | What::Flood { .. } => {
                    return wrong(at(
                        "cut and flood are of the model's zones and tenants; use link here".into()
                    ));
                }
                What::Slow { servers, .. }
                | What::Mute { servers, .. }
                | What::Crash { servers }
                | What::Start { servers }
                | What::Drain { servers } => servers.as_slice(),
                _ => &[],
            };
            if let Some(server) = servers.iter().find(|server| **server >= timeline.servers) {
                return wrong(at(format!("no server {server}; there are {}", timeline.servers)));
            }
        }
        timeline.troubles.sort_by(|a, b| a.at.total_cmp(&b.at));
        Ok(timeline)
    }
}
