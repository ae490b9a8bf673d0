//! A reference grammar of the platform's requests: decides by RFC 9112, RFC 9110, RFC 3986 and the platform's protocol whether
//! bytes are one sound request of the tests' settings. It is written for clearness and shares no code with the agent.

use super::Effect;

/// The longest head, in bytes, and the largest number of its field lines.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_FIELD_LINES: usize = 100;
/// The longest body, in bytes.
const MAX_BODY_BYTES: u64 = 32 << 20;
/// The longest id, in bytes.
const MAX_ID_BYTES: usize = 256;
/// The methods by which bytes behind a request are known as another request.
const METHODS: [&[u8]; 8] = [b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"TRACE", b"PATCH"];
/// The longest time-out, in seconds.
const MAX_TIMEOUT_SECONDS: f64 = 600.0;

/// What the reference says of bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// They are a sound request, whose client waits so many seconds.
    Sound {
        /// The value of `X-Timeout`.
        timeout_seconds: f64,
    },
    /// They are not; the field is the sentence.
    Unsound(&'static str),
    /// They are the beginning of a request.
    Incomplete,
}

type Judged<T> = Result<T, Verdict>;

/// Fails with a sentence unless the condition holds.
fn require(condition: bool, sentence: &'static str) -> Judged<()> {
    if condition {
        Ok(())
    } else {
        Err(Verdict::Unsound(sentence))
    }
}

/// Judges the bytes that a client sends at once on a new connection.
pub fn judge(bytes: &[u8]) -> Verdict {
    judge_request(bytes).unwrap_or_else(|verdict| verdict)
}

fn judge_request(bytes: &[u8]) -> Judged<Verdict> {
    let bytes = without_empty_lines(bytes);
    let Some(head_len) = position(bytes, b"\r\n\r\n") else { return Err(incomplete_head(bytes)) };
    let (head, rest) = (&bytes[..head_len], &bytes[head_len + 4..]);
    require(head_len + 4 <= MAX_HEAD_BYTES, "a head of 16 KiB")?;
    let mut lines = split(head, b"\r\n").into_iter();
    let request_line = RequestLine::parse(lines.next().unwrap_or_default())?;
    let fields: Vec<Field> = lines.map(Field::parse).collect::<Judged<_>>()?;
    require(fields.len() <= MAX_FIELD_LINES, "100 field lines")?;
    let fields = Fields(fields);
    let host = fields.one("host")?.ok_or(Verdict::Unsound("9112 3.2: Host must be there"))?;
    require(is_authority(host), "9112 3.2: Host is valid")?;
    let effect = judge_target(&request_line, host)?;
    let class = fields.one("x-priority-class")?;
    require(class == Some(effect.class().as_bytes()), "protocol: the class is the first part of the path")?;
    require(
        request_line.method == effect.method().as_bytes(),
        "protocol: the method follows from the class",
    )?;
    judge_connection(&fields)?;
    let timeout_seconds = judge_platform_fields(&fields)?;
    judge_key(&fields, effect)?;
    let framing = Framing::of(&fields)?;
    let has_body = !matches!(framing, Framing::Length(0));
    require(!(has_body && effect == Effect::Safe), "protocol: GET (no body)")?;
    judge_expectation(&fields, has_body)?;
    let following = framing.following(rest)?;
    require(may_begin_request(following), "9112 6.3: bytes behind a request begin the next one")?;
    Ok(Verdict::Sound { timeout_seconds })
}

/// A head without an end is the beginning of one, unless a bare line end shows that a lenient recipient may see its end.
fn incomplete_head(bytes: &[u8]) -> Verdict {
    let is_bare = |at: usize| at == 0 || bytes[at - 1] != b'\r';
    let has_bare_line_feed = (0..bytes.len()).any(|at| bytes[at] == b'\n' && is_bare(at));
    let is_request = may_begin_request(bytes) && bytes.iter().all(|byte| byte.is_ascii() && *byte != 0);
    if has_bare_line_feed || !is_request {
        Verdict::Unsound("9112 2.2: a head consists of lines that CRLF ends")
    } else {
        Verdict::Incomplete
    }
}

