//! `fleet.toml`: the instances of a fleet and the supervisor's policy.

use crate::errors::FileError;
use crate::reader::{load, parse};
use crate::section::Section;
use crate::values::is_valid_name;
use bellcroft_supervisor::{Policy, Restart};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Most instances of one fleet; a machine's descriptors and ports bound it too.
const MAX_INSTANCES: u64 = 4096;
/// The bounds of intervals and back-offs.
const MIN_TIME: Duration = Duration::from_millis(1);
const MAX_TIME: Duration = Duration::from_secs(3600);
/// The shortest time-out of an instance's start, proof or stop.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// A fleet's file, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetFile {
    /// The supervisor's own state directory; each instance's is a folder of its name below it.
    pub state: PathBuf,
    /// The program of the instances; none is the supervisor's own.
    pub program: Option<PathBuf>,
    /// How instances are started, stopped and restarted.
    pub policy: Policy,
    /// The instances.
    pub instances: Vec<FleetInstance>,
}

/// One instance of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetInstance {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Where clients connect; the supervisor holds the socket.
    pub listen: SocketAddr,
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file for it, if it has one.
    pub operator: Option<PathBuf>,
}

impl FleetFile {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Everything that is wrong with it.
    pub fn read(file: &Path) -> Result<Self, Vec<FileError>> {
        parse(file, &load(file)?, Self::schema)
    }

    fn schema(top: &Section) -> Self {
        let section = top.section("fleet");
        let state = section.path("state");
        let state =
            section.required("state", state, "a folder such as \"/run/bellcroft\"").unwrap_or_default();
        let program = section.path("program");
        let policy = policy(&section, &top.section("restart"));
        let listed = top.sections("instance");
        let template = top.section("template");
        let instances = read_instances(&listed, &template);
        if instances.is_empty() && listed.is_empty() && !template.is_present() {
            top.fault(
                "instance",
                "there is no [[instance]] and no [template]; a fleet has at least one instance",
            );
        }
        FleetFile { state, program, policy, instances }
    }
}

/// `[fleet]` and `[restart]`: the supervisor's policy.
fn policy(fleet: &Section, restart: &Section) -> Policy {
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
        restart: restart_policy(restart, default.restart),
    };
    if policy.restart.max < policy.restart.first {
        restart.fault("most", "is shorter than restart.first; it must be as long at least");
    }
    policy
}

fn restart_policy(section: &Section, default: Restart) -> Restart {
    let time = |key, default| section.time(key, MIN_TIME..=MAX_TIME).unwrap_or(default);
    Restart {
        first: time("first", default.first),
        max: time("most", default.max),
        jitter: section.share("jitter").unwrap_or(default.jitter),
        limit: section.count("limit", 1..=1000).map_or(default.limit, |limit| limit as u32),
        forgive_after: time("forgive_after", default.forgive_after),
    }
}

/// The instances of `[[instance]]` and `[template]`.
fn read_instances(listed: &[Section], template: &Section) -> Vec<FleetInstance> {
    let mut members = Vec::new();
    let mut taken = Taken::default();
    for section in listed {
        if let Some(member) = member(section) {
            taken.check(&member, section);
            members.push(member);
        }
    }
    if template.is_present() {
        let made = from_template(template);
        for member in &made {
            if !taken.check(member, template) {
                break;
            }
        }
        members.extend(made);
    }
    members
}

fn member(section: &Section) -> Option<FleetInstance> {
    let name = section.name();
    let name = section.required("name", name, "a name");
    let listen = section.address("listen");
    let listen = section.required("listen", listen, "an address such as \"127.0.0.1:8443\"");
    let config = section.path("config");
    let config = section.required("config", config, "the platform's configuration");
    let operator = section.path("operator");
    Some(FleetInstance { name: name?, listen: listen?, config: config?, operator })
}

/// The names and addresses in use.
#[derive(Default)]
struct Taken {
    names: HashSet<String>,
    addresses: HashMap<SocketAddr, String>,
}

impl Taken {
    /// Records a fault if another member has the same name or address; false in that case.
    fn check(&mut self, member: &FleetInstance, section: &Section) -> bool {
        let mut free = true;
        if !self.names.insert(member.name.clone()) {
            section.fault("name", format!("{:?} is another instance's too; each needs its own", member.name));
            free = false;
        }
        if member.listen.port() == 0 {
            return free;
        }
        if let Some(other) = self.addresses.insert(member.listen, member.name.clone()) {
            section.fault("listen", format!("{} is {other}'s; each needs its own", member.listen));
            free = false;
        }
        free
    }
}

/// The instances of a template, in whose texts `{n}` is the instance's number and `{name}` its name.
fn from_template(section: &Section) -> Vec<FleetInstance> {
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
        section.fault("name", format!("is {pattern:?}; with {{n}} in it, names of several instances differ"));
        return Vec::new();
    }
    let last = u64::from(listen.port()) + count.saturating_sub(1);
    if listen.port() != 0 && last > u64::from(u16::MAX) {
        section.fault(
            "listen",
            format!("the last of {count} instances would have port {last}; 65535 is the last"),
        );
        return Vec::new();
    }
    let made = (0..count).map(|index| {
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
    let made: Vec<FleetInstance> = made.collect();
    if let Some(bad) = made.iter().find(|member| !is_valid_name(&member.name)) {
        let name = &bad.name;
        section.fault(
            "name",
            format!("makes {name:?}; at most 64 letters, digits, '-', '_' and '.' were expected"),
        );
    }
    made
}
