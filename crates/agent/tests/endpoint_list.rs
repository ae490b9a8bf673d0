//! Reading endpoint lists.

use bellcroft::discovery::codec::parse_list;
use serde_json::json;

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
    let names: Vec<&str> = list.endpoints.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["a", "d"]);
    assert_eq!((list.version, list.is_snapshot), (7, true));
    assert_eq!(list.endpoints[0].started_unix_ms, 5.0);
    assert_eq!(
        list.rejected_entries,
        [
            "\"b\": dial is \"nowhere\"; an address such as \"10.0.0.1:80\" was expected",
            "\"c\": health is \"asleep\"; up, draining or removed was expected",
            "entry 3: host name is missing",
            "entry 5: health is missing",
        ]
    );
}

#[test]
fn what_is_no_list_is_none() {
    for value in [json!(null), json!([]), json!({"seq": 1}), json!({"seq": "1", "hosts": []})] {
        assert_eq!(parse_list(&value).ok(), None, "{value}");
    }
}
