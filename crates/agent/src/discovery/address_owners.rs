//! Which server has each address. A server that comes up at the address of another one shows that the other one is gone, even if no
//! list says so yet: what is sent to that address no longer reaches it.

use super::codec::{EndpointList, EndpointRecord, Health};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The server that the lists last gave for an address.
#[derive(Debug, Clone, PartialEq)]
struct Owner {
    name: String,
    started_unix_ms: f64,
}

/// The owners of all addresses.
#[derive(Debug, Default)]
pub struct AddressOwners {
    owners: HashMap<SocketAddr, Owner>,
}

impl AddressOwners {
    /// Makes a list name one server for each address: the others that it gives for the address are left out of a whole list and
    /// marked as removed among changes, as is one that had the address before. Of two servers at one address the one that started
    /// last has it, of those that started at the same time the one that was listed last.
    pub fn resolve(&mut self, list: &mut EndpointList) {
        if list.is_snapshot {
            self.owners.clear();
        }
        self.forget_absent(&list.endpoints);
        let mut displaced = HashSet::new();
        for record in &list.endpoints {
            displaced.extend(self.claim(record));
        }
        if list.is_snapshot {
            list.endpoints.retain(|record| !displaced.contains(&record.name));
            return;
        }
        for record in &mut list.endpoints {
            if displaced.remove(&record.name) && record.health == Health::Up {
                record.health = Health::Removed;
            }
        }
        list.endpoints.extend(displaced.into_iter().map(removed));
    }

    /// Forgets the addresses at which these entries no longer give their servers as up.
    fn forget_absent(&mut self, records: &[EndpointRecord]) {
        let mut by_name = HashMap::<&str, Vec<&EndpointRecord>>::new();
        for record in records {
            by_name.entry(&record.name).or_default().push(record);
        }
        self.owners.retain(|address, owner| {
            let listed = by_name.get(owner.name.as_str());
            listed.is_none_or(|records| records.iter().all(|record| is_up_at(record, *address)))
        });
    }

    /// Gives a server its address, or leaves it to the present owner; returns the one that does not have it.
    fn claim(&mut self, record: &EndpointRecord) -> Option<String> {
        let address = record.address.filter(|_| record.health == Health::Up)?;
        let claimant = Owner { name: record.name.clone(), started_unix_ms: record.started_unix_ms };
        match self.owners.get(&address) {
            Some(owner)
                if owner.name != claimant.name && owner.started_unix_ms > claimant.started_unix_ms =>
            {
                Some(claimant.name)
            }
            Some(_) | None => {
                let claimed_by = claimant.name.clone();
                let former = self.owners.insert(address, claimant);
                former.map(|owner| owner.name).filter(|name| *name != claimed_by)
            }
        }
    }
}

fn is_up_at(record: &EndpointRecord, address: SocketAddr) -> bool {
    record.health == Health::Up && record.address == Some(address)
}

/// The entry of a server that is gone.
fn removed(name: String) -> EndpointRecord {
    EndpointRecord {
        name,
        address: None,
        zone: String::new(),
        machine_type: String::new(),
        dedup_group: 0,
        health: Health::Removed,
        weight: 1.0,
        started_unix_ms: 0.0,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/address_owners.rs"]
mod tests;
