//! `[remote_write]` and `[remote_write.labels]`: the receiver of metric samples.

use crate::section::Section;
use bellcroft_telemetry::{Url, MAX_LABEL_BYTES};
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of labels in `[remote_write.labels]`.
const MAX_LABELS: usize = 32;
/// Maximum size of the token file in bytes; the file holds one line.
const MAX_TOKEN_FILE_BYTES: u64 = 16 << 10;

/// The receiver of metric samples and how they are sent to it.
#[derive(Clone, PartialEq)]
pub struct RemoteWrite {
    /// URL of the receiver.
    pub url: Url,
    /// Whether remote write 2.0 is tried before 1.0.
    pub version_2: bool,
    /// Interval between samples.
    pub interval: Duration,
    /// Timeout of one request to the receiver.
    pub timeout: Duration,
    /// Maximum size of the queue of unsent samples.
    pub queue_bytes: usize,
    /// First and longest backoff after a failed request.
    pub retry: (Duration, Duration),
    /// Time limit for sending the queue during a graceful shutdown.
    pub flush_within: Duration,
    /// Bearer token, read from `token_file`.
    pub token: Option<String>,
    /// Maximum number of servers that are named in labels at a time.
    pub server_names: usize,
    /// Labels that are added to every series.
    pub labels: Vec<(String, String)>,
}

impl std::fmt::Debug for RemoteWrite {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The token is secret and stays out of logs.
        f.debug_struct("RemoteWrite")
            .field("url", &self.url)
            .field("labels", &self.labels)
            .finish_non_exhaustive()
    }
}

/// Reads the section; None if it is absent or has no valid URL.
pub(crate) fn read_section(top: &Section) -> Option<RemoteWrite> {
    let section = top.section("remote_write");
    let seconds = Duration::from_secs;
    let url = section.text("url");
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
    let labels = read_labels(&section.section("labels"));
    if !section.is_present() {
        return None;
    }
    let url =
        section.required("url", url, "where samples go, such as \"http://127.0.0.1:9090/api/v1/write\"");
    let url = url.and_then(|text| Url::parse(&text).map_err(|error| section.report("url", error)).ok());
    let retry = (first.unwrap_or(Duration::from_millis(250)), max.unwrap_or(seconds(30)));
    if retry.0 > retry.1 {
        section.report("retry_first", "is longer than retry_most");
    }
    let token = token_file.and_then(|file| {
        read_token(&file)
            .map_err(|error| section.report("token_file", format!("{}: {error}", file.display())))
            .ok()
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

/// Reads the labels. Their names follow Prometheus's data model, in which names that start with `__` are reserved.
fn read_labels(section: &Section) -> Vec<(String, String)> {
    let labels = section.texts();
    if labels.len() > MAX_LABELS {
        section.report("", format!("holds {} labels; at most {MAX_LABELS} are sent", labels.len()));
    }
    for (name, value) in &labels {
        let is_letter = |c: char| c.is_ascii_alphabetic() || c == '_';
        let valid = name.starts_with(is_letter) && name.chars().all(|c| is_letter(c) || c.is_ascii_digit());
        if !valid || name.starts_with("__") {
            section.report(
                name,
                "is not a valid label name; letters, digits and '_' were expected, with no leading digit or '__'",
            );
        } else if value.len() > MAX_LABEL_BYTES {
            section
                .report(name, format!("is {} bytes long; at most {MAX_LABEL_BYTES} are sent", value.len()));
        }
    }
    labels
}

/// Reads a token file. Error messages never contain the token.
fn read_token(file: &PathBuf) -> Result<String, String> {
    let size = std::fs::metadata(file).map_err(|e| format!("cannot be read: {e}"))?;
    if !size.is_file() || size.len() > MAX_TOKEN_FILE_BYTES {
        return Err(format!("is not a file of at most {MAX_TOKEN_FILE_BYTES} bytes"));
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
