//! The names behind the settings' numbers, for what is stored, transferred or learned under names.

use crate::config::SiteNames;
use crate::fleet::JobLabels;
use crate::policy::interface::{ClassId, KeyId, TenantId};

/// The name of a class.
pub(super) fn class_name(names: &SiteNames, class: ClassId) -> Option<&str> {
    names.0.classes.names().get(usize::from(class.0)).map(String::as_str)
}

/// The name of a tenant.
pub(super) fn tenant_name(names: &SiteNames, tenant: Option<TenantId>) -> Option<&str> {
    names.0.tenants.names().get(usize::from(tenant?.0)).map(String::as_str)
}

/// The features by which jobs are learned of. A subject's number is a hash, the same at every dispatcher.
pub(super) fn job_traits(
    names: &SiteNames,
    class: ClassId,
    tenant: Option<TenantId>,
    key: Option<KeyId>,
) -> Option<JobLabels<'_>> {
    Some(JobLabels {
        class: class_name(names, class)?,
        tenant: tenant_name(names, tenant),
        subject: key.map(|key| u64::from(key.0)),
    })
}
