//! The one connection to a receiver: a request out at a time, its answer bounded, nothing sent again by itself.

use crate::sender::Post;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::header::{
    HeaderMap, AUTHORIZATION, CONTENT_ENCODING, CONTENT_TYPE, HOST, RETRY_AFTER, USER_AGENT,
};
use hyper::Request;
use std::fmt;
use std::time::{Duration, SystemTime};
use tokio::net::lookup_host;
use tokio::task::JoinHandle;

/// The most of an answer's body that is read before its connection is given up.
const BODY_MOST: usize = 64 << 10;
/// The longest head of an answer.
const HEAD_MOST: usize = 16 << 10;
const AGENT: &str = concat!("bellcroft/", env!("CARGO_PKG_VERSION"));
const WRITTEN: &str = "x-prometheus-remote-write-samples-written";

/// Where a receiver takes samples.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Url {
    /// Host and port, as a `Host` header has it.
    pub authority: String,
    /// Path and query.
    pub path: String,
}

impl Url {
    /// Reads `http://HOST[:PORT]/PATH`.
    ///
    /// # Errors
    ///
    /// What is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let uri: hyper::Uri = text.parse().map_err(|e| format!("is no URL: {e}"))?;
        match uri.scheme_str() {
            Some("http") => {}
            Some("https") => {
                return Err(
                    "is https; this program speaks no TLS yet, so use a receiver or a relay on http".into()
                )
            }
            _ => return Err("must begin with http://".into()),
        }
        let authority = uri.authority().ok_or("names no host")?;
        if authority.as_str().contains('@') {
            return Err("holds a user's name or password; use token_file".into());
        }
        if authority.host().is_empty() || authority.as_str().ends_with(':') {
            return Err("names no host or no port".into());
        }
        let port = authority.port_u16().unwrap_or(80);
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        Ok(Url { authority: format!("{}:{port}", authority.host()), path: path.to_owned() })
    }
}

impl fmt::Display for Url {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "http://{}{}", self.authority, self.path)
    }
}

/// A receiver's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// Its status.
    pub status: u16,
    /// Its `Retry-After`, from now.
    pub retry_after: Option<Duration>,
    /// Samples that it has written by its own account.
    pub written: Option<u64>,
}

/// A connection that may be open.
pub struct Connection {
    url: Url,
    token: Option<String>,
    timeout: Duration,
    open: Option<(SendRequest<Full<Bytes>>, Task)>,
}

/// Ends a connection's task with its last user.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// To this receiver; each exchange has this long. The token is sent and never shown.
    pub fn new(url: Url, token: Option<String>, timeout: Duration) -> Self {
        Connection { url, token, timeout, open: None }
    }

    /// It was made for these.
    pub(crate) fn is_for(&self, url: &Url, token: Option<&str>, timeout: Duration) -> bool {
        self.url == *url && self.token.as_deref() == token && self.timeout == timeout
    }

    /// Sends a body and reads the answer.
    ///
    /// # Errors
    ///
    /// Why there is no whole answer, in words for people on call.
    pub async fn post(&mut self, post: Post) -> Result<Response, String> {
        // Taken out: whatever goes wrong, a time-out or a caller that stops waiting among it, closes it.
        let open = self.open.take();
        let exchange = exchange(&self.url, self.token.as_deref(), open, post);
        let (answer, open) = match tokio::time::timeout(self.timeout, exchange).await {
            Ok(ended) => ended?,
            Err(_) => return Err(format!("there is no answer within {:?}", self.timeout)),
        };
        self.open = open;
        Ok(answer)
    }
}

type Open = (SendRequest<Full<Bytes>>, Task);

