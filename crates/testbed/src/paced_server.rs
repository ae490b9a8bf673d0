//! A server whose responses are written at a given pace, and a client that tells whether one has come whole.

use crate::http::{read_head, read_message};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep_until, Instant};

/// How a server frames a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a declared length.
    Length,
    /// In chunks.
    Chunked,
    /// By the end of the connection.
    Close,
}

impl Framing {
    /// All of them.
    pub const ALL: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::Close];
}

/// A part of a body that is written at once.
#[derive(Debug, Clone, Copy)]
pub struct Piece {
    /// The time after the response's head.
    pub at: Duration,
    /// The number of bytes.
    pub bytes: usize,
}

/// A response and the times at which its parts are written.
#[derive(Debug, Clone)]
pub struct ResponseScript {
    /// The framing.
    pub framing: Framing,
    /// The length of the whole body; the response has no end if its pieces are shorter.
    pub length: usize,
    /// The time after the request at which the head is written.
    pub begins_after: Duration,
    /// The pieces, in their order.
    pub pieces: Vec<Piece>,
}

impl ResponseScript {
    /// A whole response in pieces of this size, with a pause before each but the first.
    pub fn paced(framing: Framing, length: usize, piece: usize, pause: Duration) -> Self {
        let count = length.div_ceil(piece);
        let pieces = (0..count)
            .map(|number| Piece { at: pause * number as u32, bytes: piece.min(length - number * piece) });
        ResponseScript { framing, length, begins_after: Duration::ZERO, pieces: pieces.collect() }
    }

    /// The same without what follows the first `kept` pieces.
    #[must_use]
    pub fn stopped_after(mut self, kept: usize) -> Self {
        self.pieces.truncate(kept);
        self
    }

    /// Whether all of the body is written.
    pub fn is_whole(&self) -> bool {
        self.pieces.iter().map(|piece| piece.bytes).sum::<usize>() == self.length
    }

    /// The time after the request at which the last piece is written.
    pub fn last_piece_at(&self) -> Duration {
        self.begins_after + self.pieces.last().map_or(Duration::ZERO, |piece| piece.at)
    }

    /// Writes the response. One that is not whole stays open until the client ends the connection.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let begins_at = Instant::now() + self.begins_after;
        sleep_until(begins_at).await;
        let header = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.length),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
            Framing::Close => "Connection: close".to_owned(),
        };
        stream.write_all(format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n").as_bytes()).await?;
        let body = pattern(self.length);
        let mut rest = body.as_slice();
        for piece in &self.pieces {
            sleep_until(begins_at + piece.at).await;
            let (next, later) = rest.split_at(piece.bytes);
            rest = later;
            if self.framing == Framing::Chunked {
                let size = format!("{:x}\r\n", next.len());
                stream.write_all(&[size.as_bytes(), next, b"\r\n"].concat()).await?;
            } else {
                stream.write_all(next).await?;
            }
        }
        if !self.is_whole() {
            // Until the agent ends the connection.
            let _ = stream.read(&mut [0; 1]).await;
            return Ok(());
        }
        if self.framing == Framing::Chunked {
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// Starts a server that answers each request with the script whose number is the last part of its path, or with the first one.
pub async fn paced_server(scripts: Vec<ResponseScript>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let scripts = Arc::new(scripts);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let scripts = scripts.clone();
            tokio::spawn(async move {
                if let Some(request) = read_message(&mut stream, 0).await {
                    let number = request.target().rsplit('/').next().and_then(|part| part.parse().ok());
                    let script: &ResponseScript = &scripts[number.unwrap_or(0)];
                    let _ = script.write(&mut stream).await;
                }
            });
        }
    });
    address
}

/// Bytes that differ by position, so that misplaced parts are detected.
pub fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n / 7 + n / 4096 * 31) as u8).collect()
}

/// Why a response has not come whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseError {
    /// Its connection ended within its head.
    EndsInHead,
    /// It has another status than 200.
    Status(u16),
    /// Its connection ended after so many bytes of its body and their framing.
    EndsAfter(usize),
}

/// Reads a whole response and returns its body.
///
/// # Errors
///
/// The response is no 200, or ends before it is whole.
pub async fn read_whole(stream: &mut TcpStream) -> Result<Vec<u8>, ResponseError> {
    let mut message = read_head(stream, 0).await.ok_or(ResponseError::EndsInHead)?;
    if message.status() != 200 {
        return Err(ResponseError::Status(message.status()));
    }
    let length: Option<usize> = message.header("content-length").and_then(|length| length.parse().ok());
    let mut rest = std::mem::take(&mut message.body);
    loop {
        if length.is_some_and(|length| rest.len() >= length) {
            return Ok(rest);
        }
        if length.is_none() && rest.ends_with(b"0\r\n\r\n") {
            return Ok(decode_chunks(&rest));
        }
        if !matches!(stream.read_buf(&mut rest).await, Ok(1..)) {
            return Err(ResponseError::EndsAfter(rest.len()));
        }
    }
}

fn decode_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let end = bytes.windows(2).position(|window| window == b"\r\n").expect("a chunk's size");
        let size = std::str::from_utf8(&bytes[..end]).expect("text");
        let size = usize::from_str_radix(size, 16).expect("a size");
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&bytes[end + 2..end + 2 + size]);
        bytes = &bytes[end + 2 + size + 2..];
    }
}
