//! Turns targets as declared by operators into the body of a configuration.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::settings::TargetsFile;
use crate::types::{Digest, ZoneId};

use super::{Class, Customer, Model, Service, Targets};

/// Body of a configuration, with the ids by which a writer recognises its own write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Body {
    /// Ids of the last writers, newest first.
    #[serde(default)]
    pub writers: Vec<Arc<str>>,
    /// Declared targets.
    #[serde(flatten)]
    pub targets: Targets,
}

impl Body {
    /// Maximum number of writers listed in a body.
    pub const MAX_WRITERS: usize = 8;

    /// Creates the body with which `writer` replaces `replaced`.
    pub fn new(writer: Arc<str>, targets: Targets, replaced: Option<&Self>) -> Self {
        let earlier = replaced.map_or(&[][..], |body| &body.writers);
        let writers = std::iter::once(writer)
            .chain(earlier.iter().cloned())
            .take(Self::MAX_WRITERS)
            .collect();
        Self { writers, targets }
    }

    /// Parses the value of the configuration object.
    ///
    /// # Errors
    ///
    /// Fails when the value is not a body.
    pub fn parse(value: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(value)
    }

    /// Serialises the body as the value of the configuration object.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("invariant: a body contains only string keys")
    }
}

/// Declared targets, before versions are resolved to manifests.
#[derive(Clone, Debug)]
pub struct Declaration {
    /// Invariant: manifests are empty and no zone is out.
    targets: Targets,
    /// Zones out of service; `None` if the file does not declare them.
    zones_out: Option<BTreeSet<ZoneId>>,
}

impl From<TargetsFile> for Declaration {
    fn from(file: TargetsFile) -> Self {
        let targets = Targets {
            site_power: file.site.power,
            classes: file.classes.into_iter().map(Class::from).collect(),
            customers: file.customers.into_iter().map(Customer::from).collect(),
            models: file.models.into_iter().map(Model::from).collect(),
            services: file.services.into_iter().map(Service::from).collect(),
            zones: file.zones.names.into_iter().collect(),
            zones_out: BTreeSet::new(),
        };
        let zones_out = file.zones.out.map(BTreeSet::from_iter);
        Self { targets, zones_out }
    }
}

impl Declaration {
    /// Models whose versions have to be resolved.
    pub fn models(&self) -> &[Model] {
        &self.targets.models
    }

    /// Returns the targets with the manifest of each model, given in the order of [`Self::models`].
    /// The zones out of service are those of `current` unless the declaration lists them.
    pub fn resolve(mut self, manifests: Vec<Digest>, current: Option<&Targets>) -> Targets {
        for (model, manifest) in self.targets.models.iter_mut().zip(manifests) {
            model.manifest = manifest;
        }
        self.targets.zones_out = self
            .zones_out
            .or_else(|| current.map(|targets| targets.zones_out.clone()))
            .unwrap_or_default();
        self.targets
    }
}

mod from_sections {
    use super::{Class, Customer, Model, Service};
    use crate::settings::{ClassSection, CustomerSection, ModelSection, ServiceSection};

    impl From<ClassSection> for Class {
        fn from(section: ClassSection) -> Self {
            Self {
                id: section.name,
                target: section.target,
                first_token: section.first_token,
                power: section.power,
                priority: section.priority,
                keyed: section.keyed,
                deferrable: section.deferrable,
            }
        }
    }

    impl From<CustomerSection> for Customer {
        fn from(section: CustomerSection) -> Self {
            Self {
                id: section.name,
                weight: section.weight,
            }
        }
    }

    impl From<ModelSection> for Model {
        fn from(section: ModelSection) -> Self {
            Self {
                id: section.name,
                version: section.version,
                manifest: "".into(),
                replicas: section.replicas,
            }
        }
    }

    impl From<ServiceSection> for Service {
        fn from(section: ServiceSection) -> Self {
            Self { id: section.name }
        }
    }
}
