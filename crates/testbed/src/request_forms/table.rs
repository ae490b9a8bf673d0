//! The table of forms. Each row has the sentence of RFC 9112, RFC 9110, RFC 3986 or the platform's protocol that decides it.

use super::Effect;

/// A request in a form of the table.
#[derive(Debug, Clone)]
pub struct Form {
    /// The sentence that says what is wrong or allowed.
    pub rule: &'static str,
    /// The effect of the request's class.
    pub effect: Effect,
    /// Whether the request is sound.
    pub is_sound: bool,
    /// Whether the form shows only if all of its bytes come at once.
    pub in_one_write: bool,
    /// The number of bytes behind the end of the request, if the form shows by them.
    pub bytes_behind: usize,
    /// The bytes that the client sends.
    pub bytes: Vec<u8>,
}

impl Form {
    /// The form of a client that waits for 20 s, unless the form is about the time-out.
    #[must_use]
    pub fn patient(mut self) -> Self {
        const TIMEOUT: &[u8] = b"X-Timeout: 1500m";
        if let Some(at) = self.bytes.windows(TIMEOUT.len()).position(|window| window == TIMEOUT) {
            self.bytes.splice(at..at + TIMEOUT.len(), b"X-Timeout: 20000m".iter().copied()).for_each(drop);
        }
        self
    }
}

/// The sound request that the rows change.
#[derive(Debug, Clone, Copy)]
pub struct Template<'a> {
    /// The effect of its class.
    pub effect: Effect,
    /// Its class.
    pub class: &'a str,
    /// The beginning of its id.
    pub id: &'a str,
    /// The length of its body, where its effect has one and a form does not bring its own.
    pub body_len: usize,
}

/// A sound request that a row changes.
struct Draft {
    effect: Effect,
    /// The head, with its empty line.
    head: String,
    body: String,
}

impl Draft {
    fn new(template: &Template, id: &str) -> Self {
        let Template { effect, class, body_len, .. } = *template;
        let method = effect.method();
        let body = if effect == Effect::Safe { String::new() } else { "b".repeat(body_len) };
        let own = match effect {
            Effect::Safe => String::new(),
            Effect::Keyed => format!("Idempotency-Key: k-{id}\r\nContent-Length: {body_len}\r\n"),
            Effect::Unsafe => format!("Content-Length: {body_len}\r\n"),
        };
        let head = format!(
            "{method} /{class}?key=7f HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\n\
             X-Priority-Class: {class}\r\nX-Tenant-Id: acme\r\nX-Timeout: 1500m\r\n{own}\r\n"
        );
        Draft { effect, head, body }
    }

    /// The head with one more line behind the request line.
    fn with_line(&self, line: &str) -> String {
        self.head.replacen("\r\n", &format!("\r\n{line}\r\n"), 1)
    }

    /// The head with these lines instead of the length, if it has one.
    fn with_framing(&self, lines: &str) -> String {
        let lines_kept = self.head.split_inclusive("\r\n").filter(|line| !line.starts_with("Content-Length"));
        let head: String = lines_kept.collect();
        format!("{}{lines}\r\n", head.strip_suffix("\r\n").unwrap_or(&head))
    }
}

