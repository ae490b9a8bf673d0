//! Health checks of servers.

use super::attempt::{AttemptResult, ResponseBody};
use super::load_report::parse_load_report;
use super::pool::SpareConnections;
use super::Upstream;
use crate::memory::BodyBytes;
use crate::streaming_body::OutgoingBody;
use bellcroft_balancer::{Outcome, ServerId};
use hyper::Request;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// The timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

impl Upstream {
    /// Sends a health check to a server. If the settings name fields of load reports, the health check requests a load
    /// report.
    pub async fn check_health(&self, server: ServerId) -> AttemptResult {
        let health_check = self.send_health_check(server);
        timeout(HEALTH_CHECK_TIMEOUT, health_check)
            .await
            .unwrap_or(AttemptResult::without_response(Outcome::TimedOut))
    }

    async fn send_health_check(&self, server: ServerId) -> AttemptResult {
        let path = if self.report_fields.borrow().is_empty() { "/health" } else { "/status/load" };
        let request =
            Request::get(path).header("host", "backend").body(OutgoingBody::Complete(BodyBytes::default()));
        let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT;
        let connection = self.pool.acquire(server, deadline, SpareConnections::Forbidden).await;
        let (connection, request) = match (connection, request) {
            (Ok(connection), Ok(request)) => (connection, request),
            (Err(outcome), _) => return AttemptResult::without_response(outcome),
            (Ok(_), Err(_)) => return AttemptResult::without_response(Outcome::NotSent),
        };
        connection.progress.start_window.set(None);
        connection.progress.first_byte.set(None);
        connection.progress.request_end.set(u64::MAX);
        let result = self.exchange(connection, request, None, || deadline).await;
        let mut result = result.unwrap_or(AttemptResult::without_response(Outcome::ConnectionReset));
        if let (None, Some((_, ResponseBody::Complete(body)))) = (&result.report, &mut result.response) {
            let bytes = body.pop().unwrap_or_default();
            let text = std::str::from_utf8(&bytes).ok();
            result.report = text.and_then(|text| parse_load_report(text, &self.report_fields.borrow()));
        }
        result
    }
}
