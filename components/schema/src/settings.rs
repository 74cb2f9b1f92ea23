use crate::message::{FormatSnafu, GenerateError, ParseSnafu};
use crate::property::{Property, sentence};
use serde::Deserialize;
use snafu::ResultExt;
use std::collections::BTreeMap;

/// The schema of the settings.
#[derive(Debug, Deserialize)]
struct SettingsSchema {
    #[serde(default)]
    required: Vec<String>,
    properties: BTreeMap<String, Property>,
}

impl SettingsSchema {
    fn is_required(&self, program: &Program, name: &String, property: &Property) -> bool {
        let optional = property.optional_for.iter().any(|key| key == program.key);
        self.required.contains(name) && !optional
    }
}

/// One of the two programs.
struct Program {
    key: &'static str,
    title: &'static str,
    settings: &'static str,
    flags: &'static str,
    generics: &'static str,
    description: &'static str,
    extra: &'static str,
}

const PROGRAMS: [Program; 2] = [
    Program {
        key: "daemon",
        title: "chervilspurd",
        settings: "Settings",
        flags: "SettingsFlags",
        generics: "",
        description: "The daemon of chervilspur.",
        extra: "",
    },
    Program {
        key: "tool",
        title: "chervilspur",
        settings: "ToolSettings",
        flags: "ToolFlags",
        generics: "<C: argh::SubCommands>",
        description: "The operators' command-line tool of chervilspur.",
        extra: "/// what to do\n#[argh(subcommand)]\npub command: C,",
    },
];

/// Returns Rust code that reads the settings of both programs.
pub fn settings_code(schema: &str) -> Result<String, GenerateError> {
    let schema = parse(schema)?;
    let mut code = String::from(
        "use super::check;\nuse super::{Secret, SettingError};\nuse super::setting::{Problems, Setting};\n\
         use argh::FromArgs;\nuse std::net::SocketAddr;\n",
    );
    for (name, property) in &schema.properties {
        code.push_str(&property.enum_code(name));
        code.push_str(&property.setting_code(name));
    }
    for program in &PROGRAMS {
        code.push_str(&program_code(program, &schema));
    }
    let file = syn::parse_file(&code).context(FormatSnafu)?;
    Ok(prettyplease::unparse(&file))
}

/// Returns the page that lists the settings of both programs.
pub fn settings_page(schema: &str) -> Result<String, GenerateError> {
    let schema = parse(schema)?;
    let mut page = String::from(
        "# Settings\n\nGenerated from `schema/settings.json`. A flag wins over its variable, a \
         variable over the default.\nA bad or missing value is refused at start.\n",
    );
    for program in &PROGRAMS {
        page.push_str(&format!(
            "\n## {}\n\n| flag | variable | default | allowed | meaning |\n|---|---|---|---|---|\n",
            program.title
        ));
        for (name, property) in properties(program, &schema) {
            page.push_str(&property.page_line(name, schema.is_required(program, name, property)));
        }
    }
    Ok(page)
}

fn parse(schema: &str) -> Result<SettingsSchema, GenerateError> {
    serde_json::from_str(schema).context(ParseSnafu)
}

fn properties<'a>(
    program: &Program,
    schema: &'a SettingsSchema,
) -> impl Iterator<Item = (&'a String, &'a Property)> {
    let key = program.key;
    schema.properties.iter().filter(move |(_, p)| p.programs.iter().any(|used| used == key))
}

fn program_code(program: &Program, schema: &SettingsSchema) -> String {
    let mut parts = [const { String::new() }; 5];
    let [flags, fields, defaults, reads, methods] = &mut parts;
    for (name, property) in properties(program, schema) {
        let required = schema.is_required(program, name, property);
        let allowed = property.allowed();
        let text = &property.description;
        flags.push_str(&format!(
            "/// {text} ({allowed})\n#[argh(option)]\npub {name}: Option<String>,"
        ));
        fields.push_str(&format!(
            "/// {}\npub {name}: {},",
            sentence(text),
            property.field_type(name, required)
        ));
        defaults.push_str(&format!("{name}: {},", property.default_code(name, required)));
        reads.push_str(&property.read_code(name, required));
        if schema.required.contains(name) && !required {
            methods.push_str(&property.require_code(name));
        }
    }
    let Program { settings, flags: flags_type, generics, description, extra, .. } = program;
    let names = if generics.is_empty() { "" } else { "<C>" };
    format!(
        "/// {description}\n#[derive(Clone, Debug, FromArgs)]\n\
         pub struct {flags_type}{generics} {{ {flags} {extra} }}\n\
         /// The settings of `{}`.\n#[derive(Clone, Debug, Eq, PartialEq)]\n\
         pub struct {settings} {{ {fields} }}\n\
         impl Default for {settings} {{ fn default() -> {settings} {{ {settings} {{ {defaults} }} }} }}\n\
         impl {settings} {{\n\
         /// Reads the settings; a flag wins over its variable, a variable over the default.\n\
         pub fn read{generics}(flags: &{flags_type}{names}, variable: impl Fn(&str) -> Option<String>) \
         -> Result<{settings}, SettingError> {{\n\
         let default = {settings}::default();\n\
         let mut problems = Problems::default();\n\
         let settings = {settings} {{ {reads} }};\n\
         problems.finish(settings) }}\n{methods} }}\n",
        program.title
    )
}
