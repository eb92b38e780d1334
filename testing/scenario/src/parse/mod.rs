//! Parser of scenario files.
//!
//! The grammar is in `script.pest`. Names are resolved while parsing, so that a
//! misspelt domain or team is reported with its line before anything is run.

mod cell;
mod expect;
mod lookup;
mod step;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use model::name::{KeyName, TeamName};
use pest::Parser;
use pest::error::{Error, ErrorVariant, LineColLocation};
use pest::iterators::{Pair, Pairs};

use crate::script::{AmountPatch, CellLayout, ScenarioScript};

use grammar::{Rule, ScriptParser};

mod grammar {
    #[derive(pest_derive::Parser)]
    #[grammar = "script.pest"]
    pub struct ScriptParser;
}

/// Deadline of requests whose load names none.
const DEFAULT_REQUEST_DEADLINE: Duration = Duration::from_secs(5);
/// Most VMs of a cell.
///
/// Each takes two of the 254 host addresses of a loopback network, and the
/// platform and the proxy take three.
const MAX_VMS: u32 = 120;

/// Error in a scenario file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScriptError {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    text: String,
}

impl fmt::Display for ScriptError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.text)
    }
}

impl std::error::Error for ScriptError {}

impl From<Error<Rule>> for ScriptError {
    fn from(error: Error<Rule>) -> Self {
        let (line, column) = match error.line_col {
            LineColLocation::Pos(place) | LineColLocation::Span(place, _) => place,
        };
        let error = error.renamed_rules(|rule| match rule {
            Rule::unit => "the unit `ms` or `s`".to_owned(),
            Rule::bound_kind => "`least` or `most`".to_owned(),
            Rule::ready => "`ready`".to_owned(),
            _ => format!("{rule:?}").replace('_', " "),
        });
        Self { line, column, text: error.to_string() }
    }
}

type ParseResult<T> = Result<T, ScriptError>;

/// Parses the text of a scenario file.
///
/// # Errors
/// Returns the position and a message if the text does not follow the grammar or
/// names a domain, team, queue, key or VM that the scenario does not have.
pub fn parse_script(text: &str) -> ParseResult<ScenarioScript> {
    let mut pairs = ScriptParser::parse(Rule::script, text)?;
    let mut builder = ScriptBuilder::default();
    let script = pairs.next().map(Pair::into_inner).into_iter().flatten();
    for pair in script.filter(|pair| pair.as_rule() != Rule::EOI) {
        builder.read_statement(pair)?;
    }
    Ok(builder.script)
}

/// Returns an error that points at a part of the text.
fn error_at(pair: &Pair<'_, Rule>, message: impl Into<String>) -> ScriptError {
    let variant = ErrorVariant::CustomError { message: message.into() };
    Error::new_from_span(variant, pair.as_span()).into()
}

fn read_number<T: FromStr>(pair: &Pair<'_, Rule>) -> ParseResult<T> {
    pair.as_str().parse().map_err(|_| error_at(pair, "number is out of range"))
}

fn read_positive<T: FromStr + Default + PartialEq>(pair: &Pair<'_, Rule>) -> ParseResult<T> {
    let number = read_number(pair)?;
    if number == T::default() { Err(error_at(pair, "number must not be 0")) } else { Ok(number) }
}

fn read_duration(pair: Pair<'_, Rule>) -> ParseResult<Duration> {
    let mut inner = pair.into_inner();
    let number: u64 = read_number(&next_part(&mut inner))?;
    let duration = match next_part(&mut inner).as_str() {
        "ms" => Duration::from_millis(number),
        _ => Duration::from_secs(number),
    };
    Ok(duration)
}

/// Returns the next part of a rule, which the grammar guarantees to be there.
fn next_part<'i>(pairs: &mut Pairs<'i, Rule>) -> Pair<'i, Rule> {
    pairs.next().expect("the grammar requires this part")
}

/// Returns the first part of a rule.
fn single_part(pair: Pair<'_, Rule>) -> Pair<'_, Rule> {
    next_part(&mut pair.into_inner())
}

fn read_amount(patch: &mut AmountPatch, pair: Pair<'_, Rule>) -> ParseResult<()> {
    let mut inner = pair.into_inner();
    let key = next_part(&mut inner);
    let number = read_number(&next_part(&mut inner))?;
    let field = match key.as_str() {
        "slots" => &mut patch.slots,
        "cpu" => &mut patch.cpu,
        "memory" => &mut patch.memory,
        _ => &mut patch.accelerators,
    };
    *field = Some(number);
    Ok(())
}

fn read_limit(pairs: Pairs<'_, Rule>) -> ParseResult<AmountPatch> {
    let mut patch = AmountPatch::default();
    for pair in pairs {
        read_amount(&mut patch, pair)?;
    }
    Ok(patch)
}

/// Collects the statements of one file, with the names defined so far.
#[derive(Default)]
struct ScriptBuilder {
    script: ScenarioScript,
    process_aliases: BTreeSet<String>,
    fault_aliases: BTreeSet<String>,
    change_aliases: BTreeSet<String>,
    /// Keys that `apply grant` steps add, with their teams.
    granted_keys: BTreeMap<KeyName, TeamName>,
}

impl ScriptBuilder {
    fn cell(&self) -> &CellLayout {
        &self.script.cell
    }

    fn read_statement(&mut self, pair: Pair<'_, Rule>) -> ParseResult<()> {
        match pair.as_rule() {
            Rule::domain => self.read_domain(pair),
            Rule::team => self.read_team(pair),
            Rule::queue => self.read_queue(pair),
            Rule::option => self.read_option(pair),
            _ => self.read_step(pair),
        }
    }
}
