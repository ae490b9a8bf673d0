//! External forms: the encoding of each kind of datagram, and the state names in status and logs.

use bellcroft_membership::{
    decode, encode, Datagram, Id, Incarnation, Message, QuorumState, Role, State, Update,
};
use expect_test::expect_file;
use std::fmt::Write;

const CLUSTER: u64 = 0x1122_3344_5566_7788;

fn messages() -> Vec<Message> {
    let address = Some("127.0.0.1:7946".parse().expect("a valid address"));
    let incarnation = Incarnation { epoch: 1_700_000_000_000, counter: 3 };
    vec![
        Message::Ping { seq: 7, to: Id(300) },
        Message::PingRequest { seq: 8, target: Id(2), address },
        Message::PingRequest { seq: 9, target: Id(2), address: None },
        Message::Ack { seq: 10, target: Id(2), incarnation },
        Message::Nack { seq: 11 },
        Message::Gossip,
        Message::Hint { payload: vec![1, 2, 3] },
        Message::Digest { parts: vec![4, 5] },
    ]
}

fn updates() -> Vec<Update> {
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    (0_u32..)
        .zip(states)
        .map(|(n, state)| Update {
            id: Id(n),
            incarnation: Incarnation { epoch: 1_700_000_000_001, counter: n },
            state,
            reported_by: Id(n + 1),
            site: 2,
            role: if n % 2 == 0 { Role::Agent } else { Role::Observer },
            address: (n == 1).then(|| "10.0.0.1:7946".parse().expect("a valid address")),
        })
        .collect()
}

fn datagrams() -> Vec<Datagram> {
    let datagram = |message| Datagram {
        from: Id(1),
        incarnation: Incarnation { epoch: 1_700_000_000_000, counter: 1 },
        site: 1,
        role: Role::Agent,
        message,
        new_updates: 2,
        updates: updates(),
    };
    messages().into_iter().map(datagram).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a String succeeds");
        text
    })
}

#[test]
fn datagram_bytes_match_golden_file() {
    let mut text = String::new();
    for datagram in datagrams() {
        let (bytes, encoded) = encode(CLUSTER, &datagram);
        assert_eq!(encoded, datagram.updates.len());
        assert_eq!(decode(CLUSTER, &bytes), Ok(datagram));
        writeln!(text, "{}", hex(&bytes)).expect("writing to a String succeeds");
    }
    expect_file!["golden/datagrams.hex"].assert_eq(&text);
}

#[test]
fn state_names_match_golden_file() {
    let mut text = String::new();
    for state in [State::Absent, State::Alive, State::Suspect, State::Dead, State::Left] {
        writeln!(text, "state {}", state.as_str()).expect("writing to a String succeeds");
    }
    for quorum_state in QuorumState::ALL {
        writeln!(text, "stance {}", quorum_state.as_str()).expect("writing to a String succeeds");
    }
    expect_file!["golden/words.txt"].assert_eq(&text);
}
