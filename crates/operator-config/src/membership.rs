//! `[membership]`: an instance's cluster and its place in it.

use crate::section::Section;
use crate::values::is_valid_name;
use bellcroft_membership::Role;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Longest list of members.
const MAX_PEERS: usize = 20_000;
/// Highest member number, and largest cluster.
const MAX_MEMBER_NUMBER: u64 = 1 << 20;

/// An instance's cluster and its place in it.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The cluster's name.
    pub cluster: String,
    /// Where it receives datagrams.
    pub listen: Option<SocketAddr>,
    /// Its member number.
    pub number: Option<u32>,
    /// All members' addresses by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Members to join through, in place of such a list.
    pub seeds: Vec<SocketAddr>,
    /// The expected size of the cluster.
    pub instances: Option<u32>,
    /// Its role.
    pub role: Role,
}

/// Reads the section.
pub(crate) fn schema(top: &Section) -> Option<Membership> {
    let section = top.section("membership");
    let cluster = section.text("cluster");
    let listen = section.address("listen");
    let number = section.count("number", 0..=MAX_MEMBER_NUMBER).map(|number| number as u32);
    let peers = addresses(&section, "peers");
    let seeds = addresses(&section, "seeds");
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
        section.fault("cluster", "at most 64 letters, digits, '-', '_' and '.' were expected");
    }
    let count = peers.len();
    if count > 0 && !seeds.is_empty() {
        section.fault("seeds", "stands beside peers; a list of all members needs no seeds");
    }
    if let Some(number) = number.filter(|number| count > 0 && *number as usize >= count) {
        section.fault("number", format!("is {number}, and peers names members 0 to {}", count - 1));
    }
    if let Some(instances) = instances.filter(|instances| (*instances as usize) < count) {
        section.fault("instances", format!("is {instances}, and peers names {count}"));
    }
    let own_index = listen.and_then(|listen| peers.iter().position(|peer| *peer == listen));
    if let Some((index, number)) = own_index.zip(number).filter(|(index, number)| *index != *number as usize)
    {
        section.fault("listen", format!("is the address of member {index}, and number is {number}"));
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

/// Addresses that datagrams can be sent to. Each may occur once, since an address identifies a member.
fn addresses(section: &Section, key: &'static str) -> Vec<SocketAddr> {
    let addresses = section.addresses(key);
    if addresses.len() > MAX_PEERS {
        section.fault(key, format!("names {}; at most {MAX_PEERS} are looked for", addresses.len()));
    }
    let mut seen = BTreeSet::new();
    for (index, address) in addresses.iter().enumerate() {
        if address.port() == 0 || address.ip().is_unspecified() {
            section.fault(key, format!("item {index} is {address}; nothing can be sent there"));
        } else if !seen.insert(address) {
            section.fault(key, format!("names {address} twice; each member has an address of its own"));
        }
    }
    addresses
}
