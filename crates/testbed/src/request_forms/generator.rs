//! Draws sound requests from the reference grammar and changes up to three places of each.

use super::Effect;

/// The beginning of the line with a request's id, in lower case.
const ID_FIELD: &str = "x-request-id:";
/// The largest number of changes to a request.
const MAX_CHANGES: usize = 3;

/// A request that was drawn, and the changes that were made to it.
#[derive(Debug, Clone)]
pub struct GeneratedRequest {
    parts: Vec<String>,
    body: Vec<u8>,
    changes: Vec<Change>,
}

impl GeneratedRequest {
    /// The bytes that the client sends. A line feed that a byte's change brings stands as it is.
    pub fn bytes(&self) -> Vec<u8> {
        let mut parts: Vec<Vec<u8>> = self.parts.iter().map(|part| part.clone().into_bytes()).collect();
        let mut body = self.body.clone();
        let mut byte_changes = Vec::new();
        for change in &self.changes {
            match change {
                Change::Drop(line) => drop(parts.remove(line % parts.len())),
                Change::Repeat(line) => {
                    let line = line % parts.len();
                    parts.insert(line, parts[line].clone());
                }
                Change::Swap(one, other) => {
                    let count = parts.len();
                    parts.swap(one % count, other % count);
                }
                Change::Insert(line, text) => parts.insert(1 + line % parts.len(), text.as_bytes().to_vec()),
                Change::Replace(from, to) => {
                    for part in &mut parts {
                        let text = String::from_utf8_lossy(part).replacen(from, to, 1);
                        *part = text.into_bytes();
                    }
                }
                Change::Append(bytes) => body.extend_from_slice(bytes),
                Change::Byte(..) => byte_changes.push(change.clone()),
            }
            if parts.is_empty() {
                parts.push(Vec::new());
            }
        }
        let mut head: Vec<u8> =
            parts.into_iter().flat_map(|part| [part, b"\r\n".to_vec()].concat()).collect();
        head.extend_from_slice(b"\r\n");
        for change in byte_changes {
            let Change::Byte(at, edit) = change else { continue };
            let at = at % head.len();
            match edit {
                ByteEdit::Set(byte) => head[at] = byte,
                ByteEdit::Insert(byte) => head.insert(at, byte),
                ByteEdit::Remove => drop(head.remove(at)),
            }
        }
        [head, body].concat()
    }

    /// The request with each of its changes left out in turn, to find those that a fault needs. Each has an id of its own.
    pub fn smaller(&self, random: &mut fastrand::Rng) -> Vec<GeneratedRequest> {
        let without = |left_out: usize| {
            let mut smaller = self.clone();
            smaller.changes.remove(left_out);
            let ids = smaller.parts.iter_mut().filter(|part| part.to_lowercase().starts_with(ID_FIELD));
            ids.for_each(|part| *part = format!("X-Request-ID: {:016x}", random.u64(..)));
            smaller
        };
        (0..self.changes.len()).map(without).collect()
    }
}

#[derive(Debug, Clone)]
enum ByteEdit {
    Set(u8),
    Insert(u8),
    Remove,
}

