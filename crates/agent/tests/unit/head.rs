//! Request lengths, parsed from heads.

use super::*;

fn parse_with_headers(lines: &str) -> HeadFraming {
    parse_framing(format!("POST /pay HTTP/1.1\r\n{lines}\r\nrest").as_bytes())
}

#[test]
fn conflicting_or_invalid_lengths_are_ambiguous() {
    for lines in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\ncontent-length: 5\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 4 4\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
    ] {
        let head = "POST /pay HTTP/1.1\r\n\r\n".len() + lines.len();
        assert_eq!(parse_with_headers(lines), HeadFraming::Ambiguous(head), "{lines}");
    }
}

#[test]
fn unambiguous_lengths_are_parsed() {
    assert_eq!(parse_with_headers("Content-Length: 4\r\n"), HeadFraming::Sized(41, 4));
    assert_eq!(parse_with_headers("A: b\r\n"), HeadFraming::Sized(28, 0));
    assert_eq!(parse_with_headers("transfer-encoding: Chunked\r\n"), HeadFraming::Chunked(50));
    assert_eq!(parse_framing(b"POST /pay HTTP/1.1\r\nContent-Le"), HeadFraming::Partial);
    assert_eq!(parse_framing(b"\0\x01\x02"), HeadFraming::Unreadable);
}
