//! Reads bodies within limits of size and time.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::Semaphore;

use crate::codes::Code;
use crate::settings::LimitsSettings;
use crate::types::Refusal;

use super::activity::BodyArrival;
use super::body_budget::{BodyBudget, BodyShare, BudgetExhausted};

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

/// Size in bytes up to which a body takes nothing of the budget, so that ordinary requests are read
/// while large ones exhaust it. The number of connections bounds what such bodies take together.
const SMALL_BODY_BYTES: usize = 8 * 1024;

/// Reads a whole request body into memory of the budget. `arrival` is that of the request.
///
/// # Errors
///
/// Returns the code of the refusal: too large, too slow, malformed, or no memory or connection for it.
pub async fn read_body(
    body: Incoming,
    limits: BodyLimits,
    budget: &BodyBudget,
    arrival: Option<&BodyArrival>,
) -> Result<Bytes, Code> {
    if body.size_hint().lower() > limits.bytes as u64 {
        return Err(Code::TooLarge);
    }
    let given_up = async {
        match arrival {
            Some(arrival) => arrival.given_up().await,
            None => std::future::pending().await,
        }
    };
    let read = tokio::select! {
        read = read_into(body, limits.bytes, budget, arrival) => read,
        () = given_up => Err(Code::BodyStalled),
        () = tokio::time::sleep(limits.timeout) => Err(Code::CallerTooSlow),
    };
    if let Some(arrival) = arrival {
        arrival.complete();
    }
    read
}

/// Reads a whole body of at most `max` bytes. They are copied: chunks of a few bytes would each keep the
/// buffer that they arrived in.
async fn read_into(
    mut body: Incoming,
    max: usize,
    budget: &BodyBudget,
    arrival: Option<&BodyArrival>,
) -> Result<Bytes, Code> {
    let announced = body.size_hint().exact().map(|bytes| bytes as usize);
    let mut bytes = Vec::new();
    let mut share: Option<BodyShare> = None;
    loop {
        if let Some(arrival) = arrival {
            arrival.wait_for_data();
        }
        let next = match &share {
            None => body.frame().await,
            Some(share) => tokio::select! {
                biased;
                () = share.evicted() => return Err(Code::BodyMemoryShort),
                next = body.frame() => next,
            },
        };
        let Some(frame) = next else { break };
        // Frames other than data are trailers.
        let Ok(data) = frame.map_err(|_| Code::Malformed)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max {
            return Err(Code::TooLarge);
        }
        if length > bytes.capacity() {
            let capacity = next_capacity(bytes.capacity(), length, announced.unwrap_or(max));
            if capacity > SMALL_BODY_BYTES {
                let claimed = match &share {
                    None => 0,
                    Some(_) => bytes.capacity(),
                };
                let share = share.get_or_insert_with(|| budget.open());
                let claim = share.claim(capacity - claimed).await;
                claim.map_err(|BudgetExhausted| Code::BodyMemoryShort)?;
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
        if let Some(share) = &share {
            share.progress();
        }
    }
    match share {
        None => Ok(bytes.into()),
        Some(share) => {
            bytes.shrink_to_fit();
            let held = share.complete(bytes);
            held.map_err(|BudgetExhausted| Code::BodyMemoryShort)
        }
    }
}

/// Time after which a client may send a body again that there was no memory for. Bodies that stall have
/// given way by then.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refusal of a request whose body was not read.
pub fn refuse_body(code: Code) -> Refusal {
    let refusal = Refusal::new(code);
    match code {
        Code::BodyMemoryShort | Code::BodyStalled => refusal.with_retry_after(BODY_RETRY_AFTER),
        _ => refusal,
    }
}

/// Capacity of a buffer that grows from `current` to hold `length` bytes of `expected`: it doubles, so that
/// what a body claims follows what has arrived of it.
fn next_capacity(current: usize, length: usize, expected: usize) -> usize {
    let doubled = (2 * current).max(SMALL_BODY_BYTES).min(expected);
    doubled.max(length)
}

/// Reads a body to its end without keeping it; false when it breaks or exceeds the limits.
pub async fn discard_body(mut body: Incoming, limits: BodyLimits) -> bool {
    let discarded = async {
        let mut length = 0;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return false };
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > limits.bytes {
                return false;
            }
        }
        true
    };
    tokio::time::timeout(limits.timeout, discarded)
        .await
        .unwrap_or(false)
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
