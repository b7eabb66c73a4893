//! One exchange: frames in both directions over an h2 stream.

use std::future::poll_fn;

use bytes::Bytes;
use h2::{RecvStream, SendStream};

use crate::codec::{Decoder, encode};
use crate::error::{Error, Result};
use crate::frame::Frame;

/// One exchange with a peer.
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

    /// Allows frames of at most `payload_max` bytes only.
    pub(crate) fn with_payload_max(mut self, payload_max: usize) -> Self {
        if let Receiver::Open(_, decoder) = &mut self.receiver {
            *decoder = Decoder::new(payload_max);
        }
        self
    }

    /// Sends one frame, waiting while the peer's window is full.
    pub async fn send(&mut self, frame: &Frame) -> Result<()> {
        let mut bytes = encode(frame)?;
        while !bytes.is_empty() {
            self.sender.reserve_capacity(bytes.len());
            let granted = poll_fn(|context| self.sender.poll_capacity(context)).await;
            let capacity = granted.ok_or(Error::Ended)??;
            let part = bytes.split_to(capacity.min(bytes.len()));
            self.sender.send_data(part, false)?;
        }
        Ok(())
    }

    /// Ends the sending direction.
    pub fn finish(&mut self) -> Result<()> {
        Ok(self.sender.send_data(Bytes::new(), true)?)
    }

    /// Waits until the peer gives the exchange up or its connection ends.
    pub async fn closed(&mut self) {
        // Either end of the wait means that nothing sent from here on will be read.
        let _ = poll_fn(|context| self.sender.poll_reset(context)).await;
    }

    /// The next frame, or `None` once the peer has ended its direction.
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

    /// The next frame.
    ///
    /// # Errors
    /// [`Error::Ended`] if there is none.
    pub async fn expect(&mut self) -> Result<Frame> {
        self.recv().await?.ok_or(Error::Ended)
    }
}
