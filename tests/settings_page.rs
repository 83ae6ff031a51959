//! The settings page has one row for each setting of the code, with its
//! present default.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryarch::process::settings;

const PAGE: &str = include_str!("../docs/SETTINGS.md");

/// The settings that a file must have.
const NEEDED: [(&str, &str); 6] = [
    ("host", "\"north-1\""),
    ("data_centre", "\"north\""),
    ("listen.callers", "\"127.0.0.1:0\""),
    ("listen.peers", "\"127.0.0.1:0\""),
    ("listen.operators", "\"127.0.0.1:0\""),
    ("secrets.peers", "\"peers.secret\""),
];

/// Default on the page of a setting that a file must have.
const IS_NEEDED: &str = "needed";
/// Default on the page of a setting that may be absent.
const ABSENT: &str = "none";
/// A name that no setting has.
const NO_SETTING: &str = "no-such-setting";
/// Heading of the settings that stand in no table.
const TOP: &str = "## Top of the file";
/// Heading after the last table.
const EXAMPLE: &str = "## Example";

/// Settings by `table.name`, with the text of their defaults.
type Defaults = BTreeMap<String, String>;

fn join(table: &str, name: &str) -> String {
    if table.is_empty() {
        name.to_owned()
    } else {
        format!("{table}.{name}")
    }
}

fn file_without(left_out: &str) -> String {
    let kept = NEEDED.iter().filter(|(name, _)| *name != left_out);
    kept.map(|(name, value)| format!("{name} = {value}\n"))
        .collect()
}

/// What a file with an unknown setting is told to contain instead.
fn allowed(table: &str) -> Vec<String> {
    let unknown = format!("{} = 1\n", join(table, NO_SETTING));
    let text = file_without("") + &unknown;
    let error = settings::parse("host.toml", &text).expect_err("the setting is unknown");
    let message = error.to_string();
    let (_, expected) = message.split_once("expected").expect("names are given");
    let quoted = expected.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

/// Every setting of the code; those without a default are absent or needed.
fn defaults_of_code() -> Defaults {
    let cfg = settings::parse("host.toml", &file_without("")).expect("the settings are sound");
    let text = toml::to_string(&cfg).expect("settings encode as TOML");
    let encoded: toml::Table = toml::from_str(&text).expect("it is TOML");
    let mut defaults = Defaults::new();
    for name in allowed("") {
        match encoded.get(&name) {
            Some(toml::Value::Table(table)) => {
                for field in allowed(&name) {
                    let value = table.get(&field);
                    add(&mut defaults, join(&name, &field), value);
                }
            }
            value => add(&mut defaults, name, value),
        }
    }
    defaults
}

fn add(defaults: &mut Defaults, name: String, value: Option<&toml::Value>) {
    let is_needed = NEEDED.iter().any(|(needed, _)| *needed == name);
    let default = match value {
        _ if is_needed => IS_NEEDED.to_owned(),
        Some(value) => format!("`{value}`"),
        None => ABSENT.to_owned(),
    };
    defaults.insert(name, default);
}

/// The rows of the page; a setting with two rows fails.
fn defaults_of_page() -> Defaults {
    let mut defaults = Defaults::new();
    let mut table = "";
    for line in PAGE.lines().take_while(|line| *line != EXAMPLE) {
        if line == TOP {
            table = "";
        } else if let Some(heading) = line.strip_prefix("## `[") {
            table = heading.strip_suffix("]`").expect("a table's name");
        } else if let Some(row) = line.strip_prefix("| `") {
            let (name, rest) = row.split_once("` | ").expect("a name and its default");
            let (default, _) = rest.split_once(" | ").expect("a default and its range");
            let earlier = defaults.insert(join(table, name), default.to_owned());
            assert_eq!(earlier, None, "{table}.{name} has two rows");
        }
    }
    defaults
}

#[test]
fn the_page_has_every_setting_with_its_default() {
    let (page, code) = (defaults_of_page(), defaults_of_code());
    let names: BTreeSet<&String> = page.keys().chain(code.keys()).collect();
    let differ = |name: &&String| page.get(*name) != code.get(*name);
    let wrong: Vec<_> = names
        .into_iter()
        .filter(differ)
        .map(|name| (name, page.get(name), code.get(name)))
        .collect();
    assert!(wrong.is_empty(), "setting, page, code: {wrong:#?}");
}

#[test]
fn what_the_page_calls_needed_is_needed() {
    for (name, _) in NEEDED {
        let refused = settings::parse("host.toml", &file_without(name));
        assert!(refused.is_err(), "{name} can be left out");
    }
}

#[test]
fn the_example_is_sound() {
    let (_, example) = PAGE.split_once("```toml\n").expect("an example");
    let (example, _) = example.split_once("```").expect("its end");
    settings::parse("host.toml", example).expect("the example is sound");
}
