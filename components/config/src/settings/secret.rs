use std::fmt::{self, Debug, Formatter};

/// A secret that is shown to nobody.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Takes the text of a secret.
    pub fn new(text: impl Into<String>) -> Secret {
        Secret(text.into())
    }

    /// Returns the text for use as a key.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(***)")
    }
}
