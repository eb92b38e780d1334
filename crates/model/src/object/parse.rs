//! Parsing of object sets, with errors that state the line, object and field.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;

use super::ObjectSet;
use crate::check::CheckProblem;
use crate::check::problem::{ObjectLabel, ProblemList};

/// The sections of a set, with each object as unparsed text.
///
/// Objects are parsed one by one, so that one malformed object does not hide
/// the others.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct RawSections<'a> {
    #[serde(borrow)]
    domains: Vec<&'a RawValue>,
    #[serde(borrow)]
    workers: Vec<&'a RawValue>,
    #[serde(borrow)]
    teams: Vec<&'a RawValue>,
    #[serde(borrow)]
    keys: Vec<&'a RawValue>,
    #[serde(borrow)]
    shares: Vec<&'a RawValue>,
    #[serde(borrow)]
    limits: Vec<&'a RawValue>,
    #[serde(borrow)]
    queues: Vec<&'a RawValue>,
    #[serde(borrow)]
    classes: Vec<&'a RawValue>,
}

impl ObjectSet {
    /// Parses a set from JSON without checking its consistency.
    ///
    /// # Errors
    ///
    /// Returns one problem for each malformed object, or a single one where
    /// the text is not JSON or a section is malformed.
    pub fn parse(text: &str) -> Result<Self, Vec<CheckProblem>> {
        let mut problems = ProblemList::default();
        let sections: RawSections<'_> = match parse_json_object(text) {
            Ok(sections) => sections,
            Err(error) => {
                let message = format!("line {}: {}", error.line().max(1), strip_position(&error));
                let field = quoted_field(&message).unwrap_or("JSON").to_owned();
                problems.add("object set", &field, message);
                return Err(problems.into_inner());
            }
        };
        let mut parser = SectionParser { text, problems };
        let set = Self {
            domains: parser.parse("domain", &sections.domains),
            workers: parser.parse("worker", &sections.workers),
            teams: parser.parse("team", &sections.teams),
            keys: parser.parse("key", &sections.keys),
            shares: parser.parse("share", &sections.shares),
            limits: parser.parse("limit", &sections.limits),
            queues: parser.parse("queue", &sections.queues),
            classes: parser.parse("class", &sections.classes),
        };
        if parser.problems.is_empty() { Ok(set) } else { Err(parser.problems.into_inner()) }
    }
}

struct SectionParser<'a> {
    text: &'a str,
    problems: ProblemList,
}

impl SectionParser<'_> {
    fn parse<T: DeserializeOwned>(&mut self, kind: &'static str, section: &[&RawValue]) -> Vec<T> {
        let mut objects = Vec::with_capacity(section.len());
        for (index, raw) in section.iter().enumerate() {
            match parse_json_object(raw.get()) {
                Ok(object) => objects.push(object),
                Err(error) => self.add_problem(kind, index, raw, &error),
            }
        }
        objects
    }

    fn add_problem(
        &mut self,
        kind: &'static str,
        index: usize,
        raw: &RawValue,
        error: &serde_json::Error,
    ) {
        let line = self.find_start_line(raw) + error.line().saturating_sub(1);
        let message = format!("line {line}: {}", strip_position(error));
        let fields: BTreeMap<String, &RawValue> =
            serde_json::from_str(raw.get()).unwrap_or_default();
        let name = fields.get("name").and_then(|name| serde_json::from_str(name.get()).ok());
        let field = quoted_field(&message)
            .or_else(|| find_field_at(&fields, raw, error))
            .unwrap_or("object")
            .to_owned();
        match name {
            Some(name) => {
                let name: String = name;
                self.problems.add(ObjectLabel(kind, &name), &field, message);
            }
            None => {
                self.problems.add(format_args!("{kind} number {}", index + 1), &field, message);
            }
        }
    }

    /// Returns the number of the line on which an object starts.
    ///
    /// `raw` must be a slice of the parsed text, since its address gives the line.
    fn find_start_line(&self, raw: &RawValue) -> usize {
        let offset = find_offset(self.text, raw.get());
        self.text[..offset].matches('\n').count() + 1
    }
}

/// Parses a JSON object and refuses an array.
///
/// serde alone also accepts an array of the field values, in which a missing
/// field would silently shift the others.
fn parse_json_object<'a, T: Deserialize<'a>>(text: &'a str) -> serde_json::Result<T> {
    if text.trim_start().starts_with('[') {
        return Err(serde::de::Error::custom("an array was found where an object is accepted"));
    }
    serde_json::from_str(text)
}

/// Returns the byte offset of `part` inside `text`, of which it is a slice.
fn find_offset(text: &str, part: &str) -> usize {
    (part.as_ptr() as usize).saturating_sub(text.as_ptr() as usize).min(text.len())
}

/// Returns the message of an error without its position, which counts from the object's start.
fn strip_position(error: &serde_json::Error) -> String {
    let message = error.to_string();
    match message.rfind(" at line ") {
        Some(end) => message[..end].to_owned(),
        None => message,
    }
}

/// Returns the field that serde quotes in messages about missing, unknown and duplicate fields.
fn quoted_field(message: &str) -> Option<&str> {
    let (_, rest) = message.split_once(" field `")?;
    rest.split_once('`').map(|(field, _)| field)
}

/// Returns the last field whose value starts before the error.
///
/// Errors about types and values do not name the field, so it is found by their position.
fn find_field_at<'a>(
    fields: &'a BTreeMap<String, &RawValue>,
    raw: &RawValue,
    error: &serde_json::Error,
) -> Option<&'a str> {
    let lines = raw.get().split_inclusive('\n').take(error.line().saturating_sub(1));
    let offset = lines.map(str::len).sum::<usize>() + error.column();
    fields
        .iter()
        .map(|(field, value)| (find_offset(raw.get(), value.get()), field.as_str()))
        .filter(|(start, _)| *start < offset)
        .max()
        .map(|(_, field)| field)
}
