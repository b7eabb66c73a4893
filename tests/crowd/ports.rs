//! Each kind of crowd, on each port that a process of the product listens on.

use crate::host::{Host, Port};
use crate::kinds;

/// Defines a module for each port, with a test for each kind of crowd.
macro_rules! crowds {
    ($($module:ident: $port:ident => $kinds:tt)+) => {
        $(
            mod $module {
                use super::*;
                crowds!(@kinds $port $kinds);
            }
        )+
    };
    (@kinds $port:ident [$($kind:ident),+ $(,)?]) => {
        $(
            #[test]
            fn $kind() {
                let mut host = Host::start(Port::$port);
                kinds::$kind(&mut host);
                host.check();
            }
        )+
    };
    (@kinds $port:ident requests) => {
        crowds!(@kinds $port [
            bodies_that_are_whole,
            bodies_that_stop_short,
            bodies_piece_by_piece_that_stop_short,
            bodies_in_large_chunks_that_stop_short,
            bodies_in_very_small_chunks_that_stop_short,
            bodies_over_the_limit_that_are_announced,
            bodies_over_the_limit_that_are_just_sent,
            heads_that_do_not_end,
            idle_connections,
        ]);
    };
    (@kinds $port:ident messages) => {
        crowds!(@kinds $port [
            bodies_that_are_whole,
            heads_that_do_not_end,
            idle_connections,
            messages_that_stop_short,
            messages_piece_by_piece_that_stop_short,
            messages_in_very_small_frames_that_stop_short,
            messages_over_the_limit_that_are_announced,
            exchanges_without_a_message,
            header_blocks_that_do_not_end,
            connections_without_authentication,
        ]);
    };
}

crowds! {
    entry_callers: EntryCallers => requests
    entry_peers: EntryPeers => messages
    entry_admin: EntryAdmin => requests
    sidecar_peers: SidecarPeers => messages
    sidecar_status: SidecarStatus => requests
    gateway_callers: GatewayCallers => requests
    gateway_peers: GatewayPeers => messages
    gateway_status: GatewayStatus => requests
}

/// Crowds on all ports of one process together; the shares of the ports leave room for the process.
mod all_ports {
    use super::*;

    fn run(callers: Option<Port>, peers: Port, operators: Port) {
        let mut host = Host::start(peers);
        kinds::messages_in_very_small_frames_that_stop_short(&mut host);
        for port in callers.into_iter().chain([operators]) {
            host.move_to(port);
            kinds::bodies_that_stop_short(&mut host);
        }
        host.check();
    }

    #[test]
    fn entry() {
        run(Some(Port::EntryCallers), Port::EntryPeers, Port::EntryAdmin);
    }

    #[test]
    fn sidecar() {
        run(None, Port::SidecarPeers, Port::SidecarStatus);
    }

    #[test]
    fn gateway() {
        run(
            Some(Port::GatewayCallers),
            Port::GatewayPeers,
            Port::GatewayStatus,
        );
    }
}
