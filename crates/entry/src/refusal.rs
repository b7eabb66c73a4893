//! Refusals of callers' requests.

use std::fmt;

use http_types::Response;
use program::Refusal as AdmissionRefusal;
use serde_json::{Value, json};
use units::{Span, Target};
use wire::{Ran, Reason};

const RETRY_AFTER_MS: u64 = 500;

/// Why a caller's request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request does not have the required form; names the fault.
    Malformed(String),
    /// The body is longer than the limit in bytes.
    TooLarge(u64),
    /// The token is missing or unknown.
    Unauthorized,
    /// The account may not use the class.
    ClassNotAllowed,
    /// The account has reached this limit of programs under way.
    Quota(u64),
    /// There is no such program of this account.
    UnknownProgram,
    /// There is no such program, or it ended so long ago that its calls are no longer in memory.
    ExpiredProgram,
    /// There is no such call.
    UnknownCall,
    /// There is no such path.
    UnknownPath,
    /// The document defines no such model or service.
    UnknownTarget(Target),
    /// The `after` token is not authentic or is for another program.
    InvalidToken,
    /// The program does not admit the call.
    NotAdmitted(AdmissionRefusal),
    /// This entry is leaving or not ready.
    Unready,
    /// The program's owner or part of its history cannot be reached now.
    Unavailable,
    /// The call was dispatched, but its answer could not be recorded here. The program's owner
    /// answers a repeated request.
    Unrecorded,
    /// No endpoint serves the target now.
    NoEndpoint,
    /// A new program would not be completed in time; a retry makes sense after this delay.
    Overloaded(Span),
    /// Requests, or the histories of programs, take all the memory that they may.
    MemoryFull,
    /// The endpoint gave no complete answer.
    Endpoint(Ran, Reason),
    /// The call may or may not have run; it is never dispatched again.
    Indeterminate,
}

impl Refusal {
    /// The HTTP status.
    pub(crate) fn status(&self) -> u16 {
        match self {
            Refusal::Malformed(_) => 400,
            Refusal::TooLarge(_) => 413,
            Refusal::Unauthorized => 401,
            Refusal::ClassNotAllowed => 403,
            Refusal::Quota(_) => 429,
            Refusal::UnknownProgram
            | Refusal::ExpiredProgram
            | Refusal::UnknownCall
            | Refusal::UnknownPath => 404,
            Refusal::UnknownTarget(_) => 422,
            Refusal::InvalidToken => 400,
            Refusal::NotAdmitted(refusal) => match refusal {
                AdmissionRefusal::Gap(_)
                | AdmissionRefusal::Mismatch(_)
                | AdmissionRefusal::Busy(_) => 409,
                AdmissionRefusal::Ended => 410,
                AdmissionRefusal::Budget => 402,
                AdmissionRefusal::Loop => 429,
                AdmissionRefusal::Deadline => 408,
            },
            Refusal::Unready
            | Refusal::Unavailable
            | Refusal::Unrecorded
            | Refusal::NoEndpoint
            | Refusal::Overloaded(_)
            | Refusal::MemoryFull => 503,
            Refusal::Endpoint(..) | Refusal::Indeterminate => 502,
        }
    }

