use snafu::Snafu;
use std::env;

const REDACTED: &str = "***";

/// An invalid or missing setting.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingError {
    /// The value of a setting is not allowed.
    #[snafu(display("--{flag} ({variable}): {value:?} is not allowed; allowed is {allowed}"))]
    InvalidValue {
        /// The flag without its dashes.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// The given value; redacted for a secret.
        value: String,
        /// The allowed values, as text.
        allowed: &'static str,
    },
    /// Neither the flag nor the variable is set.
    #[snafu(display("--{flag} ({variable}) is missing; allowed is {allowed}"))]
    Missing {
        /// The flag without its dashes.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// The allowed values, as text.
        allowed: &'static str,
    },
    /// Several settings are invalid or missing; displayed as one line each.
    #[snafu(display("{}", joined_lines(problems)))]
    Multiple {
        /// The errors, in the order in which the settings are read.
        problems: Vec<SettingError>,
    },
}

fn joined_lines(problems: &[SettingError]) -> String {
    let lines: Vec<String> = problems.iter().map(SettingError::to_string).collect();
    lines.join("\n")
}

/// Collects the errors of all settings, so that they are reported together.
#[derive(Debug, Default)]
pub struct Problems(Vec<SettingError>);

impl Problems {
    /// Returns the value, or records the error and returns `None`.
    pub fn record<T>(&mut self, result: Result<T, SettingError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(e) => {
                self.0.push(e);
                None
            }
        }
    }

    /// Returns the settings if no error was recorded.
    pub fn finish<T>(mut self, settings: T) -> Result<T, SettingError> {
        match self.0.len() {
            0 => Ok(settings),
            1 => Err(self.0.remove(0)),
            _ => Err(SettingError::Multiple { problems: self.0 }),
        }
    }
}

/// Reads an environment variable of this process; invalid UTF-8 is replaced.
pub fn process_variable(name: &str) -> Option<String> {
    env::var_os(name).map(|value| value.to_string_lossy().into_owned())
}

/// The names of a setting and the values that it allows.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub flag: &'static str,
    pub variable: &'static str,
    pub allowed: &'static str,
    pub secret: bool,
}

impl Setting {
    /// Reads the flag, or else the variable; `None` if neither is set.
    pub fn optional<T>(
        &self,
        flag: Option<&str>,
        variable: &impl Fn(&str) -> Option<String>,
        check: impl Fn(&str) -> Option<T>,
    ) -> Result<Option<T>, SettingError> {
        let text = flag.map(str::to_string).or_else(|| variable(self.variable));
        let Some(text) = text else { return Ok(None) };
        match check(&text) {
            Some(value) => Ok(Some(value)),
            None => Err(self.invalid_value(text)),
        }
    }

    /// Reads the flag, or else the variable; an error if neither is set.
    pub fn required<T>(
        &self,
        flag: Option<&str>,
        variable: &impl Fn(&str) -> Option<String>,
        check: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingError> {
        self.optional(flag, variable, check)?.ok_or(self.missing())
    }

    /// Creates the error for a setting without a value.
    pub fn missing(&self) -> SettingError {
        let Setting { flag, variable, allowed, .. } = *self;
        SettingError::Missing { flag, variable, allowed }
    }

    fn invalid_value(&self, text: String) -> SettingError {
        let value = if self.secret { REDACTED.to_string() } else { text };
        let Setting { flag, variable, allowed, .. } = *self;
        SettingError::InvalidValue { flag, variable, value, allowed }
    }
}
