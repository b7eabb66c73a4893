//! `balsamhold ctl`: the operators' tool.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct, long, positional, pure};
use http_types::{Body, Method};
use serde_json::Value;
use settings::Document;
use units::Digest;

use crate::commands::{Error, Result};

const SERVER_TIMEOUT: Duration = Duration::from_secs(10);
const TOKEN_VARIABLE: &str = "BALSAMHOLD_TOKEN";

/// Arguments of `balsamhold ctl`.
#[derive(Clone)]
pub(crate) enum Options {
    Check {
        file: String,
    },
    Digest,
    Apply {
        server: SocketAddr,
        base: u64,
        author: String,
        file: String,
    },
    Status {
        server: SocketAddr,
    },
    Programs {
        server: SocketAddr,
    },
    Explain {
        server: SocketAddr,
        program: String,
    },
    End {
        server: SocketAddr,
        program: String,
    },
}

fn server() -> impl Parser<SocketAddr> {
    long("server")
        .help("An entry's administration address; the token is read from BALSAMHOLD_TOKEN")
        .argument("IP:PORT")
}

pub(crate) fn options() -> impl Parser<Options> {
    let file = positional("FILE").help("Environment document");
    let check = construct!(Options::Check { file })
        .to_options()
        .descr("Checks an environment document without a server")
        .command("check");
    let digest = pure(Options::Digest)
        .to_options()
        .descr("Prints the digest of the token on standard input, for settings and documents")
        .command("digest");
    let base = long("base")
        .help("Version that the change is based on")
        .argument("VERSION");
    let author = long("author")
        .help("Who makes the change")
        .argument("NAME")
        .fallback(String::new());
    let server_address = server();
    let file = positional("FILE").help("Environment document");
    let apply = construct!(Options::Apply { server(server_address), base, author, file })
        .to_options()
        .descr("Has an environment document accepted")
        .command("apply");
    let server_address = server();
    let status = construct!(Options::Status { server(server_address) })
        .to_options()
        .descr("Shows the document in force and the endpoints")
        .command("status");
    let server_address = server();
    let programs = construct!(Options::Programs { server(server_address) })
        .to_options()
        .descr("Lists the programs of an entry")
        .command("programs");
    let server_address = server();
    let program = positional("PROGRAM").help("The program");
    let explain = construct!(Options::Explain { server(server_address), program })
        .to_options()
        .descr("Gives the account of a program")
        .command("explain");
    let server_address = server();
    let program = positional("PROGRAM").help("The program");
    let end = construct!(Options::End { server(server_address), program })
        .to_options()
        .descr("Ends a program")
        .command("end");
    construct!([check, digest, apply, status, programs, explain, end])
        .to_options()
        .descr("Operates an environment")
        .command("ctl")
}

pub(crate) fn run(options: Options) -> Result<()> {
    match options {
        Options::Check { file } => {
            let text = std::fs::read_to_string(&file).map_err(Error::File)?;
            let document = Document::parse(&file, &text).map_err(Error::Settings)?;
            println!("{file}: valid document of environment {}", document.name);
            Ok(())
        }
        Options::Digest => {
            let mut token = String::new();
            std::io::stdin()
                .read_line(&mut token)
                .map_err(Error::File)?;
            println!("{}", Digest::of(token.trim_end().as_bytes()));
            Ok(())
        }
        Options::Apply {
            server,
            base,
            author,
            file,
        } => {
            let text = std::fs::read_to_string(&file).map_err(Error::File)?;
            Document::parse(&file, &text).map_err(Error::Settings)?;
            let path = format!("/v1/environment?base={base}&author={author}");
            show(server, Method::Put, &path, Some(text))
        }
        Options::Status { server } => show(server, Method::Get, "/v1/status", None),
        Options::Programs { server } => show(server, Method::Get, "/v1/programs", None),
        Options::Explain { server, program } => show(
            server,
            Method::Get,
            &format!("/v1/programs/{program}/explain"),
            None,
        ),
        Options::End { server, program } => show(
            server,
            Method::Post,
            &format!("/v1/programs/{program}/end"),
            None,
        ),
    }
}

/// Sends a request and prints its answer.
fn show(server: SocketAddr, method: Method, path: &str, body: Option<String>) -> Result<()> {
    let token = std::env::var(TOKEN_VARIABLE).unwrap_or_default();
    let client = http_io::Client::new(server, SERVER_TIMEOUT).with_bearer(token);
    let mut request = client.request(method, path).map_err(Error::Server)?;
    if let Some(body) = body {
        request.set_body(Body::from_string(body));
    }
    let bytes = smol::block_on(client.whole(request)).map_err(Error::Server)?;
    match serde_json::from_slice::<Value>(&bytes) {
        Ok(value) => println!("{value:#}"),
        Err(_) => println!("{}", String::from_utf8_lossy(&bytes)),
    }
    Ok(())
}
