//! Why an operator's request is refused.

use std::fmt;

use units::Version;

/// Why an operator's request is refused.
#[derive(Debug)]
pub enum Error {
    /// The token is missing or unknown.
    Unauthorized,
    /// The token's role may not do this.
    Forbidden,
    /// There is no such thing.
    NotFound,
    /// The document is not acceptable.
    Document(settings::Error),
    /// The document was changed meanwhile; this version is in force.
    Stale(Version),
    /// The request is malformed.
    Malformed(&'static str),
    /// The platform's service is down: nothing was changed.
    Platform(platform::Error),
}

impl Error {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        match self {
            Error::Unauthorized => 401,
            Error::Forbidden => 403,
            Error::NotFound => 404,
            Error::Document(_) => 422,
            Error::Stale(_) => 409,
            Error::Malformed(_) => 400,
            Error::Platform(_) => 503,
        }
    }

    /// The stable name of the error.
    pub fn code(&self) -> &'static str {
        match self {
            Error::Unauthorized => "unauthorized",
            Error::Forbidden => "forbidden",
            Error::NotFound => "not-found",
            Error::Document(_) => "invalid-document",
            Error::Stale(_) => "stale-version",
            Error::Malformed(_) => "malformed",
            Error::Platform(_) => "store-unavailable",
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unauthorized => f.write_str("the token is missing or unknown"),
            Error::Forbidden => f.write_str("the token's role may not do this"),
            Error::NotFound => f.write_str("there is no such thing"),
            Error::Document(error) => error.fmt(f),
            Error::Stale(version) => write!(f, "version {version} is in force"),
            Error::Malformed(what) => write!(f, "malformed request: {what}"),
            Error::Platform(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Self {
        Error::Platform(error)
    }
}

/// Result of an operator's request.
pub type Result<T> = std::result::Result<T, Error>;
