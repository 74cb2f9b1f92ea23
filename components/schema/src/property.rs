use serde::Deserialize;
use serde_json::Value;

/// One setting, as its JSON Schema describes it.
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
    /// Says in words what may be given.
    pub fn allowed(&self) -> String {
        if self.write_only {
            return format!("{} to {} characters", self.shortest(), self.longest());
        }
        if !self.values.is_empty() {
            return self.values.join(", ");
        }
        match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "true, false".to_string(),
            (Kind::Integer, _) => format!("{} to {}", self.least(), self.most()),
            (Kind::String, Some("socket-address")) => "an IP number and a port".to_string(),
            (Kind::String, _) => {
                format!("1 to {} lower-case letters, digits and inner hyphens", self.longest())
            }
        }
    }

    /// Returns the type of the field that holds the setting.
    pub fn field_type(&self, name: &str, required: bool) -> String {
        let value = self.value_type(name);
        if self.is_optional(required) { format!("Option<{value}>") } else { value }
    }

    /// Returns an expression for the default; a required setting gets an empty placeholder.
    pub fn default_code(&self, name: &str, required: bool) -> String {
        let Some(default) = &self.default else {
            return self.placeholder_code(required).to_string();
        };
        match (self.kind, default) {
            (Kind::String, Value::String(text)) if !self.values.is_empty() => {
                format!("{}::{}", camel_case(name), camel_case(text))
            }
            (Kind::String, Value::String(text)) if self.is_address() => {
                let (ip, port) = text.rsplit_once(':').unwrap_or((text, "0"));
                format!("SocketAddr::from(([{}], {port}))", ip.replace('.', ", "))
            }
            (Kind::String, text) => format!("String::from({text})"),
            (_, value) => value.to_string(),
        }
    }

    /// Returns the field initialiser that reads the setting.
    pub fn read_code(&self, name: &str, required: bool) -> String {
        let check = self.check_code(name);
        let call = |how: &str| {
            format!(
                "problems.record({}.{how}(flags.{name}.as_deref(), &variable, {check}))",
                constant(name)
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

    /// Returns the method that asks for a setting which the program can start without.
    pub fn require_code(&self, name: &str) -> String {
        let value = self.value_type(name);
        format!(
            "/// Returns the {}, or says that it is missing.\n\
             pub fn require_{name}(&self) -> Result<{value}, SettingError> {{\n\
             self.{name}.ok_or({}.missing()) }}\n",
            self.description,
            constant(name)
        )
    }

    /// Returns the constant with the names of the setting.
    pub fn setting_code(&self, name: &str) -> String {
        format!(
            "const {}: Setting = Setting {{ flag: {:?}, variable: {:?}, allowed: {:?}, secret: {} }};\n",
            constant(name),
            flag(name),
            variable(name),
            self.allowed(),
            self.write_only
        )
    }

    /// Returns the type of an enumerated setting; nothing for another one.
    pub fn enum_code(&self, name: &str) -> String {
        if self.values.is_empty() {
            return String::new();
        }
        let title = camel_case(name);
        let mut variants = String::new();
        let mut parses = String::new();
        for value in &self.values {
            let variant = camel_case(value);
            variants.push_str(&format!("/// The value `{value}`.\n{variant},"));
            parses.push_str(&format!("{value:?} => Some({title}::{variant}),"));
        }
        format!(
            "/// {}\n#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]\n\
             pub enum {title} {{ {variants} }}\n\
             impl {title} {{\n/// Reads the value from its name.\n\
             pub fn parse(text: &str) -> Option<{title}> {{ match text {{ {parses} _ => None }} }} }}\n",
            sentence(&self.description)
        )
    }

    /// Returns the line of the setting in the page of settings.
    pub fn page_line(&self, name: &str, required: bool) -> String {
        let default = match &self.default {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None if required => "required".to_string(),
            None => "none".to_string(),
        };
        let (flag, variable) = (flag(name), variable(name));
        let Property { description, .. } = self;
        format!("| `--{flag}` | `{variable}` | {default} | {} | {description} |\n", self.allowed())
    }

    fn value_type(&self, name: &str) -> String {
        if !self.values.is_empty() {
            return camel_case(name);
        }
        let fixed = match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "bool",
            (Kind::Integer, Some("uint")) => "usize",
            (Kind::Integer, Some("uint32")) => "u32",
            (Kind::Integer, _) => "u64",
            (Kind::String, Some("socket-address")) => "SocketAddr",
            (Kind::String, _) if self.write_only => "Secret",
            (Kind::String, _) => "String",
        };
        fixed.to_string()
    }

    fn check_code(&self, name: &str) -> String {
        if !self.values.is_empty() {
            return format!("{}::parse", camel_case(name));
        }
        if self.write_only {
            return format!("|text| check::secret(text, {}, {})", self.shortest(), self.longest());
        }
        match (self.kind, self.format.as_deref()) {
            (Kind::Boolean, _) => "check::boolean".to_string(),
            (Kind::Integer, _) => {
                format!("|text| check::integer(text, {}, {})", self.least(), self.most())
            }
            (Kind::String, Some("socket-address")) => "check::socket_address".to_string(),
            (Kind::String, _) => format!("|text| check::label(text, {})", self.longest()),
        }
    }

    fn placeholder_code(&self, required: bool) -> &'static str {
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

    fn least(&self) -> u64 {
        self.minimum.unwrap_or_default()
    }

    fn most(&self) -> u64 {
        self.maximum.unwrap_or(u64::MAX)
    }

    fn shortest(&self) -> u64 {
        self.min_length.unwrap_or_default()
    }

    fn longest(&self) -> u64 {
        self.max_length.unwrap_or(u64::MAX)
    }
}

fn constant(name: &str) -> String {
    name.to_uppercase()
}

fn flag(name: &str) -> String {
    name.replace('_', "-")
}

fn variable(name: &str) -> String {
    format!("CHERVILSPUR_{}", constant(name))
}

fn camel_case(name: &str) -> String {
    let capitalise = |word: &str| {
        let (first, rest) = word.split_at(1.min(word.len()));
        first.to_uppercase() + rest
    };
    name.split('_').map(capitalise).collect()
}

/// Returns a description as a sentence.
pub fn sentence(description: &str) -> String {
    let (first, rest) = description.split_at(1.min(description.len()));
    format!("{}{rest}.", first.to_uppercase())
}
