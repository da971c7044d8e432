//! What jobs are learned by: the names behind the numbers of their classes and tenants.

use crate::config::SiteNames;
use crate::fleet::JobLabels;
use crate::policy::interface::{ClassId, KeyId, TenantId};

/// The labels by which jobs are learned of; `None` where the class is not known. A subject's number is a hash, the same at every
/// dispatcher.
pub(super) fn job_labels(
    names: &SiteNames,
    class: ClassId,
    tenant: Option<TenantId>,
    key: Option<KeyId>,
) -> Option<JobLabels<'_>> {
    Some(JobLabels {
        class: names.class_name(class)?,
        tenant: tenant.and_then(|tenant| names.tenant_name(tenant)),
        subject: key.map(|key| u64::from(key.0)),
    })
}
