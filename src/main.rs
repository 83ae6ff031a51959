//! The `chicoryarch` command.

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

use async_signal::Signal;
use async_signal::Signals;
use chicoryarch::cli::Command;
use chicoryarch::cli::check_config;
use chicoryarch::cli::command;
use chicoryarch::cli::ctl;
use chicoryarch::cli::explain;
use chicoryarch::cli::load;
use chicoryarch::cli::report;
use chicoryarch::cli::report_page;
use chicoryarch::configs::host::DEFAULT_THREADS;
use chicoryarch::configs::host::HostConfig;
use chicoryarch::configs::host::LogConfig;
use chicoryarch::gateway;
use chicoryarch::platform;
use chicoryarch::process::dev;
use chicoryarch::process::drain::DrainOutcome;
use chicoryarch::process::logs;
use chicoryarch::process::serve;
use chicoryarch::process::settings;
use chicoryarch_net::Spawner;
use miette::IntoDiagnostic;

/// Exit code of a drain that aborted requests, at its time limit or on a second
/// signal.
const EXIT_ABORTED_REQUESTS: u8 = 3;
/// Exit code of `check-config` for a file that holds no configuration, as for
/// errors in one.
const EXIT_INVALID: u8 = 2;
/// Worker threads of a gateway or archive. Machines of the platform have only a
/// fraction of a core.
const GATEWAY_THREADS: usize = 1;

fn main() -> miette::Result<ExitCode> {
    match command().run() {
        Command::Serve { config } => run_host(read_settings(&config)?),
        Command::CheckPlatform { file } => check_platform(&file),
        Command::Explain { output, id, files } => {
            print!("{}", explain::run(&id, &files, output)?);
            Ok(ExitCode::SUCCESS)
        }
        Command::Gateway => run_gateway(),
        Command::Archive => run_archive(),
        Command::Check { config } => {
            read_settings(&config)?;
            println!("{}: settings are valid", config.display());
            Ok(ExitCode::SUCCESS)
        }
        Command::CheckConfig {
            in_force,
            settings,
            output,
            file,
        } => {
            let findings = check_config::run(&file, in_force.as_ref(), settings.as_deref());
            let findings = findings.unwrap_or_else(|e| {
                eprintln!("error: {e}");
                std::process::exit(i32::from(EXIT_INVALID));
            });
            print!("{}", check_config::format(&findings, output));
            Ok(check_config::exit_code(&findings))
        }
        Command::Dev { port } => run_dev(port),
        Command::Load { plan, output } => {
            load::run(&plan, output.as_deref())?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Compare { before, after } => {
            load::compare(&before, &after)?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Report { html, logs } => {
            let (summary, counts) = report::run(&logs)?;
            if let Some(path) = html {
                let page = report_page::page(&summary, &counts)?;
                let written = std::fs::write(&path, page);
                written.map_err(|e| miette::miette!("cannot write {}: {e}", path.display()))?;
            }
            // Fails if the reader of a pipe has read enough.
            let _written = write!(std::io::stdout(), "{}", report::text(&summary, &counts));
            Ok(ExitCode::SUCCESS)
        }
        Command::Ctl {
            address,
            secret_file,
            output,
            text,
        } => Ok(ctl::run(address, &secret_file, output, &text.join(" "))?),
    }
}

fn read_settings(path: &Path) -> miette::Result<HostConfig> {
    settings::load(path).map_err(|e| miette::Report::new(*e))
}

/// Makes every panic abort the process: after a broken invariant, a host would
/// act on inconsistent state.
fn abort_on_panic() {
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        report(info);
        std::process::abort();
    }));
}

fn run_host(cfg: HostConfig) -> miette::Result<ExitCode> {
    logs::start(&cfg.log);
    abort_on_panic();
    let spawner = Spawner::start(cfg.threads);
    let drained = async_io::block_on(serve::run(cfg, spawner))?;
    Ok(exit_code(drained))
}

fn check_platform(file: &Path) -> miette::Result<ExitCode> {
    let fields = platform::settings::read(file)?;
    if fields.has_disk() {
        let cfg = fields.archive()?;
        cfg.check().into_diagnostic()?;
        println!("{cfg:#?}");
    } else {
        let cfg = fields.gateway()?;
        cfg.check().into_diagnostic()?;
        println!("{cfg:#?}");
    }
    for field in fields.unused_names() {
        println!("ignored: {field}");
    }
    Ok(ExitCode::SUCCESS)
}

fn run_gateway() -> miette::Result<ExitCode> {
    let signals = subscribe_signals()?;
    logs::start(&LogConfig::default());
    abort_on_panic();
    let path = platform::settings::path();
    let cfg = platform::settings::read(&path)?.gateway()?;
    cfg.check().into_diagnostic()?;
    let spawner = Spawner::start(GATEWAY_THREADS);
    async_io::block_on(gateway::serve::run(cfg, spawner, &path, signals))?;
    Ok(ExitCode::SUCCESS)
}

/// Subscribes to the signals of a gateway or archive. This comes first at the
/// start of the process, since SIGHUP ends it until then.
fn subscribe_signals() -> miette::Result<Signals> {
    Signals::new([Signal::Hup, Signal::Int, Signal::Term]).into_diagnostic()
}

fn run_archive() -> miette::Result<ExitCode> {
    let signals = subscribe_signals()?;
    logs::start(&LogConfig::default());
    abort_on_panic();
    let path = platform::settings::path();
    let cfg = platform::settings::read(&path)?.archive()?;
    cfg.check().into_diagnostic()?;
    let spawner = Spawner::start(GATEWAY_THREADS);
    async_io::block_on(gateway::archive::run(cfg, spawner, signals))?;
    Ok(ExitCode::SUCCESS)
}

fn run_dev(port: u16) -> miette::Result<ExitCode> {
    logs::start(&LogConfig::default());
    let spawner = Spawner::start(DEFAULT_THREADS);
    let drained = async_io::block_on(dev::run(port, spawner))?;
    Ok(exit_code(drained))
}

fn exit_code(drained: DrainOutcome) -> ExitCode {
    match drained {
        DrainOutcome::Completed => ExitCode::SUCCESS,
        DrainOutcome::Aborted(_) => ExitCode::from(EXIT_ABORTED_REQUESTS),
    }
}
