//! Determines the length of a request from its head, before hyper parses it: hyper removes headers that make it ambiguous.

use crate::sound_request::is_target;
use bellcroft_agent_core::request_claims::RequestIdHash;
use bellcroft_platform_settings::fnv1a;
use hyper::http::request::Parts;
use hyper::{Request, Version};

/// The maximum length of a request's head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum number of header lines, the same as hyper's.
const MAX_HEADER_LINES: usize = 100;

/// The result of parsing the first bytes of a request.
#[derive(Debug, PartialEq)]
pub(super) enum HeadFraming {
    /// The head is incomplete.
    Partial,
    /// The bytes are not a valid head, or a longer one than [`MAX_HEAD_BYTES`].
    Unreadable,
    /// The head can be read, but does not follow the grammar. The field is the length of the head.
    Malformed(usize),
    /// The length of the body can be interpreted in two ways. The field is the length of the head.
    Ambiguous(usize),
    /// The lengths of the head and of the body.
    Sized(usize, u64),
    /// The body is chunked. The field is the length of the head.
    Chunked(usize),
}

/// Parses the bytes received so far.
pub(super) fn parse_framing(bytes: &[u8]) -> HeadFraming {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => head,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return HeadFraming::Partial,
        Ok(_) | Err(_) => return HeadFraming::Unreadable,
    };
    if has_bare_line_feed(&bytes[..head]) || !request.path.is_some_and(|target| is_target(target.as_bytes()))
    {
        return HeadFraming::Malformed(head);
    }
    let values = |name: &str| {
        let named = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value).collect::<Vec<_>>()
    };
    match (values("content-length").as_slice(), values("transfer-encoding").as_slice()) {
        ([], []) => HeadFraming::Sized(head, 0),
        ([length], []) => parse_content_length(length)
            .map_or(HeadFraming::Ambiguous(head), |body| HeadFraming::Sized(head, body)),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => HeadFraming::Chunked(head),
        _ => HeadFraming::Ambiguous(head),
    }
}

/// The lines of a complete head that has the grammar of one; none if hyper refuses it.
pub(super) fn parse_lines(head: &[u8]) -> Option<Parts> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    parsed.parse(head).ok()?;
    let version = if parsed.version? == 1 { Version::HTTP_11 } else { Version::HTTP_10 };
    let mut request = Request::builder().method(parsed.method?).uri(parsed.path?).version(version);
    for line in parsed.headers.iter() {
        request = request.header(line.name, line.value);
    }
    Some(request.body(()).ok()?.into_parts().0)
}

/// The names of a complete trailer section, which ends with an empty line; none if it is malformed.
pub(super) fn parse_trailer_names(section: &[u8]) -> Option<Vec<&str>> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    match httparse::parse_headers(section, &mut lines).ok()? {
        httparse::Status::Complete((_, trailers)) => Some(trailers.iter().map(|line| line.name).collect()),
        httparse::Status::Partial => None,
    }
}

/// The id in a complete head; none if it has none.
pub(super) fn id_in_head(head: &[u8]) -> Option<RequestIdHash> {
    const NAME: &[u8] = b"x-request-id:";
    let line = head.split(|byte| *byte == b'\n').find(|line| {
        line.split_at_checked(NAME.len()).is_some_and(|(name, _)| name.eq_ignore_ascii_case(NAME))
    })?;
    let id = std::str::from_utf8(line[NAME.len()..].trim_ascii()).ok()?;
    Some(RequestIdHash(fnv1a(id)))
}

/// Whether a line ends without a CR. The parser accepts that, as a recipient may (RFC 9112, section 2.2), but recipients differ
/// in it.
fn has_bare_line_feed(head: &[u8]) -> bool {
    let is_bare = |at: usize| at == 0 || head[at - 1] != b'\r';
    head.iter().enumerate().any(|(at, byte)| *byte == b'\n' && is_bare(at))
}

/// Parses a length that consists only of digits: no sign, no list, no spaces.
fn parse_content_length(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    digits.then(|| std::str::from_utf8(value).ok()?.parse().ok()).flatten()
}

#[cfg(test)]
#[path = "../../tests/unit/head.rs"]
mod tests;
