//! Compares docs/SETTINGS.md with the code: each setting has one row, with the
//! default that the code uses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use chicoryarch::process::settings;

const PAGE: &str = include_str!("../docs/SETTINGS.md");

/// Settings that a file must contain, with valid values.
const REQUIRED: [(&str, &str); 6] = [
    ("host", "\"north-1\""),
    ("data_centre", "\"north\""),
    ("listen.callers", "\"127.0.0.1:0\""),
    ("listen.peers", "\"127.0.0.1:0\""),
    ("listen.operators", "\"127.0.0.1:0\""),
    ("secrets.peers", "\"peers.secret\""),
];

/// Default on the page of a required setting.
const REQUIRED_MARK: &str = "needed";
/// Default on the page of an optional setting without a default value.
const ABSENT_MARK: &str = "none";
/// A name of no setting.
const UNKNOWN_SETTING: &str = "no-such-setting";
/// Heading of the settings outside all tables.
const TOP_HEADING: &str = "## Top of the file";
/// Heading that follows the last table.
const EXAMPLE_HEADING: &str = "## Example";

/// Texts of the defaults by `table.name`.
type Defaults = BTreeMap<String, String>;

fn qualified_name(table: &str, name: &str) -> String {
    if table.is_empty() {
        name.to_owned()
    } else {
        format!("{table}.{name}")
    }
}

fn file_without(omitted: &str) -> String {
    let kept = REQUIRED.iter().filter(|(name, _)| *name != omitted);
    kept.map(|(name, value)| format!("{name} = {value}\n"))
        .collect()
}

/// Returns the names allowed in a table, from the error about an unknown
/// setting.
fn allowed_names(table: &str) -> Vec<String> {
    let unknown = format!("{} = 1\n", qualified_name(table, UNKNOWN_SETTING));
    let text = file_without("") + &unknown;
    let error = settings::parse("host.toml", &text).expect_err("the setting is unknown");
    let message = error.to_string();
    let (_, expected) = message.split_once("expected").expect("names are given");
    let quoted = expected.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

/// Returns all settings of the code with their defaults.
fn defaults_of_code() -> Defaults {
    let cfg = settings::parse("host.toml", &file_without("")).expect("the settings are valid");
    let text = toml::to_string(&cfg).expect("settings encode as TOML");
    let encoded: toml::Table = toml::from_str(&text).expect("it is TOML");
    let mut defaults = Defaults::new();
    for name in allowed_names("") {
        match encoded.get(&name) {
            Some(toml::Value::Table(table)) => {
                for field in allowed_names(&name) {
                    let value = table.get(&field);
                    insert_default(&mut defaults, qualified_name(&name, &field), value);
                }
            }
            value => insert_default(&mut defaults, name, value),
        }
    }
    defaults
}

fn insert_default(defaults: &mut Defaults, name: String, value: Option<&toml::Value>) {
    let is_required = REQUIRED.iter().any(|(required, _)| *required == name);
    let default = match value {
        _ if is_required => REQUIRED_MARK.to_owned(),
        Some(value) => format!("`{value}`"),
        None => ABSENT_MARK.to_owned(),
    };
    defaults.insert(name, default);
}

/// Returns the rows of the page; panics if a setting has two rows.
fn defaults_of_page() -> Defaults {
    let mut defaults = Defaults::new();
    let mut table = "";
    for line in PAGE.lines().take_while(|line| *line != EXAMPLE_HEADING) {
        if line == TOP_HEADING {
            table = "";
        } else if let Some(heading) = line.strip_prefix("## `[") {
            table = heading.strip_suffix("]`").expect("a table's name");
        } else if let Some(row) = line.strip_prefix("| `") {
            let (name, rest) = row.split_once("` | ").expect("a name and its default");
            let (default, _) = rest.split_once(" | ").expect("a default and its range");
            let earlier = defaults.insert(qualified_name(table, name), default.to_owned());
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
    let differences: Vec<_> = names
        .into_iter()
        .filter(differ)
        .map(|name| (name, page.get(name), code.get(name)))
        .collect();
    assert!(
        differences.is_empty(),
        "setting, page, code: {differences:#?}"
    );
}

#[test]
fn settings_marked_as_needed_are_required() {
    for (name, _) in REQUIRED {
        let refused = settings::parse("host.toml", &file_without(name));
        assert!(refused.is_err(), "{name} is optional in the code");
    }
}

#[test]
fn the_example_is_valid() {
    let (_, example) = PAGE.split_once("```toml\n").expect("an example");
    let (example, _) = example.split_once("```").expect("its end");
    settings::parse("host.toml", example).expect("the example is valid");
}
