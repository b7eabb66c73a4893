//! `balsamhold`: a scheduler for agent programs, in one binary.

mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    commands::run()
}
