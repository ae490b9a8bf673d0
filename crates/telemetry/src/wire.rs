//! The messages of Prometheus remote write, declared by the public specifications, and the encoding of samples.
//!
//! - 1.0: `prometheus.WriteRequest` (Prometheus Remote-Write 1.0 specification, "Protocol").
//! - 2.0: `io.prometheus.write.v2.Request` (Prometheus Remote-Write 2.0 specification, "Protobuf Message"): each text is
//!   stored once in a symbol table, whose first entry is empty, and labels refer to its entries.
//!
//! Bodies are compressed in snappy's block format, not in its framing format.

use crate::registry::{Kind, Sample};
use prost::Message;
use std::collections::HashMap;

/// The bits of the stale marker, a signalling NaN that ends a series (specification 1.0, "Stale Markers").
pub const STALE_MARKER_BITS: u64 = 0x7ff0_0000_0000_0002;

/// A version of the remote-write protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    /// 1.0.
    V1,
    /// 2.0.
    V2,
}

impl Version {
    /// `Content-Type` of a body.
    pub fn content_type(self) -> &'static str {
        match self {
            Version::V1 => "application/x-protobuf",
            Version::V2 => "application/x-protobuf;proto=io.prometheus.write.v2.Request",
        }
    }

    /// Value of `X-Prometheus-Remote-Write-Version`.
    pub fn header(self) -> &'static str {
        match self {
            Version::V1 => "0.1.0",
            Version::V2 => "2.0.0",
        }
    }
}

/// The messages of 1.0.
pub mod v1 {
    /// `prometheus.WriteRequest`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct WriteRequest {
        /// The series with their samples.
        #[prost(message, repeated, tag = "1")]
        pub timeseries: Vec<TimeSeries>,
        /// What the families mean.
        #[prost(message, repeated, tag = "3")]
        pub metadata: Vec<MetricMetadata>,
    }

    /// `prometheus.TimeSeries`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// Sorted by name.
        #[prost(message, repeated, tag = "1")]
        pub labels: Vec<Label>,
        /// Sorted by time.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<Sample>,
    }

    /// `prometheus.Label`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Label {
        /// Its name.
        #[prost(string, tag = "1")]
        pub name: String,
        /// Its value.
        #[prost(string, tag = "2")]
        pub value: String,
    }

    /// `prometheus.Sample`.
    #[derive(Clone, Copy, PartialEq, prost::Message)]
    pub struct Sample {
        /// The value.
        #[prost(double, tag = "1")]
        pub value: f64,
        /// Unix milliseconds.
        #[prost(int64, tag = "2")]
        pub timestamp: i64,
    }

    /// `prometheus.MetricMetadata`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct MetricMetadata {
        /// 1 counter, 2 gauge, 3 histogram.
        #[prost(int32, tag = "1")]
        pub r#type: i32,
        /// The name of the family.
        #[prost(string, tag = "2")]
        pub metric_family_name: String,
        /// The help text.
        #[prost(string, tag = "4")]
        pub help: String,
    }
}