#[derive(Debug, Clone)]
enum Change {
    Drop(usize),
    Repeat(usize),
    Swap(usize, usize),
    Insert(usize, &'static str),
    Replace(&'static str, &'static str),
    Append(&'static [u8]),
    Byte(usize, ByteEdit),
}

/// Lines of other forms.
const LINES: &[&str] = &[
    "Host: service.internal",
    "Host: other",
    "Content-Length: 0",
    "Content-Length: 4",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: identity",
    "Idempotency-Key: k9",
    "Idempotency-Key:",
    "X-Request-ID: another",
    "X-Timeout: 900m",
    "X-Tenant-Id: acme",
    "X-Priority-Class: read",
    "X-Priority-Class: pay",
    "X-Retried: 1",
    "X-Retried: 2",
    "X-Cost: 12.5",
    "X-Cost: 1e3",
    "X-Attrs: a=1,b=x",
    "X-Attrs: a",
    "Expect: 100-continue",
    "Expect: later",
    "Connection: close",
    "Connection: keep-alive, TE",
    "Connection: x-tenant-id",
    "Upgrade: h2c",
    "Upgrade: foo/1, WebSocket/13",
    "TE: trailers",
    "Accept: */*",
    "x-empty:",
    "x extra: 1",
    " folded",
    "no colon",
    "",
];

/// Texts and what may stand in their place.
const REPLACEMENTS: &[(&str, &str)] = &[
    ("GET ", "POST "),
    ("POST ", "GET "),
    ("POST ", "PUT "),
    ("/read", "/pay"),
    ("/save", "/pay"),
    ("/pay", "/save"),
    (" /", " //"),
    (" /", " http://service.internal/"),
    (" /", " http://SERVICE.internal/"),
    (" /", " http://other/"),
    ("?key=", "/..?key="),
    ("?key=", "/a/..?key="),
    ("?key=", "/%2e%2e/x?key="),
    ("?key=", "?key=1&key="),
    ("?key=", "#key="),
    ("HTTP/1.1", "HTTP/1.0"),
    ("HTTP/1.1", "HTTP/1.1 "),
    (": ", ":"),
    (": ", ":\t"),
    (": ", " : "),
    ("X-Request-ID: ", "X-Request-ID: a,"),
    ("X-Request-ID: ", "X-Request-ID: a b"),
    ("Key: ", "Key: a, "),
    ("00m", "00.m"),
    ("00m", "00.5m"),
    ("00m", "00000u"),
    ("00m", "00s"),
    ("acme", "Acme"),
    ("service.internal", "service.internal:80"),
    ("service.internal", "service internal"),
    ("Content-Length: ", "Content-Length: 0"),
    ("Content-Length: ", "Content-Length: +"),
    ("chunked", "Chunked"),
    ("chunked", "gzip, chunked"),
];

/// Bytes behind a request.
const FOLLOWING: &[&[u8]] = &[
    b"\r\n",
    b"\n",
    b"\0",
    b"body",
    b"GET",
    b"GET /read?key=1 HT",
    b"PATCH /x HTTP/1.1\r\nHost: a",
    b"GET /read\r\n",
    b"{}",
    b"0\r\n\r\n",
];

/// Bytes for a place that had another one.
const BYTES: &[u8] = b"\0\x01\t\n\r \"#%,.:;=?@AZ[]{}~/0\x7f\x80\xff";

/// Draws a request.
pub fn generate(random: &mut fastrand::Rng) -> GeneratedRequest {
    let (parts, body) = draw_sound(random);
    let changes = (0..random.usize(..=MAX_CHANGES)).map(|_| draw_change(random)).collect();
    GeneratedRequest { parts, body, changes }
}

fn draw_sound(random: &mut fastrand::Rng) -> (Vec<String>, Vec<u8>) {
    let effect = Effect::ALL[random.usize(..Effect::ALL.len())];
    let (method, class, id) = (effect.method(), effect.class(), random.u64(..));
    let query = if random.bool() { format!("?key={:x}", random.u32(..)) } else { String::new() };
    let more = ["", "/a", "/a/b.c", "/%41"][random.usize(..4)];
    let mut fields = vec![
        "Host: service.internal".to_owned(),
        format!("X-Request-ID: {id:016x}"),
        format!("X-Priority-Class: {class}"),
        "X-Tenant-Id: acme".to_owned(),
        format!("X-Timeout: {}00m", random.u32(20..25)),
    ];
    let optional = ["X-Retried: 1", "X-Cost: 1250", "X-Attrs: a=1,b=2", "Accept: */*", "x-other: \u{e9}"];
    fields.extend(optional.into_iter().filter(|_| random.u32(..4) == 0).map(str::to_owned));
    if effect == Effect::Keyed {
        fields.push(format!("Idempotency-Key: {:032x}", random.u128(..)));
    }
    let mut body = Vec::new();
    if effect != Effect::Safe {
        let length = [0, 1, 4, 300][random.usize(..4)];
        let text = "b".repeat(length);
        if random.bool() {
            fields.push("Transfer-Encoding: chunked".to_owned());
            let chunk = if length > 0 { format!("{length:x}\r\n{text}\r\n") } else { String::new() };
            body = format!("{chunk}0\r\n\r\n").into_bytes();
        } else {
            fields.push(format!("Content-Length: {length}"));
            body = text.into_bytes();
        }
        if length > 0 && random.u32(..4) == 0 {
            fields.push("Expect: 100-continue".to_owned());
        }
    } else if random.u32(..4) == 0 {
        fields.push("Content-Length: 0".to_owned());
    }
    random.shuffle(&mut fields);
    for field in &mut fields {
        if random.u32(..4) == 0 {
            let (name, value) = field.split_once(':').expect("a field");
            *field = format!("{}:{value}", name.to_lowercase());
        }
    }
    let mut parts = vec![format!("{method} /{class}{more}{query} HTTP/1.1")];
    parts.extend(fields);
    (parts, body)
}

fn draw_change(random: &mut fastrand::Rng) -> Change {
    let at = random.usize(..1 << 16);
    match random.u32(..8) {
        0 => Change::Drop(at),
        1 => Change::Repeat(at),
        2 => Change::Swap(at, random.usize(..1 << 16)),
        3 | 4 => Change::Insert(at, LINES[random.usize(..LINES.len())]),
        5 => {
            let (from, to) = REPLACEMENTS[random.usize(..REPLACEMENTS.len())];
            Change::Replace(from, to)
        }
        6 => Change::Append(FOLLOWING[random.usize(..FOLLOWING.len())]),
        _ => {
            let byte = BYTES[random.usize(..BYTES.len())];
            let edit = match random.u32(..3) {
                0 => ByteEdit::Set(byte),
                1 => ByteEdit::Insert(byte),
                _ => ByteEdit::Remove,
            };
            Change::Byte(at, edit)
        }
    }
}
