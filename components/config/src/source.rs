use crate::{ListError, Problem};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue, Error};

/// The text of one of the two list files.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The name of the file, used in errors.
    pub file: &'a str,
    /// The TOML text.
    pub text: &'a str,
}

/// A parsed file, with the offset of each key for errors.
#[derive(Debug)]
pub struct Parsed<'a, T> {
    source: Source<'a>,
    offsets: BTreeMap<String, usize>,
    /// The decoded content.
    pub value: T,
}

impl<'a> Source<'a> {
    /// Parses the file; on failure returns all syntax errors, or the first error of decoding.
    pub fn parse<T: DeserializeOwned>(self) -> Result<Parsed<'a, T>, Vec<ListError>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        let mut key_spans = Vec::new();
        collect_key_spans(table.get_ref(), "", &mut key_spans);
        if !errors.is_empty() {
            return Err(errors.iter().map(|e| self.error(e, &key_spans)).collect());
        }
        let value = toml::from_str(self.text).map_err(|e| vec![self.error(&e, &key_spans)])?;
        let offsets = key_spans.into_iter().map(|p| (p.key, p.span.start)).collect();
        Ok(Parsed { source: self, offsets, value })
    }

    fn error(self, error: &Error, key_spans: &[KeySpan]) -> ListError {
        let span = error.span().unwrap_or_default();
        let starts_before_end = |p: &&KeySpan| p.span.start < span.end.max(span.start + 1);
        let key = key_spans.iter().filter(starts_before_end).max_by_key(|p| p.span.start);
        ListError {
            file: self.file.to_string(),
            line: self.line(span.start),
            key: key.map_or_else(String::new, |p| p.key.clone()),
            problem: Problem::Syntax { text: error.message().to_string() },
        }
    }

    fn line(self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        before.matches('\n').count() + 1
    }
}

impl<T> Parsed<'_, T> {
    /// Creates an error with the line of `key`, or of the nearest enclosing table in the file if
    /// the key is missing.
    pub fn error(&self, key: String, problem: Problem) -> ListError {
        let mut existing_key = key.as_str();
        while !self.offsets.contains_key(existing_key) {
            let Some((table, _)) = existing_key.rsplit_once('.') else { break };
            existing_key = table;
        }
        let offset = self.offsets.get(existing_key).copied().unwrap_or_default();
        let line = self.source.line(offset);
        ListError { file: self.source.file.to_string(), line, key, problem }
    }
}

/// A key and its position in the text.
struct KeySpan {
    key: String,
    span: Range<usize>,
}

fn collect_key_spans(table: &DeTable<'_>, prefix: &str, key_spans: &mut Vec<KeySpan>) {
    for (name, value) in table {
        let key = if prefix.is_empty() {
            name.get_ref().to_string()
        } else {
            format!("{prefix}.{}", name.get_ref())
        };
        if let DeValue::Table(inner) = value.get_ref() {
            collect_key_spans(inner, &key, key_spans);
        }
        key_spans.push(KeySpan { key, span: name.span() });
    }
}
