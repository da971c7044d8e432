//! The names behind the settings' numbers.

use crate::policy::interface::{ClassId, TenantId};
use crate::policy::settings_map::{Names, ReportValue};

/// The names that the settings give to classes, tenants, kinds, zones and report values.
#[derive(Debug, Default)]
pub struct SiteNames(pub(crate) Names);

impl SiteNames {
    /// The id of a class that the settings name now.
    pub(crate) fn class_id(&self, name: &str) -> Option<ClassId> {
        self.0.classes.find(name).and_then(|id| u16::try_from(id).ok()).map(ClassId)
    }

    /// The id of a tenant that the settings name now.
    pub(crate) fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.0.tenants.find(name).map(|id| TenantId(id as u16))
    }

    /// Whether the settings name any tenant.
    pub(crate) fn has_tenants(&self) -> bool {
        !self.0.tenants.is_empty()
    }

    /// What the value of a load report under either of these names stands for; `None` where the settings do not say.
    pub(crate) fn report_value(&self, settings_name: &str, name: &str) -> Option<&ReportValue> {
        let mut values = self.0.values.iter();
        let value = values.find(|(known, _)| known == settings_name || known == name);
        value.map(|(_, value)| value).filter(|value| !matches!(value, ReportValue::Unknown))
    }
}
