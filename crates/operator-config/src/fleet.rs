//! `fleet.toml`: the instances of a fleet and the supervisor's policy for them.

use crate::errors::FileError;
use crate::reader::{load, parse};
use crate::section::Section;
use crate::values::is_valid_name;
use bellcroft_supervisor::{Policy, Restart};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum number of instances in one fleet; file descriptors and ports of the machine limit it too.
const MAX_INSTANCES: u64 = 4096;
/// Bounds of intervals and backoffs.
const MIN_TIME: Duration = Duration::from_millis(1);
const MAX_TIME: Duration = Duration::from_secs(3600);
/// Shortest timeout for an instance to become ready, to prove that it serves requests, or to stop.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// The validated contents of a `fleet.toml`.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetFile {
    /// The supervisor's state directory. Each instance's state directory is a subdirectory with the instance's name.
    pub state: PathBuf,
    /// The program that instances run. The supervisor's own executable is used if this is absent.
    pub program: Option<PathBuf>,
    /// How instances are started, stopped and restarted.
    pub policy: Policy,
    /// The instances.
    pub instances: Vec<FleetInstance>,
}

/// One instance of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetInstance {
    /// The instance's name, unique in the fleet.
    pub name: String,
    /// Address on which client connections are accepted; the supervisor owns the listening socket.
    pub listen: SocketAddr,
    /// Path of the platform's configuration.
    pub config: PathBuf,
    /// Path of the instance's `agent.toml`, if it has one.
    pub operator: Option<PathBuf>,
}

impl FleetFile {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns every error found in the file.
    pub fn read(file: &Path) -> Result<Self, Vec<FileError>> {
        parse(file, &load(file)?, Self::read_sections)
    }

    fn read_sections(top: &Section) -> Self {
        let section = top.section("fleet");
        let state = section.path("state");
        let state =
            section.required("state", state, "a folder such as \"/run/bellcroft\"").unwrap_or_default();
        let program = section.path("program");
        let policy = read_policy(&section, &top.section("restart"));
        let listed = top.sections("instance");
        let template = top.section("template");
        let instances = read_instances(&listed, &template);
        if instances.is_empty() && listed.is_empty() && !template.is_present() {
            top.report(
                "instance",
                "there is no [[instance]] and no [template]; a fleet has at least one instance",
            );
        }
        FleetFile { state, program, policy, instances }
    }
}

/// Reads the supervisor's policy from `[fleet]` and `[restart]`.
fn read_policy(fleet: &Section, restart: &Section) -> Policy {
    let default = Policy::default();
    let time = |key, min, default| fleet.time(key, min..=MAX_TIME).unwrap_or(default);
    let policy = Policy {
        start_every: time("start_every", MIN_TIME, default.start_every),
        ready_within: time("ready_within", MIN_TIMEOUT, default.ready_within),
        prove_within: time("prove_within", MIN_TIMEOUT, default.prove_within),
        stop_within: time("stop_within", MIN_TIMEOUT, default.stop_within),
        roll_at_once: fleet
            .count("roll_at_once", 1..=MAX_INSTANCES)
            .map_or(default.roll_at_once, |count| count as usize),
        restart: read_restart_policy(restart, default.restart),
    };
    if policy.restart.max < policy.restart.first {
        restart.report("most", "must be at least as long as restart.first");
    }
    policy
}

fn read_restart_policy(section: &Section, default: Restart) -> Restart {
    let time = |key, default| section.time(key, MIN_TIME..=MAX_TIME).unwrap_or(default);
    Restart {
        first: time("first", default.first),
        max: time("most", default.max),
        jitter: section.fraction("jitter").unwrap_or(default.jitter),
        limit: section.count("limit", 1..=1000).map_or(default.limit, |limit| limit as u32),
        forgive_after: time("forgive_after", default.forgive_after),
    }
}

