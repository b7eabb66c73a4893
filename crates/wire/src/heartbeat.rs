//! Heartbeat by h2 PING frames, which drives the life cycle of one open connection.

use std::cell::Cell;
use std::future::poll_fn;
use std::time::Duration;

use event_listener::Event;
use h2::{Ping, PingPong};
use smol::future::FutureExt;
use units::{Clock, Time};

use crate::connection::{Connection, Open, Suspect};

/// State of a connection, shared with its users.
#[derive(Debug, Default)]
pub(crate) struct Health {
    suspect: Cell<bool>,
    closed: Cell<bool>,
    changed: Event,
}

impl Health {
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect.get()
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Marks the connection as closed.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.changed.notify(usize::MAX);
    }

    fn set_suspect(&self, suspect: bool) {
        self.suspect.set(suspect);
        self.changed.notify(usize::MAX);
    }

    /// Waits until `condition` holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(self) {
                return;
            }
            listener.await;
        }
    }
}

/// Sends pings and records in `health` whether they are answered; returns when the connection is to
/// be closed. The connection must be polled concurrently.
pub(crate) async fn run(mut pings: PingPong, health: &Health, clock: Clock) {
    let mut open = Connection::new(clock.now()).open(clock.now());
    loop {
        let suspect = match ping_once(&mut pings, open, clock).await {
            Ok(Ok(answered)) => {
                open = answered;
                continue;
            }
            Ok(Err(suspect)) => suspect,
            Err(_) => return,
        };
        health.set_suspect(true);
        match wait_late_pong(&mut pings, suspect, clock).await {
            Some(answered) => open = answered,
            None => return,
        }
        health.set_suspect(false);
    }
}

/// Sends one ping when it is due and waits for its pong.
async fn ping_once(
    pings: &mut PingPong,
    open: Connection<Open>,
    clock: Clock,
) -> Result<Result<Connection<Open>, Connection<Suspect>>, h2::Error> {
    sleep_until(open.ping_at(), clock).await;
    pings.send_ping(Ping::opaque())?;
    let open = open.ping(clock.now());
    let pong = async {
        poll_fn(|context| pings.poll_pong(context)).await?;
        Ok(Ok(open.pong(clock.now())))
    };
    let timeout = async {
        sleep_until(open.deadline(), clock).await;
        Ok(open.check(clock.now()))
    };
    pong.or(timeout).await
}

/// Waits for the overdue pong of a suspect connection; returns `None` if the time for it runs out.
async fn wait_late_pong(
    pings: &mut PingPong,
    suspect: Connection<Suspect>,
    clock: Clock,
) -> Option<Connection<Open>> {
    let pong = async {
        poll_fn(|context| pings.poll_pong(context)).await.ok()?;
        Some(suspect.pong(clock.now()))
    };
    let timeout = async {
        sleep_until(Some(suspect.deadline()), clock).await;
        None
    };
    pong.or(timeout).await
}

async fn sleep_until(time: Option<Time>, clock: Clock) {
    let Some(time) = time else {
        return;
    };
    // A timer may fire slightly early, as measured by `clock`.
    while clock.now() < time {
        let remaining = Duration::from(time.since(clock.now()));
        smol::Timer::after(remaining).await;
    }
}
