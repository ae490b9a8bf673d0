//! The headers of a request that go on to a backend.

use hyper::header::HeaderMap;

/// Headers that speak of one connection, or that the agent writes itself.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout",
];

/// The headers that go on: those that speak of the connection or are written by the agent itself stay behind.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let goes_on =
        |name: &str| !NOT_FORWARDED.contains(&name) && !named_by_connection.iter().any(|n| n == name);
    headers.iter().filter(|(n, _)| goes_on(n.as_str())).map(|(n, v)| (n.clone(), v.clone())).collect()
}

#[cfg(test)]
#[path = "../../tests/unit/forwarded_headers.rs"]
mod tests;
