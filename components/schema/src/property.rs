use serde::Deserialize;
use serde_json::Value;

/// JSON Schema of one setting, with the extensions `x-programs` and `x-optional-for`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Property {
    pub description: String,
    #[serde(rename = "type")]
    kind: Kind,
    format: Option<String>,
    default: Option<Value>,
    minimum: Option<u64>,
    maximum: Option<u64>,
    min_length: Option<u64>,
    max_length: Option<u64>,
    #[serde(default, rename = "enum")]
    values: Vec<String>,
    #[serde(default)]
    write_only: bool,
    #[serde(rename = "x-programs")]
    pub programs: Vec<String>,
    #[serde(default, rename = "x-optional-for")]
    pub optional_for: Vec<String>,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
enum Kind {
    Boolean,
    Integer,
    String,
}

impl Property {
    /// Describes the allowed values, for help texts and error messages.
    pub fn allowed_values(&self) -> String {
        if self.write_only {
            return format!("{} to {} characters", self.min_len(), self.max_len());
        }
        if !self.values.is_empty() {
            return self.values.join(", ");
        }
        match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "true, false".to_string(),
            (Kind::Integer, _) => format!("{} to {}", self.min_value(), self.max_value()),
            (Kind::String, Some("socket-address")) => "an IP address and a port".to_string(),
            (Kind::String, _) => {
                format!("1 to {} lower-case letters, digits and inner hyphens", self.max_len())
            }
        }
    }

    /// Type of the field that holds the setting, as Rust code.
    pub fn field_type(&self, name: &str, required: bool) -> String {
        let value = self.value_type(name);
        if self.is_optional(required) { format!("Option<{value}>") } else { value }
    }

    /// Expression for the default value; a required setting gets an empty placeholder.
    pub fn default_expression(&self, name: &str, required: bool) -> String {
        let Some(default) = &self.default else {
            return self.placeholder_expression(required).to_string();
        };
        match (self.kind, default) {
            (Kind::String, Value::String(text)) if !self.values.is_empty() => {
                format!("{}::{}", pascal_case(name), pascal_case(text))
            }
            (Kind::String, Value::String(text)) if self.is_address() => {
                let (ip, port) = text.rsplit_once(':').unwrap_or((text, "0"));
                format!("SocketAddr::from(([{}], {port}))", ip.replace('.', ", "))
            }
            (Kind::String, text) => format!("String::from({text})"),
            (_, value) => value.to_string(),
        }
    }

    /// Field initialiser that reads the setting and records an error in `problems`.
    pub fn initialiser_code(&self, name: &str, required: bool) -> String {
        let parser = self.parser_code(name);
        let call = |method: &str| {
            format!(
                "problems.record({}.{method}(flags.{name}.as_deref(), &variable, {parser}))",
                constant_name(name)
            )
        };
        if required {
            return format!("{name}: {}.unwrap_or(default.{name}),", call("required"));
        }
        if self.is_optional(required) {
            return format!("{name}: {}.flatten(),", call("optional"));
        }
        format!("{name}: {}.flatten().unwrap_or(default.{name}),", call("optional"))
    }

    /// Method that returns an optional setting, or an error for a command that needs it.
    pub fn require_method_code(&self, name: &str) -> String {
        let value = self.value_type(name);
        format!(
            "/// Returns the {}; an error if it is not set.\n\
             pub fn require_{name}(&self) -> Result<{value}, SettingError> {{\n\
             self.{name}.ok_or({}.missing()) }}\n",
            self.description,
            constant_name(name)
        )
    }

    /// Constant with the flag, the variable and the allowed values of the setting.
    pub fn setting_constant_code(&self, name: &str) -> String {
        format!(
            "const {}: Setting = Setting {{ flag: {:?}, variable: {:?}, allowed: {:?}, secret: {} }};\n",
            constant_name(name),
            flag_name(name),
            variable_name(name),
            self.allowed_values(),
            self.write_only
        )
    }

    /// Enum type of a setting with enumerated values; empty for other settings.
    pub fn enum_code(&self, name: &str) -> String {
        if self.values.is_empty() {
            return String::new();
        }
        let enum_name = pascal_case(name);
        let mut variants = String::new();
        let mut match_arms = String::new();
        for value in &self.values {
            let variant = pascal_case(value);
            variants.push_str(&format!("/// The value `{value}`.\n{variant},"));
            match_arms.push_str(&format!("{value:?} => Some({enum_name}::{variant}),"));
        }
        format!(
            "/// {}\n#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]\n\
             pub enum {enum_name} {{ {variants} }}\n\
             impl {enum_name} {{\n/// Parses the name of a value; `None` if there is no such value.\n\
             pub fn parse(text: &str) -> Option<{enum_name}> {{ match text {{ {match_arms} _ => None }} }} }}\n",
            sentence(&self.description)
        )
    }

    /// Row of the setting in the Markdown table of settings.
    pub fn page_row(&self, name: &str, required: bool) -> String {
        let default = match &self.default {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None if required => "required".to_string(),
            None => "none".to_string(),
        };
        let (flag, variable) = (flag_name(name), variable_name(name));
        let Property { description, .. } = self;
        format!(
            "| `--{flag}` | `{variable}` | {default} | {} | {description} |\n",
            self.allowed_values()
        )
    }

    fn value_type(&self, name: &str) -> String {
        if !self.values.is_empty() {
            return pascal_case(name);
        }
        let type_name = match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "bool",
            (Kind::Integer, Some("uint")) => "usize",
            (Kind::Integer, Some("uint32")) => "u32",
            (Kind::Integer, _) => "u64",
            (Kind::String, Some("socket-address")) => "SocketAddr",
            (Kind::String, _) if self.write_only => "Secret",
            (Kind::String, _) => "String",
        };
        type_name.to_string()
    }

    fn parser_code(&self, name: &str) -> String {
        if !self.values.is_empty() {
            return format!("{}::parse", pascal_case(name));
        }
        if self.write_only {
            return format!("|text| check::secret(text, {}, {})", self.min_len(), self.max_len());
        }
        match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "check::boolean".to_string(),
            (Kind::Integer, _) => {
                format!("|text| check::integer(text, {}, {})", self.min_value(), self.max_value())
            }
            (Kind::String, Some("socket-address")) => "check::socket_address".to_string(),
            (Kind::String, _) => format!("|text| check::label(text, {})", self.max_len()),
        }
    }

    fn placeholder_expression(&self, required: bool) -> &'static str {
        if !required {
            return "None";
        }
        if self.is_address() { "SocketAddr::from(([0, 0, 0, 0], 0))" } else { "Default::default()" }
    }

    fn is_optional(&self, required: bool) -> bool {
        self.default.is_none() && !required
    }

    fn is_address(&self) -> bool {
        self.format.as_deref() == Some("socket-address")
    }

    fn min_value(&self) -> u64 {
        self.minimum.unwrap_or_default()
    }

    fn max_value(&self) -> u64 {
        self.maximum.unwrap_or(u64::MAX)
    }

    fn min_len(&self) -> u64 {
        self.min_length.unwrap_or_default()
    }

    fn max_len(&self) -> u64 {
        self.max_length.unwrap_or(u64::MAX)
    }
}

fn constant_name(name: &str) -> String {
    name.to_uppercase()
}

fn flag_name(name: &str) -> String {
    name.replace('_', "-")
}

fn variable_name(name: &str) -> String {
    format!("CHERVILSPUR_{}", constant_name(name))
}

fn pascal_case(name: &str) -> String {
    let capitalise = |word: &str| {
        let (first, rest) = word.split_at(1.min(word.len()));
        first.to_uppercase() + rest
    };
    name.split('_').map(capitalise).collect()
}

/// Turns a description into a sentence, with an initial capital and a full stop.
pub fn sentence(description: &str) -> String {
    let (first, rest) = description.split_at(1.min(description.len()));
    format!("{}{rest}.", first.to_uppercase())
}
