//! The end of chunked bodies, and what is refused as ambiguous.

use bellcroft_agent_core::chunks::*;

const GOOD: [&[u8]; 6] = [
    b"0\r\n\r\n",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"005;a=b;c=\"d e\"\r\nhello\r\nA\r\n0123456789\r\n000\r\n\r\n",
    b"3\r\n\r\n0\r\n0;x\r\n\r\n",
    b"1\r\nx\r\n0\r\nTrailer: a\r\nOther:\r\n\r\n",
    b"2 \r\nab\r\n0\r\n\r\n",
];

/// However it is cut into pieces, the end is found, and nothing behind it is taken.
#[test]
fn end_of_body_is_found_at_every_fragmentation() {
    let behind = b"GET /read HTTP/1.1\r\n";
    for body in GOOD {
        let all = [body, behind].concat();
        for cut in 1..all.len() {
            for second in cut..all.len() {
                let mut chunks = ChunkedBodyScanner::default();
                let mut taken = 0;
                for piece in [&all[..cut], &all[cut..second], &all[second..]] {
                    if !chunks.is_complete() {
                        taken += chunks.advance(piece).expect("it is good");
                    }
                }
                assert!(chunks.is_complete(), "{body:?} at {cut} and {second}");
                assert_eq!(taken, body.len(), "{body:?} at {cut} and {second}");
            }
        }
    }
}

#[test]
fn ambiguous_framing_is_rejected() {
    for body in [
        b"\r\n0\r\n\r\n".as_slice(),
        b"5\nhello\r\n0\r\n\r\n",
        b"+5\r\nhello\r\n0\r\n\r\n",
        b" 5\r\nhello\r\n0\r\n\r\n",
        b"0x5\r\nhello\r\n0\r\n\r\n",
        b"-1\r\n",
        b"5\r\nhelloworld\r\n0\r\n\r\n",
        b"5\r\nhello0\r\n\r\n",
        b"0\r\n\n",
        b"0\r\nA: b\n\r\n",
        b"1000000000000\r\n",
        b"5;a\nb\r\nhello\r\n0\r\n\r\n",
        b"g\r\n",
    ] {
        let mut chunks = ChunkedBodyScanner::default();
        let taken = chunks.advance(body);
        assert_eq!(taken, Err(InvalidChunkedBody), "{:?}", String::from_utf8_lossy(body));
    }
}

#[test]
fn endless_extensions_and_trailers_are_rejected() {
    for begin in ["5;", "0\r\nA: "] {
        let mut chunks = ChunkedBodyScanner::default();
        let text = begin.to_owned() + &"x".repeat(2 * MAX_TRAILERS_BYTES);
        assert_eq!(chunks.advance(text.as_bytes()), Err(InvalidChunkedBody), "{begin}");
    }
    let mut chunks = ChunkedBodyScanner::default();
    let many = "0\r\n".to_owned() + &"A: b\r\n".repeat(MAX_TRAILERS_BYTES);
    assert_eq!(chunks.advance(many.as_bytes()), Err(InvalidChunkedBody), "trailers by the thousand");
}

/// Whatever comes, the end is one place: taken in one piece or byte by byte.
#[test]
fn random_input_parses_alike_however_fragmented() {
    let mut state = 0x2545_f491_4f6c_dd1d_u64;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state
    };
    let parts = ["0\r\n", "1\r\n", "\r\n", "x", "\n", ";a", "\r"];
    let mut ended = 0;
    for _ in 0..20_000 {
        let mut text = b"1\r\nx\r\n".to_vec();
        (0..6).for_each(|_| text.extend(parts[(next() % parts.len() as u64) as usize].as_bytes()));
        let mut whole = ChunkedBodyScanner::default();
        let at_once = whole.advance(&text);
        let mut chunks = ChunkedBodyScanner::default();
        let mut taken = Ok(0);
        for byte in &text {
            taken = taken.and_then(|n| chunks.advance(std::slice::from_ref(byte)).map(|more| n + more));
        }
        assert_eq!((at_once, whole.is_complete()), (taken, chunks.is_complete()), "{text:?}");
        ended += usize::from(whole.is_complete());
    }
    assert!(ended > 0, "some of it ends");
}
