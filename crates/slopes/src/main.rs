//! `slopes`: measures what entries and sidecars cost per peer, program, call, token and change, over
//! real processes, and rewrites the figures of docs/CAPACITY.md.

mod fit;
mod fleet;
mod measure;
mod page;
mod sample;

use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};

use bpaf::Bpaf;

/// Measures the slopes with the `balsamhold` beside this program and rewrites the page's figures.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// The page
    #[bpaf(fallback(PathBuf::from("docs/CAPACITY.md")))]
    page: PathBuf,
}

fn main() -> Result<()> {
    let options = options().run();
    let own = std::env::current_exe()?;
    let binaries = own
        .parent()
        .ok_or_else(|| Error::from(ErrorKind::NotFound))?;
    let slopes = measure::all(binaries)?;
    write(&options.page, &slopes)
}

fn write(path: &Path, slopes: &[measure::Slope]) -> Result<()> {
    let text = std::fs::read_to_string(path)?;
    let text = page::replace(&text, "slopes", &page::slopes(slopes))?;
    let text = page::replace(&text, "roles", &page::roles(slopes)?)?;
    std::fs::write(path, text)
}
