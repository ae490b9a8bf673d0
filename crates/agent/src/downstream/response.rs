//! Builds the responses to a client.

use super::response_body::ClientResponseBody;
use crate::driver::FinalResponse;
use crate::sound_request::{RequestPosition, UnsoundFinding, UnsoundRequest};
use crate::upstream::ResponseBody;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The HTTP response for the driver's final response.
pub(super) fn response_for(response: FinalResponse) -> Response<ClientResponseBody> {
    match response {
        FinalResponse::Served(content_type, body) => {
            let mut response = Response::new(match body {
                ResponseBody::Complete(body) => ClientResponseBody::complete(body),
                ResponseBody::Streaming(relay) => ClientResponseBody::relayed(relay),
            });
            response.headers_mut().extend(content_type.map(|content_type| (CONTENT_TYPE, content_type)));
            response
        }
        FinalResponse::Shed(retry_after) => {
            let mut response =
                plain_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
            let retry_after =
                retry_after.and_then(|after| HeaderValue::from_str(&format!("{:.3}", after.ms() / 1e3)).ok());
            response.headers_mut().extend(retry_after.map(|after: HeaderValue| (RETRY_AFTER, after)));
            response
        }
        FinalResponse::Failed(status) => plain_response(status, "failed"),
    }
}

/// The response to a request that is not sound.
pub(super) fn unsound_response(finding: UnsoundFinding) -> Response<ClientResponseBody> {
    let mut response = plain_response(finding.status(), &finding.to_string());
    let UnsoundFinding { rule, position } = finding;
    if let (UnsoundRequest::Method(allowed), RequestPosition::Own) = (rule, position) {
        response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    }
    response
}

/// A plain-text response of the agent itself.
pub(super) fn plain_response(status: StatusCode, text: &str) -> Response<ClientResponseBody> {
    let mut response = Response::new(ClientResponseBody::complete(Bytes::from(format!("{text}\n")).into()));
    *response.status_mut() = status;
    let content_type: (HeaderName, HeaderValue) = (CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response.headers_mut().extend([content_type]);
    response
}
