//! Reading endpoint lists, and the time limits of calls to discovery.

use bellcroft::discovery::codec::parse_list;
use bellcroft::discovery::policy::{WatchPolicy, NOTIFIED_AFTER_WAIT, PUSHED_RETRY_DELAY, REASK_RESERVE};
use serde_json::json;
use std::time::Duration;

/// The platform's clocks at their worst phase, for graces from none to long: a watch that fell silent as it began.
#[test]
fn a_mute_watch_is_over_before_what_it_missed_has_to_be_obeyed() {
    for ms in [0, 50, 250, 1_000, 2_000, 10_000] {
        let grace = Duration::from_millis(ms);
        let asked = WatchPolicy::new(micasail::Discovery::OnRequest, grace);
        let told = asked.wait + NOTIFIED_AFTER_WAIT;
        assert!(asked.wait + asked.watch_timeout + REASK_RESERVE <= told + grace, "{ms}: {asked:?}");
        assert!(asked.watch_timeout >= Duration::from_millis(1_000), "{ms}: a busy service is given time");
        let pushed = WatchPolicy::new(micasail::Discovery::Pushed, grace);
        let late = pushed.wait + pushed.watch_timeout + PUSHED_RETRY_DELAY;
        // What is pushed counts at once; each time limit on sockets is 50 ms longer.
        assert!(late <= grace + Duration::from_millis(50) || ms < 150, "{ms}: {pushed:?}");
    }
}

#[test]
fn entries_without_sense_are_left_out_and_unknown_fields_skipped() {
    let list = parse_list(&json!({"seq": 7, "whole": true, "novel": 1, "hosts": [
        {"host": "a", "dial": "127.0.0.1:1", "site": "x", "health": "up", "born_ms": 5.0, "novel": {}},
        {"host": "b", "dial": "nowhere", "health": "up"},
        {"host": "c", "dial": "127.0.0.1:1", "health": "asleep"},
        {"host": 4, "dial": "127.0.0.1:1", "health": "up"},
        {"host": "d", "health": "removed", "block": -3},
        "e"]}))
    .expect("a list");
    let names: Vec<&str> = list.hosts.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.seq, list.whole), (7, true));
    assert_eq!(list.hosts[0].born_ms, 5.0);
    assert_eq!(
        list.rejected_entries,
        [
            "\"b\": its dial is \"nowhere\"; an address such as \"10.0.0.1:80\" was expected",
            "\"c\": its health is \"asleep\"; up, draining or removed was expected",
            "entry 3: has no name",
            "entry 5: has no health",
        ]
    );
}

#[test]
fn what_is_no_list_is_none() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        assert_eq!(parse_list(&value), None, "{value}");
    }
}
