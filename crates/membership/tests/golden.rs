//! The outer forms of membership: the bytes of every kind of datagram, and the words that status and logs use.

use bellcroft_membership::{decode, encode, Datagram, Duty, Id, Kind, Rumour, Stance, State, Version};
use expect_test::expect_file;
use std::fmt::Write;

const CLUSTER: u64 = 0x1122_3344_5566_7788;

fn kinds() -> Vec<Kind> {
    let address = Some("127.0.0.1:7946".parse().expect("an address"));
    let version = Version { life: 1_700_000_000_000, round: 3 };
    vec![
        Kind::Ping { seq: 7, to: Id(300) },
        Kind::PingOf { seq: 8, target: Id(2), address },
        Kind::PingOf { seq: 9, target: Id(2), address: None },
        Kind::Ack { seq: 10, of: Id(2), version },
        Kind::Nack { seq: 11 },
        Kind::News,
        Kind::Hint { payload: vec![1, 2, 3] },
        Kind::Digest { parts: vec![4, 5] },
    ]
}

fn updates() -> Vec<Rumour> {
    let states = [State::Alive, State::Suspect, State::Dead, State::Left];
    (0_u32..)
        .zip(states)
        .map(|(n, state)| Rumour {
            id: Id(n),
            version: Version { life: 1_700_000_000_001, round: n },
            state,
            by: Id(n + 1),
            site: 2,
            duty: if n % 2 == 0 { Duty::Agent } else { Duty::Observer },
            address: (n == 1).then(|| "10.0.0.1:7946".parse().expect("an address")),
        })
        .collect()
}

fn datagrams() -> Vec<Datagram> {
    let datagram = |kind| Datagram {
        from: Id(1),
        version: Version { life: 1_700_000_000_000, round: 1 },
        site: 1,
        duty: Duty::Agent,
        kind,
        fresh: 2,
        news: updates(),
    };
    kinds().into_iter().map(datagram).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string grows");
        text
    })
}

#[test]
fn datagram_bytes_match_golden_file() {
    let mut text = String::new();
    for datagram in datagrams() {
        let (bytes, fit) = encode(CLUSTER, &datagram);
        assert_eq!(fit, datagram.news.len());
        assert_eq!(decode(CLUSTER, &bytes), Ok(datagram));
        writeln!(text, "{}", hex(&bytes)).expect("a string grows");
    }
    expect_file!["golden/datagrams.hex"].assert_eq(&text);
}

#[test]
fn words_of_status_match_golden_file() {
    let mut text = String::new();
    for state in [State::Absent, State::Alive, State::Suspect, State::Dead, State::Left] {
        writeln!(text, "state {}", state.word()).expect("a string grows");
    }
    for stance in Stance::ALL {
        writeln!(text, "stance {}", stance.word()).expect("a string grows");
    }
    expect_file!["golden/words.txt"].assert_eq(&text);
}