fn without_empty_lines(mut bytes: &[u8]) -> &[u8] {
    while let Some(rest) = bytes.strip_prefix(b"\r\n") {
        bytes = rest;
    }
    bytes
}

fn position(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn split<'a>(mut bytes: &'a [u8], separator: &[u8]) -> Vec<&'a [u8]> {
    let mut parts = Vec::new();
    while let Some(at) = position(bytes, separator) {
        parts.push(&bytes[..at]);
        bytes = &bytes[at + separator.len()..];
    }
    parts.push(bytes);
    parts
}

/// 9110 5.6.2: a token.
fn is_token(bytes: &[u8]) -> bool {
    let is_tchar = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !bytes.is_empty() && bytes.iter().all(is_tchar)
}

/// Visible ASCII without a comma: one word, of which a joined list would show.
fn is_word(bytes: &[u8]) -> bool {
    !bytes.is_empty() && bytes.iter().all(|byte| byte.is_ascii_graphic() && *byte != b',')
}

/// 1*DIGIT, and a point and 1*DIGIT behind them if there is a point.
fn decimal(bytes: &[u8]) -> Option<f64> {
    let parts = split(bytes, b".");
    let is_digits = |part: &&[u8]| !part.is_empty() && part.iter().all(u8::is_ascii_digit);
    let is_decimal = parts.len() <= 2 && parts.iter().all(is_digits);
    if !is_decimal {
        return None;
    }
    std::str::from_utf8(bytes).ok()?.parse().ok()
}

struct RequestLine<'a> {
    method: &'a [u8],
    target: &'a [u8],
}

impl<'a> RequestLine<'a> {
    /// 9112 3: method SP request-target SP HTTP-version.
    fn parse(line: &'a [u8]) -> Judged<Self> {
        let parts = split(line, b" ");
        let [method, target, version] = parts[..] else {
            return Err(Verdict::Unsound("9112 3: a method, a target and a version"));
        };
        require(is_token(method), "9110 9.1: a method is a token")?;
        require(version == b"HTTP/1.1", "9112 3: HTTP-version is HTTP/1.1 in this protocol")?;
        Ok(RequestLine { method, target })
    }
}

struct Field<'a> {
    name: String,
    value: &'a [u8],
}

impl<'a> Field<'a> {
    /// 9112 5: field-name ":" OWS field-value OWS.
    fn parse(line: &'a [u8]) -> Judged<Self> {
        let colon = position(line, b":").ok_or(Verdict::Unsound("9112 5: a field line has a colon"))?;
        let (name, value) = (&line[..colon], &line[colon + 1..]);
        require(is_token(name), "9110 5.1: a field name is a token")?;
        let is_text = |byte: &u8| *byte == b'\t' || (*byte >= b' ' && *byte != 0x7f);
        require(value.iter().all(is_text), "9110 5.5: no control character in a value")?;
        Ok(Field { name: String::from_utf8_lossy(name).to_lowercase(), value: trim(value) })
    }
}

/// Without spaces and tabs at its ends.
fn trim(mut bytes: &[u8]) -> &[u8] {
    while let [b' ' | b'\t', rest @ ..] | [rest @ .., b' ' | b'\t'] = bytes {
        bytes = rest;
    }
    bytes
}

struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    fn all(&self, name: &str) -> Vec<&'a [u8]> {
        self.0.iter().filter(|field| field.name == name).map(|field| field.value).collect()
    }

    /// The value of a field that comes once at most.
    fn one(&self, name: &str) -> Judged<Option<&'a [u8]>> {
        let values = self.all(name);
        require(values.len() <= 1, "9110 5.3: a field that is no list comes once")?;
        Ok(values.first().copied())
    }

    /// The members of a list in all lines of its name, without empty ones.
    fn members(&self, name: &str) -> Vec<&'a [u8]> {
        let values = self.all(name);
        let members = values.into_iter().flat_map(|value| split(value, b",")).map(trim);
        members.filter(|member| !member.is_empty()).collect()
    }
}

