//! Path of a request or program through the hosts, with the state that each host
//! knew when it handled it.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use super::lines::LineCounts;
use super::lines::Logs;
use super::lines::Result;

/// Maximum number of lines of a trail, which bounds its memory.
const MAX_LINES: usize = 10_000;
/// Maximum length of the text fields of inputs, in characters.
const MAX_INPUT_CHARS: usize = 120;

/// Fields of a line that decide whether it belongs to a trail.
#[derive(Deserialize)]
struct Head<'a> {
    at_ms: Option<u64>,
    #[serde(borrow)]
    host: Option<Cow<'a, str>>,
    event: Cow<'a, str>,
    request: Option<Cow<'a, str>>,
    program: Option<Cow<'a, str>>,
}

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TrailLine {
    /// Time in Unix milliseconds, by the clock of the host.
    pub at_ms: u64,
    /// Host that wrote it.
    #[serde(skip)]
    pub host: String,
    /// Event that it is about.
    pub event: String,
    /// Its other fields.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// What a host knew, from its last line about it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Input {
    /// What it is, such as `endpoints`.
    pub input: &'static str,
    /// Time since the line, in milliseconds.
    pub age_ms: u64,
    /// Line about it.
    #[serde(flatten)]
    pub line: TrailLine,
}

/// Successive lines at one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Stop {
    /// Host that wrote them.
    pub host: String,
    /// Data centre of the host, if its log says so.
    pub data_centre: Option<String>,
    /// What the host knew at the first of them.
    pub inputs: Vec<Input>,
    /// The lines, by time.
    pub lines: Vec<TrailLine>,
}

/// Path of a request or program.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Trail {
    /// Hosts in the order in which they wrote lines.
    pub stops: Vec<Stop>,
    /// Lines beyond the maximum, which are left out.
    pub omitted: usize,
    /// Lines that were read.
    pub counts: LineCounts,
}

/// Kind of an input, and what it is about if there are several of the kind.
type InputKey = (&'static str, String);

/// Lines about inputs, by the first stop of the host that they precede.
type InputLines = BTreeMap<usize, HashMap<InputKey, TrailLine>>;

impl Trail {
    /// Finds the lines of a request, or of a program and its requests.
    ///
    /// # Errors
    ///
    /// If a log cannot be read. Standard input can be read only once, so it must not
    /// be among the logs.
    pub fn find(id: &str, logs: &Logs, mut advance: impl FnMut(u64)) -> Result<Self> {
        let mut found = Vec::new();
        let mut omitted = 0;
        let mut requests = HashSet::new();
        let mut add = |line: TrailLine| match found.len() < MAX_LINES {
            true => found.push(line),
            false => omitted += 1,
        };
        let counts = logs.scan(&mut advance, |json| {
            let Ok(head) = serde_json::from_str::<Head<'_>>(json) else {
                return false;
            };
            let is_program = head.program.as_deref() == Some(id);
            if is_program
                && let Some(request) = &head.request
                && requests.len() < MAX_LINES
            {
                requests.insert(request.to_string());
            }
            if is_program || head.request.as_deref() == Some(id) {
                add_line(json, &mut add);
            }
            true
        })?;
        if !requests.is_empty() {
            // Lines that name only the request, such as those of hosts that forward it.
            logs.scan(&mut advance, |json| {
                if let Ok(head) = serde_json::from_str::<Head<'_>>(json)
                    && head.program.as_deref() != Some(id)
                    && let Some(request) = &head.request
                    && **request != *id
                    && requests.contains(&**request)
                {
                    add_line(json, &mut add);
                }
                true
            })?;
        }
        let mut stops = group_by_host(found);
        if !stops.is_empty() {
            find_inputs(&mut stops, logs, advance)?;
        }
        Ok(Self {
            stops,
            omitted,
            counts,
        })
    }
}

fn add_line(json: &str, add: &mut impl FnMut(TrailLine)) {
    if let Ok(fields) = serde_json::from_str(json)
        && let Some(line) = trail_line(fields)
    {
        add(line);
    }
}

