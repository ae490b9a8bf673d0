//! `fleet.toml`: which instances there are, and how they are kept.

use crate::agent::{name, plain};
use crate::reader::{load, parse, Fault, Section};
use bellcroft_supervisor::{Policy, Restart};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The most instances of one fleet; beyond it a machine's descriptors and ports are the bound.
const INSTANCES_MOST: u64 = 4096;

/// A fleet's file, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetFile {
    /// The supervisor's own state directory; each instance's is a folder of its name below it.
    pub state: PathBuf,
    /// The program that instances run; none is the supervisor's own.
    pub program: Option<PathBuf>,
    /// How instances are kept.
    pub policy: Policy,
    /// The instances.
    pub members: Vec<Member>,
}

/// One instance of a fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its name, of which there is one in the fleet.
    pub name: String,
    /// Where it takes requests; the supervisor holds the socket.
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
    /// All that is wrong with it.
    pub fn read(file: &Path) -> Result<Self, Vec<Fault>> {
        parse(file, &load(file)?, Self::schema)
    }

    fn schema(top: &Section) -> Self {
        let section = top.section("fleet");
        let state = section.path("state");
        let state =
            section.required("state", state, "a folder such as \"/run/bellcroft\"").unwrap_or_default();
        let standard = Policy::default();
        let hour = Duration::from_secs(3600);
        let (least, second) = (Duration::from_millis(1), Duration::from_millis(100));
        let program = section.path("program");
        let mut policy = Policy {
            start_every: section.time("start_every", least..=hour).unwrap_or(standard.start_every),
            ready_within: section.time("ready_within", second..=hour).unwrap_or(standard.ready_within),
            prove_within: section.time("prove_within", second..=hour).unwrap_or(standard.prove_within),
            stop_within: section.time("stop_within", second..=hour).unwrap_or(standard.stop_within),
            roll_at_once: section
                .count("roll_at_once", 1..=INSTANCES_MOST)
                .map_or(standard.roll_at_once, |n| n as usize),
            restart: standard.restart.clone(),
        };
        let restart = top.section("restart");
        policy.restart = Restart {
            first: restart.time("first", least..=hour).unwrap_or(standard.restart.first),
            max: restart.time("most", least..=hour).unwrap_or(standard.restart.max),
            jitter: restart.share("jitter").unwrap_or(standard.restart.jitter),
            limit: restart.count("limit", 1..=1000).map_or(standard.restart.limit, |n| n as u32),
            forgive_after: restart
                .time("forgive_after", least..=hour)
                .unwrap_or(standard.restart.forgive_after),
        };
        if policy.restart.max < policy.restart.first {
            restart.fault("most", "is shorter than restart.first; it must be as long at least");
        }
        let mut members = Vec::new();
        let listed = top.sections("instance");
        let template = top.section("template");
        let mut taken = Taken::default();
        for section in &listed {
            let own = name(section);
            let own = section.required("name", own, "a name");
            let listen = section.address("listen");
            let listen = section.required("listen", listen, "an address such as \"127.0.0.1:8443\"");
            let config = section.path("config");
            let config = section.required("config", config, "the platform's configuration");
            let operator = section.path("operator");
            if let (Some(name), Some(listen), Some(config)) = (own, listen, config) {
                let member = Member { name, listen, config, operator };
                taken.check(&member, section);
                members.push(member);
            }
        }
        if template.present() {
            let made = from_template(&template);
            for member in &made {
                if !taken.check(member, &template) {
                    break;
                }
            }
            members.extend(made);
        }
        if members.is_empty() && listed.is_empty() && !template.present() {
            top.fault(
                "instance",
                "there is no [[instance]] and no [template]; a fleet has at least one instance",
            );
        }
        FleetFile { state, program, policy, members }
    }
}

/// Names and addresses that instances have.
#[derive(Default)]
struct Taken {
    names: HashSet<String>,
    addresses: HashMap<SocketAddr, String>,
}

impl Taken {
    /// Notes a member whose name or address another one has; false if it does.
    fn check(&mut self, member: &Member, section: &Section) -> bool {
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

/// `{n}` in a template's texts is the instance's number, `{name}` its name.
fn from_template(section: &Section) -> Vec<Member> {
    let count = section.count("count", 1..=INSTANCES_MOST);
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
    let made = (0..count).map(|place| {
        let name = pattern.replace("{n}", &(first + place).to_string());
        let fill = |path: &PathBuf| {
            let text = path.to_string_lossy().replace("{name}", &name);
            PathBuf::from(text.replace("{n}", &(first + place).to_string()))
        };
        let mut listen = listen;
        if listen.port() != 0 {
            listen.set_port(listen.port() + place as u16);
        }
        Member { listen, config: fill(&config), operator: operator.as_ref().map(fill), name }
    });
    let made: Vec<Member> = made.collect();
    if let Some(bad) = made.iter().find(|member| !plain(&member.name)) {
        let name = &bad.name;
        section.fault(
            "name",
            format!("makes {name:?}; at most 64 letters, digits, '-', '_' and '.' were expected"),
        );
    }
    made
}
