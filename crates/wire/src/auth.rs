//! Mutual authentication by a shared key: each end authenticates the nonce of the other.

use std::fmt;
use std::str::FromStr;

use units::Digest;

use crate::error::{Error, Result};
use crate::frame::{Frame, Identity};
use crate::stream::Stream;

/// The key that all processes of an environment share; `Debug` does not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct Key([u8; 32]);

impl Key {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Key(bytes)
    }

    /// Returns the authenticator of `bytes`.
    pub fn sign(&self, bytes: &[u8]) -> Digest {
        Digest::keyed(&self.0, bytes)
    }

    fn proof(&self, side: &str, nonce: &[u8; 32], identity: &Identity) -> Digest {
        let mut bytes = side.as_bytes().to_vec();
        bytes.extend_from_slice(nonce);
        bytes.extend_from_slice(format!("{identity:?}").as_bytes());
        self.sign(&bytes)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl FromStr for Key {
    type Err = units::Error;

    fn from_str(text: &str) -> units::Result<Self> {
        let digest: Digest = text.parse()?;
        Ok(Key(*digest.bytes()))
    }
}

/// Performs the client's side of the handshake; returns the server's identity.
pub(crate) async fn authenticate_server(
    stream: &mut Stream,
    key: &Key,
    own: &Identity,
) -> Result<Identity> {
    let nonce: [u8; 32] = rand::random();
    let hello = Frame::Hello {
        identity: own.clone(),
        nonce,
        proof: Digest::default(),
    };
    stream.send(&hello).await?;
    let Frame::Hello {
        identity,
        nonce: challenge,
        proof,
    } = stream.expect().await?
    else {
        return Err(Error::Unexpected("in place of Hello"));
    };
    if !proof.matches(&key.proof("server", &nonce, &identity)) {
        return Err(Error::Authentication);
    }
    stream
        .send(&Frame::Proof(key.proof("client", &challenge, own)))
        .await?;
    match stream.expect().await? {
        Frame::Welcome => Ok(identity),
        other => Err(Error::Unexpected(other.kind())),
    }
}

/// Performs the server's side of the handshake up to `Welcome`; returns the client's identity.
pub(crate) async fn authenticate_client(
    stream: &mut Stream,
    key: &Key,
    own: &Identity,
) -> Result<Identity> {
    let Frame::Hello {
        identity, nonce, ..
    } = stream.expect().await?
    else {
        return Err(Error::Authentication);
    };
    let challenge: [u8; 32] = rand::random();
    let proof = key.proof("server", &nonce, own);
    stream
        .send(&Frame::Hello {
            identity: own.clone(),
            nonce: challenge,
            proof,
        })
        .await?;
    let Frame::Proof(proof) = stream.expect().await? else {
        return Err(Error::Authentication);
    };
    if !proof.matches(&key.proof("client", &challenge, &identity)) {
        return Err(Error::Authentication);
    }
    Ok(identity)
}
