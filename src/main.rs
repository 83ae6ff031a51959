//! The `chicoryarch` command.

use std::process::ExitCode;

use chicoryarch::cli::Command;
use chicoryarch::cli::command;
use chicoryarch::process;

fn main() -> miette::Result<ExitCode> {
    match command().run() {
        Command::Check { config } => {
            process::settings::load(&config).map_err(|e| miette::Report::new(*e))?;
            println!("{}: no fault found", config.display());
            Ok(ExitCode::SUCCESS)
        }
        _ => Ok(ExitCode::SUCCESS),
    }
}
