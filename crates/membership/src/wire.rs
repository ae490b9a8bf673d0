//! Datagrams: at most 256 bytes, as the platform's protocol bounds them between agents.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | the form's version |
//! | 1 | the length of a tag, which follows; 0 until members sign what they send |
//! | 8 | the cluster: FNV-1a, 64 bits, of its name, little-endian |
//! | ... | the [`Datagram`], in postcard's form |
//! | 4 | CRC-32C (RFC 3720, appendix B.4) of all before it, little-endian |

use crate::member::{Id, Incarnation, Role, State, MAX_EPOCH};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The longest hint in one.
pub const MAX_HINT_BYTES: usize = 64;
/// The form that this program speaks.
pub const VERSION: u8 = 1;
/// Tags may be this long.
const TAG_MOST: u8 = 16;
const CLUSTER: usize = 8;
const HEAD: usize = 2 + CLUSTER;
const CHECK: usize = 4;

/// What one member says of another, or of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Of whom.
    pub id: Id,
    /// As of which version.
    pub incarnation: Incarnation,
    /// What.
    pub state: State,
    /// Who saw it; whoever passes it on leaves that as it is.
    pub reported_by: Id,
    /// Its site.
    pub site: u8,
    /// What it is for.
    pub role: Role,
    /// Where it is reached, where rosters do not say.
    pub address: Option<SocketAddr>,
}

/// What a datagram is for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a member whether it is there.
    Ping {
        /// To tell its answer from others.
        seq: u32,
        /// Who is meant; another one does not answer.
        to: Id,
    },
    /// Asks a member to ask another one.
    PingRequest {
        /// To tell its answer from others.
        seq: u32,
        /// Who is meant.
        target: Id,
        /// Where it is reached, where rosters do not say.
        address: Option<SocketAddr>,
    },
    /// The answer to a ping, by the one that was meant or as it gave it.
    Ack {
        /// The ping's.
        seq: u32,
        /// Who is there.
        of: Id,
        /// In its latest version.
        incarnation: Incarnation,
    },
    /// The one that was to be asked has not answered; whoever says so is there.
    Nack {
        /// The ping's.
        seq: u32,
    },
    /// Nothing but its news.
    Gossip,
    /// What the sender's decisions tell the receiver's.
    Hint {
        /// In the decisions' own form.
        #[serde(with = "serde_bytes")]
        payload: Vec<u8>,
    },
    /// A half of what the sender holds of the digest.
    Digest {
        /// Its parts, as [`crate::Part::encode`] has them.
        #[serde(with = "serde_bytes")]
        parts: Vec<u8>,
    },
}

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Id,
    /// Its version.
    pub incarnation: Incarnation,
    /// Its site.
    pub site: u8,
    /// Its duty.
    pub role: Role,
    /// What it is for.
    pub message: Message,
    /// So many of the first that are told are to be passed on; the others are samples of what the sender holds.
    pub new_updates: u8,
    /// What else is told.
    pub updates: Vec<Update>,
}

/// Why bytes are no datagram of this cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// Too long or too short.
    Length,
    /// Of another form.
    Version(u8),
    /// Of another cluster.
    Cluster,
    /// Spoilt on its way.
    Spoilt,
    /// Well-formed bytes that mean nothing.
    Meaning,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Length => {
                write!(f, "of a length that no datagram has (at most {MAX_DATAGRAM_BYTES} bytes)")
            }
            WireError::Version(v) => write!(f, "of form {v}; this program speaks form {VERSION}"),
            WireError::Cluster => f.write_str("of another cluster"),
            WireError::Spoilt => f.write_str("spoilt on its way"),
            WireError::Meaning => f.write_str("without a meaning"),
        }
    }
}

impl std::error::Error for WireError {}

/// The bytes of a datagram, and how many of its news found room; the first ones go first.
///
/// Without any news every kind fits, so the answer always is a datagram.
pub fn encode(cluster: u64, datagram: &Datagram) -> (Vec<u8>, usize) {
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    bytes.extend([VERSION, 0]);
    bytes.extend(cluster.to_le_bytes());
    let Datagram { from, incarnation, site, role, ref message, new_updates, ref updates } = *datagram;
    let head =
        postcard::to_stdvec(&(from, incarnation, site, role, message, new_updates)).unwrap_or_default();
    bytes.extend(head);
    // The count of the news takes one byte, for no datagram holds 128 of them.
    let count_at = bytes.len();
    bytes.push(0);
    let (mut fit, mut one) = (0, [0; MAX_DATAGRAM_BYTES]);
    for rumour in updates {
        let Ok(one) = postcard::to_slice(rumour, &mut one) else { break };
        if bytes.len() + one.len() + CHECK > MAX_DATAGRAM_BYTES {
            break;
        }
        bytes.extend_from_slice(one);
        fit += 1;
    }
    bytes[count_at] = fit as u8;
    let check = crc32c::crc32c(&bytes);
    bytes.extend(check.to_le_bytes());
    (bytes, fit)
}

/// Reads a datagram of this cluster.
///
/// # Errors
///
/// It is none.
pub fn decode(cluster: u64, bytes: &[u8]) -> Result<Datagram, WireError> {
    if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEAD + CHECK {
        return Err(WireError::Length);
    }
    // First of all: what follows may stand otherwise in another form.
    if bytes[0] != VERSION {
        return Err(WireError::Version(bytes[0]));
    }
    let (text, check) = bytes.split_at(bytes.len() - CHECK);
    if check != crc32c::crc32c(text).to_le_bytes() {
        return Err(WireError::Spoilt);
    }
    let body = HEAD + usize::from(text[1]);
    if text[1] > TAG_MOST || text.len() < body {
        return Err(WireError::Meaning);
    }
    if text[body - CLUSTER..body] != cluster.to_le_bytes() {
        return Err(WireError::Cluster);
    }
    let (datagram, rest) =
        postcard::take_from_bytes::<Datagram>(&text[body..]).map_err(|_| WireError::Meaning)?;
    let sane = |version: Incarnation| version.epoch < MAX_EPOCH;
    let kind = match &datagram.message {
        Message::Ack { incarnation: version, .. } => sane(*version),
        Message::Hint { payload } => payload.len() <= MAX_HINT_BYTES,
        _ => true,
    };
    let news =
        datagram.updates.iter().all(|rumour| sane(rumour.incarnation) && rumour.state != State::Absent);
    if !rest.is_empty() || !sane(datagram.incarnation) || !kind || !news {
        return Err(WireError::Meaning);
    }
    Ok(datagram)
}
