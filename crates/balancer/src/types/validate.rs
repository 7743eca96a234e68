//! Validation of settings.

use super::{Class, ScoreWeights, Settings, Tenant};
use thiserror::Error;

/// An error in the settings.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum SettingsError {
    /// No request class is defined.
    #[error("classes: there must be at least one")]
    NoClasses,
    /// A value is out of range.
    #[error("{field}: {value} is out of range")]
    OutOfRange {
        /// Path of the setting.
        field: &'static str,
        /// Its value.
        value: f64,
    },
}

fn within(field: &'static str, value: f64, low: f64, high: f64) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError::OutOfRange { field, value }) }
}

impl Settings {
    /// Checks that every value is in range and that there is at least one class.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        within("balancers", f64::from(self.balancers), 1.0, 1e6)?;
        within("limits.max_attempts", f64::from(self.limits.max_attempts), 1.0, 1e6)?;
        within("rules.cold_share", self.rules.cold_share, 0.0, 1.0)?;
        within("rules.fall_multiple", self.rules.cold_overload_factor, 0.0, 1e6)?;
        within("over_share_worth", self.over_share_value, 0.0, 1.0)?;
        validate_score_weights(&self.score_weights)?;
        self.classes.iter().try_for_each(validate_class)?;
        self.tenants.iter().try_for_each(validate_tenant)
    }
}

fn validate_score_weights(score_weights: &ScoreWeights) -> Result<(), SettingsError> {
    within("goal.whole", score_weights.overall, 0.0, 1e6)?;
    within("goal.worst_window", score_weights.worst_window, 0.0, 1e6)?;
    within("goal.worst_class", score_weights.worst_class, 0.0, 1e6)?;
    within("goal.worst_tenant", score_weights.worst_tenant, 0.0, 1e6)?;
    within("goal.nines", score_weights.availability_nines, 0.0, 1e6)?;
    within("goal.nines_wanted", score_weights.target_nines, 0.0, 1e6)
}

fn validate_class(class: &Class) -> Result<(), SettingsError> {
    within("classes[].worth", class.value, 0.0, 1e12)?;
    within("classes[].late_value", class.late_value, 0.0, 1.0)?;
    within("classes[].aim_stretch", class.objective_work_factor, 0.0, 1e6)?;
    within("classes[].objective", class.objective.as_secs_f64(), 1e-6, 1e6)?;
    within("classes[].deadline", class.deadline.as_secs_f64(), 1e-6, 1e6)
}

fn validate_tenant(tenant: &Tenant) -> Result<(), SettingsError> {
    within("tenants[].allowance_per_s", tenant.allowance_per_s, 0.0, 1e12)?;
    within("tenants[].portion", tenant.portion, 0.0, 1.0)
}
