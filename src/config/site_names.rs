//! The names behind the settings' numbers.

use crate::policy::interface::{ClassId, KindId, TenantId, ZoneId};
use crate::policy::settings_map::{Names, ReportValue};

/// The names that the settings give to classes, tenants, kinds, zones and report values.
#[derive(Debug, Default)]
pub struct SiteNames {
    pub(super) names: Names,
}

impl SiteNames {
    /// The names of all classes by their ids, those included that the settings name no longer.
    pub(crate) fn class_names(&self) -> &[String] {
        self.names.classes.names()
    }

    /// The names of all kinds of machines by their ids.
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

    /// Whether the settings have this class now. One that a reload took away, or that was defined again, has kept its id, but its
    /// name means another class or none.
    pub(crate) fn is_current_class(&self, class: ClassId) -> bool {
        self.class_name(class).and_then(|name| self.class_id(name)) == Some(class)
    }

    /// The id of a kind of machines that has one.
    pub(crate) fn kind_id(&self, name: &str) -> Option<KindId> {
        self.names.kinds.find(name).map(|id| KindId(id as u16))
    }

    /// The id of a kind of machines; a new one if it has none.
    pub(crate) fn intern_kind(&mut self, name: &str) -> KindId {
        KindId(self.names.kinds.id(name) as u16)
    }

    /// The id of a zone; a new one if it has none.
    pub(crate) fn intern_zone(&mut self, name: &str) -> ZoneId {
        ZoneId(self.names.zones.id(name) as u16)
    }

    /// The id of a class that the settings name now.
    pub(crate) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.names.classes.find(name).and_then(|id| u16::try_from(id).ok()).map(ClassId)
    }

    /// The id of a tenant that the settings name now.
    pub(crate) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.names.tenants.find(name).map(|id| TenantId(id as u16))
    }

    /// Whether the settings name any tenant.
    pub(crate) fn has_tenants(&self) -> bool {
        !self.names.tenants.is_empty()
    }

    /// What the value of a load report under either of these names stands for; `None` where the settings do not say.
    pub(crate) fn report_value(&self, settings_name: &str, name: &str) -> Option<&ReportValue> {
        let mut values = self.names.values.iter();
        let value = values.find(|(known, _)| known == settings_name || known == name);
        value.map(|(_, value)| value).filter(|value| !matches!(value, ReportValue::Unknown))
    }
}
