//! `[membership]`: an instance's cluster and the instance's role in it.

use crate::section::Section;
use crate::values::is_valid_name;
use bellcroft_membership::Role;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of addresses in `peers` or `seeds`.
const MAX_PEERS: usize = 20_000;
/// Highest member number and largest cluster size.
const MAX_MEMBER_NUMBER: u64 = 1 << 20;

/// An instance's cluster and the instance's role in it.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The cluster's name.
    pub cluster: String,
    /// Address on which the instance receives datagrams.
    pub listen: Option<SocketAddr>,
    /// The instance's member number, as configured or else the position of `listen` in `peers`.
    pub number: Option<u32>,
    /// Addresses of all members, indexed by member number.
    pub peers: Vec<SocketAddr>,
    /// Addresses of members to join through, as an alternative to `peers`.
    pub seeds: Vec<SocketAddr>,
    /// Expected number of members in the cluster.
    pub instances: Option<u32>,
    /// The instance's role.
    pub role: Role,
}

/// Reads the section; None if it is absent.
pub(crate) fn read_section(top: &Section) -> Option<Membership> {
    let section = top.section("membership");
    let cluster = section.text("cluster");
    let listen = section.address("listen");
    let number = section.count("number", 0..=MAX_MEMBER_NUMBER).map(|number| number as u32);
    let peers = read_addresses(&section, "peers");
    let seeds = read_addresses(&section, "seeds");
    let instances = section.count("instances", 1..=MAX_MEMBER_NUMBER).map(|count| count as u32);
    let role = section.parsed("duty", "\"agent\" or \"observer\"", |word| match word {
        "agent" => Some(Role::Agent),
        "observer" => Some(Role::Observer),
        _ => None,
    });
    if !section.is_present() {
        return None;
    }
    let cluster = section.required("cluster", cluster, "a name that all its members share")?;
    if !is_valid_name(&cluster) {
        section.report("cluster", "at most 64 letters, digits, '-', '_' and '.' were expected");
    }
    let count = peers.len();
    if count > 0 && !seeds.is_empty() {
        section.report("seeds", "cannot be combined with peers, which already lists all members");
    }
    if let Some(number) = number.filter(|number| count > 0 && *number as usize >= count) {
        section.report("number", format!("is {number}, and peers names members 0 to {}", count - 1));
    }
    if let Some(instances) = instances.filter(|instances| (*instances as usize) < count) {
        section.report("instances", format!("is {instances}, and peers names {count}"));
    }
    let own_index = listen.and_then(|listen| peers.iter().position(|peer| *peer == listen));
    if let Some((index, number)) = own_index.zip(number).filter(|(index, number)| *index != *number as usize)
    {
        section.report("listen", format!("is the address of member {index}, and number is {number}"));
    }
    Some(Membership {
        cluster,
        listen,
        number: number.or(own_index.map(|index| index as u32)),
        peers,
        seeds,
        instances,
        role: role.unwrap_or(Role::Agent),
    })
}

/// Reads a list of addresses that datagrams can be sent to. Duplicates are errors, since an address identifies a member.
fn read_addresses(section: &Section, key: &'static str) -> Vec<SocketAddr> {
    let addresses = section.addresses(key);
    if addresses.len() > MAX_PEERS {
        section.report(key, format!("names {} addresses; at most {MAX_PEERS} are accepted", addresses.len()));
    }
    let mut seen = BTreeSet::new();
    for (index, address) in addresses.iter().enumerate() {
        if address.port() == 0 || address.ip().is_unspecified() {
            section.report(
                key,
                format!("item {index} is {address}; the address and port of a member were expected"),
            );
        } else if !seen.insert(address) {
            section.report(key, format!("names {address} twice; each member has an address of its own"));
        }
    }
    addresses
}
