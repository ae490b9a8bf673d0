//! How long requests are by their heads.

use super::*;

fn framed(lines: &str) -> Frame {
    frame(format!("POST /pay HTTP/1.1\r\n{lines}\r\nrest").as_bytes())
}

#[test]
fn a_length_that_can_be_read_in_two_ways_is_ambiguous() {
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
        assert_eq!(framed(lines), Frame::Ambiguous(head), "{lines}");
    }
}

#[test]
fn plain_lengths_are_read() {
    assert_eq!(framed("Content-Length: 4\r\n"), Frame::Sized(41, 4));
    assert_eq!(framed("A: b\r\n"), Frame::Sized(28, 0));
    assert_eq!(framed("transfer-encoding: Chunked\r\n"), Frame::Chunked(50));
    assert_eq!(frame(b"POST /pay HTTP/1.1\r\nContent-Le"), Frame::Partial);
    assert_eq!(frame(b"\0\x01\x02"), Frame::Unreadable);
}
