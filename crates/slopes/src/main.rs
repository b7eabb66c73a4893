//! `slopes`: measures the resources that real entries and sidecars use per peer, program, call,
//! token and change, and rewrites the tables of docs/CAPACITY.md.

mod fit;
mod fleet;
mod measure;
mod page;
mod sample;

use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;

/// Measures the `balsamhold` in the directory of this program and rewrites the tables of the page.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Page to rewrite
    #[bpaf(fallback(PathBuf::from("docs/CAPACITY.md")))]
    page: PathBuf,
}

fn main() -> Result<()> {
    let options = options().run();
    let program = std::env::current_exe()?;
    let binaries = program
        .parent()
        .ok_or_else(|| Error::from(ErrorKind::NotFound))?;
    let slopes = measure::run_all(binaries)?;
    rewrite(&options.page, &slopes)
}

fn rewrite(path: &Path, slopes: &[measure::Slope]) -> Result<()> {
    let text = std::fs::read_to_string(path)?;
    let text = page::replace_section(&text, "slopes", &page::slopes_table(slopes))?;
    let text = page::replace_section(&text, "roles", &page::roles_table(slopes)?)?;
    std::fs::write(path, text)
}
