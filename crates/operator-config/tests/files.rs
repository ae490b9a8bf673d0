//! `agent.toml` and `fleet.toml`: the shipped files are valid, and invalid files report every error.

use bellcroft_operator_config::{AgentFile, FileError, FleetFile};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// A temporary file, deleted on drop.
struct TempFile(PathBuf);

impl TempFile {
    fn new(bytes: &[u8]) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path =
            std::env::temp_dir().join(format!("bellcroft-operator-{}-{number}.toml", std::process::id()));
        std::fs::write(&path, bytes).expect("the file should be writable");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn shipped_file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy").join(name)
}

/// Formats errors with `F` in place of the file's path.
fn format_errors(errors: &[FileError], file: &Path) -> Vec<String> {
    let name = file.display().to_string();
    errors.iter().map(|error| error.to_string().replacen(&name, "F", 1)).collect()
}

fn read_fleet(text: &str) -> Result<FleetFile, Vec<String>> {
    let file = TempFile::new(text.as_bytes());
    FleetFile::read(&file.0).map_err(|errors| format_errors(&errors, &file.0))
}

/// Uncomments every key that a shipped file shows commented out: each must be known and have a valid value.
#[test]
fn shipped_files_are_valid_with_and_without_commented_keys() {
    AgentFile::read(&shipped_file("agent.toml")).expect("the file should be valid");
    let file = FleetFile::read(&shipped_file("fleet.toml")).expect("the file should be valid");
    assert_eq!(file.instances.len(), 50);
    for name in ["agent.toml", "fleet.toml"] {
        let text = std::fs::read_to_string(shipped_file(name)).expect("the file should be readable");
        let uncommented: String = text
            .lines()
            .map(|line| match line.strip_prefix('#') {
                Some(rest) if rest.starts_with(|c: char| c.is_ascii_lowercase() || c == '[') => rest,
                _ => line,
            })
            .flat_map(|line| [line, "\n"])
            .collect();
        assert!(uncommented.len() < text.len(), "{name} has no key that is commented out");
        // The token file is the only file named in the examples that must exist during validation.
        let token = TempFile::new(b"secret");
        let uncommented = uncommented.replace("\"token\"", &format!("{:?}", token.0));
        let file = TempFile::new(uncommented.as_bytes());
        let read = match name {
            "agent.toml" => AgentFile::read(&file.0).map(drop),
            _ => FleetFile::read(&file.0).map(drop),
        };
        assert_eq!(read.map_err(|errors| format_errors(&errors, &file.0)), Ok(()), "{name}");
    }
}

#[test]
fn empty_agent_file_gives_defaults() {
    let file = TempFile::new(b"");
    let read = AgentFile::read(&file.0).expect("the file should be valid");
    assert_eq!(read, AgentFile::default());
    assert_eq!(read.daemon.status_every, Duration::from_secs(1));
}

#[test]
fn invalid_agent_file_reports_all_errors() {
    let text = "[instance]\nname = \"../x\"\nlisten = \"8443\"\ndiscovery = 7\n\n[daemon]\nstate = \"\"\n\
                status_every = \"1h\"\nstop_whitin = \"1s\"\n\n[demon]\n";
    let file = TempFile::new(text.as_bytes());
    let errors = AgentFile::read(&file.0).expect_err("the file should be invalid");
    let lines = format_errors(&errors, &file.0);
    let expected = [
        "F:2: instance.name: is \"../x\"; at most 64 letters",
        "F:3: instance.listen: is \"8443\"; an address such as",
        "F:4: instance.discovery: is 7; an address such as",
        "F:7: daemon.state: is \"\"; a text that is not empty",
        "F:8: daemon.status_every: is \"1h\"; a time such as",
        "F:9: daemon.stop_whitin: is no known key; did you mean stop_within?",
        "F:11: demon: is no known key; did you mean daemon?",
    ];
    assert_eq!(lines.len(), expected.len(), "{lines:#?}");
    for (line, expected) in lines.iter().zip(expected) {
        assert!(line.starts_with(expected), "found: {line}\nexpected: {expected}");
    }
}

