//! The configuration of an instance out of the environment, the platform's file and the operator's.

use super::*;

/// The configuration of an instance with this platform's file and this address.
pub(crate) fn load(text: &str, listen: &str) -> Result<Config, String> {
    let contents = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let platform = PlatformFile { path: "config.json".into(), bytes: text.as_bytes().to_vec(), contents };
    let operator = OperatorFile { path: String::new(), contents: AgentFile::default() };
    let var = |name: &str| (name == "PROXY_LISTEN").then(|| listen.to_owned());
    merge::merge(platform, operator, String::new(), var).map_err(|errors| errors.to_string())
}

pub(crate) const SETTINGS: &str = r#"{"classes":[{"name":"a","aimMs":100,"deadlineMs":200,"effect":"idempotent"}],
    "limits":{"maxAttempts":3,"connectTimeoutMs":100,"keepaliveMs":10000},"rules":{"stopSendingWithinMs":2000}}"#;

#[test]
fn environment_precedes_file_and_unknown_keys_are_skipped() {
    let text = format!(
        r#"{{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","novel":[],"settings":{SETTINGS}}}"#
    );
    let config = load(&text, "127.0.0.1:3").expect("a configuration");
    assert_eq!(config.listen.port(), 3);
    assert_eq!(config.discovery.port(), 2);
    assert_eq!(config.seed, 255);
    assert_eq!(config.names.classes, ["a"]);
}

#[test]
fn invalid_configuration_names_the_fault() {
    let none = r#"{"discovery":"127.0.0.1:2","settings":{"classes":[]}}"#;
    assert!(load(none, "127.0.0.1:3").expect_err("no classes").contains("class"));
    let text = format!(r#"{{"discovery":"127.0.0.1:2","settings":{SETTINGS}}}"#);
    assert!(load(&text, "nowhere").expect_err("no address").contains("PROXY_LISTEN"));
    let text = format!(r#"{{"settings":{SETTINGS}}}"#);
    assert!(load(&text, "127.0.0.1:3").expect_err("no discovery").contains("PROXY_DISCOVERY"));
    let text = format!(r#"{{"discovery":"127.0.0.1:2","known":7,"settings":{SETTINGS}}}"#);
    assert!(load(&text, "127.0.0.1:3").expect_err("no list").contains("known"));
}
#[test]
fn all_faults_are_reported_with_their_lines() {
    let text = "{\"discovery\":\"nowhere\",\n\"limits\":{\n\"sockets\":3},\n\"known\":7,\"settings\":{\"classes\":[]}}";
    let wrong = load(text, "127.0.0.1:3").expect_err("it is bad");
    for part in ["PROXY_DISCOVERY", "config.json:3: limits.sockets is 3", "config.json:4: known", "class"] {
        assert!(wrong.contains(part), "{part}: {wrong}");
    }
}

#[test]
fn keys_that_need_a_restart_are_named() {
    let text = |extra: &str| format!(r#"{{"discovery":"127.0.0.1:2",{extra}"settings":{SETTINGS}}}"#);
    let old = load(&text(""), "127.0.0.1:3").expect("a configuration");
    let moved = text("").replace("127.0.0.1:2", "127.0.0.1:4");
    assert!(old.needs_restart(&load(&moved, "127.0.0.1:3").expect("good")).is_empty());
    let other = text(r#""name":"n","limits":{"sockets":100},"#).replace("200", "300");
    let other = load(&other, "127.0.0.1:4").expect("good");
    assert_eq!(old.needs_restart(&other), ["name", "listen", "limits.sockets"]);
}
