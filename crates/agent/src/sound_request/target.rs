//! The target of a request: a URI's path and query, whose first part is the class (RFC 3986 and RFC 9112, section 3.2).

use super::UnsoundRequest;
use bellcroft_balancer::KeyId;
use bellcroft_platform_settings::fnv1a;
use hyper::http::uri::PathAndQuery;
use hyper::Uri;

/// The characters of a host name beside letters and digits, and beside percent-encoded ones (RFC 3986, section 3.2.2).
const HOST_SYMBOLS: &[u8] = b"-._~!$&'()*+,;=";
/// The characters of a path and query beside those of a host name (RFC 3986, sections 3.3 and 3.4).
const TARGET_SYMBOLS: &[u8] = b":@/?";
/// The beginning of a target in absolute form.
const HTTP_SCHEME: &[u8] = b"http://";
/// The beginning of the query parameter with the affinity key.
const AFFINITY_KEY: &str = "key=";

/// Checks the parts of a target. A server accepts the absolute form too (RFC 9112, section 3.2.2).
pub(super) fn check(uri: &Uri) -> Result<(), UnsoundRequest> {
    let is_http = uri.scheme_str().is_none_or(|scheme| scheme.eq_ignore_ascii_case("http"));
    let has_valid_authority = uri.authority().is_none_or(|name| is_authority(name.as_str().as_bytes()));
    if !is_http || !has_valid_authority || !uri.path().starts_with('/') {
        return Err(UnsoundRequest::Target);
    }
    if leaves_class(uri.path()) {
        return Err(UnsoundRequest::DotSegments);
    }
    if affinity_keys(uri.query()).count() > 1 {
        return Err(UnsoundRequest::RepeatedAffinityKey);
    }
    Ok(())
}

/// The name of the class in a path that begins with a slash.
pub(crate) fn class_name(path: &str) -> &str {
    path.split('/').nth(1).unwrap_or_default()
}

/// Whether a server that removes dot segments (RFC 3986, section 5.2.4) sees another class.
fn leaves_class(path: &str) -> bool {
    // The number of segments that a double-dot segment can remove before it removes the class.
    let mut removable = 0_usize;
    for segment in path.split('/').skip(2) {
        match segment.to_ascii_lowercase().replace("%2e", ".").as_str() {
            "." => {}
            ".." if removable == 0 => return true,
            ".." => removable -= 1,
            _ => removable += 1,
        }
    }
    false
}

/// The hash of the affinity key in the query of a target, if it has one.
pub(crate) fn affinity_key(target: &PathAndQuery) -> Option<KeyId> {
    affinity_keys(target.query()).next().map(|key| KeyId(fnv1a(key)))
}

fn affinity_keys(query: Option<&str>) -> impl Iterator<Item = &str> {
    query.unwrap_or_default().split('&').filter_map(|pair| pair.strip_prefix(AFFINITY_KEY))
}

/// Whether these bytes are a host with an optional port, as the authority of an http URI without user information.
pub(super) fn is_authority(authority: &[u8]) -> bool {
    let bracket = authority.iter().rposition(|byte| *byte == b']').unwrap_or(0);
    let colon = authority[bracket..].iter().position(|byte| *byte == b':').map(|at| bracket + at);
    let (host, port) = match colon {
        Some(at) => (&authority[..at], &authority[at + 1..]),
        None => (authority, [].as_slice()),
    };
    is_host(host) && is_port(port)
}

fn is_port(port: &[u8]) -> bool {
    let digits = port.iter().all(u8::is_ascii_digit);
    digits && (port.is_empty() || std::str::from_utf8(port).is_ok_and(|text| text.parse::<u16>().is_ok()))
}

fn is_host(host: &[u8]) -> bool {
    match host {
        [b'[', address @ .., b']'] => {
            std::str::from_utf8(address).is_ok_and(|text| text.parse::<std::net::Ipv6Addr>().is_ok())
        }
        _ => !host.is_empty() && consists_of(host, HOST_SYMBOLS),
    }
}

/// Whether a request's target, as it was received, is of the origin or the absolute form, and consists of the characters of a URI
/// without a fragment.
pub(crate) fn is_target(target: &[u8]) -> bool {
    let Some(rest) = without_scheme(target) else { return target.first() == Some(&b'/') && is_path(target) };
    // An IPv6 address is in brackets.
    let after_address = match rest.iter().position(|byte| *byte == b']') {
        Some(end) if rest.first() == Some(&b'[') => &rest[end + 1..],
        Some(_) | None => rest,
    };
    is_path(after_address)
}

/// Whether these bytes are the beginning of a target of either form, which may end within a percent-encoded byte.
pub(super) fn begins_target(bytes: &[u8]) -> bool {
    let scheme = &bytes[..bytes.len().min(HTTP_SCHEME.len())];
    let is_absolute = HTTP_SCHEME[..scheme.len()].eq_ignore_ascii_case(scheme);
    if !is_absolute && bytes.first() != Some(&b'/') {
        return false;
    }
    let percent = bytes.iter().rev().take(2).position(|byte| *byte == b'%');
    let complete = &bytes[..bytes.len() - percent.map_or(0, |from_end| from_end + 1)];
    let is_allowed = |byte| is_path_symbol(byte) || b"[]".contains(&byte);
    consists_of_allowed(complete, is_allowed)
}

fn without_scheme(target: &[u8]) -> Option<&[u8]> {
    let (scheme, rest) = target.split_at_checked(HTTP_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(HTTP_SCHEME).then_some(rest)
}

fn is_path(bytes: &[u8]) -> bool {
    consists_of_allowed(bytes, is_path_symbol)
}

fn is_path_symbol(byte: u8) -> bool {
    HOST_SYMBOLS.contains(&byte) || TARGET_SYMBOLS.contains(&byte)
}

fn consists_of(bytes: &[u8], symbols: &[u8]) -> bool {
    consists_of_allowed(bytes, |byte| symbols.contains(&byte))
}

/// Whether all bytes are letters, digits, allowed ones, or percent-encoded.
fn consists_of_allowed(mut bytes: &[u8], is_allowed: impl Fn(u8) -> bool) -> bool {
    while let [first, rest @ ..] = bytes {
        bytes = match (first, rest) {
            (b'%', [high, low, after @ ..]) if high.is_ascii_hexdigit() && low.is_ascii_hexdigit() => after,
            (byte, _) if byte.is_ascii_alphanumeric() || is_allowed(*byte) => rest,
            _ => return false,
        };
    }
    true
}
