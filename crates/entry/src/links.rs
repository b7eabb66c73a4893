//! Connections to the listed hosts.

use std::rc::Rc;

use board::Observation;
use platform::api::HostInfo;
use smol::LocalExecutor;
use units::{Host, Program, Span};
use wire::{Frame, Link, Result};

use crate::traffic::Traffic;

const SCAN_INTERVAL: Span = Span::from_ms(100);
const RECONNECT_DELAY: Span = Span::from_ms(200);

/// Keeps a connection to each listed host.
pub(crate) async fn keep(traffic: Rc<Traffic>, executor: Rc<LocalExecutor<'static>>) {
    loop {
        let view = traffic.shared.view.load_full();
        for info in &view.hosts {
            if traffic.connecting.borrow_mut().insert(info.host.clone()) {
                executor
                    .spawn(keep_one(traffic.clone(), executor.clone(), info.clone()))
                    .detach();
            }
        }
        smol::Timer::after(SCAN_INTERVAL.into()).await;
    }
}

/// Keeps the connection to one host until it is no longer listed at this address.
async fn keep_one(traffic: Rc<Traffic>, executor: Rc<LocalExecutor<'static>>, info: HostInfo) {
    while traffic.shared.view.load().hosts.contains(&info) {
        let identity = &traffic.shared.identity;
        match Link::connect(&executor, info.address, &traffic.key, identity).await {
            Ok(link) => {
                use_link(&traffic, &info.host, link).await;
                traffic.links.borrow_mut().remove(&info.host);
                traffic.observe(Observation::Down(info.host.clone())).await;
            }
            Err(_) => traffic.shared.metrics.count("connect-failed"),
        }
        smol::Timer::after(RECONNECT_DELAY.into()).await;
    }
    traffic.connecting.borrow_mut().remove(&info.host);
}

/// Offers a connection to calls until it breaks.
async fn use_link(traffic: &Traffic, host: &Host, link: Link) {
    let mut identity = link.peer().clone();
    identity.host = host.clone();
    traffic
        .links
        .borrow_mut()
        .insert(host.clone(), link.clone());
    traffic.observe(Observation::Up(identity)).await;
    // The watch ends with the connection, which is all that matters here.
    let _ = watch(traffic, host, &link).await;
}

async fn watch(traffic: &Traffic, host: &Host, link: &Link) -> Result<()> {
    let mut stream = link.open(&Frame::Watch).await?;
    loop {
        if let Frame::Load(load) = stream.expect().await? {
            traffic.observe(Observation::Load(host.clone(), load)).await;
        }
    }
}

/// Tells all sidecars that a program has ended.
pub(crate) async fn release(traffic: &Traffic, program: Program) {
    let view = traffic.shared.view.load_full();
    for endpoint in &view.endpoints {
        if let Some(link) = traffic.link(&endpoint.host)
            && link.call(&Frame::Release(program)).await.is_err()
        {
            traffic.shared.metrics.count("release-failed");
        }
    }
}