/// The effect of the class that the path names; 9112 3.2 and 3986 3.
fn judge_target(line: &RequestLine, host: &[u8]) -> Judged<Effect> {
    let mut target = line.target;
    if !target.starts_with(b"/") {
        let scheme = target.get(..7).unwrap_or_default();
        require(scheme.eq_ignore_ascii_case(b"http://"), "9112 3.2: origin-form, or absolute-form of http")?;
        let rest = &target[7..];
        let path = rest.iter().position(|byte| b"/?".contains(byte)).unwrap_or(rest.len());
        require(is_authority(&rest[..path]), "9110 4.2.1: an authority without userinfo")?;
        require(rest[..path].eq_ignore_ascii_case(host), "9112 3.2: Host is the target's authority")?;
        target = &rest[path..];
    }
    require(is_uri_text(target, b":@/?"), "3986 2: the characters of a URI")?;
    let query_at = target.iter().position(|byte| *byte == b'?').unwrap_or(target.len());
    let (path, query) = (&target[..query_at], target.get(query_at + 1..).unwrap_or_default());
    let keys = split(query, b"&").into_iter().filter(|pair| pair.starts_with(b"key=")).count();
    require(keys <= 1, "protocol: one query parameter key")?;
    let parts = split(path, b"/");
    require(parts.len() > 1 && parts[0].is_empty(), "3986 3.3: a path begins with a slash")?;
    let effect = Effect::ALL.into_iter().find(|effect| effect.class().as_bytes() == parts[1]);
    let effect = effect.ok_or(Verdict::Unsound("protocol: the class is the first part of the path"))?;
    require(!leaves_first_part(&parts[2..]), "3986 6.2.2.3: dots do not lead out of the class")?;
    Ok(effect)
}

/// Whether dot segments behind the first part of a path remove that part.
fn leaves_first_part(parts: &[&[u8]]) -> bool {
    let mut depth = 0;
    for part in parts {
        let text = String::from_utf8_lossy(part).to_lowercase().replace("%2e", ".");
        match text.as_str() {
            ".." if depth == 0 => return true,
            ".." => depth -= 1,
            "." => {}
            _ => depth += 1,
        }
    }
    false
}

/// 3986 2: unreserved, sub-delims, percent-encoded, and these.
fn is_uri_text(bytes: &[u8], more: &[u8]) -> bool {
    let mut at = 0;
    while at < bytes.len() {
        let byte = bytes[at];
        let is_encoded =
            || bytes.get(at + 1..at + 3).is_some_and(|hex| hex.iter().all(u8::is_ascii_hexdigit));
        if byte == b'%' && is_encoded() {
            at += 3;
        } else if byte.is_ascii_alphanumeric() || b"-._~!$&'()*+,;=".contains(&byte) || more.contains(&byte) {
            at += 1;
        } else {
            return false;
        }
    }
    true
}

/// 3986 3.2 without userinfo: a host, and a port if there is one.
fn is_authority(bytes: &[u8]) -> bool {
    let Ok(text) = std::str::from_utf8(bytes) else { return false };
    let (host, port) = match text.rsplit_once(':') {
        Some((host, port)) if !port.contains(']') => (host, port),
        _ => (text, ""),
    };
    let is_port =
        port.bytes().all(|byte| byte.is_ascii_digit()) && (port.is_empty() || port.parse::<u16>().is_ok());
    let is_host = match host.strip_prefix('[').and_then(|host| host.strip_suffix(']')) {
        Some(address) => address.parse::<std::net::Ipv6Addr>().is_ok(),
        None => !host.is_empty() && is_uri_text(host.as_bytes(), b""),
    };
    is_port && is_host
}