/// What a row does with a draft.
enum Change {
    /// Changes the head.
    Head(Box<dyn Fn(&Draft) -> String>),
    /// Replaces length and body by the chunked coding and this body.
    Chunked(&'static str),
    /// Replaces length and body by these lines and these bytes.
    Framing(&'static str, &'static str),
    /// Adds bytes behind the request.
    Behind(&'static [u8]),
}

/// The requests of a row that are sound; the others are unsound.
#[derive(Clone, Copy)]
enum SoundFor {
    /// None of them.
    None,
    /// Those of each effect.
    Each,
    /// Those of a keyed or unsafe class.
    Posts,
    /// Those that have a body.
    PostsWithBody,
}

impl SoundFor {
    fn includes(self, effect: Effect, body: &str) -> bool {
        match self {
            SoundFor::None => false,
            SoundFor::Each => true,
            SoundFor::Posts => effect != Effect::Safe,
            SoundFor::PostsWithBody => effect != Effect::Safe && !body.is_empty(),
        }
    }
}

struct Row {
    rule: &'static str,
    sound_for: SoundFor,
    change: Change,
}

impl Row {
    /// The form for an effect; none if the row changes nothing there.
    fn form(&self, draft: &Draft) -> Option<Form> {
        let (head, body) = match &self.change {
            Change::Head(change) => (change(draft), draft.body.clone()),
            Change::Chunked(body) => {
                (draft.with_framing("Transfer-Encoding: chunked\r\n"), (*body).to_owned())
            }
            Change::Framing(lines, body) => (draft.with_framing(lines), (*body).to_owned()),
            Change::Behind(_) => (draft.head.clone(), draft.body.clone()),
        };
        let mut bytes = (head + &body).into_bytes();
        let bytes_behind = match self.change {
            Change::Behind(more) => {
                bytes.extend_from_slice(more);
                more.len()
            }
            Change::Framing(..) if self.is_read_at_once() => body.len(),
            Change::Head(_) | Change::Chunked(_) | Change::Framing(..) => 0,
        };
        let sound = format!("{}{}", draft.head, draft.body).into_bytes();
        let is_example = matches!(self.change, Change::Head(_)) && self.rule == EXAMPLE;
        (bytes != sound || is_example).then(|| Form {
            rule: self.rule,
            effect: draft.effect,
            is_sound: self.sound_for.includes(draft.effect, &body),
            in_one_write: self.is_read_at_once(),
            bytes_behind,
            bytes,
        })
    }

    /// Whether the bytes behind the request must come with it.
    fn is_read_at_once(&self) -> bool {
        match self.change {
            Change::Behind(_) => true,
            Change::Framing(lines, body) => lines.is_empty() && !body.is_empty(),
            Change::Head(_) | Change::Chunked(_) => false,
        }
    }
}

/// The rule of the request that is not changed.
const EXAMPLE: &str = "protocol: its example";

fn row(rule: &'static str, sound_for: SoundFor, change: Change) -> Row {
    Row { rule, sound_for, change }
}

/// Rows that replace a text of the head.
fn replacements(sound_for: SoundFor, rows: &[(&'static str, &'static str, &'static str)]) -> Vec<Row> {
    let replace = |(rule, from, to): &(&'static str, &'static str, &'static str)| {
        let (from, to) = (*from, *to);
        row(rule, sound_for, Change::Head(Box::new(move |draft| draft.head.replacen(from, to, 1))))
    };
    rows.iter().map(replace).collect()
}

/// Rows that add a line to the head.
fn lines(sound_for: SoundFor, rows: &[(&'static str, &'static str)]) -> Vec<Row> {
    let add = |(rule, line): &(&'static str, &'static str)| {
        let line = *line;
        row(rule, sound_for, Change::Head(Box::new(move |draft| draft.with_line(line))))
    };
    rows.iter().map(add).collect()
}

/// All forms of one effect, with a body of four bytes where the effect has one. Each request has an id of its own that begins with
/// this.
pub fn forms(effect: Effect, id: &str) -> Vec<Form> {
    forms_with_body(effect, id, 4)
}

/// The same with a body of this length, where a form does not bring its own.
pub fn forms_with_body(effect: Effect, id: &str, body_len: usize) -> Vec<Form> {
    let template = Template { effect, class: effect.class(), id, body_len };
    let form = |(number, row): (usize, &Row)| row.form(&Draft::new(&template, &format!("{id}-{number}")));
    rows().iter().enumerate().filter_map(form).collect()
}

/// The unsound forms of a request under its id.
pub fn unsound_forms(template: &Template) -> Vec<Form> {
    let forms = rows().into_iter().filter_map(|row| row.form(&Draft::new(template, template.id)));
    forms.filter(|form| !form.is_sound).collect()
}

fn rows() -> Vec<Row> {
    [request_line(), targets(), line_grammar(), hosts(), lengths(), chunks(), connection_fields()]
        .into_iter()
        .chain([platform_fields(), keys(), following_bytes()])
        .flatten()
        .collect()
}

fn request_line() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("9112 3: HTTP-version is HTTP/1.1 in this protocol", "HTTP/1.1", "HTTP/1.0"),
            ("9112 2.3: HTTP-name is case-sensitive", "HTTP/1.1", "http/1.1"),
            ("9110 2.5: major version 2 is not 1", "HTTP/1.1", "HTTP/2.0"),
            ("9112 2.3: one digit, a dot, one digit", "HTTP/1.1", "HTTP/1.10"),
            ("9112 3: a request line has a version", " HTTP/1.1", ""),
            ("9112 3: single spaces", " /", "  /"),
            ("9112 3: no space behind the version", "HTTP/1.1", "HTTP/1.1 "),
            ("9112 3: no space within the target", "?key", " ?key"),
            ("9112 3.2: a target has no fragment", "key=7f", "key=7f#part"),
            ("9112 3.2.1: absolute-path begins with a slash", " /", " "),
            ("3986 2: a target holds no such characters", "key=7f", "key=\"7f\""),
            ("3986 2.1: two hex digits after a percent sign", "key=7f", "key=%7"),
            ("3986 2: a target is ASCII", "key=7f", "key=\u{e9}"),
            ("9112 3.2.3: authority-form is for CONNECT", "/read?key=7f", "service.internal:80"),
            ("9112 3.2.3: authority-form is for CONNECT", "/save?key=7f", "service.internal:80"),
            ("9112 3.2.3: authority-form is for CONNECT", "/pay?key=7f", "service.internal:80"),
            ("9112 3.2.4: asterisk-form is for OPTIONS", "/read?key=7f", "*"),
            ("9112 3.2.4: asterisk-form is for OPTIONS", "/pay?key=7f", "*"),
            ("9110 9.1: a method is case-sensitive", "POST", "post"),
            ("9110 9.1: a method is case-sensitive", "GET", "get"),
            ("9110 9.1: a method is a token", "POST", "PO(ST"),
            ("9110 9.1: a method is a token", "GET", "G(ET"),
            ("protocol: a method by its class", "POST", "PUT"),
            ("protocol: POST for a keyed or unsafe class", "POST", "GET"),
            ("protocol: GET for a safe class", "GET", "HEAD"),
            ("protocol: GET for a safe class", "GET", "POST"),
            ("protocol: GET for a safe class", "GET", "OPTIONS"),
        ],
    );
    rows.push(row(EXAMPLE, SoundFor::Each, Change::Head(Box::new(|draft| draft.head.clone()))));
    let empty_line = "9112 2.2: an empty line before a request is ignored";
    rows.push(row(empty_line, SoundFor::Each, Change::Head(Box::new(|draft| format!("\r\n{}", draft.head)))));
    rows
}

fn targets() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("protocol: the class is the first part of the path", " /", " //"),
            ("protocol: the class, whatever a server makes of dots", "?key", "/../other?key"),
            ("protocol: the class, whatever a server makes of encoded dots", "?key", "/%2e%2E/other?key"),
            ("protocol: the class, whatever a server makes of one dot and two", "?key", "/./../other?key"),
            ("protocol: the class is the first part", " /", " /./"),
            ("protocol: one query parameter key", "key=7f", "key=7f&key=80"),
            (
                "9112 3.2.2: a client sends the authority of the target as Host",
                " /",
                " http://other.example/",
            ),
            ("9110 4.2.1: the scheme is http", " /", " https://service.internal/"),
            ("9110 4.2.4: no userinfo", " /", " http://user@service.internal/"),
            ("9110 4.2.1: an authority is not empty", " /", " http:///"),
        ],
    );
    rows.extend(replacements(
        SoundFor::Each,
        &[
            ("9112 3.2.2: a server accepts absolute-form", " /", " http://service.internal/"),
            ("3986 6.2.2.1: scheme and host have no case", " /", " http://Service.Internal/"),
            ("3986 2.1: percent-encoded", "key=7f", "key=%7F/a;b:@!$&'()*+,=~-._?"),
            ("3986 3.3: a path has more parts", "?key", "/a/b.c/%2F?key"),
            ("3986 3.3: a part may be empty", "?key", "/a//b?key"),
            ("3986 6.2.2.3: dots that stay within the class", "?key", "/a/../b/./c?key"),
            ("protocol: a key where requests have one", "?key=7f", ""),
            ("3986 3.4: another parameter", "key=7f", "monkey=1&key=7f"),
        ],
    ));
    rows
}