async fn exchange(
    url: &Url,
    token: Option<&str>,
    open: Option<Open>,
    post: Post,
) -> Result<(Response, Option<Open>), String> {
    let (mut sender, task) = match open.filter(|(sender, _)| !sender.is_closed()) {
        Some(open) => open,
        None => connect(url).await?,
    };
    sender.ready().await.map_err(|e| format!("the connection is gone: {e}"))?;
    let mut request = Request::post(&url.path)
        .header(HOST, &url.authority)
        .header(USER_AGENT, AGENT)
        .header(CONTENT_TYPE, post.version.content_type())
        .header(CONTENT_ENCODING, "snappy")
        .header("x-prometheus-remote-write-version", post.version.header());
    if let Some(token) = token {
        request = request.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(Bytes::from(post.body))).map_err(|e| e.to_string())?;
    let response = sender.send_request(request).await.map_err(|e| format!("the exchange broke: {e}"))?;
    let answer = read(response.status().as_u16(), response.headers(), SystemTime::now());
    // The answer is in its head. A body that is longer than a message for people costs its connection and nothing else.
    let read = Limited::new(response.into_body(), BODY_MOST).collect().await;
    Ok((answer, read.is_ok().then_some((sender, task))))
}

async fn connect(url: &Url) -> Result<Open, String> {
    let wrong = |e: std::io::Error| format!("{} takes no connection: {e}", url.authority);
    let address = lookup_host(&url.authority).await.map_err(wrong)?.next();
    let address = address.ok_or_else(|| format!("{} has no address", url.authority))?;
    let stream = bellcroft_net::connect(address).await.map_err(|e| wrong(e.into()))?;
    let mut builder = Builder::new();
    builder.max_buf_size(HEAD_MOST).max_header_size(HEAD_MOST);
    let (sender, driven) = builder.handshake(stream).await.map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move {
        // How it ended shows at the sender.
        let _ = driven.await;
    });
    Ok((sender, Task(task)))
}

/// What a head says. `Retry-After` is a count of seconds or a date (RFC 9110, section 10.2.3).
fn read(status: u16, headers: &HeaderMap, now: SystemTime) -> Response {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let retry_after = text(RETRY_AFTER.as_str()).and_then(|text| match text.parse::<u32>() {
        Ok(seconds) => Some(Duration::from_secs(u64::from(seconds))),
        Err(_) => httpdate::parse_http_date(text).ok().map(|at| at.duration_since(now).unwrap_or_default()),
    });
    Response { status, retry_after, written: text(WRITTEN).and_then(|count| count.parse().ok()) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn urls_are_read_or_refused_with_a_reason() {
        let url = Url::parse("http://127.0.0.1:9090/api/v1/write?x=1").expect("good");
        assert_eq!((url.authority.as_str(), url.path.as_str()), ("127.0.0.1:9090", "/api/v1/write?x=1"));
        assert_eq!(Url::parse("http://receiver").expect("good").to_string(), "http://receiver:80/");
        assert_eq!(Url::parse("http://[::1]:9/w").expect("good").authority, "[::1]:9");
        for (text, why) in [
            ("https://a/b", "TLS"),
            ("ftp://a/b", "http://"),
            ("/api", "http://"),
            ("http://user:secret@a/b", "token_file"),
            ("http://a b", "no URL"),
            ("", "no URL"),
        ] {
            let wrong = Url::parse(text).expect_err(text);
            assert!(wrong.contains(why) && !wrong.contains("secret"), "{text}: {wrong}");
        }
    }

    #[test]
    fn retry_after_is_seconds_or_a_date() {
        let now = httpdate::parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT").expect("a date");
        let of = |text: &str| {
            let mut headers = HeaderMap::new();
            headers.insert(RETRY_AFTER, text.parse().expect("a value"));
            read(429, &headers, now).retry_after
        };
        assert_eq!(of("7"), Some(Duration::from_secs(7)));
        assert_eq!(of("Sun, 06 Nov 1994 08:50:37 GMT"), Some(Duration::from_secs(60)));
        assert_eq!(of("Sun, 06 Nov 1994 08:00:00 GMT"), Some(Duration::ZERO));
        assert_eq!((of("soon"), of("-1")), (None, None));
    }
}
