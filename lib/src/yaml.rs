//! Errors in YAML files, with their position and a suggestion for a misspelt name.

use serde::de::DeserializeOwned;

use crate::nearest::nearest;

/// A position in a text file.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Position {
    /// Line, counted from one; zero when no line can be named.
    pub line: usize,
    /// Column, counted from one; zero when no column can be named.
    pub column: usize,
}

impl std::fmt::Display for Position {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// An error in a YAML text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct YamlError {
    /// Position of the error.
    pub position: Position,
    /// Message that states the error and the invalid key.
    pub cause: String,
}

/// Parses `text`.
///
/// # Errors
///
/// Fails if `text` is not valid YAML or not a value of type `T`.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, YamlError> {
    serde_yaml_ng::from_str(text).map_err(|e| convert_error(text, &e))
}

/// Finds `word` as a whole word in or after the line `from`, counted from one.
pub fn find(text: &str, from: usize, word: &str) -> Option<Position> {
    let skip = from.saturating_sub(1);
    let mut lines = text.lines().enumerate().skip(skip);
    lines.find_map(|(i, line)| {
        let column = find_word(line, word)? + 1;
        Some(Position {
            line: i + 1,
            column,
        })
    })
}

fn find_word(line: &str, word: &str) -> Option<usize> {
    let in_word = |c: char| c.is_alphanumeric() || c == '_' || c == '-';
    let starts = line.match_indices(word).map(|(at, _)| at);
    starts.into_iter().find(|at| {
        let before = line[..*at].chars().next_back().is_some_and(in_word);
        let after = line[at + word.len()..].chars().next().is_some_and(in_word);
        !before && !after
    })
}

fn convert_error(text: &str, error: &serde_yaml_ng::Error) -> YamlError {
    let start = error
        .location()
        .map_or_else(Position::default, |l| Position {
            line: l.line(),
            column: l.column(),
        });
    let message = without_position(&error.to_string());
    let names: Vec<&str> = message.split('`').skip(1).step_by(2).collect();
    let Some((invalid, known)) = names.split_first() else {
        return YamlError {
            position: start,
            cause: message,
        };
    };
    let position = find(text, start.line, invalid).unwrap_or(start);
    let unknown = ["unknown field", "unknown variant"];
    let suggestion = nearest(invalid, known.iter().copied());
    let cause = match suggestion.filter(|_| unknown.iter().any(|u| message.contains(u))) {
        Some(suggestion) => format!("{message}; did you mean `{suggestion}`?"),
        None => message,
    };
    YamlError { position, cause }
}

/// Removes the position that the parser appends, since [`YamlError`] holds it separately.
fn without_position(message: &str) -> String {
    match message.rfind(" at line ") {
        Some(at) => message[..at].to_owned(),
        None => message.to_owned(),
    }
}