#[test]
fn unreadable_files_report_the_reason() {
    let missing =
        AgentFile::read(Path::new("/nowhere/agent.toml")).expect_err("a missing file should be rejected");
    assert!(missing[0].to_string().starts_with("/nowhere/agent.toml: cannot be read"), "{}", missing[0]);
    let directory = AgentFile::read(&std::env::temp_dir()).expect_err("a directory should be rejected");
    assert!(directory[0].message.contains("not a regular file"));
    let binary = TempFile::new(b"[daemon]\n\xff\xfe");
    let errors = AgentFile::read(&binary.0).expect_err("invalid UTF-8 should be rejected");
    assert_eq!((errors[0].line, errors[0].message.as_str()), (2, "is not UTF-8 text"));
    let oversized = TempFile::new(&vec![b'#'; 2 << 20]);
    assert!(AgentFile::read(&oversized.0).expect_err("an oversized file should be rejected")[0]
        .message
        .contains("bytes long"));
    let truncated = TempFile::new(b"[daemon]\nstate = \"/run/bell");
    assert_eq!(AgentFile::read(&truncated.0).expect_err("a truncated file should be rejected")[0].line, 2);
}

#[test]
fn template_generates_distinct_instances() {
    let text = "[fleet]\nstate = \"s\"\n[template]\ncount = 3\nfirst = 7\nname = \"d-{n}\"\n\
                listen = \"127.0.0.1:9000\"\nconfig = \"c/{name}-{n}.json\"\n";
    let file = read_fleet(text).expect("the file should be valid");
    let names: Vec<&str> = file.instances.iter().map(|m| m.name.as_str()).collect();
    assert_eq!(names, ["d-7", "d-8", "d-9"]);
    let ports: Vec<u16> = file.instances.iter().map(|m| m.listen.port()).collect();
    assert_eq!(ports, [9000, 9001, 9002]);
    assert!(file.instances[2].config.ends_with("c/d-9-9.json"));
    assert!(file.state.is_absolute(), "state should be relative to the file's directory");
}

#[test]
fn invalid_fleets_are_rejected() {
    let instance = |name: &str, listen: &str| {
        format!("[[instance]]\nname = \"{name}\"\nlisten = \"{listen}\"\nconfig = \"c\"\n")
    };
    let head = "[fleet]\nstate = \"s\"\n";
    let template = |more: &str| format!("{head}[template]\nconfig = \"c\"\n{more}");
    for (text, part) in [
        (head.to_owned(), "at least one instance"),
        (instance("a", "127.0.0.1:1"), "fleet.state: is missing"),
        (
            format!("{head}{}{}", instance("a", "127.0.0.1:1"), instance("a", "127.0.0.1:2")),
            "is \"a\", which is already the name of another instance",
        ),
        (
            format!("{head}{}{}", instance("a", "127.0.0.1:1"), instance("b", "127.0.0.1:1")),
            "is 127.0.0.1:1, which is already the address of a",
        ),
        (template("count = 0\nname = \"a-{n}\"\nlisten = \"127.0.0.1:1\"\n"), "F:5: template.count: is 0"),
        (template("count = 2\nname = \"a\"\nlisten = \"127.0.0.1:1\"\n"), "a name with {n} was expected"),
        (template("count = 9\nname = \"a{n}\"\nlisten = \"127.0.0.1:65530\"\n"), "would have port 65538"),
        (template("name = \"a{n}\"\nlisten = \"127.0.0.1:1\"\n"), "template.count: is missing"),
        (template("count = 1\nname = \"a/{n}\"\nlisten = \"127.0.0.1:1\"\n"), "makes \"a/0\"|is \"a/{n}\""),
        (
            format!("{head}roll_at_once = 0\n{}", instance("a", "127.0.0.1:1")),
            "F:3: fleet.roll_at_once: is 0",
        ),
        (
            format!("{head}[restart]\nfirst = \"9s\"\nmost = \"1s\"\n{}", instance("a", "127.0.0.1:1")),
            "F:5: restart.most",
        ),
        (
            format!("{head}[restart]\njitter = 2\n{}", instance("a", "127.0.0.1:1")),
            "a number from 0.0 to 1.0",
        ),
    ] {
        let errors = read_fleet(&text).expect_err(&text).join("\n");
        assert!(part.split('|').any(|part| errors.contains(part)), "{part}:\n{errors}");
    }
}

