//! `balsamhold ctl`: the operators' tool for an environment.

mod pages;
mod promote;
mod render;
mod rollout;
mod server;

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::{Parser, construct, long, positional, pure};
use http_types::Method;
use serde_json::Value;
use settings::Document;
use units::{Digest, Span};

use crate::commands::ctl::promote::Promotion;
use crate::commands::ctl::server::{Server, with_query};
use crate::commands::{Error, Result};

const TOKEN_VARIABLE: &str = "BALSAMHOLD_TOKEN";
const TARGET_TOKEN_VARIABLE: &str = "BALSAMHOLD_TARGET_TOKEN";
const DEFAULT_AUDIT_SPAN: Span = Span::from_ms(24 * 3_600_000);
const DEFAULT_ROLLOUT_TIMEOUT: Span = Span::from_ms(30_000);

/// Arguments of `balsamhold ctl`.
#[derive(Clone)]
pub(crate) enum Options {
    Check {
        kind: Kind,
        file: String,
    },
    Digest,
    Apply {
        server: SocketAddr,
        base: u64,
        author: String,
        file: String,
    },
    Promote {
        server: SocketAddr,
        to: SocketAddr,
        author: String,
        source: String,
        target: String,
    },
    Rollout {
        server: SocketAddr,
        timeout: Span,
        version: u64,
    },
    Show {
        query: Query,
        server: SocketAddr,
        json: bool,
    },
    Drain {
        server: SocketAddr,
        author: String,
        host: String,
    },
    End {
        server: SocketAddr,
        author: String,
        program: String,
    },
}

/// Kind of file that `ctl check` reads.
#[derive(Clone, Copy)]
pub(crate) enum Kind {
    Document,
    Entry,
    Sidecar,
}

impl std::str::FromStr for Kind {
    type Err = &'static str;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "document" => Ok(Kind::Document),
            "entry" => Ok(Kind::Entry),
            "sidecar" => Ok(Kind::Sidecar),
            _ => Err("allowed: document, entry, sidecar"),
        }
    }
}

/// Query of the administration API whose result is printed.
#[derive(Clone)]
pub(crate) enum Query {
    Status,
    History(Option<u64>),
    Audit(Span),
    Programs,
    Top,
    Accounts,
    Explain(String),
}

impl Query {
    fn path(&self) -> String {
        match self {
            Query::Status => "/v1/status".into(),
            Query::History(_) => "/v1/environment/history".into(),
            Query::Audit(_) => "/v1/audit".into(),
            Query::Programs => "/v1/programs".into(),
            Query::Top => "/v1/top".into(),
            Query::Accounts => "/v1/accounts".into(),
            Query::Explain(program) => format!("/v1/programs/{program}/explain"),
        }
    }

    /// Fetches the result of the query, with all of its pages.
    fn fetch(&self, server: &Server) -> Result<Value> {
        match self {
            Query::History(after) => pages::history(server, &self.path(), *after),
            Query::Audit(span) => pages::audit(server, &self.path(), *span),
            _ => server.get(&self.path()),
        }
    }

    fn render(&self, value: &Value) -> String {
        match self {
            Query::Status => render::status(value),
            Query::History(_) => render::history(value),
            Query::Audit(_) => render::audit(value),
            Query::Programs => render::programs(value),
            Query::Top => render::top(value),
            Query::Accounts => render::accounts(value),
            Query::Explain(_) => render::program_events(value),
        }
    }
}

fn server() -> impl Parser<SocketAddr> {
    long("server")
        .help("An entry's administration address; the token is read from BALSAMHOLD_TOKEN")
        .argument("IP:PORT")
}

fn author() -> impl Parser<String> {
    long("author")
        .help("Author recorded with the change; by default the user's login name")
        .env("USER")
        .argument("NAME")
}

fn json() -> impl Parser<bool> {
    long("json").help("Prints JSON").switch()
}

fn file() -> impl Parser<String> {
    positional("FILE").help("Environment document")
}

fn program() -> impl Parser<String> {
    positional("PROGRAM").help("The program")
}

