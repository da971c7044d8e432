//! The reasons why a request is refused before it becomes a job, and the HTTP status of each.

use crate::http::HeadError;

/// Why a request is refused. Each reason has one HTTP status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reject {
    /// 400: the request is malformed, or its class or tenant is unknown.
    BadRequest,
    /// 404: the path is unknown.
    NotFound,
    /// 405: the path allows only the method given here.
    MethodNotAllowed(&'static str),
    /// 408: the request was not complete before its deadline.
    RequestTimeout,
    /// 409: a request with this id is still open.
    DuplicateId,
    /// 411: the request does not state the length of its body.
    LengthRequired,
    /// 422: the idempotency key was used for a request with another body or class.
    KeyReused,
    /// 413: the body is too large.
    BodyTooLarge,
    /// 431: the head is too large.
    HeadTooLarge,
    /// 501: the transfer coding is not supported.
    UnsupportedCoding,
    /// 503: no file descriptors are left for the request.
    Overloaded,
    /// 503 to a readiness check: this dispatcher is not ready, or is about to stop.
    NotReady,
    /// 505: the version of HTTP is not supported.
    UnsupportedVersion,
}

impl Reject {
    /// The status code and reason phrase.
    pub(super) fn status(self) -> &'static str {
        match self {
            Reject::BadRequest => "400 Bad Request",
            Reject::NotFound => "404 Not Found",
            Reject::MethodNotAllowed(_) => "405 Method Not Allowed",
            Reject::RequestTimeout => "408 Request Timeout",
            Reject::DuplicateId => "409 Conflict",
            Reject::LengthRequired => "411 Length Required",
            Reject::BodyTooLarge => "413 Content Too Large",
            Reject::KeyReused => "422 Unprocessable Content",
            Reject::HeadTooLarge => "431 Request Header Fields Too Large",
            Reject::UnsupportedCoding => "501 Not Implemented",
            Reject::Overloaded | Reject::NotReady => "503 Service Unavailable",
            Reject::UnsupportedVersion => "505 HTTP Version Not Supported",
        }
    }

    /// Whether the connection closes after this response, because the start of the next request is unknown.
    pub fn closes_connection(self) -> bool {
        !matches!(
            self,
            Reject::BadRequest
                | Reject::NotFound
                | Reject::MethodNotAllowed(_)
                | Reject::DuplicateId
                | Reject::KeyReused
                | Reject::NotReady
        )
    }
}

impl From<HeadError> for Reject {
    fn from(error: HeadError) -> Reject {
        match error {
            HeadError::Malformed | HeadError::AmbiguousLength => Reject::BadRequest,
            HeadError::TooLarge => Reject::HeadTooLarge,
            HeadError::BodyTooLarge => Reject::BodyTooLarge,
            HeadError::UnsupportedCoding => Reject::UnsupportedCoding,
            HeadError::UnsupportedVersion => Reject::UnsupportedVersion,
        }
    }
}
