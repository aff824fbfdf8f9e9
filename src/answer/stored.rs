//! Answer of a keyed request in the form in which it is kept for resends.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde::{Deserialize, Serialize};

/// A whole answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, when the endpoint gave one.
    pub content_type: Option<String>,
    /// Body.
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
    /// Takes an answer into the stored form.
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

    /// Text form, for the object API and the control protocol.
    pub fn to_text(&self) -> Arc<str> {
        serde_json::to_string(self).expect("plain data").into()
    }

    /// Reads the text form; `None` when it is not one.
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }

    /// The HTTP answer; `None` when the status is not a valid one.
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
