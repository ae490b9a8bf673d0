//! `[membership]`: whom an instance looks for, and as whom.

use crate::agent::plain;
use crate::reader::Section;
use bellcroft_membership::Role;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Members that a file may name.
const PEERS_MOST: usize = 20_000;
/// Numbers of members.
const NUMBER_MOST: u64 = 1 << 20;

/// Whom an instance looks for, and as whom.
#[derive(Debug, Clone, PartialEq)]
pub struct Membership {
    /// The cluster's name.
    pub cluster: String,
    /// Where it hears its peers.
    pub listen: Option<SocketAddr>,
    /// Its number.
    pub number: Option<u32>,
    /// All members' addresses by their numbers.
    pub peers: Vec<SocketAddr>,
    /// Members that are asked first, where there is no such list.
    pub seeds: Vec<SocketAddr>,
    /// How many there are to be.
    pub instances: Option<u32>,
    /// What it is for.
    pub duty: Role,
}

pub(crate) fn schema(top: &Section) -> Option<Membership> {
    let section = top.section("membership");
    let cluster = section.text("cluster");
    let listen = section.address("listen");
    let number = section.count("number", 0..=NUMBER_MOST).map(|number| number as u32);
    let peers = addresses(&section, "peers");
    let seeds = addresses(&section, "seeds");
    let instances = section.count("instances", 1..=NUMBER_MOST).map(|count| count as u32);
    let duty = section.read("duty", "\"agent\" or \"observer\"", |word| match word {
        "agent" => Some(Role::Agent),
        "observer" => Some(Role::Observer),
        _ => None,
    });
    if !section.present() {
        return None;
    }
    let cluster = section.required("cluster", cluster, "a name that all its members share")?;
    if !plain(&cluster) {
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
    let place = listen.and_then(|listen| peers.iter().position(|peer| *peer == listen));
    if let Some((place, number)) = place.zip(number).filter(|(place, number)| *place != *number as usize) {
        section.fault("listen", format!("is the address of member {place}, and number is {number}"));
    }
    Some(Membership {
        cluster,
        listen,
        number: number.or(place.map(|place| place as u32)),
        peers,
        seeds,
        instances,
        duty: duty.unwrap_or(Role::Agent),
    })
}

/// Addresses that datagrams can be sent to, each of them once: two members at one address would be one.
fn addresses(section: &Section, key: &'static str) -> Vec<SocketAddr> {
    let addresses = section.addresses(key);
    if addresses.len() > PEERS_MOST {
        section.fault(key, format!("names {}; at most {PEERS_MOST} are looked for", addresses.len()));
    }
    let mut known = BTreeSet::new();
    for (place, address) in addresses.iter().enumerate() {
        if address.port() == 0 || address.ip().is_unspecified() {
            section.fault(key, format!("item {place} is {address}; nothing can be sent there"));
        } else if !known.insert(address) {
            section.fault(key, format!("names {address} twice; each member has an address of its own"));
        }
    }
    addresses
}
