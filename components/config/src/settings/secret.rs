use std::fmt::{self, Debug, Formatter};

/// A secret text that is hidden in `Debug` output.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Wraps the text of a secret.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Returns the text. Use it as a key only: it must not be logged or printed.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}
