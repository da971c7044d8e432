//! Reads the settings of a deployment from name-value pairs. A `hello` line of the simulator and the `settings` object of a
//! configuration file use the same names.

use crate::policy::interface::{
    Class, DeduplicationScope, Idempotency, KindId, LoadReport, LoadReporting, Micros, Settings, Tenant,
    ZoneId,
};
use crate::policy::interner::Interner;
use std::collections::HashMap;

/// The error for a setting whose text is not a number although it must be one.
#[derive(Debug, thiserror::Error)]
#[error("{path} is not a number: {text:?}")]
pub struct NotANumber {
    path: String,
    text: String,
}

/// The texts of settings by their paths, such as `Grades.0.TargetMs`.
pub(crate) struct SettingTexts<'a>(pub(crate) HashMap<&'a str, &'a str>);

/// The field of [`LoadReport`] that a value in a load report belongs to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ReportValue {
    Cpu,
    FreeSlots,
    FreeMemory,
    Active,
    Waiting,
    AvgMs,
    Rps,
    ErrRps,
    Unknown,
}

/// The names that a deployment's settings give to classes, tenants, kinds, zones and report values.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) classes: Interner,
    pub(crate) tenants: Interner,
    pub(crate) kinds: Interner,
    pub(crate) zones: Interner,
    /// The names and meanings of the values in a load report, in the order of the settings.
    pub(crate) values: Vec<(String, ReportValue)>,
}

/// Converts milliseconds to microseconds, rounded; a negative or NaN number becomes 0.
pub(crate) fn to_micros(ms: f64) -> Micros {
    (ms * 1000.0).round().clamp(0.0, 9e18) as Micros
}

/// Converts microseconds to fractional milliseconds.
pub(crate) fn to_ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

