//! The long responses of a soak: sound ones, which go on past the deadline of their request, and such that never end.

use super::clients::ANSWER_SLACK;
use super::oracle::{LATE, MAX_STALL, SLACK};
use super::records::{SoakFate, SoakRecord};
use crate::paced_server::{pattern, read_whole, Framing, ResponseError, ResponseScript};
use std::sync::LazyLock;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Size and pause of responses in large pieces, each of which is less than the platform's largest short body.
const LUMP: (usize, Duration) = (48_000, Duration::from_millis(700));
/// Size and pause of responses at a steady rate of 80 KB/s.
const STEADY: (usize, Duration) = (4_000, Duration::from_millis(50));
/// Size and pause of responses at a steady rate of 640 KB/s.
const FAST: (usize, Duration) = (16_000, Duration::from_millis(25));
/// Size and pause of responses that trickle without an end.
const TRICKLE: (usize, Duration) = (1_000, Duration::from_millis(500));
/// The first part of a response that stops, of a length that a short body has too.
const SHORT_PART: usize = 24 * 1024;
/// The first part of a response that stops, longer than each short body.
const LONG_PART: usize = 100_000;
/// The declared length of a response that never ends.
const UNREACHED_LENGTH: usize = 1_000_000;
/// The time after which a long response without a byte has ended.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// How a response has to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It comes whole.
    Whole,
    /// It is cut off soon after the deadline of its request.
    AfterDeadline,
    /// It is cut off soon after its server has been silent for [`MAX_SILENCE`], past the deadline of its request.
    AfterSilence,
}

/// A response of a soak's servers.
#[derive(Debug, Clone)]
pub struct SoakResponse {
    /// What the servers write.
    pub script: ResponseScript,
    /// How it has to end.
    pub end: ResponseEnd,
}

/// The time after which a delayed response begins; it is longer than a client may take to see that its request is not sound.
const RESPONSE_DELAY: Duration = Duration::from_millis(300);
/// The length of a delayed response.
const DELAYED_LENGTH: usize = 4;

/// What the servers of a soak write: the long responses by their number, and the delayed response behind them.
pub fn server_scripts() -> impl Iterator<Item = ResponseScript> {
    let delayed = ResponseScript::paced(Framing::Length, DELAYED_LENGTH, DELAYED_LENGTH, Duration::ZERO);
    let delayed = ResponseScript { begins_after: RESPONSE_DELAY, ..delayed };
    LONG_RESPONSES.iter().map(|response| response.script.clone()).chain([delayed])
}

/// The number of the delayed response.
pub fn delayed_response() -> usize {
    LONG_RESPONSES.len()
}

/// The long responses by the number that a request asks for.
pub static LONG_RESPONSES: LazyLock<Vec<SoakResponse>> = LazyLock::new(long_responses);

fn long_responses() -> Vec<SoakResponse> {
    let paced = |framing, length, (piece, pause)| ResponseScript::paced(framing, length, piece, pause);
    let stopping = |framing, part| {
        ResponseScript::paced(framing, UNREACHED_LENGTH, part, Duration::ZERO).stopped_after(1)
    };
    let mut responses = Vec::new();
    for framing in Framing::ALL {
        for script in
            [paced(framing, 190_000, LUMP), paced(framing, 150_000, STEADY), paced(framing, 1_000_000, FAST)]
        {
            responses.push(SoakResponse { script, end: ResponseEnd::Whole });
        }
        let script = stopping(framing, LONG_PART);
        responses.push(SoakResponse { script, end: ResponseEnd::AfterSilence });
        // With a declared length these are known to be long.
        if framing != Framing::Length {
            for script in [stopping(framing, SHORT_PART), paced(framing, UNREACHED_LENGTH, TRICKLE)] {
                responses.push(SoakResponse { script, end: ResponseEnd::AfterDeadline });
            }
        }
    }
    responses
}

/// Reads a long response up to its end.
pub async fn read_long_response(record: &mut SoakRecord, stream: &mut TcpStream, response: &SoakResponse) {
    let deadline = record.sent + record.wait;
    let last_piece_at = deadline + response.script.last_piece_at();
    let end = match response.end {
        ResponseEnd::Whole => last_piece_at,
        ResponseEnd::AfterDeadline => deadline + LATE,
        ResponseEnd::AfterSilence => last_piece_at + MAX_SILENCE + LATE,
    };
    let read = timeout_at(end + ANSWER_SLACK, read_whole(stream)).await;
    record.ended = Instant::now();
    record.fate = match read {
        Ok(Ok(body)) if body == pattern(response.script.length) => SoakFate::Served,
        Ok(Err(ResponseError::Status(status))) => {
            record.status = status;
            SoakFate::of_error(status)
        }
        Ok(Err(ResponseError::EndsInHead)) => SoakFate::Lost,
        Err(_) if response.end == ResponseEnd::Whole => SoakFate::Unanswered,
        Ok(_) if response.end == ResponseEnd::Whole => SoakFate::CutOff,
        Ok(_) if record.ended <= end + MAX_STALL + SLACK => SoakFate::EndlessEnded,
        _ => SoakFate::EndlessTooLong,
    };
}
