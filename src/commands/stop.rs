//! The signals to stop and to read the settings again.

use crate::commands::{Error, Result};

/// Resolves at the first SIGTERM or SIGINT.
pub(crate) fn signal() -> Result<impl Future<Output = ()> + 'static> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(Error::Signals)?;
    let wait = move || {
        signals.forever().next();
        // The receiver is gone only if the process is stopping already.
        let _ = sender.send_blocking(());
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(wait)
        .map_err(Error::Signals)?;
    Ok(async move {
        let _ = receiver.recv().await;
    })
}

/// A message for each SIGHUP; the process goes on.
pub(crate) fn reloads() -> Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGHUP])
        .map_err(Error::Signals)?;
    let wait = move || {
        for _ in signals.forever() {
            // One that waits to be read stands for all that come meanwhile.
            let _ = sender.try_send(());
        }
    };
    std::thread::Builder::new()
        .name("reloads".into())
        .spawn(wait)
        .map_err(Error::Signals)?;
    Ok(receiver)
}
