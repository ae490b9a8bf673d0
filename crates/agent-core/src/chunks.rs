//! Finds the end of a chunked body (RFC 9112, section 7.1) without decoding it: the bytes after it belong to the next
//! message.
//!
//! The scanner is stricter than the grammar where implementations are known to differ, to prevent request smuggling: a line
//! must end with CR LF, and a chunk size must consist of hexadecimal digits. A rejected body closes its connection.

/// Maximum length of a chunk extension, and of a trailer line.
const MAX_LINE_BYTES: usize = 4 << 10;
/// Maximum total length of all trailers.
pub const MAX_TRAILERS_BYTES: usize = 16 << 10;
/// Maximum number of digits of a chunk size; larger chunks exceed every limit of a body.
const MAX_SIZE_DIGITS: usize = 12;

/// The position in the extensions of a chunk (RFC 9112, section 7.1.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ExtensionPart {
    /// After a semicolon.
    BeforeName,
    /// In a name.
    Name,
    /// In whitespace after a name.
    AfterName,
    /// After an equals sign.
    BeforeValue,
    /// In a value that is a token.
    Value,
    /// In a quoted value.
    Quoted,
    /// After a backslash in a quoted value.
    Escaped,
    /// After the closing quote of a value.
    QuotedEnd,
    /// In whitespace after the size or a value.
    AfterValue,
}

impl ExtensionPart {
    /// Whether the line may end here.
    fn may_end(self) -> bool {
        matches!(self, ExtensionPart::Name | ExtensionPart::Value | ExtensionPart::QuotedEnd)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In a chunk size: its value so far, and the number of digits so far.
    Size(u64, usize),
    /// In a chunk extension: the chunk size, the position, and the length of all extensions of the chunk so far.
    Extension(u64, ExtensionPart, usize),
    /// Before the LF of a chunk size line.
    SizeEnd(u64),
    /// In a chunk: the number of its remaining bytes.
    Data(u64),
    /// Before the CR after a chunk.
    DataCr,
    /// Before the LF after a chunk.
    DataLf,
    /// In a trailer line: the length so far of the line, and of all trailers.
    Trailer(usize, usize),
    /// Before the LF of a trailer line: the length of all trailers so far.
    TrailerEnd(usize),
    /// Before the LF of the empty line that ends the body.
    LastLineEnd,
    /// After the body.
    Complete,
}

/// Incremental scanner that finds the end of a chunked body.
#[derive(Debug, Clone, Copy)]
pub struct ChunkedBodyScanner(State);

/// The scanned bytes are not a valid chunked body.
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

    /// Whether the last chunk has been read, so that only the trailer section is left.
    pub fn is_in_trailers(&self) -> bool {
        matches!(self.0, State::Trailer(..) | State::TrailerEnd(_) | State::LastLineEnd | State::Complete)
    }

    /// Scans the next bytes; returns how many of them belong to the body.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidChunkedBody`] if the bytes are not a valid chunked body.
    pub fn advance(&mut self, bytes: &[u8]) -> Result<usize, InvalidChunkedBody> {
        self.advance_until(bytes, Self::is_complete)
    }

    /// Scans the next bytes up to the trailer section; returns how many of them belong to the chunks.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidChunkedBody`] if the bytes are not valid chunks.
    pub fn advance_to_trailers(&mut self, bytes: &[u8]) -> Result<usize, InvalidChunkedBody> {
        self.advance_until(bytes, Self::is_in_trailers)
    }

    fn advance_until(
        &mut self,
        bytes: &[u8],
        is_end: impl Fn(&Self) -> bool,
    ) -> Result<usize, InvalidChunkedBody> {
        let mut at = 0;
        while at < bytes.len() && !is_end(self) {
            if let State::Data(remaining) = self.0 {
                let scanned = remaining.min((bytes.len() - at) as u64);
                at += scanned as usize;
                self.0 = if remaining == scanned { State::DataCr } else { State::Data(remaining - scanned) };
                continue;
            }
            self.0 = next_state(self.0, bytes[at]).ok_or(InvalidChunkedBody)?;
            at += 1;
        }
        Ok(at)
    }
}

/// The state after a byte; `None` if the byte is invalid in this state.
fn next_state(state: State, byte: u8) -> Option<State> {
    Some(match (state, byte) {
        (State::Size(size, digits), _) if byte.is_ascii_hexdigit() && digits < MAX_SIZE_DIGITS => {
            State::Size(size * 16 + u64::from((byte as char).to_digit(16)?), digits + 1)
        }
        (State::Size(size, 1..), b'\r') => State::SizeEnd(size),
        (State::Size(size, 1..), b';' | b' ' | b'\t') => {
            State::Extension(size, next_extension_part(ExtensionPart::AfterValue, byte)?, 0)
        }
        (State::Extension(size, part, _), b'\r') if part.may_end() => State::SizeEnd(size),
        (State::Extension(size, part, n), _) if n < MAX_LINE_BYTES => {
            State::Extension(size, next_extension_part(part, byte)?, n + 1)
        }
        (State::SizeEnd(0), b'\n') => State::Trailer(0, 0),
        (State::SizeEnd(size), b'\n') => State::Data(size),
        (State::DataCr, b'\r') => State::DataLf,
        (State::DataLf, b'\n') => State::Size(0, 0),
        (State::Trailer(0, _), b'\r') => State::LastLineEnd,
        (State::Trailer(_, total), b'\r') => State::TrailerEnd(total),
        (State::Trailer(n, total), _)
            if n < MAX_LINE_BYTES && total < MAX_TRAILERS_BYTES && byte != b'\n' =>
        {
            State::Trailer(n + 1, total + 1)
        }
        (State::LastLineEnd, b'\n') => State::Complete,
        (State::TrailerEnd(total), b'\n') => State::Trailer(0, total),
        _ => return None,
    })
}

/// The position in the extensions after a byte; `None` if the byte is invalid there.
fn next_extension_part(part: ExtensionPart, byte: u8) -> Option<ExtensionPart> {
    use ExtensionPart::{
        AfterName, AfterValue, BeforeName, BeforeValue, Escaped, Name, Quoted, QuotedEnd, Value,
    };
    let is_whitespace = matches!(byte, b' ' | b'\t');
    let is_text = is_whitespace || (byte > b' ' && byte != 0x7f);
    Some(match (part, byte) {
        (Quoted, b'"') => QuotedEnd,
        (Quoted, b'\\') => Escaped,
        (Quoted | Escaped, _) => is_text.then_some(Quoted)?,
        (BeforeValue, b'"') => Quoted,
        (BeforeName | Name, _) if is_token(byte) => Name,
        (BeforeValue | Value, _) if is_token(byte) => Value,
        (BeforeName | BeforeValue | AfterName | AfterValue, _) if is_whitespace => part,
        (Name, _) if is_whitespace => AfterName,
        (Value | QuotedEnd, _) if is_whitespace => AfterValue,
        (Name | AfterName, b'=') => BeforeValue,
        (Name | AfterName | Value | QuotedEnd | AfterValue, b';') => BeforeName,
        _ => return None,
    })
}

/// Whether a byte may be part of a token (RFC 9110, section 5.6.2).
pub fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
