//! `[remote_write]` and `[remote_write.labels]`.

use crate::section::Section;
use bellcroft_telemetry::{Url, MAX_LABEL_BYTES};
use std::path::PathBuf;
use std::time::Duration;

/// Most labels of an operator.
const MAX_LABELS: usize = 32;
/// Largest token file in bytes; it holds one line.
const MAX_TOKEN_FILE_BYTES: u64 = 16 << 10;

/// Where samples go, and how.
#[derive(Clone, PartialEq)]
pub struct RemoteWrite {
    /// The receiver.
    pub url: Url,
    /// Remote write 2.0 is tried first.
    pub version_2: bool,
    /// The interval of samples.
    pub interval: Duration,
    /// The time-out of one exchange with the receiver.
    pub timeout: Duration,
    /// The bound of the queue.
    pub queue_bytes: usize,
    /// The first back-off after a failure, and the longest one.
    pub retry: (Duration, Duration),
    /// The time to send the queue after a stop.
    pub flush_within: Duration,
    /// The bearer token, read from its file.
    pub token: Option<String>,
    /// Most servers named in labels at a time.
    pub server_names: usize,
    /// Labels of every series.
    pub labels: Vec<(String, String)>,
}

impl std::fmt::Debug for RemoteWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Without the token.
        f.debug_struct("RemoteWrite")
            .field("url", &self.url)
            .field("labels", &self.labels)
            .finish_non_exhaustive()
    }
}

/// Reads the section.
pub(crate) fn schema(top: &Section) -> Option<RemoteWrite> {
    let section = top.section("remote_write");
    let seconds = Duration::from_secs;
    let address = section.text("url");
    let version_2 = section.parsed("version", "\"1.0\" or \"2.0\"", |word| match word {
        "1.0" => Some(false),
        "2.0" => Some(true),
        _ => None,
    });
    let interval = section.time("interval", Duration::from_millis(100)..=seconds(300));
    let timeout = section.time("timeout", Duration::from_millis(100)..=seconds(120));
    let queue_bytes = section.count("queue_bytes", (64 << 10)..=(256 << 20));
    let first = section.time("retry_first", Duration::from_millis(10)..=seconds(60));
    let max = section.time("retry_most", Duration::from_millis(10)..=seconds(600));
    let flush_within = section.time("flush_within", Duration::from_millis(10)..=seconds(60));
    let token_file = section.path("token_file");
    let server_names = section.count("server_names", 0..=1000);
    let labels = labels(&section.section("labels"));
    if !section.is_present() {
        return None;
    }
    let address =
        section.required("url", address, "where samples go, such as \"http://127.0.0.1:9090/api/v1/write\"");
    let url = address.and_then(|text| Url::parse(&text).map_err(|why| section.fault("url", why)).ok());
    let retry = (first.unwrap_or(Duration::from_millis(250)), max.unwrap_or(seconds(30)));
    if retry.0 > retry.1 {
        section.fault("retry_first", "is longer than retry_most");
    }
    let token = token_file.and_then(|file| {
        token(&file).map_err(|why| section.fault("token_file", format!("{}: {why}", file.display()))).ok()
    });
    Some(RemoteWrite {
        url: url?,
        version_2: version_2.unwrap_or(true),
        interval: interval.unwrap_or(seconds(10)),
        timeout: timeout.unwrap_or(seconds(10)),
        queue_bytes: queue_bytes.map_or(4 << 20, |bytes| bytes as usize),
        retry,
        flush_within: flush_within.unwrap_or(seconds(2)),
        token,
        server_names: server_names.unwrap_or(0) as usize,
        labels,
    })
}

/// Labels, whose names follow Prometheus' data model; names that start with `__` are reserved.
fn labels(section: &Section) -> Vec<(String, String)> {
    let texts = section.texts();
    if texts.len() > MAX_LABELS {
        section.fault("", format!("holds {} labels; at most {MAX_LABELS} are sent", texts.len()));
    }
    for (name, value) in &texts {
        let letter = |c: char| c.is_ascii_alphabetic() || c == '_';
        let good = name.starts_with(letter) && name.chars().all(|c| letter(c) || c.is_ascii_digit());
        if !good || name.starts_with("__") {
            section.fault(
                name,
                "is no label's name; letters, digits and '_' were expected, and no '__' in front",
            );
        } else if value.len() > MAX_LABEL_BYTES {
            section.fault(name, format!("is {} bytes long; at most {MAX_LABEL_BYTES} are sent", value.len()));
        }
    }
    texts
}

/// Reads a token file. An error never contains the token.
fn token(file: &PathBuf) -> Result<String, String> {
    let size = std::fs::metadata(file).map_err(|e| format!("cannot be read: {e}"))?;
    if !size.is_file() || size.len() > MAX_TOKEN_FILE_BYTES {
        return Err(format!("is no file of at most {MAX_TOKEN_FILE_BYTES} bytes"));
    }
    let text = std::fs::read_to_string(file).map_err(|e| format!("cannot be read: {}", e.kind()))?;
    let token = text.trim();
    if token.is_empty() {
        return Err("is empty".into());
    }
    if !token.bytes().all(|b| b.is_ascii_graphic()) {
        return Err("holds more than one word of printable ASCII".into());
    }
    Ok(token.to_owned())
}
