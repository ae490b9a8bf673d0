use super::forwarded_headers;
use hyper::header::{HeaderMap, HeaderValue};

#[test]
fn headers_of_the_connection_stay_behind() {
    let mut headers = HeaderMap::new();
    for (name, value) in [("connection", "close, X-Hop"), ("x-hop", "1"), ("x-timeout", "5m"), ("x-a", "b")] {
        headers.append(name, HeaderValue::from_static(value));
    }
    let left = forwarded_headers(&headers);
    assert_eq!(left.len(), 1);
    assert_eq!(left["x-a"], "b");
}
