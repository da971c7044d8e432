//! Reload of the configuration of a running program.

use super::document::Document;
use super::flatten::join;
use super::{Config, ConfigError, FileContentError, NameTable, read_file};
use crate::policy::interface::Settings;
use crate::policy::settings_map::Names;
use serde_json::Value;
use std::path::Path;

impl Config {
    /// Reads the configuration file again, for a program that runs with this configuration. Names in `known_names` keep their
    /// ids. The dispatcher's name and its listeners stay the same. If the file has a new discovery address, that address applies
    /// even if the environment overrode the old one at the start, so that the address can change without a restart.
    ///
    /// # Errors
    /// [`ConfigError`] if the file cannot be read, the new configuration is invalid, or it lacks a key of this one.
    pub fn reload(&self, known_names: &NameTable) -> Result<Config, ConfigError> {
        let current_value = |variable: &str| match variable {
            "GW_NAME" => Some(self.name.clone()),
            "GW_LISTEN" => Some(self.listen.to_string()),
            "GW_DISCOVERY" => Some(self.discovery.to_string()),
            "GW_ADMIN_ADDR" => self.admin.map(|address| address.to_string()),
            _ => None,
        };
        let text = read_file(Path::new(&self.file))?;
        let document = Document::parse_for_reload(&text, &self.file, current_value)?;
        let mut new = Config::from_document(document, &self.file, known_names)?;
        if let Some(key) = find_missing_key("", &self.initial_document, &new.initial_document) {
            let error = FileContentError::MissingKey(key);
            return Err(ConfigError::Malformed { file: self.file.clone(), error });
        }
        new.initial_document = self.initial_document.clone();
        keep_class_ids(&mut new.names.names, &mut new.settings, &known_names.names, &self.settings);
        keep_tenant_ids(&mut new.names.names, &mut new.settings, &known_names.names, &self.settings);
        let has_new_discovery = new.discovery_in_file != self.discovery_in_file;
        if let Some(address) = new.discovery_in_file.filter(|_| has_new_discovery) {
            new.discovery = address;
        }
        Ok(new)
    }
}

/// Keeps the class ids that open requests refer to. A class that was removed or redefined keeps its id and its old definition for
/// the requests that were accepted with it.
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

/// Keeps the tenant ids that open requests refer to. A tenant's new definition applies to those requests as well.
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

/// The path of the first key that `old` has and `new` lacks. In a list of objects, only the keys that all old objects share are
/// required.
fn find_missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old_fields), _) => old_fields
            .iter()
            .find_map(|(key, old_value)| find_missing_in_field(&join(path, key), old_value, new.get(key))),
        (Value::Array(old_items), Value::Array(new_items)) => {
            find_missing_in_list(path, old_items, new_items)
        }
        (Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// The path of the first key that a field lacks in the new document: the field itself, or a key in it.
fn find_missing_in_field(path: &str, old: &Value, new: Option<&Value>) -> Option<String> {
    match new {
        None | Some(Value::Null) if !old.is_null() => Some(path.to_owned()),
        Some(new) => find_missing_key(path, old, new),
        None => None,
    }
}

/// The path of the first key that all objects of the old list have and one of the new list lacks.
fn find_missing_in_list(path: &str, old: &[Value], new: &[Value]) -> Option<String> {
    let first = old.first()?.as_object()?;
    let mut shared_keys = first.keys().filter(|key| old.iter().all(|item| item.get(key).is_some()));
    let is_missing = |key: &str| new.iter().any(|item| item.get(key).is_none_or(Value::is_null));
    shared_keys.find(|key| is_missing(key)).map(|key| join(path, key))
}
