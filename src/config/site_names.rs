//! The table of the names in the settings and their ids.

use crate::policy::interface::{ClassId, KindId, TenantId, ZoneId};
use crate::policy::settings_map::{Names, ReportValue};

/// The names that the settings give to classes, tenants, kinds of machines, zones and report values, with the ids that stand for
/// them in the decision module.
#[derive(Debug, Default)]
pub struct NameTable {
    pub(super) names: Names,
}

impl NameTable {
    /// The names of all classes by id, including classes that the settings no longer have.
    pub(crate) fn class_names(&self) -> &[String] {
        self.names.classes.names()
    }

    /// The names of all kinds of machines, by id.
    pub(crate) fn kind_names(&self) -> &[String] {
        self.names.kinds.names()
    }

    /// The name of a class.
    pub(crate) fn class_name(&self, class: ClassId) -> Option<&str> {
        self.class_names().get(usize::from(class.0)).map(String::as_str)
    }

    /// The name of a tenant.
    pub(crate) fn tenant_name(&self, tenant: TenantId) -> Option<&str> {
        self.names.tenants.names().get(usize::from(tenant.0)).map(String::as_str)
    }

    /// Whether the current settings have this class. A class that a reload removed or redefined keeps its id, but its name then
    /// stands for another class or for none.
    pub(crate) fn is_current_class(&self, class: ClassId) -> bool {
        self.class_name(class).and_then(|name| self.class_id(name)) == Some(class)
    }

    /// The id of a kind of machines; `None` if the name is unknown.
    pub(crate) fn kind_id(&self, name: &str) -> Option<KindId> {
        self.names.kinds.find(name).map(|id| KindId(id as u16))
    }

    /// The id of a kind of machines. An unknown name gets a new id.
    pub(crate) fn intern_kind(&mut self, name: &str) -> KindId {
        KindId(self.names.kinds.id(name) as u16)
    }

    /// The id of a zone. An unknown name gets a new id.
    pub(crate) fn intern_zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.id(name) as u16)
    }

    /// The id of a class of the current settings.
    pub(crate) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.names.classes.find(name).and_then(|id| u16::try_from(id).ok()).map(ClassId)
    }

    /// The id of a tenant of the current settings.
    pub(crate) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.names.tenants.find(name).map(|id| TenantId(id as u16))
    }

    /// Whether the settings have any tenant.
    pub(crate) fn has_tenants(&self) -> bool {
        !self.names.tenants.is_empty()
    }

    /// The meaning of a load report's value under either of these names; `None` if the settings do not define one.
    pub(crate) fn report_value(&self, settings_name: &str, name: &str) -> Option<&ReportValue> {
        let mut values = self.names.values.iter();
        let value = values.find(|(known, _)| known == settings_name || known == name);
        value.map(|(_, value)| value).filter(|value| !matches!(value, ReportValue::Unknown))
    }
}