fn trail_line(mut fields: Map<String, Value>) -> Option<TrailLine> {
    let text = |value: Option<Value>| match value {
        Some(Value::String(text)) => text,
        _ => String::new(),
    };
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let host = text(fields.remove("host"));
    let event = text(fields.remove("event"));
    fields.retain(|_, value| !value.is_null() && value != "");
    Some(TrailLine {
        at_ms,
        host,
        event,
        fields,
    })
}

fn group_by_host(mut lines: Vec<TrailLine>) -> Vec<Stop> {
    lines.sort_by_key(|line| line.at_ms);
    let groups = lines.chunk_by(|a, b| a.host == b.host);
    groups
        .map(|lines| Stop {
            host: lines[0].host.clone(),
            data_centre: None,
            inputs: Vec::new(),
            lines: lines.to_vec(),
        })
        .collect()
}

/// Adds what the hosts knew, and where they are.
fn find_inputs(stops: &mut [Stop], logs: &Logs, advance: impl FnMut(u64)) -> Result<()> {
    let mut visits: HashMap<String, Vec<usize>> = HashMap::new();
    for (n, stop) in stops.iter().enumerate() {
        visits.entry(stop.host.clone()).or_default().push(n);
    }
    let mut data_centres: HashMap<String, String> = HashMap::new();
    let mut inputs = InputLines::new();
    logs.scan(advance, |json| {
        let Ok(head) = serde_json::from_str::<Head<'_>>(json) else {
            return false;
        };
        let visit = head.host.as_deref().and_then(|host| visits.get(host));
        let (Some(visit), Some(at_ms)) = (visit, head.at_ms) else {
            return true;
        };
        let places = matches!(&*head.event, "started" | "host-entered");
        let input = input_of(&head.event);
        if !places && input.is_none() {
            return true;
        }
        let Some(line) = serde_json::from_str(json).ok().and_then(trail_line) else {
            return false;
        };
        if places && let Some(place) = line.fields.get("data_centre").and_then(Value::as_str) {
            data_centres.insert(line.host.clone(), place.to_owned());
        }
        let next = visit.partition_point(|n| stops[*n].lines[0].at_ms < at_ms);
        let (Some((input, subject)), Some(stop)) = (input, visit.get(next)) else {
            return true;
        };
        let subject = line.fields.get(subject).and_then(Value::as_str);
        let key = (input, subject.unwrap_or_default().to_owned());
        let known = inputs.entry(*stop).or_default();
        if known.get(&key).is_none_or(|known| known.at_ms <= at_ms) {
            known.insert(key, shortened(line));
        }
        true
    })?;
    for (host, visit) in visits {
        let mut known: BTreeMap<InputKey, TrailLine> = BTreeMap::new();
        for n in visit {
            known.extend(inputs.remove(&n).unwrap_or_default());
            let stop = &mut stops[n];
            let at_ms = stop.lines[0].at_ms;
            stop.data_centre = data_centres.get(&host).cloned();
            stop.inputs = known
                .iter()
                .map(|((input, _), line)| Input {
                    input,
                    age_ms: at_ms.saturating_sub(line.at_ms),
                    line: line.clone(),
                })
                .collect();
        }
    }
    Ok(())
}

/// Returns the input that an event changes, and the field that tells it from others
/// of its kind.
fn input_of(event: &str) -> Option<(&'static str, &'static str)> {
    Some(match event {
        "archives-changed" => ("archives", ""),
        "callers-diverted" => ("readiness", ""),
        "configuration-behind" => ("newer configuration", ""),
        "configuration-in-force" => ("configuration", ""),
        "endpoints-changed" => ("endpoints", ""),
        "evacuation" => ("evacuation", "data_centre"),
        "paths-lost" | "paths-regained" | "paths-unclear" => ("paths", "service"),
        "started" => ("process", ""),
        "store-lost" | "store-reached" => ("store", ""),
        _ => return None,
    })
}

/// Removes lists, and the ends of long texts.
fn shortened(mut line: TrailLine) -> TrailLine {
    line.fields.retain(|_, value| !value.is_array());
    for value in line.fields.values_mut() {
        if let Value::String(text) = value
            && let Some((end, _)) = text.char_indices().nth(MAX_INPUT_CHARS)
        {
            text.truncate(end);
        }
    }
    line
}