    /// The code of the refusal in responses and metrics.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Refusal::Malformed(_) => "malformed",
            Refusal::TooLarge(_) => "too-large",
            Refusal::Unauthorized => "unauthorized",
            Refusal::ClassNotAllowed => "class-not-allowed",
            Refusal::Quota(_) => "quota",
            Refusal::UnknownProgram | Refusal::ExpiredProgram => "unknown-program",
            Refusal::UnknownCall => "unknown-call",
            Refusal::UnknownPath => "unknown-path",
            Refusal::UnknownTarget(_) => "unknown-target",
            Refusal::InvalidToken => "invalid-after",
            Refusal::NotAdmitted(refusal) => match refusal {
                AdmissionRefusal::Gap(_) => "gap",
                AdmissionRefusal::Mismatch(_) => "mismatch",
                AdmissionRefusal::Busy(_) => "busy",
                AdmissionRefusal::Ended => "ended",
                AdmissionRefusal::Budget => "budget",
                AdmissionRefusal::Loop => "loop",
                AdmissionRefusal::Deadline => "deadline",
            },
            Refusal::Unready => "unready",
            Refusal::Unavailable => "history-unavailable",
            Refusal::Unrecorded => "unrecorded",
            Refusal::NoEndpoint => "no-endpoint",
            Refusal::Overloaded(_) | Refusal::MemoryFull => "overloaded",
            Refusal::Endpoint(..) => "endpoint",
            Refusal::Indeterminate => "indeterminate",
        }
    }

    /// Whether the request ran.
    pub(crate) fn ran(&self) -> Ran {
        match self {
            Refusal::Endpoint(ran, _) => *ran,
            Refusal::Indeterminate | Refusal::Unrecorded | Refusal::ExpiredProgram => Ran::Unknown,
            _ => Ran::No,
        }
    }

    /// Milliseconds after which a retry makes sense, if one does.
    pub(crate) fn retry_after_ms(&self) -> Option<u64> {
        if let Refusal::Overloaded(delay) = self {
            return Some(delay.as_ms());
        }
        (self.status() == 503).then_some(RETRY_AFTER_MS)
    }

    /// The refusal as JSON.
    pub(crate) fn json(&self) -> Value {
        json!({
            "type": "error", "code": self.code(), "ran": self.ran(),
            "retry_after_ms": self.retry_after_ms(), "message": self.to_string(),
        })
    }

    /// The refusal as an HTTP response.
    pub(crate) fn response(&self) -> Response {
        let mut response = Response::new(self.status());
        response.set_body(self.json().to_string());
        response.insert_header("content-type", "application/json");
        if let Some(ms) = self.retry_after_ms() {
            response.insert_header("retry-after", ms.div_ceil(1_000).to_string());
        }
        response
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Malformed(why) => write!(f, "the request is malformed: {why}"),
            Refusal::TooLarge(limit) => write!(f, "the body is longer than {limit} bytes"),
            Refusal::Unauthorized => f.write_str("the token is missing or unknown"),
            Refusal::ClassNotAllowed => f.write_str("the account may not use this class"),
            Refusal::Quota(limit) => {
                write!(
                    f,
                    "the account has {limit} programs under way, as many as it may"
                )
            }
            Refusal::UnknownProgram => f.write_str("there is no such program"),
            Refusal::ExpiredProgram => {
                f.write_str("there is no such program, or it ended long ago")
            }
            Refusal::UnknownCall => f.write_str("there is no such call"),
            Refusal::UnknownPath => f.write_str("there is no such path"),
            Refusal::UnknownTarget(target) => write!(f, "{target} is no model or service"),
            Refusal::InvalidToken => f.write_str("`after` was not issued for this program"),
            Refusal::NotAdmitted(refusal) => refusal.fmt(f),
            Refusal::Unready => f.write_str("this entry accepts no work now"),
            Refusal::Unavailable => f.write_str("the program's history is not yet available"),
            Refusal::Unrecorded => f.write_str("the call's answer could not be recorded here"),
            Refusal::NoEndpoint => f.write_str("no endpoint serves the target now"),
            Refusal::Overloaded(_) => {
                f.write_str("a new program would not be done in time under this load")
            }
            Refusal::MemoryFull => {
                f.write_str("requests and programs take all the memory that they may")
            }
            Refusal::Endpoint(_, reason) => reason.fmt(f),
            Refusal::Indeterminate => {
                f.write_str("the call may or may not have run and is not dispatched again")
            }
        }
    }
}

impl From<AdmissionRefusal> for Refusal {
    fn from(refusal: AdmissionRefusal) -> Self {
        Refusal::NotAdmitted(refusal)
    }
}

/// Result of a caller's request.
pub(crate) type Result<T> = std::result::Result<T, Refusal>;
