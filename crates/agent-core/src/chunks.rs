//! The end of a chunked body (RFC 9112, section 7.1), found without decoding it: bytes behind it belong to the next message.
//!
//! Stricter than the grammar where implementations are known to differ, against request smuggling: a line ends with CR and
//! LF, and a size has only hexadecimal digits. A body that is rejected here ends its connection.

/// The maximum length of a chunk extension, and of a trailer line, in bytes.
const MAX_LINE_BYTES: usize = 4 << 10;
/// The maximum length of all trailers, in bytes.
pub const MAX_TRAILERS_BYTES: usize = 16 << 10;
/// The maximum of digits of a chunk size; larger chunks exceed every limit of a body.
const MAX_SIZE_DIGITS: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In a chunk size: its value, and the number of its digits.
    Size(u64, usize),
    /// In a chunk extension: the chunk size, and the length of the extension.
    Extension(u64, usize),
    /// Before the LF of a chunk size line.
    SizeEnd(u64),
    /// In a chunk: the number of bytes that follow.
    Data(u64),
    /// Before the CR behind a chunk.
    DataCr,
    /// Before the LF behind a chunk.
    DataLf,
    /// In a trailer: the length of its line, and of all trailers.
    Trailer(usize, usize),
    /// Before the LF of a trailer line: the length of all trailers.
    TrailerEnd(usize),
    /// Before the LF of the empty line that ends the body.
    LastLineEnd,
    /// Behind the body.
    Complete,
}

/// Finds the end of a chunked body.
#[derive(Debug, Clone, Copy)]
pub struct ChunkedBodyScanner(State);

/// The bytes are not a valid chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidChunkedBody;

impl Default for ChunkedBodyScanner {
    fn default() -> Self {
        ChunkedBodyScanner(State::Size(0, 0))
    }
}

impl ChunkedBodyScanner {
    /// Whether the last byte of the body has been read.
    pub fn is_complete(&self) -> bool {
        self.0 == State::Complete
    }

    /// Reads the next bytes; returns how many of them belong to the body.
    ///
    /// # Errors
    ///
    /// They are not a valid chunked body.
    pub fn advance(&mut self, bytes: &[u8]) -> Result<usize, InvalidChunkedBody> {
        let mut at = 0;
        while at < bytes.len() && !self.is_complete() {
            if let State::Data(left) = self.0 {
                let here = left.min((bytes.len() - at) as u64);
                at += here as usize;
                self.0 = if left == here { State::DataCr } else { State::Data(left - here) };
                continue;
            }
            self.0 = step(self.0, bytes[at]).ok_or(InvalidChunkedBody)?;
            at += 1;
        }
        Ok(at)
    }
}

fn step(state: State, byte: u8) -> Option<State> {
    Some(match (state, byte) {
        (State::Size(size, digits), _) if byte.is_ascii_hexdigit() && digits < MAX_SIZE_DIGITS => {
            State::Size(size * 16 + u64::from((byte as char).to_digit(16)?), digits + 1)
        }
        (State::Size(size, 1..), b'\r') => State::SizeEnd(size),
        (State::Size(size, 1..), b';' | b' ' | b'\t') => State::Extension(size, 0),
        (State::Extension(size, _), b'\r') => State::SizeEnd(size),
        (State::Extension(size, n), _) if n < MAX_LINE_BYTES && byte != b'\n' => {
            State::Extension(size, n + 1)
        }
        (State::SizeEnd(0), b'\n') => State::Trailer(0, 0),
        (State::SizeEnd(size), b'\n') => State::Data(size),
        (State::DataCr, b'\r') => State::DataLf,
        (State::DataLf, b'\n') => State::Size(0, 0),
        (State::Trailer(0, _), b'\r') => State::LastLineEnd,
        (State::Trailer(_, all), b'\r') => State::TrailerEnd(all),
        (State::Trailer(n, all), _) if n < MAX_LINE_BYTES && all < MAX_TRAILERS_BYTES && byte != b'\n' => {
            State::Trailer(n + 1, all + 1)
        }
        (State::LastLineEnd, b'\n') => State::Complete,
        (State::TrailerEnd(all), b'\n') => State::Trailer(0, all),
        _ => return None,
    })
}