fn line_grammar() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("9112 2.2: CRLF ends a line", "\r\nX-Tenant-Id", "\nX-Tenant-Id"),
            ("9112 2.2: CRLF ends the request line", "\r\n", "\n"),
            ("9112 2.2: CRLF ends the head", "\r\n\r\n", "\r\n\n"),
            ("9112 2.2: no bare CR", "\r\nX-Tenant-Id", "\rX-Tenant-Id"),
            ("9112 2.2: no whitespace before the first field", "\r\n", "\r\n "),
            ("9112 5.2: no line folding", "Id: acme", "Id:\r\n acme"),
            ("9112 5.1: no whitespace before the colon", "X-Tenant-Id:", "X-Tenant-Id :"),
        ],
    );
    rows.extend(lines(
        SoundFor::None,
        &[
            ("9112 5: a field line has a colon", "x-extra"),
            ("9110 5.1: a field name is a token", "x(extra): 1"),
            ("9110 5.1: a field name is ASCII", "x-\u{e9}xtra: 1"),
            ("9110 5.1: a field name is not empty", ": 1"),
            ("9110 5.5: no NUL in a value", "x-extra: a\0b"),
            ("9110 5.5: no CR in a value", "x-extra: a\rb"),
            ("9110 5.5: no control character in a value", "x-extra: a\u{1}b"),
            ("9110 5.5: no DEL in a value", "x-extra: a\u{7f}b"),
        ],
    ));
    rows.extend(lines(
        SoundFor::Each,
        &[
            ("9110 5.5: a value may be empty", "x-extra:"),
            ("9110 5.5: other bytes beyond ASCII", "x-extra: \u{e9}"),
            ("9110 5.3: other fields may come again", "x-extra: 1\r\nx-extra: 2"),
            ("9110 5.1: a recipient ignores fields that it doesn't know", "Accept: */*\r\nUser-Agent: a/1"),
            ("9110 14.2: a server may ignore Range", "Range: bytes=0-1"),
            ("9110 13.1: a server may ignore a precondition", "If-None-Match: \"a\""),
            ("9110 8.3: a type", "Content-Type: text/plain"),
            ("9110 6.6.2: an announcement of trailers", "Trailer: x-trailer"),
        ],
    ));
    rows.extend(replacements(
        SoundFor::Each,
        &[
            ("9110 5.1: field names have no case", "X-Request-ID", "x-request-id"),
            ("9112 5.1: whitespace round a value is no part of it", "Id: acme", "Id:\t acme \t"),
            ("9112 5.1: or none", "Id: acme", "Id:acme"),
        ],
    ));
    rows
}

