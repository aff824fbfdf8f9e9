//! Checks that involve several keys of a file.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::codes::Code;
use crate::types::Milliwatts;

use super::{AgentSettings, Document, EntrySettings, Faults, OperatorSettings, TargetsFile};

/// Checks the relations between keys, once each value is valid on its own.
pub trait Check {
    /// Adds a fault for each violated relation.
    fn check(&self, document: &Document, faults: &mut Faults);
}

impl Check for EntrySettings {
    fn check(&self, _document: &Document, _faults: &mut Faults) {}
}

impl Check for OperatorSettings {
    fn check(&self, _document: &Document, _faults: &mut Faults) {}
}

impl Check for AgentSettings {
    fn check(&self, document: &Document, faults: &mut Faults) {
        if self.endpoints.is_empty() {
            faults.push(
                0,
                "endpoint",
                Code::Missing,
                "[endpoint NAME] at least once",
            );
        }
        let too_low = self.endpoints.iter().filter(|e| e.limit < e.cold_limit);
        for endpoint in too_low {
            let line = document.line("endpoint", &endpoint.name, "limit");
            let key = format!("endpoint {}.limit", endpoint.name);
            let expected = format!("cold_limit or more, which is {}", endpoint.cold_limit);
            faults.push(line, &key, Code::OutOfRange, &expected);
        }
    }
}

impl Check for TargetsFile {
    fn check(&self, document: &Document, faults: &mut Faults) {
        self.check_class_targets(document, faults);
        self.check_names(document, faults);
        self.check_power(document, faults);
        self.check_zones(document, faults);
    }
}

impl TargetsFile {
    fn check_class_targets(&self, document: &Document, faults: &mut Faults) {
        let models = self.models.iter().map(|model| &model.name);
        let services = self.services.iter().map(|service| &service.name);
        let declared: BTreeSet<_> = models.chain(services).collect();
        let unknown = self
            .classes
            .iter()
            .filter(|c| !declared.contains(&c.target));
        for class in unknown {
            let line = document.line("class", &class.name, "target");
            let key = format!("class {}.target", class.name);
            faults.push(
                line,
                &key,
                Code::BadReference,
                "a [model NAME] or [service NAME]",
            );
        }
    }

    /// Rejects a service with the name of a model, because the target of a class would be
    /// ambiguous.
    fn check_names(&self, document: &Document, faults: &mut Faults) {
        let models: BTreeSet<_> = self.models.iter().map(|model| &model.name).collect();
        let ambiguous = self.services.iter().filter(|s| models.contains(&s.name));
        for service in ambiguous {
            let line = document.line("service", &service.name, "");
            let key = format!("service {}", service.name);
            faults.push(line, &key, Code::Duplicate, "a name that no model has");
        }
    }

    fn check_power(&self, document: &Document, faults: &mut Faults) {
        let classes: Milliwatts = self
            .classes
            .iter()
            .fold(0, |sum, class| sum.saturating_add(class.power));
        if classes > self.site.power {
            let line = document.line("site", "", "power");
            let expected = format!("the sum of the classes' power or more, {classes} mW");
            faults.push(line, "site.power", Code::OutOfRange, &expected);
        }
    }

    fn check_zones(&self, document: &Document, faults: &mut Faults) {
        let names: BTreeSet<&Arc<str>> = self.zones.names.iter().collect();
        let out = self.zones.out.iter().flatten();
        let unknown = out.filter(|zone| !names.is_empty() && !names.contains(zone));
        for _zone in unknown {
            let line = document.line("zones", "", "out");
            faults.push(
                line,
                "zones.out",
                Code::BadReference,
                "zones that zones.names lists",
            );
        }
    }
}
