use crate::message::{FormatSnafu, GenerateError, ParseSnafu};
use crate::property::{Property, sentence};
use serde::Deserialize;
use snafu::ResultExt;
use std::collections::BTreeMap;

/// The parts of `schema/settings.json` that the generator uses.
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

/// A program that reads settings, with the names in its generated code.
struct Program {
    key: &'static str,
    executable: &'static str,
    settings: &'static str,
    flags: &'static str,
    generics: &'static str,
    description: &'static str,
    extra_flags: &'static str,
}

const PROGRAMS: [Program; 2] = [
    Program {
        key: "daemon",
        executable: "chervilspurd",
        settings: "Settings",
        flags: "SettingsFlags",
        generics: "",
        description: "Daemon that routes the requests of callers to endpoints.",
        extra_flags: "",
    },
    Program {
        key: "tool",
        executable: "chervilspur",
        settings: "ToolSettings",
        flags: "ToolFlags",
        generics: "<C: argh::SubCommands>",
        description: "Command-line tool for operators of chervilspur.",
        extra_flags: "/// command to run\n#[argh(subcommand)]\npub command: C,",
    },
];

/// Generates the Rust types of the flags and settings of both programs.
pub fn settings_code(schema: &str) -> Result<String, GenerateError> {
    let schema = parse(schema)?;
    let mut code = String::from(
        "use super::check;\nuse super::{Secret, SettingError};\nuse super::setting::{Problems, Setting};\n\
         use argh::FromArgs;\nuse std::net::SocketAddr;\n",
    );
    for (name, property) in &schema.properties {
        code.push_str(&property.enum_code(name));
        code.push_str(&property.setting_constant_code(name));
    }
    for program in &PROGRAMS {
        code.push_str(&program_code(program, &schema));
    }
    let file = syn::parse_file(&code).context(FormatSnafu)?;
    Ok(prettyplease::unparse(&file))
}

/// Generates the Markdown page that lists the settings of both programs.
pub fn settings_page(schema: &str) -> Result<String, GenerateError> {
    let schema = parse(schema)?;
    let mut page = String::from(
        "# Settings\n\nGenerated from `schema/settings.json`. A flag overrides its \
         variable, a variable overrides the default.\nAn invalid or missing value is an error at \
         start.\n",
    );
    for program in &PROGRAMS {
        page.push_str(&format!(
            "\n## {}\n\n| flag | variable | default | allowed | meaning |\n|---|---|---|---|---|\n",
            program.executable
        ));
        for (name, property) in properties_of(program, &schema) {
            page.push_str(&property.page_row(name, schema.is_required(program, name, property)));
        }
    }
    Ok(page)
}

fn parse(schema: &str) -> Result<SettingsSchema, GenerateError> {
    serde_json::from_str(schema).context(ParseSnafu)
}

fn properties_of<'a>(
    program: &Program,
    schema: &'a SettingsSchema,
) -> impl Iterator<Item = (&'a String, &'a Property)> {
    let key = program.key;
    schema.properties.iter().filter(move |(_, p)| p.programs.iter().any(|used_by| used_by == key))
}

fn program_code(program: &Program, schema: &SettingsSchema) -> String {
    let mut sections = [const { String::new() }; 5];
    let [flags, fields, defaults, initialisers, methods] = &mut sections;
    for (name, property) in properties_of(program, schema) {
        let required = schema.is_required(program, name, property);
        let allowed = property.allowed_values();
        let text = &property.description;
        flags.push_str(&format!(
            "/// {text} ({allowed})\n#[argh(option)]\npub {name}: Option<String>,"
        ));
        fields.push_str(&format!(
            "/// {}\npub {name}: {},",
            sentence(text),
            property.field_type(name, required)
        ));
        defaults.push_str(&format!("{name}: {},", property.default_expression(name, required)));
        initialisers.push_str(&property.initialiser_code(name, required));
        if schema.required.contains(name) && !required {
            methods.push_str(&property.require_method_code(name));
        }
    }
    let Program { settings, flags: flags_type, generics, description, extra_flags, .. } = program;
    let arguments = if generics.is_empty() { "" } else { "<C>" };
    format!(
        "/// {description}\n#[derive(Clone, Debug, FromArgs)]\n\
         pub struct {flags_type}{generics} {{ {flags} {extra_flags} }}\n\
         /// Settings of `{}`.\n#[derive(Clone, Debug, Eq, PartialEq)]\n\
         pub struct {settings} {{ {fields} }}\n\
         impl Default for {settings} {{ fn default() -> {settings} {{ {settings} {{ {defaults} }} }} }}\n\
         impl {settings} {{\n\
         /// Reads the settings; a flag overrides its variable, a variable overrides the default.\n\
         pub fn read{generics}(flags: &{flags_type}{arguments}, variable: impl Fn(&str) -> Option<String>) \
         -> Result<{settings}, SettingError> {{\n\
         let default = {settings}::default();\n\
         let mut problems = Problems::default();\n\
         let settings = {settings} {{ {initialisers} }};\n\
         problems.finish(settings) }}\n{methods} }}\n",
        program.executable
    )
}
