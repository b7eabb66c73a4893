//! The token that every final answer carries: the log of a program and the head of its history.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use units::{Digest, Incarnation, Program, Seq};

use crate::error::{Error, Result};

const AUTHENTICATOR_BYTES: usize = 32;

/// Head of a program's history at the time of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Token {
    /// The program.
    pub program: Program,
    /// Sequence number of the last answered call.
    pub seq: Seq,
    /// Digest of the chain of turns up to that call.
    pub head: Digest,
    /// Writer of the log that holds the turns.
    pub writer: Incarnation,
    /// Sidecars that hold the turns that are not in the log yet; empty if all are in it.
    pub witnesses: Vec<Incarnation>,
}

impl Token {
    /// Encodes the token as text, authenticated with `key`.
    pub fn encode(&self, key: &[u8; 32]) -> String {
        let payload = self.payload();
        let mut bytes = Digest::keyed(key, &payload).bytes().to_vec();
        bytes.extend_from_slice(&payload);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a token and verifies that it was encoded with `key`.
    ///
    /// # Errors
    /// [`Error::Token`] if it was not, or if it is malformed.
    pub fn decode(text: &str, key: &[u8; 32]) -> Result<Self> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Error::Token)?;
        let (authenticator, payload) = bytes
            .split_at_checked(AUTHENTICATOR_BYTES)
            .ok_or(Error::Token)?;
        let mut expected = Digest::keyed(key, payload).bytes().to_vec();
        expected.truncate(AUTHENTICATOR_BYTES);
        if !Digest::of(&expected).matches(&Digest::of(authenticator)) {
            return Err(Error::Token);
        }
        let fields = std::str::from_utf8(payload).map_err(|_| Error::Token)?;
        Self::parse(fields).ok_or(Error::Token)
    }

    fn payload(&self) -> Vec<u8> {
        format!("{self}").into_bytes()
    }

    fn parse(text: &str) -> Option<Self> {
        let mut fields = text.split(' ');
        let mut token = Token {
            program: fields.next()?.parse().ok()?,
            seq: fields.next()?.parse().ok()?,
            head: fields.next()?.parse().ok()?,
            writer: fields.next()?.parse().ok()?,
            witnesses: Vec::new(),
        };
        for witness in fields {
            token.witnesses.push(witness.parse().ok()?);
        }
        Some(token)
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} {} {} {}",
            self.program, self.seq, self.head, self.writer
        )?;
        let mut witnesses = self.witnesses.iter();
        witnesses.try_for_each(|witness| write!(f, " {witness}"))
    }
}
