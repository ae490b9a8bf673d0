//! Decoding, encoding and dispatch of complete input lines.

use super::run;

const PARAMS: &str = r#"{"balancers":2,"classes":[
 {"aimMs":200.0,"deadlineMs":800.0,"effect":"idempotent","group":"all","points":1.0,"stream":false,"novelty":[1]},
 {"aimMs":200.0,"deadlineMs":800.0,"effect":"deduplicated","group":"zone","dedupWindowMs":900.0,"points":2.0}],
 "feedback":{"fields":["queue","weather"],"source":"piggyback"},"limits":{"cancel":true,"maxAttempts":3},
 "somethingNew":{"deep":[{}]},"weights":"silent","zone":0}"#;

fn attach() -> String {
    format!(r#"{{"ATTACH":{{"salt":7,"params":{}}}}}"#, PARAMS.replace('\n', " "))
}

fn catalog(reference: u32, names: &[&str]) -> String {
    let entry = |n: &&str| {
        format!(
            r#"{{"backend":"{n}","campus":0,"classOfHost":0,"cluster":0,"status":"SERVING","units":1,"lastStartMs":null}}"#
        )
    };
    let entries: Vec<String> = names.iter().map(entry).collect();
    format!(r#"{{"CATALOG":{{"ref":{reference},"membersList":[{}]}}}}"#, entries.join(","))
}

fn registry(form: &str, reference: u32) -> String {
    format!(r#"{{"REGISTRY":{{"form":"{form}","rev":1,"ref":{reference}}}}}"#)
}

fn request(ticket: &str) -> String {
    format!(
        r#"{{"REQUEST":{{"ticket":"{ticket}","party":null,"cls":0,"affinity":"k:1","estimateMs":12.5,"opts":1,"expiresInMs":640.125}}}}"#
    )
}

fn batch(round: u32, ms: &str, parts: &[(u32, &[String])]) -> String {
    let part = |(who, inbox): &(u32, &[String])| format!(r#"{{"who":{who},"inbox":[{}]}}"#, inbox.join(","));
    let parts: Vec<String> = parts.iter().map(part).collect();
    format!("{{\"tMs\":{ms},\"round\":{round},\"parts\":[{}]}}\n", parts.join(","))
}

/// Runs a session over the input; returns its result and the lines of output.
fn run_session(input: &str) -> (Result<(), String>, Vec<serde_json::Value>) {
    let mut output = Vec::new();
    let result = run(&mut input.as_bytes(), &mut output).map_err(|error| error.to_string());
    let text = String::from_utf8(output).expect("UTF-8");
    (result, text.lines().map(|l| serde_json::from_str(l).expect("JSON")).collect())
}

/// The actions of one kind in a reply.
fn actions<'a>(reply: &'a serde_json::Value, name: &str) -> Vec<&'a serde_json::Value> {
    let parts = reply["parts"].as_array().expect("parts");
    parts.iter().flat_map(|p| p["outbox"].as_array().expect("outbox")).filter_map(|a| a.get(name)).collect()
}

#[test]
fn empty_batch_gets_empty_reply() {
    let (result, replies) = run_session(&batch(1, "8412.25", &[]));
    assert_eq!(result, Ok(()));
    assert_eq!(replies, [serde_json::json!({"round": 1, "parts": []})]);
}

#[test]
fn request_and_outcome_keep_microseconds() {
    let first = batch(
        1,
        "358835696.557",
        &[(4, &[attach(), catalog(3, &["backend_a"]), registry("Persisted", 3), request("r-1")])],
    );
    let done = r#"{"DONE":{"ticket":"r-1","backend":"backend_a","finished":false,"timeTakenMs":3.001,"ending":"econnrefused","attempt":0,"gauge":[1,2]}}"#;
    let (result, replies) = run_session(&(first + &batch(2, "358835699.558", &[(4, &[done.to_string()])])));
    assert_eq!(result, Ok(()));
    let route = actions(&replies[0], "ROUTE");
    let expected = serde_json::json!({"ticket": "r-1", "backend": "backend_a", "untilMs": 358836336.682});
    assert_eq!(route, [&expected]);
    assert_eq!(
        actions(&replies[1], "ROUTE"),
        [&expected],
        "the retry goes to the only server, with the same deadline"
    );
}

#[test]
fn reused_catalog_number_replaces_list_within_batch() {
    let inbox = [
        attach(),
        catalog(0, &["backend_a"]),
        registry("Persisted", 0),
        catalog(0, &["backend_b"]),
        registry("Complete", 0),
        request("r-1"),
    ];
    let (result, replies) = run_session(&batch(1, "10", &[(0, &inbox)]));
    assert_eq!(result, Ok(()));
    assert_eq!(actions(&replies[0], "ROUTE")[0]["backend"], "backend_b");
}

#[test]
fn reattached_instance_discards_previous_requests_and_list() {
    let start = batch(1, "10", &[(0, &[attach(), catalog(0, &["backend_a"]), registry("Complete", 0)])]);
    let inbox = [request("old"), r#"{"RETIRE":{}}"#.into(), attach(), request("new")];
    let (result, replies) = run_session(&(start + &batch(2, "20", &[(0, &inbox)])));
    assert_eq!(result, Ok(()));
    assert!(actions(&replies[1], "ROUTE").is_empty(), "neither the old request nor the old list is known");
}

#[test]
fn mail_probes_and_unknown_requests_are_accepted() {
    let inbox = [
        attach(),
        catalog(0, &["backend_a"]),
        registry("Complete", 0),
        registry("Error", 9),
        r#"{"MAIL":{"srcPeer":1,"raw":"68692037"}}"#.into(),
        r#"{"PROBED":{"backend":"backend_a","ending":"done","timeTakenMs":1.4,"gauge":[7,0.5]}}"#.into(),
        r#"{"ABORTED":{"ticket":"never"}}"#.into(),
        r#"{"FIRST_BYTE":{"ticket":"never","attempt":0,"backend":"backend_a","timeTakenMs":1}}"#.into(),
        r#"{"ELAPSED":{"keyBack":77}}"#.into(),
    ];
    assert_eq!(run_session(&batch(1, "10", &[(0, &inbox)])).0, Ok(()));
}

#[test]
fn batch_of_two_megabytes_is_handled() {
    let mut inbox = vec![attach(), catalog(0, &["backend_a", "backend_b"]), registry("Complete", 0)];
    inbox.extend((0..20_000).map(|i| request(&format!("{i:036}"))));
    let line = batch(1, "10", &[(0, &inbox)]);
    assert!(line.len() > 2_000_000);
    let (result, replies) = run_session(&line);
    assert_eq!(result, Ok(()));
    assert!(!actions(&replies[0], "ROUTE").is_empty());
}

#[test]
fn error_message_contains_round_and_cause() {
    let attached = |inbox: &str| batch(6, "10", &[(0, &[attach(), inbox.to_string()])]);
    for (line, expected) in [
        ("{\"tMs\":1\n".to_string(), "the first round: invalid batch"),
        (attached(r#"{"SURPRISE":{}}"#), "SURPRISE"),
        (attached(r#"{"ELAPSED":{"keyBack":"x"}}"#), "invalid type"),
        (attached(r#"{"ABORTED":{}}"#), "missing field `ticket`"),
        (attached(&request("r").replace(r#""cls":0"#, r#""cls":-1"#)), "invalid value: integer `-1`"),
        (attached(&registry("Partial", 5)), "round 6: instance 0: REGISTRY refers to catalog 5"),
        (batch(6, "10", &[(3, &[request("r")])]), "round 6: instance 3: event received before ATTACH"),
        (attached(r#"{"MAIL":{"srcPeer":1,"raw":"6"}}"#), "round 6: instance 0: payload of MAIL is \"6\""),
        (
            batch(6, "10", &[(0, &[r#"{"ATTACH":{"salt":1,"params":{}}}"#.to_string()])]),
            "round 6: instance 0: settings name no request class",
        ),
    ] {
        let (result, replies) = run_session(&line);
        let error = result.expect_err(expected);
        assert!(error.contains(expected), "{error}");
        assert!(replies.is_empty());
    }
}