/// 9110 7.6.1 and 7.8.
fn judge_connection(fields: &Fields) -> Judged<()> {
    const END_TO_END: [&str; 11] = [
        "host",
        "content-type",
        "content-length",
        "idempotency-key",
        "x-attrs",
        "x-cost",
        "x-priority-class",
        "x-request-id",
        "x-retried",
        "x-tenant-id",
        "x-timeout",
    ];
    for option in fields.members("connection") {
        let name = String::from_utf8_lossy(option).to_lowercase();
        require(is_token(option), "9110 7.6.1: an option is a token")?;
        require(
            !END_TO_END.contains(&name.as_str()),
            "9110 7.6.1: Connection names no field for all recipients",
        )?;
    }
    let is_text = |value: &[u8]| value.is_ascii();
    require(fields.all("connection").into_iter().all(is_text), "9110 7.6.1: an option is a token")?;
    let protocols = fields.members("upgrade");
    let is_websocket = |protocol: &&[u8]| split(protocol, b"/")[0].eq_ignore_ascii_case(b"websocket");
    require(
        !protocols.iter().any(is_websocket),
        "6455 4.2.2: a handshake that isn't accepted gets an error",
    )?;
    fields.one("content-type").map(drop)
}

/// 9110 10.1.1.
fn judge_expectation(fields: &Fields, has_body: bool) -> Judged<()> {
    let expectations = fields.members("expect");
    let is_known = |member: &&[u8]| member.eq_ignore_ascii_case(b"100-continue");
    require(expectations.iter().all(is_known), "9110 10.1.1: an expectation that isn't known")?;
    require(expectations.is_empty() || has_body, "9110 10.1.1: no expectation without a body")
}

/// The platform's fields; the time-out in seconds.
fn judge_platform_fields(fields: &Fields) -> Judged<f64> {
    let id = fields.one("x-request-id")?.unwrap_or_default();
    require(is_word(id) && id.len() <= MAX_ID_BYTES, "protocol: each has an id")?;
    require(fields.one("x-tenant-id")? == Some(b"acme"), "protocol: a tenant, named as in the settings")?;
    let retried = fields.one("x-retried")?;
    require(retried.is_none_or(|value| value == b"0" || value == b"1"), "protocol: X-Retried: 1")?;
    require(
        fields.one("x-cost")?.is_none_or(|cost| decimal(cost).is_some()),
        "protocol: a cost is a number",
    )?;
    let is_figure = |member: &[u8]| {
        let at = position(member, b"=").unwrap_or(0);
        is_token(&member[..at]) && is_word(&member[(at + 1).min(member.len())..])
    };
    let is_attributes =
        |value: &[u8]| value.is_empty() || split(value, b",").into_iter().map(trim).all(is_figure);
    require(fields.all("x-attrs").into_iter().all(is_attributes), "protocol: name=value,name=value")?;
    let timeout = fields.one("x-timeout")?.unwrap_or_default();
    let seconds = match timeout {
        [number @ .., b'm'] => decimal(number).map(|number| number / 1e3),
        [number @ .., b'u'] => decimal(number).map(|number| number / 1e6),
        _ => None,
    };
    let is_timeout = |seconds: &f64| *seconds > 0.0 && *seconds <= MAX_TIMEOUT_SECONDS;
    seconds.filter(is_timeout).ok_or(Verdict::Unsound("protocol: a time-out is a number and a unit"))
}

fn judge_key(fields: &Fields, effect: Effect) -> Judged<()> {
    let key = fields.one("idempotency-key")?;
    match effect {
        Effect::Keyed => require(key.is_some_and(is_word), "protocol: a keyed request has its key"),
        Effect::Safe | Effect::Unsafe => require(key.is_none(), "protocol: only a keyed request has a key"),
    }
}

enum Framing {
    Length(u64),
    Chunked,
}

