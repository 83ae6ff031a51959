//! Log lines on standard error, one per change of state.

use simplelog::ColorChoice;
use simplelog::ConfigBuilder;
use simplelog::LevelFilter;
use simplelog::TermLogger;
use simplelog::TerminalMode;

use crate::configs::host::LogConfig;
use crate::configs::host::LogLevel;

/// Starts logging at the level of the settings; a second start in the same
/// process has no effect.
pub fn start(cfg: &LogConfig) {
    let format = ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_target_level(LevelFilter::Error)
        .build();
    let level = level_filter(cfg.level);
    // Fails only if a logger is already set, as in tests.
    let _started = TermLogger::init(level, format, TerminalMode::Stderr, ColorChoice::Never);
}

const fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
    }
}
