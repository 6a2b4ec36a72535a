//! State charts, parsed from YAML into dense transition tables.
//!
//! A chart lists every state and event. Each pair of a non-final state and an event must be either
//! a transition or listed as ignored, so that a missing case is an error at startup.

use std::path::{Path, PathBuf};

use error_stack::Report;
use serde::Deserialize;

/// Built-in charts by file name.
const BUILT_IN: [(&str, &str); 5] = [
    ("change.yaml", include_str!("../charts/change.yaml")),
    ("lease.yaml", include_str!("../charts/lease.yaml")),
    ("replica.yaml", include_str!("../charts/replica.yaml")),
    ("request.yaml", include_str!("../charts/request.yaml")),
    ("vm.yaml", include_str!("../charts/vm.yaml")),
];

/// An error in a state chart, with its file and line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChartError {
    /// Path of the chart file.
    pub file: PathBuf,
    /// Line in the file, counted from one; zero when no line can be named.
    pub line: usize,
    /// Message that states the error and how to correct it.
    pub cause: String,
}

impl std::fmt::Display for ChartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: {}", self.file.display(), self.line, self.cause)
    }
}

impl std::error::Error for ChartError {}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Source {
    name: String,
    start: String,
    states: Vec<String>,
    events: Vec<String>,
    transitions: Vec<Transition>,
    #[serde(rename = "final")]
    finals: Vec<String>,
    ignored: Vec<Ignored>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Transition {
    from: String,
    event: String,
    to: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Ignored {
    state: String,
    events: Vec<String>,
}

/// Index of a state within its chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State(u8);

/// Index of an event within its chart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Event(u8);

/// A validated state chart: a dense table of `state x event`.
#[derive(Debug, Clone)]
pub struct Chart {
    name: String,
    states: Vec<String>,
    events: Vec<String>,
    start: State,
    next: Vec<Option<State>>,
}

impl Chart {
    /// Parses and validates a chart; `file` is only named in errors.
    ///
    /// # Errors
    ///
    /// Fails if `text` is not a chart, names an unknown state or event, leaves a pair of state and
    /// event out or lists it twice, or has a state that can't be reached.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Report<ChartError>> {
        let file = file.as_ref();
        let source: Source = serde_yaml_ng::from_str(text).map_err(|e| {
            let line = e.location().map_or(0, |l| l.line());
            error(file, line, format!("not a state chart: {e}"))
        })?;
        build(file, text, &source)
    }

    /// Returns the name of the chart.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the start state.
    pub fn start(&self) -> State {
        self.start
    }

    /// Looks up a state by name.
    pub fn state(&self, name: &str) -> Option<State> {
        position(&self.states, name).map(State)
    }

    /// Looks up an event by name.
    pub fn event(&self, name: &str) -> Option<Event> {
        position(&self.events, name).map(Event)
    }

    /// Returns the name of a state.
    pub fn state_name(&self, state: State) -> &str {
        &self.states[usize::from(state.0)]
    }

    /// Returns the state after `event`, or `None` where the event is ignored.
    pub fn next(&self, state: State, event: Event) -> Option<State> {
        self.next[usize::from(state.0) * self.events.len() + usize::from(event.0)]
    }
}

/// The state charts that the daemons interpret.
#[derive(Debug, Clone)]
pub struct Charts {
    /// Chart of a configuration change.
    pub change: Chart,
    /// Chart of a planner's lease.
    pub lease: Chart,
    /// Chart of a replica.
    pub replica: Chart,
    /// Chart of a request.
    pub request: Chart,
    /// Chart of an endpoint VM.
    pub vm: Chart,
}

impl Charts {
    /// Parses the built-in charts.
    ///
    /// # Errors
    ///
    /// Fails if a built-in chart is invalid, which is a bug.
    pub fn built_in() -> Result<Self, Report<ChartError>> {
        Self::load(|name| {
            let found = BUILT_IN.iter().find(|(file, _)| *file == name);
            Ok(found.map_or_else(String::new, |(_, text)| (*text).to_owned()))
        })
    }

    /// Reads the charts from the files in `dir`, which must hold all five.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or is not a valid chart.
    pub fn open(dir: impl AsRef<Path>) -> Result<Self, Report<ChartError>> {
        let dir = dir.as_ref();
        Self::load(|name| {
            let path = dir.join(name);
            std::fs::read_to_string(&path)
                .map_err(|e| error(&path, 0, format!("can't read the chart: {e}")))
        })
    }