impl Framing {
    /// 9112 6.
    fn of(fields: &Fields) -> Judged<Self> {
        let (lengths, codings) = (fields.all("content-length"), fields.all("transfer-encoding"));
        match (&lengths[..], &codings[..]) {
            ([], []) => Ok(Framing::Length(0)),
            ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
            ([length], []) if !length.is_empty() && length.iter().all(u8::is_ascii_digit) => {
                let length = std::str::from_utf8(length).ok().and_then(|text| text.parse::<u64>().ok());
                let length = length.filter(|length| *length <= MAX_BODY_BYTES);
                length.map(Framing::Length).ok_or(Verdict::Unsound("9110 8.6: a length fits"))
            }
            _ => Err(Verdict::Unsound("9112 6.3: one length, or one coding")),
        }
    }

    /// The bytes behind the body.
    fn following(self, rest: &[u8]) -> Judged<&[u8]> {
        match self {
            Framing::Length(length) => rest.get(length as usize..).ok_or(Verdict::Incomplete),
            Framing::Chunked => following_chunks(rest),
        }
    }
}

/// 9112 7.1: chunks without extensions or trailers, which the generator does not draw.
fn following_chunks(mut rest: &[u8]) -> Judged<&[u8]> {
    const INVALID: Verdict = Verdict::Unsound("9112 7.1: chunks");
    loop {
        let digits = rest.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let (size, after) = rest.split_at(digits);
        let end = after.get(..2);
        if end.is_none() && (after.is_empty() || after == b"\r") {
            return Err(Verdict::Incomplete);
        }
        require(end == Some(b"\r\n") && (1..=8).contains(&digits), "9112 7.1: a size is hexadecimal digits")?;
        let size =
            usize::from_str_radix(std::str::from_utf8(size).unwrap_or("x"), 16).map_err(|_| INVALID)?;
        rest = &after[2..];
        let data_end = rest.get(size..).ok_or(Verdict::Incomplete)?;
        match data_end.get(..2) {
            Some(b"\r\n") => rest = &data_end[2..],
            Some(_) => return Err(INVALID),
            None if data_end.is_empty() || data_end == b"\r" => return Err(Verdict::Incomplete),
            None => return Err(INVALID),
        }
        if size == 0 {
            return Ok(rest);
        }
    }
}

/// Whether bytes behind a request can be the beginning of another one of the platform.
fn may_begin_request(bytes: &[u8]) -> bool {
    let bytes = without_empty_lines(bytes);
    if bytes.is_empty() || bytes == b"\r" {
        return true;
    }
    if let Some(end) = position(bytes, b"\r\n") {
        let Ok(line) = RequestLine::parse(&bytes[..end]) else { return false };
        return METHODS.contains(&line.method) && is_target_text(line.target);
    }
    let bytes = bytes.strip_suffix(b"\r").unwrap_or(bytes);
    let parts = split(bytes, b" ");
    let is_method = |part: &[u8], is_whole: bool| {
        METHODS.iter().any(|method| if is_whole { *method == part } else { method.starts_with(part) })
    };
    match parts[..] {
        [method] => is_method(method, false),
        [method, target] => is_method(method, true) && is_target_text_begin(target),
        [method, target, version] => {
            is_method(method, true) && is_target_text(target) && b"HTTP/1.1".starts_with(version)
        }
        _ => false,
    }
}

/// A target of origin-form or absolute-form, as far as its characters tell.
fn is_target_text(target: &[u8]) -> bool {
    let begins =
        target.starts_with(b"/") || target.get(..7).is_some_and(|s| s.eq_ignore_ascii_case(b"http://"));
    begins && is_uri_text(target, b":@/?[]")
}

/// The beginning of one; it may break off within a percent-encoded byte.
fn is_target_text_begin(target: &[u8]) -> bool {
    let scheme = &target[..target.len().min(7)];
    let begins = target.starts_with(b"/") || b"http://"[..scheme.len()].eq_ignore_ascii_case(scheme);
    let cut = target.iter().rev().take(2).position(|byte| *byte == b'%').map_or(0, |at| at + 1);
    begins && is_uri_text(&target[..target.len() - cut], b":@/?[]")
}
