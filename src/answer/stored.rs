//! Stored form of the answer to a request with an idempotency key, kept to answer duplicates of the
//! request.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::http::is_final_status;

/// A complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type, when the endpoint sent one.
    pub content_type: Option<String>,
    /// The body, exactly as the endpoint sent it.
    pub body: StoredBody,
}

/// Body of a stored answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredBody {
    /// UTF-8 text.
    Text(String),
    /// Any other bytes.
    Bytes(Vec<u8>),
}

impl StoredAnswer {
    /// Converts an answer to its stored form.
    pub fn new(status: StatusCode, content_type: Option<&HeaderValue>, body: &[u8]) -> Self {
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Self {
            status: status.as_u16(),
            content_type,
            body: StoredBody::from(body),
        }
    }

    /// Serialises the answer as JSON, for the object API and the control protocol.
    pub fn to_text(&self) -> Arc<str> {
        serde_json::to_string(self).expect("plain data").into()
    }

    /// Parses the output of [`StoredAnswer::to_text`]; `None` when the text is invalid, or its status or
    /// content type is.
    pub fn from_text(text: &str) -> Option<Self> {
        let answer: Self = serde_json::from_str(text).ok()?;
        let has_status = StatusCode::from_u16(answer.status).is_ok_and(is_final_status);
        let content_type = answer.content_type.as_deref();
        let has_type = content_type.is_none_or(|text| HeaderValue::from_str(text).is_ok());
        (has_status && has_type).then_some(answer)
    }

    /// Builds the HTTP response; `None` when the status or the content type is invalid.
    pub fn into_response(self) -> Option<Response<Bytes>> {
        let mut builder = Response::builder().status(self.status);
        if let Some(content_type) = self.content_type {
            builder = builder.header(CONTENT_TYPE, content_type);
        }
        builder.body(self.body.into()).ok()
    }
}

impl From<&[u8]> for StoredBody {
    fn from(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(bytes.to_vec()),
        }
    }
}

impl From<StoredBody> for Bytes {
    fn from(body: StoredBody) -> Self {
        match body {
            StoredBody::Text(text) => text.into(),
            StoredBody::Bytes(bytes) => bytes.into(),
        }
    }
}
