//! Start of the log.

use displaydoc::Display;
use flexi_logger::{FlexiLoggerError, LogSpecification, Logger, LoggerHandle};

use crate::settings::{LogFormat, LogLevel, LogSettings};

use super::log_format::{human, json};

/// Why the log did not start.
#[derive(Debug, Display)]
pub enum LogError {
    /// the log can not be started: {0}
    Start(FlexiLoggerError),
}

impl std::error::Error for LogError {}

/// Starts the log on standard error; it ends when the handle is dropped.
///
/// # Errors
///
/// Fails when the process has a log already.
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

/// Only the product's own lines: those of libraries may hold what must not be logged.
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
