//! What each link does at present.

use bellcroft_simulation::{LinkFault, Place};
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::sync::watch;

/// An end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    /// An instance of the program.
    Instance(usize),
    /// A server.
    Server(usize),
    /// Discovery.
    Discovery,
    /// The application beside an instance.
    Client(usize),
}

/// A link's state: its fault, and how often its open connections were reset and silenced.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Link {
    pub fault: LinkFault,
    pub resets: u64,
    pub silences: u64,
}

type Board = HashMap<(Node, Node), watch::Sender<Link>>;

/// The board of all links. A link that nobody has set is well.
#[derive(Clone, Default)]
pub struct Links {
    links: Arc<Mutex<Board>>,
}

impl Links {
    /// The state of a link from here on.
    pub(super) fn watch(&self, from: Node, to: Node) -> watch::Receiver<Link> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry((from, to)).or_insert_with(|| watch::Sender::new(Link::default())).subscribe()
    }

    /// From now on a link does this.
    pub fn set(&self, from: Node, to: Node, fault: LinkFault) {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.entry((from, to)).or_insert_with(|| watch::Sender::new(Link::default())).send_modify(|link| {
            link.fault = fault;
            link.resets += u64::from(fault.reset);
            link.silences += u64::from(fault.half_open);
        });
    }

    /// All links are well again.
    pub fn heal(&self) {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().for_each(|link| link.send_modify(|link| link.fault = LinkFault::default()));
    }

    /// Links whose state is not well.
    pub fn faulty(&self) -> usize {
        let links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        links.values().filter(|link| link.borrow().fault != LinkFault::default()).count()
    }
}

/// The ends that a place of a timeline names.
pub(super) fn nodes(place: Place, instances: usize, servers: usize) -> Vec<Node> {
    match place {
        Place::Instance(Some(number)) => vec![Node::Instance(number)],
        Place::Instance(None) => (0..instances).map(Node::Instance).collect(),
        Place::Server(Some(number)) => vec![Node::Server(number)],
        Place::Server(None) => (0..servers).map(Node::Server).collect(),
        Place::Discovery => vec![Node::Discovery],
    }
}
