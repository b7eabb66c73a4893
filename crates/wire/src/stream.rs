//! One exchange: frames in both directions over an h2 stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};

use crate::codec::{Decoder, encode};
use crate::error::{Error, Result};
use crate::frame::Frame;

/// One exchange with a peer: an h2 stream that carries frames.
#[derive(Debug)]
pub struct Stream {
    sender: SendStream<Bytes>,
    receiver: Receiver,
}

#[derive(Debug)]
enum Receiver {
    Waiting(h2::client::ResponseFuture),
    Open(RecvStream, Decoder),
}

impl Stream {
    pub(crate) fn client(sender: SendStream<Bytes>, response: h2::client::ResponseFuture) -> Self {
        Stream {
            sender,
            receiver: Receiver::Waiting(response),
        }
    }

    pub(crate) fn server(sender: SendStream<Bytes>, receiver: RecvStream) -> Self {
        Stream {
            sender,
            receiver: Receiver::Open(receiver, Decoder::default()),
        }
    }

    /// Rejects received frames whose payload is longer than `payload_max_bytes`.
    pub(crate) fn with_payload_max(mut self, payload_max_bytes: usize) -> Self {
        if let Receiver::Open(_, decoder) = &mut self.receiver {
            *decoder = Decoder::new(payload_max_bytes);
        }
        self
    }

    /// Sends one frame; waits while the peer's flow-control window is full.
    pub async fn send(&mut self, frame: &Frame) -> Result<()> {
        let mut bytes = encode(frame)?;
        while !bytes.is_empty() {
            self.sender.reserve_capacity(bytes.len());
            let reserved = poll_fn(|context| self.sender.poll_capacity(context)).await;
            let capacity = reserved.ok_or(Error::Ended)??;
            let chunk = bytes.split_to(capacity.min(bytes.len()));
            self.sender.send_data(chunk, false)?;
        }
        Ok(())
    }

    /// Ends the sending direction.
    pub fn finish(&mut self) -> Result<()> {
        Ok(self.sender.send_data(Bytes::new(), true)?)
    }

    /// Waits until the peer resets the exchange or the connection ends.
    pub async fn closed(&mut self) {
        // A reset and an error both mean that the peer will not read anything sent from now on.
        let _ = poll_fn(|context| self.sender.poll_reset(context)).await;
    }

    /// Receives the next frame; returns `None` once the peer has ended its direction.
    pub async fn recv(&mut self) -> Result<Option<Frame>> {
        if let Receiver::Waiting(response) = &mut self.receiver {
            let body = response.await?.into_body();
            self.receiver = Receiver::Open(body, Decoder::default());
        }
        let Receiver::Open(body, decoder) = &mut self.receiver else {
            return Err(Error::Ended);
        };
        loop {
            if let Some(frame) = decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let Some(bytes) = body.data().await else {
                return if decoder.is_empty() {
                    Ok(None)
                } else {
                    Err(Error::Ended)
                };
            };
            let bytes = bytes?;
            body.flow_control().release_capacity(bytes.len())?;
            decoder.extend(&bytes);
        }
    }

    /// Receives the next frame.
    ///
    /// # Errors
    /// [`Error::Ended`] if the peer has ended its direction.
    pub async fn expect(&mut self) -> Result<Frame> {
        self.recv().await?.ok_or(Error::Ended)
    }
}
