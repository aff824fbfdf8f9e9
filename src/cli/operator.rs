//! Clients that the operator's commands use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;

use crate::clients::{
    HostList, HttpClient, HttpHostList, HttpObjectApi, HttpTimeouts, HttpWeightSource, Object,
    ObjectApi, PlatformError, WeightSource,
};
use crate::codes::Code;
use crate::config::{Body, Write, WriteCall, WriteOutcome};
use crate::control::ControlClients;
use crate::membership::{HostEntry, HostRole};
use crate::settings::OperatorSettings;
use crate::types::{Digest, Generation, HostId};
use crate::weights::Manifest;
use crate::wire::{EntryControlClient, EntryStatus};

use super::Failure;

/// Key of the configuration.
const CONFIG_KEY: &str = "config/current";
/// Time within which a process answers.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Reads that are tried before the platform counts as unreachable.
const READ_TRIES: usize = 5;

/// The platform and the processes, as an operator reaches them.
#[derive(Debug)]
pub struct Operator {
    objects: HttpObjectApi,
    hosts: HttpHostList,
    weights: HttpWeightSource,
    pub(super) control: ControlClients,
}

/// The configuration as the object API holds it.
#[derive(Clone, Debug)]
pub(super) struct Current {
    pub(super) generation: Generation,
    pub(super) body: Body,
}

impl Operator {
    /// Makes the clients; nothing is called yet.
    pub fn new(settings: &OperatorSettings) -> Self {
        let http = HttpClient::new(HttpTimeouts::default());
        let platform = &settings.platform;
        Self {
            objects: HttpObjectApi::new(platform.object_api, http.clone()),
            hosts: HttpHostList::new(platform.host_list, http.clone()),
            weights: HttpWeightSource::new(platform.weight_store, http),
            control: ControlClients::new(settings.security.token.clone(), CONTROL_TIMEOUT),
        }
    }

    /// Reads the configuration; `None` before the first one.
    pub(super) async fn current(&self) -> Result<Option<Current>, Failure> {
        let object = retried(|| self.objects.get(CONFIG_KEY))
            .await
            .map_err(|e| unreachable(Code::ObjectApiDown, &e))?;
        object.as_ref().map(Current::parse).transpose()
    }

    /// Reads the configuration once; `None` when it is absent or the object API does not answer.
    pub(super) async fn current_once(&self) -> Option<Current> {
        let object = self.objects.get(CONFIG_KEY).await.ok()??;
        Current::parse(&object).ok()
    }

    /// Reads the digest of a version's manifest.
    pub(super) async fn manifest(&self, model: &str, version: &str) -> Result<Digest, Failure> {
        let refused = || Failure::Refused {
            code: Code::VersionUnknown,
            detail: format!("model {model}, version {version}"),
        };
        let buf = retried(|| self.weights.manifest(model, version))
            .await
            .map_err(|e| match e {
                PlatformError::Missing => refused(),
                e => unreachable(Code::WeightStoreDown, &e),
            })?;
        let digest = blake3::hash(&buf).to_hex();
        Manifest::verify(&buf, digest.as_str()).map_err(|_| refused())?;
        Ok(digest.as_str().into())
    }

    /// Writes `body` in place of version `base`.
    pub(super) async fn write(&self, body: &Body, base: Generation) -> WriteOutcome {
        let mark = body.writers.first().cloned().unwrap_or_else(new_mark);
        let value = body.to_value();
        let mut write = Write::new(mark, base);
        loop {
            let end = match write.next() {
                WriteCall::Put => {
                    let answer = self.objects.put(CONFIG_KEY, &value, base).await;
                    write.handle_put_reply(answer)
                }
                WriteCall::Get => write.handle_get_reply(self.objects.get(CONFIG_KEY).await),
            };
            match end {
                Some(end) => return end,
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Reads the host list.
    pub(super) async fn hosts(&self) -> Result<Vec<HostEntry>, Failure> {
        retried(|| self.hosts.hosts())
            .await
            .map_err(|e| unreachable(Code::HostListDown, &e))
    }

    /// Asks every listed entry for its status; `None` for one that does not answer.
    pub(super) async fn statuses(
        &self,
        hosts: &[HostEntry],
    ) -> BTreeMap<HostId, Option<EntryStatus>> {
        let entries = hosts.iter().filter(|host| host.role == HostRole::Entry);
        let asked = entries.map(|host| async {
            let call = |client: Arc<_>| async move { EntryControlClient::status(&*client).await };
            let status = self.control.call(host.control, call).await;
            (host.host.clone(), status.ok())
        });
        join_all(asked).await.into_iter().collect()
    }
}

impl Current {
    pub(super) fn parse(object: &Object) -> Result<Self, Failure> {
        let body = Body::parse(&object.value).map_err(|e| Failure::Refused {
            code: Code::BadValue,
            detail: format!("configuration {}: {e}", object.version),
        })?;
        Ok(Self {
            generation: object.version,
            body,
        })
    }
}

/// Draws a mark by which a writer finds its own write.
pub(super) fn new_mark() -> Arc<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}

fn unreachable(code: Code, e: &PlatformError) -> Failure {
    Failure::Unreachable {
        code,
        detail: e.to_string(),
    }
}

/// Repeats a read that got no answer.
async fn retried<T, F, Fut>(read: F) -> Result<T, PlatformError>
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<T, PlatformError>>,
{
    for _ in 1..READ_TRIES {
        match read().await {
            Err(PlatformError::Refused(_) | PlatformError::Lost(_)) => {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            end => return end,
        }
    }
    read().await
}
