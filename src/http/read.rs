//! Reads bodies within limits of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::sync::Semaphore;

use crate::codes::Code;
use crate::settings::LimitsSettings;

/// Limits of a request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub bytes: usize,
    /// Timeout for the arrival of the whole body.
    pub timeout: Duration,
}

impl From<&LimitsSettings> for BodyLimits {
    fn from(settings: &LimitsSettings) -> Self {
        Self {
            bytes: usize::try_from(settings.request_bytes).unwrap_or(usize::MAX),
            timeout: settings.body_timeout,
        }
    }
}

/// Reads a whole request body.
///
/// # Errors
///
/// Returns the code of the refusal: too large, too slow or malformed.
pub async fn read_body(body: Incoming, limits: BodyLimits) -> Result<Bytes, Code> {
    let body = Limited::new(body, limits.bytes).collect();
    let body = tokio::time::timeout(limits.timeout, body)
        .await
        .map_err(|_| Code::CallerTooSlow)?;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) if err.is::<LengthLimitError>() => Err(Code::TooLarge),
        Err(_) => Err(Code::Malformed),
    }
}

/// Size in bytes from which a body counts as large.
const LARGE_BODY_BYTES: usize = 256 * 1024;

/// Why an answer was not read to its end.
#[derive(Debug, Display)]
pub enum CollectError {
    /// the answer has more than {0} bytes
    TooLarge(usize),
    /// the answer broke: {0}
    Broken(hyper::Error),
    /// no data arrived for {0:?}
    Stalled(Duration),
}

impl std::error::Error for CollectError {}

/// Reads a whole body of at most `max` bytes. They are copied: pieces of a few bytes would each keep
/// the buffer that they arrived in.
///
/// # Errors
///
/// Fails when the body is larger or its connection breaks.
pub async fn collect_bounded(body: Incoming, max: usize) -> Result<Bytes, CollectError> {
    collect(body, max, Duration::MAX, None).await
}

/// Like [`collect_bounded`], for a body of which no part takes longer than `idle` to arrive. Beyond
/// `LARGE_BODY_BYTES` it needs a permit of `large`, so that few large bodies are in memory at a time.
///
/// # Errors
///
/// Fails as [`collect_bounded`] does, and when no data arrives for `idle`.
pub async fn collect_arriving(
    body: Incoming,
    max: usize,
    idle: Duration,
    large: &Semaphore,
) -> Result<Bytes, CollectError> {
    collect(body, max, idle, Some(large)).await
}

async fn collect(
    mut body: Incoming,
    max: usize,
    idle: Duration,
    large: Option<&Semaphore>,
) -> Result<Bytes, CollectError> {
    let mut bytes = BytesMut::new();
    let mut permit = None;
    loop {
        let next = tokio::time::timeout(idle, body.frame()).await;
        let Some(frame) = next.map_err(|_| CollectError::Stalled(idle))? else {
            return Ok(bytes.freeze());
        };
        // Frames other than data are trailers.
        let Ok(data) = frame.map_err(CollectError::Broken)?.into_data() else {
            continue;
        };
        if bytes.len() + data.len() > max {
            return Err(CollectError::TooLarge(max));
        }
        if let (Some(large), None) = (large, &permit)
            && bytes.len() + data.len() > LARGE_BODY_BYTES
        {
            // The semaphore is never closed.
            permit = large.acquire().await.ok();
        }
        bytes.extend_from_slice(&data);
    }
}