/// Reads the instances from `[[instance]]` and `[template]`.
fn read_instances(listed: &[Section], template: &Section) -> Vec<FleetInstance> {
    let mut instances = Vec::new();
    let mut in_use = NamesAndAddresses::default();
    for section in listed {
        if let Some(instance) = read_instance(section) {
            in_use.add(&instance, section);
            instances.push(instance);
        }
    }
    if template.is_present() {
        let generated = expand_template(template);
        for instance in &generated {
            if !in_use.add(instance, template) {
                break;
            }
        }
        instances.extend(generated);
    }
    instances
}

fn read_instance(section: &Section) -> Option<FleetInstance> {
    let name = section.name();
    let name = section.required("name", name, "a name");
    let listen = section.address("listen");
    let listen = section.required("listen", listen, "an address such as \"127.0.0.1:8443\"");
    let config = section.path("config");
    let config = section.required("config", config, "the platform's configuration");
    let operator = section.path("operator");
    Some(FleetInstance { name: name?, listen: listen?, config: config?, operator })
}

/// Names and listening addresses that instances of the fleet already use.
#[derive(Default)]
struct NamesAndAddresses {
    names: HashSet<String>,
    /// Name of the instance that uses each address.
    addresses: HashMap<SocketAddr, String>,
}

impl NamesAndAddresses {
    /// Adds an instance. If another one has the same name or address, reports an error and returns false. Port 0 stands
    /// for a port that the system picks, so such addresses never collide.
    fn add(&mut self, instance: &FleetInstance, section: &Section) -> bool {
        let mut unique = true;
        if !self.names.insert(instance.name.clone()) {
            section.report(
                "name",
                format!("is {:?}, which is already the name of another instance", instance.name),
            );
            unique = false;
        }
        if instance.listen.port() == 0 {
            return unique;
        }
        if let Some(other) = self.addresses.insert(instance.listen, instance.name.clone()) {
            section
                .report("listen", format!("is {}, which is already the address of {other}", instance.listen));
            unique = false;
        }
        unique
    }
}

/// Generates the instances of a template. `{n}` in its name and paths stands for an instance's number, `{name}` in its
/// paths for the instance's name. Ports count up from the port of `listen`.
fn expand_template(section: &Section) -> Vec<FleetInstance> {
    let count = section.count("count", 1..=MAX_INSTANCES);
    let count = section.required("count", count, "a number of instances").unwrap_or(0);
    let first = section.count("first", 0..=1_000_000).unwrap_or(0);
    let pattern = section.text("name");
    let pattern = section.required("name", pattern, "a name such as \"desk-{n}\"");
    let listen = section.address("listen");
    let listen = section.required("listen", listen, "the first instance's address");
    let config = section.path("config");
    let config = section.required("config", config, "a path such as \"{name}.json\"");
    let operator = section.path("operator");
    let (Some(pattern), Some(listen), Some(config)) = (pattern, listen, config) else { return Vec::new() };
    if !pattern.contains("{n}") && count > 1 {
        section.report(
            "name",
            format!("is {pattern:?}; a name with {{n}} was expected, since count is above 1"),
        );
        return Vec::new();
    }
    let last_port = u64::from(listen.port()) + count.saturating_sub(1);
    if listen.port() != 0 && last_port > u64::from(u16::MAX) {
        section.report(
            "listen",
            format!("the last of {count} instances would have port {last_port}; the highest port is 65535"),
        );
        return Vec::new();
    }
    let generated = (0..count).map(|index| {
        let name = pattern.replace("{n}", &(first + index).to_string());
        let fill = |path: &PathBuf| {
            let text = path.to_string_lossy().replace("{name}", &name);
            PathBuf::from(text.replace("{n}", &(first + index).to_string()))
        };
        let mut listen = listen;
        if listen.port() != 0 {
            listen.set_port(listen.port() + index as u16);
        }
        FleetInstance { listen, config: fill(&config), operator: operator.as_ref().map(fill), name }
    });
    let generated: Vec<FleetInstance> = generated.collect();
    if let Some(invalid) = generated.iter().find(|instance| !is_valid_name(&instance.name)) {
        let name = &invalid.name;
        section.report(
            "name",
            format!("makes {name:?}; at most 64 letters, digits, '-', '_' and '.' were expected"),
        );
    }
    generated
}