fn hosts() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("9112 3.2: Host must be there", "Host: service.internal\r\n", ""),
            ("9110 4.2.1: an http authority is not empty", "Host: service.internal", "Host:"),
            ("9112 3.2: Host is valid", "Host: service.internal", "Host: a b"),
            ("9112 3.2: Host has no path", "Host: service.internal", "Host: a/b"),
            ("9112 3.2: Host has no list", "Host: service.internal", "Host: a, b"),
            ("9110 7.2: Host has no userinfo", "Host: service.internal", "Host: u@service"),
            ("3986 3.2.3: a port is digits", "Host: service.internal", "Host: service:8x"),
            ("3986 3.2.3: a port fits", "Host: service.internal", "Host: service:99999"),
        ],
    );
    rows.extend(lines(
        SoundFor::None,
        &[
            ("9112 3.2: one Host line", "Host: service.internal"),
            ("9112 3.2: one Host line, others too", "Host: other"),
        ],
    ));
    rows.extend(replacements(
        SoundFor::Each,
        &[
            ("9110 7.2: Host with a port", "Host: service.internal", "Host: service.internal:8443"),
            ("3986 3.2.2: Host is an address", "Host: service.internal", "Host: [::1]:8443"),
        ],
    ));
    rows
}

fn lengths() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("9110 8.6: a length is digits", "Length: ", "Length: +"),
            ("9110 8.6: a length is not negative", "Length: ", "Length: -"),
            ("9110 8.6: a length is not hexadecimal", "Length: ", "Length: 0x"),
            ("9110 8.6: a length is no list", "Length: ", "Length: 4, "),
            ("9110 8.6: a length is not empty", "Length: ", "Length:\r\nx-extra: "),
            ("9110 8.6: a length fits", "Length: ", "Length: 9999999999999999999"),
        ],
    );
    rows.extend(lines(
        SoundFor::None,
        &[
            ("9112 6.3: one length, and a GET has no body", "Content-Length: 4"),
            ("9112 6.3: one length, others too", "Content-Length: 5"),
            ("9112 6.1: not both a length and a coding", "Transfer-Encoding: chunked"),
            ("9112 6.1: a coding that is known", "Transfer-Encoding: gzip"),
            ("9112 6.3: chunked comes last", "Transfer-Encoding: chunked, gzip"),
            ("9112 7: no identity coding", "Transfer-Encoding: identity"),
        ],
    ));
    rows.extend([
        row("protocol: GET (no body)", SoundFor::Posts, Change::Framing("Content-Length: 4\r\n", "body")),
        row(
            "9110 8.6: a length of 0 is no body",
            SoundFor::Each,
            Change::Framing("Content-Length: 0\r\n", ""),
        ),
        row("9110 8.6: 1*DIGIT", SoundFor::Each, Change::Framing("Content-Length: 00\r\n", "")),
        row("9112 6.3: no length is no body", SoundFor::Each, Change::Framing("", "")),
        row(
            "9112 6.3: no length, so these begin the next request",
            SoundFor::None,
            Change::Framing("", "body"),
        ),
        row(
            "9112 6.3: no length, nor with more bytes",
            SoundFor::None,
            Change::Framing("", "{\"a\": [1, 2]}\r\n\r\n"),
        ),
    ]);
    rows
}

