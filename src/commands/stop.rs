//! Signals that stop a process or make it read its settings again.

use crate::commands::{Error, Result};

/// Returns a future that completes at the first SIGTERM or SIGINT.
pub(crate) fn signal() -> Result<impl Future<Output = ()> + 'static> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(Error::Signals)?;
    let forward_signals = move || {
        signals.forever().next();
        // Sending fails only if the process is already stopping and has dropped the receiver.
        let _ = sender.send_blocking(());
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(forward_signals)
        .map_err(Error::Signals)?;
    Ok(async move {
        let _ = receiver.recv().await;
    })
}

/// Returns a channel that receives a message after SIGHUP. The process continues to run.
pub(crate) fn reloads() -> Result<async_channel::Receiver<()>> {
    let (sender, receiver) = async_channel::bounded(1);
    let mut signals = signal_hook::iterator::Signals::new([signal_hook::consts::SIGHUP])
        .map_err(Error::Signals)?;
    let forward_signals = move || {
        for _ in signals.forever() {
            // A message that is not read yet also covers the signals after it.
            let _ = sender.try_send(());
        }
    };
    std::thread::Builder::new()
        .name("reloads".into())
        .spawn(forward_signals)
        .map_err(Error::Signals)?;
    Ok(receiver)
}
