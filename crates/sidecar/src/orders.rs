//! Orders to the endpoint, fenced.
//!
//! Where the endpoint checks fencing numbers, its verdict is passed on. Where it ignores them, this
//! process checks them, which suffices as it is the endpoint's only client. Invariants there:
//! - Orders go to the endpoint one at a time, each with a higher number than all before, except that
//!   the last one may be sent again.
//! - After a restart nothing is ordered before the endpoint has told its last order.

use std::cell::RefCell;

use smol::lock::Mutex;
use wire::{Fence, Order, Ordered, Ran, Reason, Refused};

use crate::endpoint::Client;

/// The order taken last, as a pure state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceCheck {
    last: Option<Last>,
}

/// An order that was taken.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Last {
    fence: Fence,
    /// What was ordered, unless it was before this process began.
    order: Option<Order>,
}

impl FenceCheck {
    /// No order has been taken.
    pub fn new() -> Self {
        FenceCheck::default()
    }

    /// The endpoint has told its last order's number.
    pub fn record_last_fence(&mut self, fence: Fence) {
        if self.last.as_ref().is_none_or(|last| fence > last.fence) {
            self.last = Some(Last { fence, order: None });
        }
    }

    /// Takes an order.
    ///
    /// # Errors
    /// The last order's number, if the order is older, or another one of the same number.
    pub fn accept(&mut self, order: &Order) -> std::result::Result<(), Fence> {
        if let Some(last) = &self.last {
            let again = last.order.as_ref() == Some(order);
            if order.fence <= last.fence && !again {
                return Err(last.fence);
            }
        }
        self.last = Some(Last {
            fence: order.fence,
            order: Some(order.clone()),
        });
        Ok(())
    }
}

/// The orders of one endpoint.
#[derive(Debug)]
pub(crate) struct Orders {
    checked_by_endpoint: bool,
    gate: RefCell<Option<FenceCheck>>,
    turn: Mutex<()>,
}

impl Orders {
    pub(crate) fn new(checked_by_endpoint: bool) -> Self {
        Orders {
            checked_by_endpoint,
            gate: RefCell::default(),
            turn: Mutex::new(()),
        }
    }

    /// Has an order carried out, unless it is too old.
    pub(crate) async fn order(&self, client: &Client, order: &Order) -> Ordered {
        if self.checked_by_endpoint {
            return client.carry_out(order).await;
        }
        let _turn = self.turn.lock().await;
        if let Err(refused) = self.learn(client).await {
            return Ordered::Refused(refused);
        }
        // The number counts from here on, as the order may take effect though its answer is lost.
        let passed = self.gate.borrow_mut().get_or_insert_default().accept(order);
        match passed {
            Ok(()) => client.carry_out(order).await,
            Err(last) => Ordered::Fenced(last),
        }
    }

    /// Asks the endpoint for its last order, once.
    async fn learn(&self, client: &Client) -> std::result::Result<(), Refused> {
        if self.gate.borrow().is_some() {
            return Ok(());
        }
        let unreachable = Refused {
            ran: Ran::No,
            reason: Reason::Unreachable,
        };
        let last = client.last_order().await.map_err(|_| unreachable)?;
        let mut gate = FenceCheck::new();
        if let Some(fence) = last {
            gate.record_last_fence(fence);
        }
        self.gate.borrow_mut().get_or_insert(gate);
        Ok(())
    }
}