    fn load(
        read: impl Fn(&str) -> Result<String, Report<ChartError>>,
    ) -> Result<Self, Report<ChartError>> {
        let chart = |name: &str| Chart::parse(name, &read(name)?);
        Ok(Self {
            change: chart("change.yaml")?,
            lease: chart("lease.yaml")?,
            replica: chart("replica.yaml")?,
            request: chart("request.yaml")?,
            vm: chart("vm.yaml")?,
        })
    }
}

fn build(file: &Path, text: &str, source: &Source) -> Result<Chart, Report<ChartError>> {
    let find_state = |name: &str| {
        position(&source.states, name)
            .ok_or_else(|| error(file, line_of(text, name), format!("unknown state `{name}`")))
    };
    let find_event = |name: &str| {
        position(&source.events, name)
            .ok_or_else(|| error(file, line_of(text, name), format!("unknown event `{name}`")))
    };
    let width = source.events.len();
    let mut next = vec![None; source.states.len() * width];
    let mut listed = vec![false; next.len()];
    for t in &source.transitions {
        let cell = usize::from(find_state(&t.from)?) * width + usize::from(find_event(&t.event)?);
        if listed[cell] {
            let cause = format!("`{}` on `{}` is listed twice", t.from, t.event);
            return Err(error(file, line_of(text, &t.from), cause));
        }
        listed[cell] = true;
        next[cell] = Some(State(find_state(&t.to)?));
    }
    for i in &source.ignored {
        for event in &i.events {
            let cell = usize::from(find_state(&i.state)?) * width + usize::from(find_event(event)?);
            if listed[cell] {
                let cause = format!(
                    "`{}` on `{event}` is both a transition and ignored",
                    i.state
                );
                return Err(error(file, line_of(text, &i.state), cause));
            }
            listed[cell] = true;
        }
    }
    check_complete(file, text, source, &listed)?;
    check_reachable(file, text, source, &next)?;
    Ok(Chart {
        name: source.name.clone(),
        states: source.states.clone(),
        events: source.events.clone(),
        start: State(find_state(&source.start)?),
        next,
    })
}

fn check_complete(
    file: &Path,
    text: &str,
    source: &Source,
    listed: &[bool],
) -> Result<(), Report<ChartError>> {
    for (s, state) in source.states.iter().enumerate() {
        if source.finals.contains(state) {
            continue;
        }
        for (e, event) in source.events.iter().enumerate() {
            if !listed[s * source.events.len() + e] {
                let cause = format!("`{state}` has no transition for `{event}`; add or ignore it");
                return Err(error(file, line_of(text, state), cause));
            }
        }
    }
    Ok(())
}

fn check_reachable(
    file: &Path,
    text: &str,
    source: &Source,
    next: &[Option<State>],
) -> Result<(), Report<ChartError>> {
    let Some(start) = position(&source.states, &source.start) else {
        let cause = format!("unknown start state `{}`", source.start);
        return Err(error(file, line_of(text, "start"), cause));
    };
    let mut visited = vec![false; source.states.len()];
    let mut pending = vec![usize::from(start)];
    while let Some(s) = pending.pop() {
        if std::mem::replace(&mut visited[s], true) {
            continue;
        }
        let width = source.events.len();
        pending.extend(
            next[s * width..(s + 1) * width]
                .iter()
                .flatten()
                .map(|t| usize::from(t.0)),
        );
    }
    match visited.iter().position(|s| !s) {
        None => Ok(()),
        Some(s) => {
            let cause = format!("state `{}` can't be reached", source.states[s]);
            Err(error(file, line_of(text, &source.states[s]), cause))
        }
    }
}

fn error(file: &Path, line: usize, cause: String) -> Report<ChartError> {
    Report::new(ChartError {
        file: file.to_owned(),
        line,
        cause,
    })
}

fn position(names: &[String], name: &str) -> Option<u8> {
    names.iter().position(|n| n == name).map(|p| p as u8)
}

fn line_of(text: &str, word: &str) -> usize {
    text.lines()
        .position(|l| l.contains(word))
        .map_or(0, |l| l + 1)
}
