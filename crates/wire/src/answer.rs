//! An answer that grows while several readers follow it, each from an offset of its own.

use std::cell::{Cell, RefCell};

use event_listener::Event;

/// A growing answer; `E` is how it ends.
#[derive(Debug)]
pub struct Answer<E> {
    bytes: RefCell<Vec<u8>>,
    end: RefCell<Option<E>>,
    restarts: Cell<u32>,
    changed: Event,
}

/// What a reader finds after its offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next<E> {
    /// More bytes.
    Bytes(Vec<u8>),
    /// The answer was begun anew: what was read so far is void.
    Restarted(u32),
    /// Nothing more: the answer has ended.
    End(E),
}

impl<E: Clone> Answer<E> {
    /// An empty answer.
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

    /// Drops what has come so far, because the call runs again elsewhere.
    pub fn restart(&self) {
        self.bytes.borrow_mut().clear();
        self.restarts.set(self.restarts.get() + 1);
        self.changed.notify(usize::MAX);
    }

    /// Ends the answer; only the first end counts.
    pub fn finish(&self, end: E) {
        self.end.borrow_mut().get_or_insert(end);
        self.changed.notify(usize::MAX);
    }

    /// All bytes so far.
    pub fn bytes(&self) -> Vec<u8> {
        self.bytes.borrow().clone()
    }

    /// Number of bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.borrow().len()
    }

    /// Whether no bytes have come.
    pub fn is_empty(&self) -> bool {
        self.bytes.borrow().is_empty()
    }

    /// The end, if it has come.
    pub fn end(&self) -> Option<E> {
        self.end.borrow().clone()
    }

    /// Times that the answer was begun anew.
    pub fn restarts(&self) -> u32 {
        self.restarts.get()
    }

    /// Waits for what comes after `offset` in the answer's beginning number `restarts`.
    pub async fn next(&self, offset: usize, restarts: u32) -> Next<E> {
        loop {
            let listener = self.changed.listen();
            if let Some(next) = self.poll(offset, restarts) {
                return next;
            }
            listener.await;
        }
    }

    fn poll(&self, offset: usize, restarts: u32) -> Option<Next<E>> {
        if self.restarts.get() != restarts {
            return Some(Next::Restarted(self.restarts.get()));
        }
        let bytes = self.bytes.borrow();
        if let Some(rest) = bytes.get(offset..).filter(|rest| !rest.is_empty()) {
            return Some(Next::Bytes(rest.to_vec()));
        }
        self.end().map(Next::End)
    }
}

impl<E: Clone> Default for Answer<E> {
    fn default() -> Self {
        Answer::new()
    }
}
