//! Orders to the endpoint, with fencing numbers.
//!
//! If the endpoint checks fencing numbers, its result is passed on. If it ignores them, this
//! process checks them, which suffices because it is the endpoint's only client. Invariants in this
//! case:
//! - Orders are sent to the endpoint one at a time, each with a higher number than all before,
//!   except that the last one may be repeated.
//! - After a restart, no order is sent before the endpoint's last fencing number has been read.

use std::cell::RefCell;

use smol::lock::Mutex;
use wire::{Fence, Order, Ordered, Ran, Reason, Refused};

use crate::endpoint::Client;

/// Check of fencing numbers against the last accepted order, as a pure state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FenceCheck {
    last: Option<LastOrder>,
}

/// The last accepted order.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LastOrder {
    fence: Fence,
    /// `None` if the order was accepted before this process started.
    order: Option<Order>,
}

impl FenceCheck {
    /// Creates a check that has accepted no order.
    pub fn new() -> Self {
        FenceCheck::default()
    }

    /// Records the fencing number of the endpoint's last order, as read from the endpoint.
    pub fn record_last_fence(&mut self, fence: Fence) {
        if self.last.as_ref().is_none_or(|last| fence > last.fence) {
            self.last = Some(LastOrder { fence, order: None });
        }
    }

    /// Accepts an order and records it as the last one.
    ///
    /// # Errors
    /// The last order's fencing number, if the order has a lower one, or the same one but differs.
    pub fn accept(&mut self, order: &Order) -> std::result::Result<(), Fence> {
        if let Some(last) = &self.last {
            let is_repeated = last.order.as_ref() == Some(order);
            if order.fence <= last.fence && !is_repeated {
                return Err(last.fence);
            }
        }
        self.last = Some(LastOrder {
            fence: order.fence,
            order: Some(order.clone()),
        });
        Ok(())
    }
}

/// Sender of orders to one endpoint.
#[derive(Debug)]
pub(crate) struct Orders {
    checked_by_endpoint: bool,
    /// `None` until the endpoint's last fencing number has been read.
    fence_check: RefCell<Option<FenceCheck>>,
    send_lock: Mutex<()>,
}

impl Orders {
    pub(crate) fn new(checked_by_endpoint: bool) -> Self {
        Orders {
            checked_by_endpoint,
            fence_check: RefCell::default(),
            send_lock: Mutex::new(()),
        }
    }

    /// Sends an order to the endpoint, unless its fencing number is outdated.
    pub(crate) async fn send(&self, client: &Client, order: &Order) -> Ordered {
        if self.checked_by_endpoint {
            return client.send_order(order).await;
        }
        let _guard = self.send_lock.lock().await;
        if let Err(refused) = self.read_last_fence(client).await {
            return Ordered::Refused(refused);
        }
        // Recorded before sending, as the order may take effect even if its response is lost.
        let accepted = self
            .fence_check
            .borrow_mut()
            .get_or_insert_default()
            .accept(order);
        match accepted {
            Ok(()) => client.send_order(order).await,
            Err(last_fence) => Ordered::Fenced(last_fence),
        }
    }

    /// Reads the fencing number of the endpoint's last order, unless it has been read before.
    async fn read_last_fence(&self, client: &Client) -> std::result::Result<(), Refused> {
        if self.fence_check.borrow().is_some() {
            return Ok(());
        }
        let unreachable = Refused {
            ran: Ran::No,
            reason: Reason::Unreachable,
        };
        let last_fence = client.last_fence().await.map_err(|_| unreachable)?;
        let mut fence_check = FenceCheck::new();
        if let Some(fence) = last_fence {
            fence_check.record_last_fence(fence);
        }
        self.fence_check.borrow_mut().get_or_insert(fence_check);
        Ok(())
    }
}