#[test]
fn invalid_remote_write_sections_are_rejected() {
    let valid = "[remote_write]\nurl = \"http://127.0.0.1:9/w\"\n";
    let cases = [
        ("[remote_write]\n", "F:1: remote_write.url: is missing"),
        ("[remote_write]\nurl = \"https://a/w\"\n", "F:2: remote_write.url: is https"),
        ("[remote_write]\nurl = \"http://me:pw@a/w\"\n", "F:2: remote_write.url: holds a user's name"),
        ("[remote_write]\nurl = 7\n", "F:2: remote_write.url: is 7; a text"),
        ("version = \"3.0\"\n", "F:3: remote_write.version: is \"3.0\"; \"1.0\" or \"2.0\""),
        ("interval = \"1ms\"\n", "F:3: remote_write.interval: is \"1ms\"; a time"),
        ("timeout = \"1h\"\n", "F:3: remote_write.timeout: is \"1h\"; a time"),
        ("queue_bytes = 5\n", "F:3: remote_write.queue_bytes: is 5; a whole number"),
        ("retry_first = \"50s\"\nretry_most = \"1s\"\n", "F:3: remote_write.retry_first: is longer"),
        ("flush_within = \"2m\"\n", "F:3: remote_write.flush_within: is \"2m\""),
        ("token_file = \"/nowhere/token\"\n", "F:3: remote_write.token_file: /nowhere/token: cannot be read"),
        ("token_file = \"/\"\n", "F:3: remote_write.token_file: /: is not a file"),
        ("server_names = 1001\n", "F:3: remote_write.server_names: is 1001"),
        ("querier = 1\n", "F:3: remote_write.querier: is no known key"),
        ("intervall = \"1s\"\n", "did you mean interval?"),
        (
            "[remote_write.labels]\n__name__ = \"x\"\n",
            "F:4: remote_write.labels.__name__: is not a valid label name",
        ),
        (
            "[remote_write.labels]\n\"a b\" = \"x\"\n",
            "F:4: remote_write.labels.a b: is not a valid label name",
        ),
        ("[remote_write.labels]\n1st = \"x\"\n", "F:4: remote_write.labels.1st: is not a valid label name"),
        ("[remote_write.labels]\nx = 4\n", "F:4: remote_write.labels.x: is not a string"),
    ];
    for (more, expected) in cases {
        let text =
            if more.starts_with("[remote_write]") { more.to_owned() } else { format!("{valid}{more}") };
        let file = TempFile::new(text.as_bytes());
        let found = format_errors(&AgentFile::read(&file.0).expect_err(more), &file.0);
        assert!(found.len() == 1 && found[0].contains(expected), "{more}: {found:?}");
    }
    let long = format!("{valid}[remote_write.labels]\nx = \"{}\"\n", "y".repeat(10_000));
    let file = TempFile::new(long.as_bytes());
    assert!(format_errors(
        &AgentFile::read(&file.0).expect_err("a long label value should be rejected"),
        &file.0
    )[0]
    .contains("10000 bytes long"));
    let secret = TempFile::new(b"two words");
    let file = TempFile::new(format!("{valid}token_file = \"{}\"\n", secret.0.display()).as_bytes());
    let found = format_errors(
        &AgentFile::read(&file.0).expect_err("a token of two words should be rejected"),
        &file.0,
    )
    .join("\n");
    assert!(found.contains("more than one word") && !found.contains("two words"), "{found}");
    let secret = TempFile::new(b"  tok-en\n");
    let file = TempFile::new(format!("{valid}token_file = \"{}\"\n", secret.0.display()).as_bytes());
    let file = AgentFile::read(&file.0).expect("the file should be valid");
    let read = file.remote_write.expect("the section should be present");
    assert_eq!(read.token.as_deref(), Some("tok-en"));
    assert!(!format!("{read:?}").contains("tok-en"), "debug output must not contain the token");
}