/// The messages of 2.0.
pub mod v2 {
    /// `io.prometheus.write.v2.Request`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Request {
        /// The symbol table; its first entry is empty.
        #[prost(string, repeated, tag = "4")]
        pub symbols: Vec<String>,
        /// The series with their samples.
        #[prost(message, repeated, tag = "5")]
        pub timeseries: Vec<TimeSeries>,
    }

    /// `io.prometheus.write.v2.TimeSeries`.
    #[derive(Clone, PartialEq, prost::Message)]
    pub struct TimeSeries {
        /// Indexes of symbols: name and value of each label, sorted by name.
        #[prost(uint32, repeated, tag = "1")]
        pub labels_refs: Vec<u32>,
        /// Sorted by time.
        #[prost(message, repeated, tag = "2")]
        pub samples: Vec<Sample>,
        /// Type and help text of the family.
        #[prost(message, optional, tag = "5")]
        pub metadata: Option<Metadata>,
        /// Start of the count, in Unix milliseconds; 0 for gauges.
        #[prost(int64, tag = "6")]
        pub created_timestamp: i64,
    }

    /// `io.prometheus.write.v2.Sample`.
    #[derive(Clone, Copy, PartialEq, prost::Message)]
    pub struct Sample {
        /// The value.
        #[prost(double, tag = "1")]
        pub value: f64,
        /// Unix milliseconds.
        #[prost(int64, tag = "2")]
        pub timestamp: i64,
    }

    /// `io.prometheus.write.v2.Metadata`.
    #[derive(Clone, Copy, PartialEq, prost::Message)]
    pub struct Metadata {
        /// 1 counter, 2 gauge, 3 histogram.
        #[prost(int32, tag = "1")]
        pub r#type: i32,
        /// Index of the help text among the symbols.
        #[prost(uint32, tag = "3")]
        pub help_ref: u32,
    }
}

/// The number of a metric's type, which is the same in both versions.
fn metric_type(kind: Kind) -> i32 {
    match kind {
        Kind::Counter => 1,
        Kind::Gauge => 2,
        Kind::Histogram => 3,
    }
}

/// Encodes the samples taken at `at_ms` as a compressed body. Counters count from `created_ms` on.
pub fn encode(version: Version, samples: &[Sample], at_ms: i64, created_ms: i64) -> Vec<u8> {
    let bytes = match version {
        Version::V1 => request_v1(samples, at_ms).encode_to_vec(),
        Version::V2 => request_v2(samples, at_ms, created_ms).encode_to_vec(),
    };
    // Compression fails only for inputs beyond 4 GiB, which is far above the size of a queue.
    snap::raw::Encoder::new().compress_vec(&bytes).unwrap_or_default()
}

fn request_v1(samples: &[Sample], timestamp: i64) -> v1::WriteRequest {
    let mut metadata: Vec<v1::MetricMetadata> = Vec::new();
    let mut timeseries = Vec::with_capacity(samples.len());
    for sample in samples {
        // Samples of one family are adjacent, so each family gets one entry.
        if metadata.last().is_none_or(|last| last.metric_family_name != sample.family) {
            metadata.push(v1::MetricMetadata {
                r#type: metric_type(sample.kind),
                metric_family_name: sample.family.to_owned(),
                help: sample.help.to_owned(),
            });
        }
        let label = |(name, value): &(String, String)| v1::Label { name: name.clone(), value: value.clone() };
        timeseries.push(v1::TimeSeries {
            labels: sample.labels.iter().map(label).collect(),
            samples: vec![v1::Sample { value: sample.value, timestamp }],
        });
    }
    v1::WriteRequest { timeseries, metadata }
}

fn request_v2(samples: &[Sample], timestamp: i64, created_ms: i64) -> v2::Request {
    let mut symbols = vec![String::new()];
    let mut indexes: HashMap<String, u32> = HashMap::from([(String::new(), 0)]);
    let mut symbol = |text: &str| match indexes.get(text) {
        Some(index) => *index,
        None => {
            let index = symbols.len() as u32;
            symbols.push(text.to_owned());
            indexes.insert(text.to_owned(), index);
            index
        }
    };
    let mut timeseries = Vec::with_capacity(samples.len());
    for sample in samples {
        let labels_refs =
            sample.labels.iter().flat_map(|(name, value)| [symbol(name), symbol(value)]).collect();
        let is_cumulative = matches!(sample.kind, Kind::Counter | Kind::Histogram);
        timeseries.push(v2::TimeSeries {
            labels_refs,
            samples: vec![v2::Sample { value: sample.value, timestamp }],
            metadata: Some(v2::Metadata { r#type: metric_type(sample.kind), help_ref: symbol(sample.help) }),
            created_timestamp: if is_cumulative { created_ms } else { 0 },
        });
    }
    v2::Request { symbols, timeseries }
}
