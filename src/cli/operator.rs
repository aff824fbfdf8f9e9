//! Clients for the platform and the processes, used by operators' commands.

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

/// Key of the configuration in the object API.
const CONFIG_KEY: &str = "config/current";
/// Timeout of a control call to a process.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a call to the platform is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of times a read is tried before the platform is reported as unreachable.
const MAX_READ_TRIES: usize = 5;

/// Clients for the platform's services and for the control interface of the processes.
#[derive(Debug)]
pub struct OperatorClients {
    objects: HttpObjectApi,
    hosts: HttpHostList,
    weights: HttpWeightSource,
    pub(super) control: ControlClients,
}

/// The configuration stored in the object API, with its generation.
#[derive(Clone, Debug)]
pub(super) struct CurrentConfig {
    pub(super) generation: Generation,
    pub(super) body: Body,
}

impl OperatorClients {
    /// Creates the clients without calling anything.
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

    /// Reads the configuration; `None` if none was written yet.
    pub(super) async fn current_config(&self) -> Result<Option<CurrentConfig>, Failure> {
        let object = retry_read(|| self.objects.get(CONFIG_KEY))
            .await
            .map_err(|e| unreachable_failure(Code::ObjectApiDown, &e))?;
        object.as_ref().map(CurrentConfig::parse).transpose()
    }

    /// Reads the configuration without retries; `None` if it is absent or invalid, or if the object
    /// API does not answer.
    pub(super) async fn current_config_once(&self) -> Option<CurrentConfig> {
        let object = self.objects.get(CONFIG_KEY).await.ok()??;
        CurrentConfig::parse(&object).ok()
    }

    /// Downloads and verifies the manifest of a version, and returns its digest.
    pub(super) async fn manifest_digest(
        &self,
        model: &str,
        version: &str,
    ) -> Result<Digest, Failure> {
        let refused = || Failure::Refused {
            code: Code::VersionUnknown,
            detail: format!("model {model}, version {version}"),
        };
        let buf = retry_read(|| self.weights.manifest(model, version))
            .await
            .map_err(|e| match e {
                PlatformError::Missing => refused(),
                e => unreachable_failure(Code::WeightStoreDown, &e),
            })?;
        let digest = blake3::hash(&buf).to_hex();
        Manifest::verify(&buf, digest.as_str()).map_err(|_| refused())?;
        Ok(digest.as_str().into())
    }

    /// Writes `body` if the stored configuration still is generation `base`.
    pub(super) async fn write_config(&self, body: &Body, base: Generation) -> WriteOutcome {
        let writer = body.writers.first().cloned().unwrap_or_else(new_writer_id);
        let value = body.to_value();
        let mut write = Write::new(writer, base);
        loop {
            let outcome = match write.next() {
                WriteCall::Put => {
                    let answer = self.objects.put(CONFIG_KEY, &value, base).await;
                    write.handle_put_reply(answer)
                }
                WriteCall::Get => write.handle_get_reply(self.objects.get(CONFIG_KEY).await),
            };
            match outcome {
                Some(outcome) => return outcome,
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads the host list.
    pub(super) async fn hosts(&self) -> Result<Vec<HostEntry>, Failure> {
        retry_read(|| self.hosts.hosts())
            .await
            .map_err(|e| unreachable_failure(Code::HostListDown, &e))
    }

    /// Fetches the status of every listed entry; `None` for an entry that does not answer.
    pub(super) async fn entry_statuses(
        &self,
        hosts: &[HostEntry],
    ) -> BTreeMap<HostId, Option<EntryStatus>> {
        let entries = hosts.iter().filter(|host| host.role == HostRole::Entry);
        let requests = entries.map(|host| async {
            let call = |client: Arc<_>| async move { EntryControlClient::status(&*client).await };
            let status = self.control.call(host.control, call).await;
            (host.host.clone(), status.ok())
        });
        join_all(requests).await.into_iter().collect()
    }
}

impl CurrentConfig {
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

/// Draws a random id by which a writer recognises its own write.
pub(super) fn new_writer_id() -> Arc<str> {
    format!("{:016x}", rand::random::<u64>()).into()
}

fn unreachable_failure(code: Code, e: &PlatformError) -> Failure {
    Failure::Unreachable {
        code,
        detail: e.to_string(),
    }
}

/// Repeats a read while it is refused or its answer is lost, [`MAX_READ_TRIES`] times at most.
async fn retry_read<T, F, Fut>(read: F) -> Result<T, PlatformError>
where
    F: Fn() -> Fut,
    Fut: Future<Output = Result<T, PlatformError>>,
{
    for _ in 1..MAX_READ_TRIES {
        match read().await {
            Err(PlatformError::Refused(_) | PlatformError::Lost(_)) => {
                tokio::time::sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
    read().await
}