/// Returns the parser of a subcommand that prints the result of `query`.
fn show(name: &'static str, description: &'static str, query: Query) -> impl Parser<Options> {
    let query = pure(query);
    let (server, json) = (server(), json());
    construct!(Options::Show {
        query,
        server,
        json
    })
    .to_options()
    .descr(description)
    .command(name)
}

fn explain() -> impl Parser<Options> {
    let (server, json) = (server(), json());
    let query = program().map(Query::Explain);
    construct!(Options::Show {
        server,
        json,
        query
    })
    .to_options()
    .descr("Shows what happened in a program")
    .command("explain")
}

fn history() -> impl Parser<Options> {
    let (server, json) = (server(), json());
    let query = long("after")
        .help("Lists the versions after this one; by default the last 50")
        .argument("VERSION")
        .optional()
        .map(Query::History);
    construct!(Options::Show {
        query,
        server,
        json
    })
    .to_options()
    .descr("Lists the accepted documents")
    .command("history")
}

fn audit() -> impl Parser<Options> {
    let (server, json) = (server(), json());
    let query = long("since")
        .help("How far to look back, for example 36h; by default 24h")
        .argument("SPAN")
        .fallback(DEFAULT_AUDIT_SPAN)
        .map(Query::Audit);
    construct!(Options::Show {
        query,
        server,
        json
    })
    .to_options()
    .descr("Lists the changes by operators")
    .command("audit")
}

fn change_commands() -> impl Parser<Options> {
    let kind = long("kind")
        .help("What the file is: document, entry or sidecar")
        .argument("KIND")
        .fallback(Kind::Document);
    let file = positional("FILE").help("Environment document, or settings of a process");
    let check = construct!(Options::Check { kind, file })
        .to_options()
        .descr("Checks an environment document or settings without a server")
        .command("check");
    let digest = pure(Options::Digest)
        .to_options()
        .descr("Prints the digest of the token on standard input, for settings and documents")
        .command("digest");
    let base = long("base")
        .help("Version that the change is based on; 0 for the first")
        .argument("VERSION");
    let (address, name, document) = (server(), author(), self::file());
    let apply = construct!(Options::Apply { server(address), base, author(name), file(document) })
        .to_options()
        .descr("Submits an environment document for acceptance")
        .command("apply");
    let (address, name, program) = (server(), author(), program());
    let end = construct!(Options::End { server(address), author(name), program })
        .to_options()
        .descr("Ends a program")
        .command("end");
    construct!([
        check,
        digest,
        apply,
        promote_options(),
        rollout_options(),
        drain_options(),
        end
    ])
}

fn drain_options() -> impl Parser<Options> {
    let (address, name) = (server(), author());
    let host = positional("HOST").help("The host");
    construct!(Options::Drain { server(address), author(name), host })
        .to_options()
        .descr("Marks a host as leaving: it takes no new work and finishes what it has")
        .command("drain")
}

fn promote_options() -> impl Parser<Options> {
    let (address, name) = (server(), author());
    let to = long("to")
        .help(
            "Administration address of an entry of the target; the token is read from \
             BALSAMHOLD_TARGET_TOKEN, else from BALSAMHOLD_TOKEN",
        )
        .argument("IP:PORT");
    let source = positional("SOURCE").help("Environment in which the document is in force");
    let target = positional("TARGET").help("Environment that accepts the document");
    construct!(Options::Promote { server(address), to, author(name), source, target })
        .to_options()
        .descr("Makes an environment accept the document that is in force in another one")
        .command("promote")
}

fn rollout_options() -> impl Parser<Options> {
    let address = server();
    let timeout = long("timeout")
        .help("How long to wait")
        .argument("SPAN")
        .fallback(DEFAULT_ROLLOUT_TIMEOUT);
    let version = positional("VERSION").help("The version");
    construct!(Options::Rollout { server(address), timeout, version })
        .to_options()
        .descr("Waits until a version of the document is in force at every live host")
        .command("rollout")
}

pub(crate) fn options() -> impl Parser<Options> {
    let status = show(
        "status",
        "Shows the document in force at each host, and the endpoints",
        Query::Status,
    );
    let programs = show(
        "programs",
        "Lists the programs of an entry",
        Query::Programs,
    );
    let top = show(
        "top",
        "Shows an entry's programs under way, queues and slow endpoints",
        Query::Top,
    );
    let accounts = show(
        "accounts",
        "Shows the usage of each account against its limits",
        Query::Accounts,
    );
    construct!([
        change_commands(),
        status,
        history(),
        audit(),
        programs,
        top,
        accounts,
        explain()
    ])
    .to_options()
    .descr("Operates an environment")
    .command("ctl")
}

