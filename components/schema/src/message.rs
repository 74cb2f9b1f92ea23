use schemars::schema::{InstanceType, RootSchema, SchemaObject};
use snafu::{ResultExt, Snafu};
use typify::{TypeSpace, TypeSpaceSettings};

/// Code generation from a schema failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GenerateError {
    /// The file is not valid JSON, or not a schema of the expected form.
    #[snafu(display("cannot parse the schema: {source}"))]
    Parse {
        /// The parse error.
        source: serde_json::Error,
    },
    /// The schema has a type that cannot be expressed in Rust.
    #[snafu(display("cannot convert the schema to Rust types: {source}"))]
    Convert {
        /// The conversion error.
        source: typify::Error,
    },
    /// The generated code is not valid Rust.
    #[snafu(display("cannot parse the generated code to format it: {source}"))]
    Format {
        /// The syntax error.
        source: syn::Error,
    },
}

/// Names of the message schemas. `schema/NAME.json` generates the module NAME of the `messages`
/// crate.
pub const MESSAGE_SCHEMAS: [&str; 5] = ["cluster", "duties", "feed", "forward", "status"];

/// The schema of bytes that are not encoded as a sequence of numbers.
fn packed_schema() -> SchemaObject {
    SchemaObject {
        instance_type: Some(InstanceType::String.into()),
        format: Some(String::from("byte")),
        ..SchemaObject::default()
    }
}

/// Generates Rust types for the definitions of a JSON Schema.
pub fn message_types(schema: &str) -> Result<String, GenerateError> {
    let schema: RootSchema = serde_json::from_str(schema).context(ParseSnafu)?;
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_struct_builder(false)
        .with_map_type("::std::collections::BTreeMap")
        .with_derive("PartialEq".to_string())
        .with_conversion(packed_schema(), "crate::Packed", std::iter::empty());
    let mut types = TypeSpace::new(&settings);
    types.add_ref_types(schema.definitions).context(ConvertSnafu)?;
    let file = syn::parse2(types.to_stream()).context(FormatSnafu)?;
    Ok(prettyplease::unparse(&file))
}
