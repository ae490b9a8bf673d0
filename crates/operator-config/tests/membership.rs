//! `[membership]` in `agent.toml`: valid sections, and errors with line and reason for invalid ones.

use bellcroft_operator_config::{AgentFile, FileError};
use std::path::Path;

fn read(section: &str) -> Result<AgentFile, Vec<String>> {
    let text = format!("[membership]\n{section}");
    AgentFile::parse(Path::new("F"), &text)
        .map_err(|errors| errors.iter().map(FileError::to_string).collect())
}

#[test]
fn member_number_is_found_in_peer_list() {
    let peers = "cluster = \"south\"\npeers = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n";
    let file =
        read(&format!("{peers}listen = \"127.0.0.1:8\"\n")).expect("the file should be valid").membership;
    let section = file.expect("the section should be present");
    assert_eq!((section.number, section.peers.len(), section.cluster.as_str()), (Some(1), 2, "south"));
    assert_eq!(AgentFile::default().membership, None, "membership should be off without the section");
}

#[test]
fn invalid_sections_report_line_and_reason() {
    let cases = [
        ("listen = \"127.0.0.1:7\"\n", "F:1: membership.cluster: is missing; a name that all its members share is needed"),
        (
            "cluster = \"s\"\npeers = [\"127.0.0.1:7\", \"127.0.0.1:7\"]\n",
            "F:3: membership.peers: names 127.0.0.1:7 twice; each member has an address of its own",
        ),
        (
            "cluster = \"s\"\npeers = [\"0.0.0.0:7\"]\n",
            "F:3: membership.peers: item 0 is 0.0.0.0:7; the address and port of a member were expected",
        ),
        (
            "cluster = \"s\"\nnumber = 2\npeers = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n",
            "F:3: membership.number: is 2, and peers names members 0 to 1",
        ),
        (
            "cluster = \"s\"\ninstances = 1\npeers = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n",
            "F:3: membership.instances: is 1, and peers names 2",
        ),
        (
            "cluster = \"s\"\nseeds = [\"127.0.0.1:9\"]\npeers = [\"127.0.0.1:7\"]\n",
            "F:3: membership.seeds: cannot be combined with peers, which already lists all members",
        ),
        (
            "cluster = \"s\"\nlisten = \"127.0.0.1:8\"\nnumber = 0\npeers = [\"127.0.0.1:7\", \"127.0.0.1:8\"]\n",
            "F:3: membership.listen: is the address of member 1, and number is 0",
        ),
        ("cluster = \"a b\"\n", "F:2: membership.cluster: at most 64 letters, digits, '-', '_' and '.' were expected"),
        ("cluster = \"s\"\nduty = \"boss\"\n", "F:3: membership.duty: is \"boss\"; \"agent\" or \"observer\" was expected"),
        ("cluster = \"s\"\npeer = []\n", "F:3: membership.peer: is no known key; did you mean peers?"),
    ];
    for (section, expected) in cases {
        assert_eq!(read(section).expect_err(section), [expected]);
    }
}
