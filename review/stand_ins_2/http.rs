//! Just enough of HTTP/1.1 for stand-ins: heads, bodies with a length, chunked bodies.

use std::io::{self, Read};
use std::net::TcpStream;

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// The head of a message: its first line and its headers, with names in lower case.
pub struct Head {
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            n => {
                self.rest.extend_from_slice(&chunk[..n]);
                Ok(())
            }
        }
    }

    /// Reads a line without its end.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let header = self.line()?;
            if header.is_empty() {
                return Ok(Head { line, headers });
            }
            if let Some((name, value)) = header.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        match head.get("content-length").and_then(|v| v.parse().ok()) {
            Some(length) => self.take(length),
            None => Ok(Vec::new()),
        }
    }
}
