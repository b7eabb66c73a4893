//! HTTP endpoints `/metrics`, `/live` and `/ready`.

use std::rc::Rc;

use http_types::{Request, Response, StatusCode};
use intake::Listener;
use smol::LocalExecutor;

use crate::calls::Calls;

/// Serves the status of a sidecar.
pub(crate) async fn serve(
    executor: Rc<LocalExecutor<'static>>,
    listener: Listener,
    calls: Rc<Calls>,
) {
    let handler = move |request: Request| {
        let calls = calls.clone();
        async move { respond(&calls, request.url().path()) }
    };
    http_io::serve(executor, listener, handler).await;
}

fn respond(calls: &Calls, path: &str) -> Response {
    let load = calls.load();
    match path {
        "/live" => Response::new(StatusCode::Ok),
        "/ready" if calls.is_ready() => Response::new(StatusCode::Ok),
        "/ready" => Response::new(StatusCode::ServiceUnavailable),
        "/metrics" => {
            calls
                .metrics
                .set_gauge("running-calls", i64::from(load.running));
            calls
                .metrics
                .set_gauge("queued-calls", i64::from(load.queued));
            let version = calls.replica.borrow().version();
            calls
                .metrics
                .set_gauge("document-version", version.0 as i64);
            let witness_bytes = calls.witness.borrow().held();
            calls
                .metrics
                .set_gauge("witness-bytes", witness_bytes.0 as i64);
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(calls.metrics.render());
            response.insert_header("content-type", "text/plain; version=0.0.4");
            response
        }
        _ => Response::new(StatusCode::NotFound),
    }
}
