//! Differences between two sets of targets, by the keys of the targets file.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

use crate::settings::value_type::{format_duration, format_power};
use crate::types::ZoneId;

use super::Targets;

/// One key that differs.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Difference {
    /// Section and key, such as `class chat.power`.
    pub key: String,
    /// Value before; `None` when the key was absent.
    pub old: Option<String>,
    /// Value after; `None` when the key is absent.
    pub new: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = &self.key;
        match (&self.old, &self.new) {
            (Some(old), Some(new)) => write!(f, "~ {key} = {old} -> {new}"),
            (None, Some(new)) => write!(f, "+ {key} = {new}"),
            (Some(old), None) => write!(f, "- {key} = {old}"),
            (None, None) => write!(f, "  {key}"),
        }
    }
}

/// Lists the keys whose values differ, in alphabetical order.
pub fn differences(old: &Targets, new: &Targets) -> Vec<Difference> {
    let (old, new) = (keys(old), keys(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    names
        .into_iter()
        .filter(|key| old.get(*key) != new.get(*key))
        .map(|key| Difference {
            key: key.clone(),
            old: old.get(key).cloned(),
            new: new.get(key).cloned(),
        })
        .collect()
}

/// Every key with its value, written as in a targets file.
fn keys(targets: &Targets) -> BTreeMap<String, String> {
    let mut keys = BTreeMap::from([
        ("site.power".to_owned(), format_power(targets.site_power)),
        ("zones.names".to_owned(), names(&targets.zones)),
        ("zones.out".to_owned(), names(&targets.zones_out)),
    ]);
    let mut add = |section: &str, name: &str, key: &str, value: String| {
        keys.insert(format!("{section} {name}.{key}"), value);
    };
    for class in &targets.classes {
        let mut add = |key, value| add("class", &class.id, key, value);
        add("target", class.target.to_string());
        add("first_token", format_duration(class.first_token));
        add("power", format_power(class.power));
        add("priority", class.priority.to_string());
        add("keyed", yes_or_no(class.keyed));
        add("deferrable", yes_or_no(class.deferrable));
    }
    for customer in &targets.customers {
        add(
            "customer",
            &customer.id,
            "weight",
            customer.weight.to_string(),
        );
    }
    for model in &targets.models {
        let replicas = model.replicas.map_or("all".to_owned(), |n| n.to_string());
        add("model", &model.id, "version", model.version.to_string());
        add("model", &model.id, "manifest", model.manifest.to_string());
        add("model", &model.id, "replicas", replicas);
    }
    for service in &targets.services {
        add("service", &service.id, "declared", yes_or_no(true));
    }
    keys
}

fn names(zones: &BTreeSet<ZoneId>) -> String {
    let names: Vec<&str> = zones.iter().map(|zone| &**zone).collect();
    names.join(", ")
}

fn yes_or_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
