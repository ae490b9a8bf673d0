//! How long a request is, by its head: read before hyper reads it, for hyper drops what would be ambiguous.

/// Header lines that a head may have; hyper's own bound.
const MAX_HEADER_LINES: usize = 100;

/// What the bytes so far are; a whole head with its length, and that of its body.
#[derive(Debug, PartialEq)]
pub(super) enum Frame {
    Partial,
    Unreadable,
    Ambiguous(usize),
    Sized(usize, u64),
    Chunked(usize),
}

pub(super) fn frame(bytes: &[u8]) -> Frame {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADER_LINES];
    let mut request = httparse::Request::new(&mut lines);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Frame::Partial,
        Err(_) => return Frame::Unreadable,
    };
    let values = |name: &str| {
        let named = request.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value).collect::<Vec<_>>()
    };
    match (values("content-length").as_slice(), values("transfer-encoding").as_slice()) {
        ([], []) => Frame::Sized(head, 0),
        ([length], []) => length_of(length).map_or(Frame::Ambiguous(head), |body| Frame::Sized(head, body)),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Frame::Chunked(head),
        _ => Frame::Ambiguous(head),
    }
}

/// Digits and nothing else: no sign, no list, no blank in between.
fn length_of(value: &[u8]) -> Option<u64> {
    let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    digits.then(|| std::str::from_utf8(value).ok()?.parse().ok()).flatten()
}

#[cfg(test)]
#[path = "../../tests/unit/head.rs"]
mod tests;
