//! The counters of requests by class.

use super::*;

#[test]
fn each_request_is_counted_once() {
    let tally = RequestCounters::new(&["a".to_owned(), "b".to_owned()]);
    let first = tally.on_request("b");
    let second = tally.on_request("b");
    tally.on_request("b").finish(RequestOutcome::Rejected);
    assert_eq!(tally.counts().0[1].1, Counts { taken: 3, open: 2, refused: 1, ..Counts::default() });
    first.finish(RequestOutcome::Served);
    drop(second);
    let expected = Counts { taken: 3, served: 1, refused: 1, left: 1, ..Counts::default() };
    assert_eq!(tally.counts().0, [("a".to_owned(), Counts::default()), ("b".to_owned(), expected)]);
    drop(tally.on_request("c"));
    assert_eq!(tally.counts().0[2].1.left, 1, "a class that new settings bring");
}
