//! Starts the log on standard error.

use displaydoc::Display;
use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};

use crate::settings::{LogFormat, LogLevel, LogSettings};

use super::log_format::{human, json};

/// Reason for which the log was not started.
#[derive(Debug, Display)]
pub enum LogError {
    /// the log cannot be started: {0}
    Start(FlexiLoggerError),
}

impl std::error::Error for LogError {}

/// Starts the log on standard error. Dropping the handle stops it.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn start_logs(settings: &LogSettings) -> Result<LoggerHandle, LogError> {
    let format = match settings.format {
        LogFormat::Human => human,
        LogFormat::Json => json,
    };
    Logger::with(specification(settings.level))
        .format(format)
        .log_to_stderr()
        .start()
        .map_err(LogError::Start)
}

/// Selects the lines of limpetloom's own modules only, because lines of libraries may contain data
/// that must not be logged.
fn specification(level: LogLevel) -> LogSpecification {
    let filter = match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    };
    LogSpecification::builder()
        .module("limpetloom", filter)
        .build()
}
