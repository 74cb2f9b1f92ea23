use snafu::Snafu;
use std::env;

const HIDDEN: &str = "***";

/// A setting that cannot be used.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum SettingError {
    /// The value is outside what is allowed.
    #[snafu(display("--{flag} ({variable}): {value:?} is not allowed; allowed is {allowed}"))]
    Value {
        /// The flag without its dashes.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// The value that was given; a secret is hidden.
        value: String,
        /// What may be given.
        allowed: &'static str,
    },
    /// Neither the flag nor the variable gives a value.
    #[snafu(display("--{flag} ({variable}) is missing; allowed is {allowed}"))]
    Missing {
        /// The flag without its dashes.
        flag: &'static str,
        /// The environment variable.
        variable: &'static str,
        /// What may be given.
        allowed: &'static str,
    },
    /// Several settings cannot be used.
    #[snafu(display("{}", lines(problems)))]
    Several {
        /// What is wrong with each.
        problems: Vec<SettingError>,
    },
}

fn lines(problems: &[SettingError]) -> String {
    let lines: Vec<String> = problems.iter().map(SettingError::to_string).collect();
    lines.join("\n")
}

/// All that is wrong with the settings, so that it is reported at once.
#[derive(Debug, Default)]
pub struct Problems(Vec<SettingError>);

impl Problems {
    /// Returns a value, or keeps the problem.
    pub fn keep<T>(&mut self, result: Result<T, SettingError>) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(e) => {
                self.0.push(e);
                None
            }
        }
    }

    /// Returns the settings if there was no problem.
    pub fn close<T>(mut self, settings: T) -> Result<T, SettingError> {
        match self.0.len() {
            0 => Ok(settings),
            1 => Err(self.0.remove(0)),
            _ => Err(SettingError::Several { problems: self.0 }),
        }
    }
}

/// Returns an environment variable of this process.
pub fn process_variable(name: &str) -> Option<String> {
    env::var_os(name).map(|value| value.to_string_lossy().into_owned())
}

/// The names of a setting and what it allows.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    pub flag: &'static str,
    pub variable: &'static str,
    pub allowed: &'static str,
    pub secret: bool,
}

impl Setting {
    /// Reads the flag, or else the variable; neither gives `None`.
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
            None => Err(self.refuse(text)),
        }
    }

    /// Reads the flag, or else the variable; neither is an error.
    pub fn required<T>(
        &self,
        flag: Option<&str>,
        variable: &impl Fn(&str) -> Option<String>,
        check: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingError> {
        self.optional(flag, variable, check)?.ok_or(self.missing())
    }

    /// Says that the setting has no value.
    pub fn missing(&self) -> SettingError {
        let Setting { flag, variable, allowed, .. } = *self;
        SettingError::Missing { flag, variable, allowed }
    }

    fn refuse(&self, text: String) -> SettingError {
        let value = if self.secret { HIDDEN.to_string() } else { text };
        let Setting { flag, variable, allowed, .. } = *self;
        SettingError::Value { flag, variable, value, allowed }
    }
}
