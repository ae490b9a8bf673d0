//! Where a chunked body ends (RFC 9112, section 7.1), found without taking it apart: what is behind it belongs to the next
//! message and must not be read as part of this one.
//!
//! Stricter than the grammar where readings are known to differ: a line ends with CR and LF, a size is hexadecimal digits
//! and nothing before them. What is refused here ends its connection.

/// The longest line of a size with its extensions, and of a trailer.
const LINE_MOST: usize = 4 << 10;
/// All trailers together.
const TRAILERS_MOST: usize = 16 << 10;
/// Digits of a size: more can't be carried.
const DIGITS_MOST: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In a size; so many digits of it have come.
    Size(u64, usize),
    /// Behind a size, before its line's end.
    Extension(u64, usize),
    /// The LF of a size's line is next.
    SizeEnd(u64),
    /// So much of a chunk is yet to come.
    Data(u64),
    /// The CR behind a chunk is next.
    DataCr,
    /// The LF behind it.
    DataLf,
    /// In the trailers: this many bytes of the line, and of all.
    Trailer(usize, usize),
    /// The LF of a trailer's line; the line was empty if it is the last.
    TrailerEnd(bool, usize),
    /// It is over.
    Over,
}

/// Follows a chunked body to its end.
#[derive(Debug, Clone, Copy)]
pub struct Chunks(State);

/// The bytes are no chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotChunked;

impl Default for Chunks {
    fn default() -> Self {
        Chunks(State::Size(0, 0))
    }
}

impl Chunks {
    /// Its last byte has come.
    pub fn over(&self) -> bool {
        self.0 == State::Over
    }

    /// Takes in what has come; how much of it belongs to the body.
    ///
    /// # Errors
    ///
    /// It is no chunked body.
    pub fn take(&mut self, bytes: &[u8]) -> Result<usize, NotChunked> {
        let mut at = 0;
        while at < bytes.len() && !self.over() {
            if let State::Data(left) = self.0 {
                let here = left.min((bytes.len() - at) as u64);
                at += here as usize;
                self.0 = if left == here { State::DataCr } else { State::Data(left - here) };
                continue;
            }
            self.0 = step(self.0, bytes[at]).ok_or(NotChunked)?;
            at += 1;
        }
        Ok(at)
    }
}

fn step(state: State, byte: u8) -> Option<State> {
    Some(match (state, byte) {
        (State::Size(size, digits), _) if byte.is_ascii_hexdigit() && digits < DIGITS_MOST => {
            State::Size(size * 16 + u64::from((byte as char).to_digit(16)?), digits + 1)
        }
        (State::Size(size, 1..), b'\r') => State::SizeEnd(size),
        (State::Size(size, 1..), b';' | b' ' | b'\t') => State::Extension(size, 0),
        (State::Extension(size, _), b'\r') => State::SizeEnd(size),
        (State::Extension(size, n), _) if n < LINE_MOST && byte != b'\n' => State::Extension(size, n + 1),
        (State::SizeEnd(0), b'\n') => State::Trailer(0, 0),
        (State::SizeEnd(size), b'\n') => State::Data(size),
        (State::DataCr, b'\r') => State::DataLf,
        (State::DataLf, b'\n') => State::Size(0, 0),
        (State::Trailer(0, all), b'\r') => State::TrailerEnd(true, all),
        (State::Trailer(_, all), b'\r') => State::TrailerEnd(false, all),
        (State::Trailer(n, all), _) if n < LINE_MOST && all < TRAILERS_MOST && byte != b'\n' => {
            State::Trailer(n + 1, all + 1)
        }
        (State::TrailerEnd(true, _), b'\n') => State::Over,
        (State::TrailerEnd(false, all), b'\n') => State::Trailer(0, all),
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

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
    fn the_end_is_found_however_the_pieces_are_cut() {
        let behind = b"GET /read HTTP/1.1\r\n";
        for body in GOOD {
            let all = [body, behind].concat();
            for cut in 1..all.len() {
                for second in cut..all.len() {
                    let mut chunks = Chunks::default();
                    let mut taken = 0;
                    for piece in [&all[..cut], &all[cut..second], &all[second..]] {
                        if !chunks.over() {
                            taken += chunks.take(piece).expect("it is good");
                        }
                    }
                    assert!(chunks.over(), "{body:?} at {cut} and {second}");
                    assert_eq!(taken, body.len(), "{body:?} at {cut} and {second}");
                }
            }
        }
    }

    #[test]
    fn what_can_be_read_in_two_ways_is_refused() {
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
            let mut chunks = Chunks::default();
            let taken = chunks.take(body);
            assert_eq!(taken, Err(NotChunked), "{:?}", String::from_utf8_lossy(body));
        }
    }

    #[test]
    fn lines_without_end_are_refused() {
        for begin in ["5;", "0\r\nA: "] {
            let mut chunks = Chunks::default();
            let text = begin.to_owned() + &"x".repeat(2 * TRAILERS_MOST);
            assert_eq!(chunks.take(text.as_bytes()), Err(NotChunked), "{begin}");
        }
        let mut chunks = Chunks::default();
        let many = "0\r\n".to_owned() + &"A: b\r\n".repeat(TRAILERS_MOST);
        assert_eq!(chunks.take(many.as_bytes()), Err(NotChunked), "trailers by the thousand");
    }

    /// Whatever comes, the end is one place: taken in one piece or byte by byte.
    #[test]
    fn noise_is_read_alike_in_one_piece_and_in_many() {
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
            let mut whole = Chunks::default();
            let at_once = whole.take(&text);
            let mut chunks = Chunks::default();
            let mut taken = Ok(0);
            for byte in &text {
                taken = taken.and_then(|n| chunks.take(std::slice::from_ref(byte)).map(|more| n + more));
            }
            assert_eq!((at_once, whole.over()), (taken, chunks.over()), "{text:?}");
            ended += usize::from(whole.over());
        }
        assert!(ended > 0, "some of it ends");
    }
}
