//! How answers are worded to a client.

use super::reply::Reply;
use crate::driver::FinalResponse;
use crate::upstream::ResponseBody;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The answer to a client that a decision makes.
pub(super) fn response_for(answer: FinalResponse) -> Response<Reply> {
    match answer {
        FinalResponse::Served(kind, content) => {
            let mut response = Response::new(match content {
                ResponseBody::Complete(body) => Reply::whole(body),
                ResponseBody::Streaming(relay) => Reply::passing(relay),
            });
            response.headers_mut().extend(kind.map(|kind| (CONTENT_TYPE, kind)));
            response
        }
        FinalResponse::Rejected(after) => {
            let mut response =
                plain_response(StatusCode::TOO_MANY_REQUESTS, "refused; trying again is harmless");
            let after =
                after.and_then(|after| HeaderValue::from_str(&format!("{:.3}", after.ms() / 1e3)).ok());
            response.headers_mut().extend(after.map(|after: HeaderValue| (RETRY_AFTER, after)));
            response
        }
        FinalResponse::Failed(status) => plain_response(status, "failed"),
    }
}

/// An answer of the agent itself, in plain text.
pub(super) fn plain_response(status: StatusCode, why: &str) -> Response<Reply> {
    let mut response = Response::new(Reply::whole(Bytes::from(format!("{why}\n"))));
    *response.status_mut() = status;
    let kind: (HeaderName, HeaderValue) = (CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    response.headers_mut().extend([kind]);
    response
}
