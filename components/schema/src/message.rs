use schemars::schema::RootSchema;
use snafu::{ResultExt, Snafu};
use typify::{TypeSpace, TypeSpaceSettings};

/// A schema from which no code can be generated.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GenerateError {
    /// The file is not a JSON Schema.
    #[snafu(display("the schema cannot be read: {source}"))]
    Parse {
        /// The failure.
        source: serde_json::Error,
    },
    /// The schema holds a type that has no Rust form.
    #[snafu(display("the schema cannot be turned into types: {source}"))]
    Convert {
        /// The failure.
        source: typify::Error,
    },
    /// The generated code is not Rust.
    #[snafu(display("the generated code cannot be formatted: {source}"))]
    Format {
        /// The failure.
        source: syn::Error,
    },
}

/// The schemas of the messages; each gives the module of the same name in the `messages` crate.
pub const MESSAGE_SCHEMAS: [&str; 4] = ["cluster", "feed", "forward", "status"];

/// Returns Rust code for the definitions of a JSON Schema.
pub fn message_types(schema: &str) -> Result<String, GenerateError> {
    let schema: RootSchema = serde_json::from_str(schema).context(ParseSnafu)?;
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_struct_builder(false)
        .with_map_type("::std::collections::BTreeMap")
        .with_derive("PartialEq".to_string());
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(schema.definitions).context(ConvertSnafu)?;
    let file = syn::parse2(types.to_stream()).context(FormatSnafu)?;
    Ok(prettyplease::unparse(&file))
}