/// The FNV-1a hash of a name, which is the same at every dispatcher.
pub(crate) fn hash_name(name: &str) -> u64 {
    name.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

impl ReportValue {
    /// The meaning that the deployment's settings give to the value with this name.
    fn new(name: &str, setting_texts: &SettingTexts) -> ReportValue {
        match name {
            "cpu" => ReportValue::Cpu,
            "active" => ReportValue::Active,
            "waiting" => ReportValue::Waiting,
            "avg_ms" => ReportValue::AvgMs,
            "rps" => ReportValue::Rps,
            "err_rps" => ReportValue::ErrRps,
            "x0" if setting_texts.text("Domain.ReportX0") == Some("free_slots") => ReportValue::FreeSlots,
            "x1" if setting_texts.text("Domain.ReportX1") == Some("free_memory") => ReportValue::FreeMemory,
            _ => ReportValue::Unknown,
        }
    }

    /// Stores a number in its field of a report. A number that is not finite counts as absent.
    pub(crate) fn store(self, report: &mut LoadReport, number: f64) {
        let field = match self {
            ReportValue::Cpu => &mut report.cpu,
            ReportValue::FreeSlots => &mut report.free_slots,
            ReportValue::FreeMemory => &mut report.free_memory,
            ReportValue::Active => &mut report.active,
            ReportValue::Waiting => &mut report.waiting,
            ReportValue::AvgMs => &mut report.avg_ms,
            ReportValue::Rps => &mut report.rps,
            ReportValue::ErrRps => &mut report.err_rps,
            ReportValue::Unknown => return,
        };
        *field = Some(number).filter(|number| number.is_finite());
    }
}

impl<'a> SettingTexts<'a> {
    /// The text of a setting, if it is set.
    fn text(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    /// The number that a setting contains, or `default` if it is not set.
    pub(crate) fn number(&self, path: &str, default: f64) -> Result<f64, NotANumber> {
        let Some(text) = self.text(path) else { return Ok(default) };
        text.parse().map_err(|_| NotANumber { path: path.to_owned(), text: text.to_owned() })
    }

    /// A setting in milliseconds, or `default_ms` if it is not set.
    fn micros(&self, path: &str, default_ms: f64) -> Result<Micros, NotANumber> {
        Ok(to_micros(self.number(path, default_ms)?))
    }

    /// A setting in milliseconds if `flag` is set; otherwise `None`, even if the setting has a value.
    fn micros_if(&self, flag: bool, path: &str, default_ms: f64) -> Result<Option<Micros>, NotANumber> {
        if flag { self.micros(path, default_ms).map(Some) } else { Ok(None) }
    }

    /// The number of elements of a list, limited to the number of settings.
    fn count(&self, path: &str) -> Result<usize, NotANumber> {
        Ok((self.number(path, 0.0)? as usize).min(self.0.len()))
    }

    /// A boolean setting: `true` and `1` are true, any other text is false. `default` applies if it is not set.
    fn flag(&self, path: &str, default: bool) -> bool {
        self.text(path).map_or(default, |text| text == "true" || text == "1")
    }

    /// The elements of a list, separated by commas. Empty elements are left out.
    fn list(&self, path: &str) -> Vec<&'a str> {
        self.text(path).map_or(Vec::new(), |text| text.split(',').filter(|item| !item.is_empty()).collect())
    }

    /// An element of a list, parsed; `None` if it is missing or cannot be parsed.
    fn element<T: std::str::FromStr>(&self, path: &str, index: usize) -> Option<T> {
        self.list(path).get(index).and_then(|text| text.parse().ok())
    }

    /// The class with this index.
    fn class(&self, index: usize) -> Result<Class, NotANumber> {
        let path = |name: &str| format!("Grades.{index}.{name}");
        let deadline = self.micros(&path("DeadlineMs"), 1e12)?;
        let idempotency = self.idempotency(&path)?;
        let own_factor = self.number(&path("AimStretch"), 0.0)?;
        Ok(Class {
            latency_objective: self.micros(&path("TargetMs"), to_ms(deadline))?,
            latency_factor: self.element("Domain.ClassStretch", index).unwrap_or(own_factor),
            deadline,
            idempotency,
            weight: self.number(&path("Points"), 1.0)?,
            late_weight: self.number(&path("LateWorth"), 0.0)?,
            is_stream: self.flag(&path("Stream"), false),
            kind: self.element("Domain.ClassKind", index).map(KindId),
            priority: self.element("Domain.ClassPriority", index).unwrap_or(0),
        })
    }

    /// Whether the jobs of a class may be repeated. `path` returns the path of the class's setting with a given name.
    fn idempotency(&self, path: &dyn Fn(&str) -> String) -> Result<Idempotency, NotANumber> {
        Ok(match self.text(&path("Semantics")) {
            Some("pure") => Idempotency::Idempotent,
            Some("token") => Idempotency::IdempotentWithKey {
                scope: match self.text(&path("Group")) {
                    Some("all") => DeduplicationScope::All,
                    Some("zone") => DeduplicationScope::Zone,
                    _ => DeduplicationScope::Cell,
                },
                window: self.micros(&path("MemorySpanMs"), 0.0)?,
            },
            _ => Idempotency::NonIdempotent,
        })
    }

    /// The tenant with this index.
    fn tenant(&self, index: usize) -> Result<Tenant, NotANumber> {
        Ok(Tenant {
            quota_per_s: self.number(&format!("Projects.{index}.QuotaPerS"), 0.0)?,
            share_weight: self.number(&format!("Projects.{index}.Portion"), 0.0)?,
        })
    }

    /// How load reports reach the dispatcher.
    fn load_reporting(&self) -> LoadReporting {
        match self.text("LoadInfo.Source") {
            Some("piggyback") => LoadReporting::WithResponses,
            Some("pull") => LoadReporting::ProbesOnly,
            _ => LoadReporting::Never,
        }
    }

    /// Numbers the names of the first `classes` classes and `tenants` tenants, and those of the kinds, zones and report values.
    /// Zones and kinds that have a number in `known` keep it.
    fn names(&self, known: &Names, classes: usize, tenants: usize) -> Names {
        let mut names = Names { zones: known.zones.clone(), kinds: known.kinds.clone(), ..Names::default() };
        for zone in self.list("Zones") {
            names.zones.id(zone);
        }
        for kind in self.list("Kinds") {
            names.kinds.id(kind);
        }
        for index in 0..classes {
            names.classes.id(self.text(&format!("Grades.{index}.Name")).unwrap_or(""));
        }
        for index in 0..tenants {
            names.tenants.id(self.text(&format!("Projects.{index}.Name")).unwrap_or(""));
        }
        let fields = self.list("LoadInfo.Fields").into_iter();
        names.values = fields.map(|name| (name.to_owned(), ReportValue::new(name, self))).collect();
        names
    }
}

/// Reads [`Settings`] from the texts of a deployment's settings, and returns them with the names that the texts contain. Zones
/// and kinds that have a number in `known` keep it.
///
/// # Errors
///
/// Returns an error if a setting that must be a number is not one. Whether the settings are consistent is not checked here.
pub(crate) fn settings(setting_texts: &SettingTexts, known: &Names) -> Result<(Settings, Names), NotANumber> {
    let classes = (0..setting_texts.count("Grades.count")?).map(|index| setting_texts.class(index));
    let classes = classes.collect::<Result<Vec<Class>, _>>()?;
    let tenants = (0..setting_texts.count("Projects.count")?).map(|index| setting_texts.tenant(index));
    let tenants = tenants.collect::<Result<Vec<Tenant>, _>>()?;
    let mut names = setting_texts.names(known, classes.len(), tenants.len());
    let progress_interval = setting_texts.micros("Domain.ProgressMs", 0.0)?;
    let list_on_request = setting_texts.text("Discovery") == Some("on_request");
    let has_retry_after = setting_texts.flag("Limits.RetryAfter", false);
    let settings = Settings {
        own_place: setting_texts.number("Me", 0.0)? as u32,
        dispatcher_count: setting_texts.number("Siblings", 1.0)? as u32,
        zone: ZoneId(names.zones.id(setting_texts.text("Zone").unwrap_or("")) as u16),
        classes,
        tenants,
        over_quota_weight: setting_texts.number("OverShareWorth", 1.0)?,
        batch_interval: setting_texts.micros("GranularityMs", 1.0)?,
        weight_by_work: setting_texts.text("CountedBy") == Some("work"),
        load_reporting: setting_texts.load_reporting(),
        reports_start: setting_texts.flag("Domain.TellsStart", false),
        progress_interval: (progress_interval > 0).then_some(progress_interval),
        list_on_request,
        may_cancel: setting_texts.flag("Limits.Cancel", false),
        may_probe: setting_texts.flag("Limits.Probing", false),
        may_message_peers: setting_texts.flag("Limits.Peers", false),
        may_hedge: setting_texts.flag("Limits.SecondCopies", false),
        max_attempts: setting_texts.number("Limits.MaxAttempts", 1.0)? as u32,
        max_retry_after: setting_texts.micros_if(has_retry_after, "Limits.MaxRetryAfterMs", 1000.0)?,
        response_grace: setting_texts.micros("Obligations.AnswerSlackMs", 20.0)?,
        drain_grace: setting_texts.micros("Obligations.StopSendingWithinMs", 0.0)?,
        max_poll_interval: setting_texts.micros_if(list_on_request, "Obligations.AskWithinMs", 10_000.0)?,
        initial_capacity: setting_texts.number("Obligations.ColdFrom", 0.1)?,
        warm_up_time: setting_texts.micros("Obligations.ColdMs", 0.0)?,
        collapse_multiple: setting_texts.number("Obligations.FallMultiple", 1.0)?,
        collapse_window: setting_texts.micros("Obligations.FallMs", 1000.0)?,
        price_cross_zone: setting_texts.number("Prices.CrossZone", 0.0)?,
        price_probe: setting_texts.number("Prices.Probe", 0.0)?,
        price_waste: setting_texts.number("Prices.Waste", 0.0)?,
        price_late_failure: setting_texts.number("Prices.LateFail", 0.0)?,
    };
    Ok((settings, names))
}
