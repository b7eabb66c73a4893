//! An answer that grows while several readers follow it, each from its own offset.

use std::cell::{Cell, RefCell};

use event_listener::Event;

/// A growing answer, which ends with a value of type `E`.
#[derive(Debug)]
pub struct Answer<E> {
    bytes: RefCell<Vec<u8>>,
    end: RefCell<Option<E>>,
    restarts: Cell<u32>,
    changed: Event,
}

/// Result of a read from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<E> {
    /// The bytes from the offset on.
    Bytes(Vec<u8>),
    /// The answer was restarted, so that all bytes read before are invalid; carries the number of
    /// restarts.
    Restarted(u32),
    /// The answer has ended at the offset.
    End(E),
}

impl<E: Clone> Answer<E> {
    /// Creates an empty answer.
    pub fn new() -> Self {
        Answer {
            bytes: RefCell::default(),
            end: RefCell::new(None),
            restarts: Cell::new(0),
            changed: Event::new(),
        }
    }

    /// Appends `bytes`.
    pub fn push(&self, bytes: &[u8]) {
        self.bytes.borrow_mut().extend_from_slice(bytes);
        self.changed.notify(usize::MAX);
    }

    /// Discards all bytes, because the answer of another run of the call follows.
    pub fn restart(&self) {
        self.bytes.borrow_mut().clear();
        self.restarts.set(self.restarts.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer; has no effect if it has ended already.
    pub fn finish(&self, end: E) {
        self.end.borrow_mut().get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// Returns all bytes received so far.
    pub fn bytes(&self) -> Vec<u8> {
        self.bytes.borrow().clone()
    }

    /// Returns the number of bytes received so far.
    pub fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Returns whether no bytes have been received.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// Returns the end, or `None` while the answer grows.
    pub fn end(&self) -> Option<E> {
        self.end.borrow().clone()
    }

    /// Returns how many times the answer was restarted.
    pub fn restarts(&self) -> u32 {
        self.restarts.get()
    }

    /// Waits for bytes after `offset` or for the end; `restarts` is the reader's count of restarts.
    pub async fn next(&self, offset: usize, restarts: u32) -> Next<E> {
        loop {
            let listener = self.changed.listen();
            if let Some(next) = self.try_next(offset, restarts) {
                return next;
            }
            listener.await;
        }
    }

    fn try_next(&self, offset: usize, restarts: u32) -> Option<Next<E>> {
        if self.restarts.get() != restarts {
            return Some(Next::Restarted(self.restarts.get()));
        }
        let bytes = self.bytes.borrow();
        if let Some(remaining) = bytes
            .get(offset..)
            .filter(|remaining| !remaining.is_empty())
        {
            return Some(Next::Bytes(remaining.to_vec()));
        }
        self.end().map(Next::End)
    }
}

impl<E: Clone> Default for Answer<E> {
    fn default() -> Self {
        Answer::new()
    }
}