fn chunks() -> Vec<Row> {
    let invalid = [
        ("9112 7.1: a size is hexadecimal", "g\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: no prefix of a size", "0x4\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: no sign of a size", "+4\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: a size has digits", "\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: no whitespace before a size", " 4\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1.1: whitespace after a size only before an extension", "4 \r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1.1: an extension has a name", "4;\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1.1: an extension's name is a token", "4;a(b\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1.1: no control character in an extension", "4;a=\u{1}\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: CRLF ends a size", "4\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: CRLF ends a chunk", "4\r\nbody\n0\r\n\r\n"),
        ("9112 7.1: a chunk is as long as its size", "3\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1: a size fits", "fffffffffffffffff\r\nbody\r\n0\r\n\r\n"),
        ("9112 7.1.2: a trailer line has a colon", "4\r\nbody\r\n0\r\ntrailer\r\n\r\n"),
        ("9112 7.1.2: a trailer's name is a token", "4\r\nbody\r\n0\r\na(b: 1\r\n\r\n"),
        ("9110 5.5: no control character in a trailer", "4\r\nbody\r\n0\r\na: \u{1}\r\n\r\n"),
        ("9110 6.5.1: no id in a trailer", "4\r\nbody\r\n0\r\nX-Request-ID: other\r\n\r\n"),
        ("9110 6.5.1: no length in a trailer", "4\r\nbody\r\n0\r\nx: 1\r\nContent-Length: 4\r\n\r\n"),
        ("9110 6.5.1: no host in a trailer", "4\r\nbody\r\n0\r\nHost: other\r\n\r\n"),
        ("9112 7.1.3: bytes behind the last chunk begin the next request", "4\r\nbody\r\n0\r\n\r\nmore"),
    ];
    let valid = [
        ("9112 7.1: chunks", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"),
        ("9112 7.1: leading zeros and letters of either case", "0004\r\nbody\r\n00\r\n\r\n"),
        ("9112 7.1.1: extensions", "4;a;b=c ; d = \"e;\\\"f\"\r\nbody\r\n0;x\r\n\r\n"),
        ("9112 7.1.2: trailers", "4\r\nbody\r\n0\r\nx-trailer: 1\r\n\r\n"),
        ("9112 7.1: no data", "0\r\n\r\n"),
    ];
    let invalid = invalid.map(|(rule, body)| row(rule, SoundFor::None, Change::Chunked(body)));
    let valid = valid.map(|(rule, body)| row(rule, SoundFor::Posts, Change::Chunked(body)));
    invalid.into_iter().chain(valid).collect()
}

fn connection_fields() -> Vec<Row> {
    let mut rows = lines(
        SoundFor::None,
        &[
            ("9110 7.6.1: Connection names no field for all recipients", "Connection: X-Request-ID"),
            ("9110 7.6.1: the same", "Connection: x-timeout"),
            ("9110 7.6.1: the same", "Connection: X-Priority-Class"),
            ("9110 7.6.1: the same", "Connection: Host"),
            ("9110 7.6.1: the same", "Connection: Content-Length"),
            ("9110 7.6.1: the same", "Connection: close, X-Tenant-Id"),
            ("9110 7.6.1: the same", "Connection: Idempotency-Key"),
            ("9110 7.6.1: an option is a token", "Connection: a b"),
            ("9110 10.1.1: an expectation that isn't known is answered 417", "Expect: 200-maybe"),
            ("9110 10.1.1: the same beside a known one", "Expect: 100-continue, 200-maybe"),
            (
                "6455 4.2.2: a handshake that isn't accepted gets an error",
                "Connection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n\
                 Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
            ),
        ],
    );
    rows.extend(lines(
        SoundFor::Each,
        &[
            ("9110 7.6.1: a connection's own field", "Connection: keep-alive, x-hop\r\nx-hop: 1"),
            ("9110 10.1.4: codings that the client takes", "Connection: TE\r\nTE: trailers"),
            (
                "9110 7.8: a server may ignore Upgrade",
                "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA",
            ),
        ],
    ));
    rows.extend(lines(
        SoundFor::PostsWithBody,
        &[
            ("9110 10.1.1: a client announces the body that it has", "Expect: 100-continue"),
            ("9110 10.1.1: an expectation has no case", "Expect: 100-Continue"),
        ],
    ));
    rows
}

fn platform_fields() -> Vec<Row> {
    let mut rows = replacements(
        SoundFor::None,
        &[
            ("protocol: each has an id", "X-Request-ID", "X-Other-ID"),
            ("protocol: an id isn't empty", "X-Request-ID: ", "X-Request-ID:\r\nx-extra: "),
            ("protocol: one id, not two that were joined", "X-Request-ID: ", "X-Request-ID: other, "),
            ("protocol: one id, not several words", "X-Request-ID: ", "X-Request-ID: other "),
            ("9110 5.5: an id is ASCII", "X-Request-ID: ", "X-Request-ID: \u{e9}"),
            ("protocol: a class", "X-Priority-Class: ", "X-Other: "),
            (
                "protocol: the class is the first part of the path",
                "X-Priority-Class: ",
                "X-Priority-Class: x",
            ),
            ("protocol: one class", "X-Priority-Class: ", "X-Priority-Class: other, "),
            ("protocol: a tenant, named as in the settings", "Id: acme", "Id: other"),
            ("protocol: one tenant", "Id: acme", "Id: acme, acme"),
            ("protocol: a tenant", "X-Tenant-Id: acme\r\n", ""),
            ("protocol: a time-out", "X-Timeout: 1500m\r\n", ""),
            ("protocol: a number and a unit", "1500m", "1500"),
            ("protocol: a number and a unit, known", "1500m", "1500ms"),
            ("protocol: a number, not signed", "1500m", "-1500m"),
            ("protocol: a number, finite", "1500m", "infm"),
            ("protocol: a number has digits behind its point", "1500m", "1500.m"),
            ("protocol: a number has one point", "1500m", "1500.0.0m"),
            ("protocol: a number and a unit, with no space", "1500m", "1500 m"),
            ("protocol: one time-out", "1500m", "1500m, 900m"),
        ],
    );
    rows.extend(lines(
        SoundFor::None,
        &[
            ("9110 5.3: a field that is no list comes once", "X-Timeout: 1500m"),
            ("9110 5.3: the same with another value", "X-Timeout: 900m"),
            ("9110 5.3: the same", "X-Request-ID: other"),
            ("9110 5.3: the same", "X-Tenant-Id: acme"),
            ("9110 5.3: the same", "X-Priority-Class: pay"),
            ("9110 5.3: the same", "X-Retried: 1\r\nX-Retried: 1"),
            ("9110 5.3: the same", "X-Cost: 1\r\nX-Cost: 1"),
            ("protocol: X-Retried: 1", "X-Retried: maybe"),
            ("protocol: X-Retried: 1, nothing empty", "X-Retried:"),
            ("protocol: a cost is a number", "X-Cost: much"),
            ("protocol: a cost is a number, not negative", "X-Cost: -1"),
            ("protocol: a cost is a number, finite", "X-Cost: inf"),
            ("protocol: name=value,name=value", "X-Attrs: nonsense,,="),
            ("protocol: name=value, each with a name", "X-Attrs: =1"),
            ("protocol: name=value, each with a value", "X-Attrs: a="),
        ],
    ));
    rows.extend(lines(
        SoundFor::Each,
        &[
            ("protocol: a cost", "X-Cost: 1250.5"),
            ("protocol: a client's retry", "X-Retried: 1"),
            ("protocol: further figures", "X-Attrs: a=1,b=2.5"),
        ],
    ));
    rows.extend(replacements(
        SoundFor::Each,
        &[("protocol: a time-out in microseconds", "1500m", "1500000.5u")],
    ));
    rows
}

fn keys() -> Vec<Row> {
    let mut rows = lines(
        SoundFor::None,
        &[
            ("protocol: a GET has no key, a POST with one is keyed, and has one", "Idempotency-Key: k"),
            ("protocol: a key is not empty, and only for a keyed class", "Idempotency-Key:"),
        ],
    );
    rows.extend(replacements(
        SoundFor::None,
        &[
            ("protocol: a keyed request has its key", "Idempotency-Key", "X-Other-Key"),
            ("protocol: one key, not two that were joined", "Idempotency-Key: ", "Idempotency-Key: a, "),
            ("protocol: one key, not several words", "Idempotency-Key: ", "Idempotency-Key: a "),
            ("protocol: a key is not empty", "Idempotency-Key: ", "Idempotency-Key:\r\nx-extra: "),
        ],
    ));
    rows
}

/// Bytes that come with a request and cannot begin the next one, so that the request's end is in doubt.
fn following_bytes() -> Vec<Row> {
    let unsound: [(&'static str, &'static [u8]); 8] = [
        ("9112 6.3: bytes behind a request begin the next one: no method", b"hello"),
        ("9112 6.3: the same: NULs", b"\0\0\0\0"),
        ("9112 2.2: the same: a bare CR", b"\rGET /read HTTP/1.1\r\n"),
        ("9112 2.2: the same: a bare LF", b"\nGET /read HTTP/1.1\r\n"),
        ("9112 3: the same: a line that is no request line", b"GET nonsense\r\n"),
        ("9112 3: the same: no version", b"POST /pay\r\nHost: a\r\n\r\n"),
        ("9112 3: the same: a field line", b"X-Tenant-Id: acme\r\n\r\n"),
        ("9112 3: the same: bytes beyond ASCII", b"\xff\xfe\xfd"),
    ];
    let sound: [(&'static str, &'static [u8]); 3] = [
        ("9112 2.2: an empty line behind a request", b"\r\n"),
        ("9112 9.3.2: the beginning of the next request", b"GE"),
        ("9112 9.3.2: a part of the next request", b"\r\nPOST /pay?key=7f HTTP/1.1\r\nHost: serv"),
    ];
    let unsound = unsound.map(|(rule, bytes)| row(rule, SoundFor::None, Change::Behind(bytes)));
    let sound = sound.map(|(rule, bytes)| row(rule, SoundFor::Each, Change::Behind(bytes)));
    unsound.into_iter().chain(sound).collect()
}
