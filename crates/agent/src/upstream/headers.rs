//! The headers of a request that are forwarded to a server.

use hyper::header::HeaderMap;

/// Headers that concern a single connection, or that the agent sets itself.
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

/// Returns the headers that are forwarded: all but those that concern a single connection, among them those that the
/// `Connection` header names, and those that the agent sets itself.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_forwarded =
        |name: &str| !NOT_FORWARDED.contains(&name) && !named_by_connection.iter().any(|n| n == name);
    headers.iter().filter(|(n, _)| is_forwarded(n.as_str())).map(|(n, v)| (n.clone(), v.clone())).collect()
}

#[cfg(test)]
#[path = "../../tests/unit/forwarded_headers.rs"]
mod tests;
