use crate::{ListError, Problem};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue, Error};

/// The text of one of the two files.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// The name of the file, for errors.
    pub file: &'a str,
    /// The text.
    pub text: &'a str,
}

/// A parsed file with the place of each key.
#[derive(Debug)]
pub struct Parsed<'a, T> {
    source: Source<'a>,
    offsets: BTreeMap<String, usize>,
    /// The content.
    pub value: T,
}

impl<'a> Source<'a> {
    /// Parses the file, or says what is wrong with it.
    pub fn parse<T: DeserializeOwned>(self) -> Result<Parsed<'a, T>, Vec<ListError>> {
        let (table, errors) = DeTable::parse_recoverable(self.text);
        let mut places = Vec::new();
        collect(table.get_ref(), "", &mut places);
        if !errors.is_empty() {
            return Err(errors.iter().map(|e| self.error(e, &places)).collect());
        }
        let value = toml::from_str(self.text).map_err(|e| vec![self.error(&e, &places)])?;
        let offsets = places.into_iter().map(|p| (p.key, p.span.start)).collect();
        Ok(Parsed { source: self, offsets, value })
    }

    fn error(self, error: &Error, places: &[Place]) -> ListError {
        let span = error.span().unwrap_or_default();
        let inside = |p: &&Place| p.span.start < span.end.max(span.start + 1);
        let key = places.iter().filter(inside).max_by_key(|p| p.span.start);
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
    /// Places a problem at a key, or at the nearest table that the file has.
    pub fn error(&self, key: String, problem: Problem) -> ListError {
        let mut known = key.as_str();
        while !self.offsets.contains_key(known) {
            let Some((table, _)) = known.rsplit_once('.') else { break };
            known = table;
        }
        let offset = self.offsets.get(known).copied().unwrap_or_default();
        let line = self.source.line(offset);
        ListError { file: self.source.file.to_string(), line, key, problem }
    }
}

/// A key and where it stands in the text.
struct Place {
    key: String,
    span: Range<usize>,
}

fn collect(table: &DeTable<'_>, prefix: &str, places: &mut Vec<Place>) {
    for (name, value) in table {
        let key = if prefix.is_empty() {
            name.get_ref().to_string()
        } else {
            format!("{prefix}.{}", name.get_ref())
        };
        if let DeValue::Table(inner) = value.get_ref() {
            collect(inner, &key, places);
        }
        places.push(Place { key, span: name.span() });
    }
}
