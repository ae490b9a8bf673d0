//! The connection to a receiver: one request at a time, responses of bounded size, no automatic retries.

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

/// A connection is closed if a response's body is longer than this.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Limit of a response's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
const USER_AGENT_VALUE: &str = concat!("bellcroft/", env!("CARGO_PKG_VERSION"));
const SAMPLES_WRITTEN: &str = "x-prometheus-remote-write-samples-written";

/// The URL to which a receiver's samples are posted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Url {
    /// Host and port, as in a `Host` header.
    pub authority: String,
    /// Path and query.
    pub path: String,
}

impl Url {
    /// Parses `http://HOST[:PORT]/PATH`.
    ///
    /// # Errors
    ///
    /// A message that says what is wrong with the text.
    pub fn parse(text: &str) -> Result<Self, String> {
        let uri: hyper::Uri = text.parse().map_err(|e| format!("is not a URL: {e}"))?;
        match uri.scheme_str() {
            Some("http") => {}
            Some("https") => {
                return Err(
                    "is https; this program speaks no TLS yet, so use a receiver or a relay on http".into()
                )
            }
            _ => return Err("must begin with http://".into()),
        }
        let authority = uri.authority().ok_or("has no host")?;
        if authority.as_str().contains('@') {
            return Err("holds a user's name or password; use token_file".into());
        }
        if authority.host().is_empty() || authority.as_str().ends_with(':') {
            return Err("has no host or an empty port".into());
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

/// A receiver's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The delay of `Retry-After`, from now on.
    pub retry_after: Option<Duration>,
    /// Number of samples that the receiver reports as written.
    pub written: Option<u64>,
}

/// A connection to a receiver, opened when it is needed and reused while it stays open.
pub struct Connection {
    url: Url,
    token: Option<String>,
    timeout: Duration,
    open: Option<(SendRequest<Full<Bytes>>, Task)>,
}

/// The task that drives a connection; aborted on drop.
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// A connection to `url`, where each exchange may take `timeout`. The token is sent but never logged.
    pub fn new(url: Url, token: Option<String>, timeout: Duration) -> Self {
        Connection { url, token, timeout, open: None }
    }

    /// Whether the connection was made with these parameters.
    pub(crate) fn matches(&self, url: &Url, token: Option<&str>, timeout: Duration) -> bool {
        self.url == *url && self.token.as_deref() == token && self.timeout == timeout
    }

    /// Sends a body and reads the response.
    ///
    /// # Errors
    ///
    /// A message for operators that says why there is no complete response.
    pub async fn post(&mut self, post: Post) -> Result<Response, String> {
        // Taken out of `self`, so that any failure closes the connection: also a timeout, or a caller that drops the future.
        let open = self.open.take();
        let exchange = exchange(&self.url, self.token.as_deref(), open, post);
        let (response, open) = match tokio::time::timeout(self.timeout, exchange).await {
            Ok(finished) => finished?,
            Err(_) => return Err(format!("no response within {:?}", self.timeout)),
        };
        self.open = open;
        Ok(response)
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
    sender.ready().await.map_err(|e| format!("the connection was closed: {e}"))?;
    let mut request = Request::post(&url.path)
        .header(HOST, &url.authority)
        .header(USER_AGENT, USER_AGENT_VALUE)
        .header(CONTENT_TYPE, post.version.content_type())
        .header(CONTENT_ENCODING, "snappy")
        .header("x-prometheus-remote-write-version", post.version.header());
    if let Some(token) = token {
        request = request.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(Bytes::from(post.body))).map_err(|e| e.to_string())?;
    let response = sender.send_request(request).await.map_err(|e| format!("the exchange failed: {e}"))?;
    let result = parse_head(response.status().as_u16(), response.headers(), SystemTime::now());
    // Only the head matters. If the body is too long or can't be read, the connection is not reused.
    let read = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await;
    Ok((result, read.is_ok().then_some((sender, task))))
}

async fn connect(url: &Url) -> Result<Open, String> {
    let connect_error = |e: std::io::Error| format!("cannot connect to {}: {e}", url.authority);
    let address = lookup_host(&url.authority).await.map_err(connect_error)?.next();
    let address = address.ok_or_else(|| format!("{} has no address", url.authority))?;
    let stream = bellcroft_net::connect(address).await.map_err(|e| connect_error(e.into()))?;
    let mut builder = Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES).max_header_size(MAX_HEAD_BYTES);
    let (sender, connection) = builder.handshake(stream).await.map_err(|e| e.to_string())?;
    let task = tokio::task::spawn_local(async move {
        // An error is reported by the `SendRequest` too.
        let _ = connection.await;
    });
    Ok((sender, Task(task)))
}

/// Evaluates a response's head. `Retry-After` is a count of seconds or a date (RFC 9110, section 10.2.3).
fn parse_head(status: u16, headers: &HeaderMap, now: SystemTime) -> Response {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim);
    let retry_after = text(RETRY_AFTER.as_str()).and_then(|text| match text.parse::<u32>() {
        Ok(seconds) => Some(Duration::from_secs(u64::from(seconds))),
        Err(_) => httpdate::parse_http_date(text).ok().map(|at| at.duration_since(now).unwrap_or_default()),
    });
    Response { status, retry_after, written: text(SAMPLES_WRITTEN).and_then(|count| count.parse().ok()) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_urls_are_refused_with_reason() {
        let url = Url::parse("http://127.0.0.1:9090/api/v1/write?x=1").expect("good");
        assert_eq!((url.authority.as_str(), url.path.as_str()), ("127.0.0.1:9090", "/api/v1/write?x=1"));
        assert_eq!(Url::parse("http://receiver").expect("good").to_string(), "http://receiver:80/");
        assert_eq!(Url::parse("http://[::1]:9/w").expect("good").authority, "[::1]:9");
        for (text, why) in [
            ("https://a/b", "TLS"),
            ("ftp://a/b", "http://"),
            ("/api", "http://"),
            ("http://user:secret@a/b", "token_file"),
            ("http://a b", "not a URL"),
            ("", "not a URL"),
        ] {
            let error = Url::parse(text).expect_err(text);
            assert!(error.contains(why) && !error.contains("secret"), "{text}: {error}");
        }
    }

    #[test]
    fn retry_after_is_seconds_or_a_date() {
        let now = httpdate::parse_http_date("Sun, 06 Nov 1994 08:49:37 GMT").expect("a date");
        let of = |text: &str| {
            let mut headers = HeaderMap::new();
            headers.insert(RETRY_AFTER, text.parse().expect("a value"));
            parse_head(429, &headers, now).retry_after
        };
        assert_eq!(of("7"), Some(Duration::from_secs(7)));
        assert_eq!(of("Sun, 06 Nov 1994 08:50:37 GMT"), Some(Duration::from_secs(60)));
        assert_eq!(of("Sun, 06 Nov 1994 08:00:00 GMT"), Some(Duration::ZERO));
        assert_eq!((of("soon"), of("-1")), (None, None));
    }
}