pub(crate) fn run(options: Options) -> Result<()> {
    match options {
        Options::Check { kind, file } => check_file(kind, &file),
        Options::Digest => print_digest(),
        Options::Apply {
            server,
            base,
            author,
            file,
        } => {
            let text = std::fs::read_to_string(&file).map_err(Error::File)?;
            Document::parse(&file, &text).map_err(Error::Settings)?;
            let base = base.to_string();
            let query = [("base", base.as_str()), ("author", &author)];
            let path = with_query("/v1/environment", &query)?;
            let server = Server::new(server, TOKEN_VARIABLE);
            print_accepted_version(&server.send(Method::Put, &path, Some(text))?)
        }
        Options::Promote {
            server,
            to,
            author,
            source,
            target,
        } => {
            let promotion = Promotion {
                source: &source,
                target: &target,
                author: &author,
            };
            let has_target_token = std::env::var_os(TARGET_TOKEN_VARIABLE).is_some();
            let token_variable = if has_target_token {
                TARGET_TOKEN_VARIABLE
            } else {
                TOKEN_VARIABLE
            };
            let source_server = Server::new(server, TOKEN_VARIABLE);
            print_accepted_version(
                &promotion.run(&source_server, &Server::new(to, token_variable))?,
            )
        }
        Options::Rollout {
            server,
            timeout,
            version,
        } => {
            let server = Server::new(server, TOKEN_VARIABLE);
            rollout::wait(&server, version, Duration::from(timeout))?;
            println!("version {version} is in force at every live host");
            Ok(())
        }
        Options::Show {
            query,
            server,
            json,
        } => {
            let value = query.fetch(&Server::new(server, TOKEN_VARIABLE))?;
            if json {
                println!("{value:#}");
            } else {
                print!("{}", query.render(&value));
            }
            Ok(())
        }
        Options::Drain {
            server,
            author,
            host,
        } => drain_host(&Server::new(server, TOKEN_VARIABLE), &author, &host),
        Options::End {
            server,
            author,
            program,
        } => {
            let path = with_query(
                &format!("/v1/programs/{program}/end"),
                &[("author", &author)],
            )?;
            let value = Server::new(server, TOKEN_VARIABLE).send(Method::Post, &path, None)?;
            println!("{value:#}");
            Ok(())
        }
    }
}

fn drain_host(server: &Server, author: &str, host: &str) -> Result<()> {
    let path = with_query(&format!("/v1/hosts/{host}/drain"), &[("author", author)])?;
    let response = server.send(Method::Post, &path, None)?;
    if response["told"] != true {
        return Err(Error::Response("word that the host was told"));
    }
    println!("{host} is leaving");
    if response["audited"] != true {
        println!("the audit record could not be written");
    }
    Ok(())
}

fn check_file(kind: Kind, file: &str) -> Result<()> {
    let text = std::fs::read_to_string(file).map_err(Error::File)?;
    let description = match kind {
        Kind::Document => Document::parse(file, &text)
            .map(|document| format!("document of environment {}", document.name)),
        Kind::Entry => settings::Entry::parse(file, &text)
            .map(|entry| format!("settings of an entry on host {}", entry.process.host)),
        Kind::Sidecar => settings::Sidecar::parse(file, &text)
            .map(|sidecar| format!("settings of a sidecar on host {}", sidecar.process.host)),
    };
    println!("{file}: valid {}", description.map_err(Error::Settings)?);
    Ok(())
}

fn print_digest() -> Result<()> {
    let mut token = String::new();
    std::io::stdin()
        .read_line(&mut token)
        .map_err(Error::File)?;
    println!("{}", Digest::of(token.trim_end().as_bytes()));
    Ok(())
}

fn print_accepted_version(response: &Value) -> Result<()> {
    println!(
        "accepted as version {}",
        server::number_field(response, "version")?
    );
    Ok(())
}
