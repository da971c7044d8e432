//! The labels by which run times are learned: the names of a job's class and tenant, and its subject.

use crate::config::NameTable;
use crate::fleet::JobLabels;
use crate::policy::interface::{ClassId, SubjectId, TenantId};

/// The labels of a job; `None` if the class is unknown. The number of a subject is a hash, which is the same at every dispatcher.
pub(super) fn job_labels(
    names: &NameTable,
    class: ClassId,
    tenant: Option<TenantId>,
    subject: Option<SubjectId>,
) -> Option<JobLabels<'_>> {
    Some(JobLabels {
        class: names.class_name(class)?,
        tenant: tenant.and_then(|tenant| names.tenant_name(tenant)),
        subject: subject.map(|subject| u64::from(subject.0)),
    })
}
