//! Stand-in of a sound worker: answers 421 to a request for another instance, 503 with `Not-Executed` when
//! it is full, and runs every other request.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, Head};

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub tenant: String,
    pub at: Instant,
}

#[derive(Clone)]
pub struct Kind {
    pub slots: usize,
    /// Time to the first event, or to the answer of a plain service.
    pub work: Duration,
    /// Events of a stream; 0 for a plain answer.
    pub events: usize,
    /// Time between two events.
    pub pause: Duration,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    kind: Kind,
    runs: Arc<Mutex<Vec<Run>>>,
    running: Arc<AtomicUsize>,
}

impl Worker {
    /// Starts a worker; all that share `runs` record there.
    pub fn start(address: &str, id: &str, kind: Kind, runs: Arc<Mutex<Vec<Run>>>) -> Worker {
        let listener = TcpListener::bind(address).expect("worker address");
        let worker = Worker {
            id: id.into(),
            address: listener.local_addr().expect("address"),
            kind,
            runs,
            running: Arc::default(),
        };
        let serving = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                std::thread::spawn(move || {
                    let mut channel = Channel::new(stream);
                    while worker.serve(&mut channel).is_ok() {}
                });
            }
        });
        worker
    }

    /// Returns the worker's entry in the list of workers.
    pub fn entry(&self, service: &str, zone: &str) -> String {
        format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{}\",\"Zone\":\"{zone}\",\"Version\":\"r1\",\"Slots\":{},\
             \"State\":\"ready\",\"ColdLeftMs\":0,\"CallSeq\":0,\"born\":1764547200000}}",
            self.address, self.kind.slots
        )
    }

    fn serve(&self, channel: &mut Channel) -> std::io::Result<()> {
        let head = channel.read_head()?;
        let mut body = Vec::new();
        channel.read_body(&head, &mut body)?;
        let id = head.field("request-id").unwrap_or("").to_owned();
        if head.field("expect-instance").is_some_and(|expected| expected != self.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return channel.write(text.as_bytes());
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.kind.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let text = format!(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return channel.write(text.as_bytes());
        }
        let result = self.run(channel, &head, &id);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(&self, channel: &mut Channel, head: &Head, id: &str) -> std::io::Result<()> {
        self.runs.lock().unwrap().push(Run {
            id: id.into(),
            tenant: head.field("tenant").unwrap_or("").into(),
            at: Instant::now(),
        });
        std::thread::sleep(self.kind.work);
        let seal = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s.{id}\r\n");
        if self.kind.events == 0 {
            let body = format!("done {id}");
            let text = format!("{seal}Content-Length: {}\r\n\r\n{body}", body.len());
            return channel.write(text.as_bytes());
        }
        channel.write(
            format!("{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes(),
        )?;
        for number in 1..=self.kind.events {
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            channel.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            std::thread::sleep(self.kind.pause);
        }
        channel.write(b"0\r\n\r\n")
    }
}
