//! Reading the configuration again while the program runs.

use super::{Config, ConfigError, FileContentError, SiteNames, read_file};
use crate::policy::interface::Settings;
use crate::policy::settings_map::Names;
use serde_json::Value;
use std::path::Path;

impl Config {
    /// Reads the configuration's file again, for a program that runs under this configuration and has met `known_names`. Name
    /// and listeners stay. A discovery address that the file did not name before counts, though the environment won at the
    /// start: that is how a running program gets another one.
    ///
    /// # Errors
    /// [`ConfigError`] where the new configuration is not in order, or lacks a key that this one has.
    pub fn reload(&self, known_names: &SiteNames) -> Result<Config, ConfigError> {
        let kept = |variable: &str| match variable {
            "GW_NAME" => Some(self.name.clone()),
            "GW_LISTEN" => Some(self.listen.to_string()),
            "GW_DISCOVERY" => Some(self.discovery.to_string()),
            "GW_ADMIN_ADDR" => self.admin.map(|address| address.to_string()),
            _ => None,
        };
        let text = read_file(Path::new(&self.file))?;
        let mut new = Config::parse(&text, &self.file, kept, known_names)?;
        if let Some(key) = find_missing_key("", &self.initial_document, &new.initial_document) {
            let error = FileContentError::MissingKey(key);
            return Err(ConfigError::Malformed { file: self.file.clone(), error });
        }
        new.initial_document = self.initial_document.clone();
        keep_class_ids(&mut new.names.names, &mut new.settings, &known_names.names, &self.settings);
        keep_tenant_ids(&mut new.names.names, &mut new.settings, &known_names.names, &self.settings);
        if let Some(named) = new.discovery_in_file.filter(|_| new.discovery_in_file != self.discovery_in_file)
        {
            new.discovery = named;
        }
        Ok(new)
    }
}

/// Gives classes the ids by which requests in progress know them. A class that is gone, or was defined otherwise, keeps its id
/// and its old definition for the requests that were accepted with it.
fn keep_class_ids(names: &mut Names, settings: &mut Settings, old_names: &Names, old_settings: &Settings) {
    let is_same = |new: usize, old: usize| settings.classes[new] == old_settings.classes[old];
    let renumbered = names.classes.keep_numbers(&old_names.classes, is_same);
    let defined = std::mem::replace(&mut settings.classes, old_settings.classes.clone());
    for (class, id) in defined.into_iter().zip(renumbered.numbers) {
        if id == settings.classes.len() {
            settings.classes.push(class);
        }
    }
    names.classes = renumbered.interner;
}

/// Gives tenants the ids by which requests in progress know them. A tenant's new definition holds for those requests as well.
fn keep_tenant_ids(names: &mut Names, settings: &mut Settings, old_names: &Names, old_settings: &Settings) {
    let renumbered = names.tenants.keep_numbers(&old_names.tenants, |_, _| true);
    let defined = std::mem::replace(&mut settings.tenants, old_settings.tenants.clone());
    for (tenant, id) in defined.into_iter().zip(renumbered.numbers) {
        match settings.tenants.get_mut(id) {
            Some(old) => *old = tenant,
            None => settings.tenants.push(tenant),
        }
    }
    names.tenants = renumbered.interner;
}

/// The path of the first key that `old` has and `new` lacks. Of a list's objects, keys count that all of them have.
fn find_missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old), _) => old.iter().find_map(|(key, old)| {
            let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
            match new.get(key) {
                None | Some(Value::Null) if !old.is_null() => Some(path),
                Some(new) => find_missing_key(&path, old, new),
                None => None,
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first()?.as_object()?;
            let mut shared = first.keys().filter(|key| old.iter().all(|item| item.get(key).is_some()));
            let is_missing = |key: &str| new.iter().any(|item| item.get(key).is_none_or(Value::is_null));
            shared.find(|key| is_missing(key)).map(|key| format!("{path}.{key}"))
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}
