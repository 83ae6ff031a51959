//! Parsing of settings files: an invalid file is refused with a report of the
//! file, the line and the allowed values.

use chicoryarch::process::settings;
use miette::GraphicalReportHandler;
use miette::GraphicalTheme;

const VALID: &str = "
host = \"north-1\"
data_centre = \"north\"
[listen]
callers = \"127.0.0.1:0\"
peers = \"127.0.0.1:0\"
operators = \"127.0.0.1:0\"
[secrets]
peers = \"peers.secret\"
";

fn report(text: &str) -> String {
    let error = settings::parse("host.toml", text).expect_err("the settings are refused");
    let mut out = String::new();
    GraphicalReportHandler::new_themed(GraphicalTheme::unicode_nocolor())
        .render_report(&mut out, &*error)
        .expect("writing to a string does not fail");
    out
}

#[test]
fn sound_settings_are_accepted_with_every_default() {
    let cfg = settings::parse("host.toml", VALID).expect("the settings are valid");
    insta::assert_snapshot!(toml::to_string(&cfg).expect("settings encode as TOML"));
}

#[test]
fn an_unknown_setting_is_named_with_those_allowed() {
    let text = format!("{VALID}[caller]\nmax_header_byte = 5000\n");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn a_setting_of_the_wrong_type_is_named() {
    let text = format!("{VALID}[caller]\nmax_header_bytes = \"many\"\n");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn a_setting_out_of_its_range_is_named_with_the_range() {
    let text = format!("{VALID}[caller]\nbody_timeout_ms = 1\n");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn a_lease_shorter_than_its_heartbeats_is_refused() {
    let text = format!("{VALID}[membership]\nheartbeat_period_ms = 1000\nlease_ttl_ms = 500\n");
    insta::assert_snapshot!(report(&text));
}

#[test]
fn a_missing_setting_is_named() {
    insta::assert_snapshot!(report("host = \"north-1\"\n"));
}

#[test]
fn a_malformed_name_is_refused() {
    let text = VALID.replace("north-1", "North 1");
    insta::assert_snapshot!(report(&text));
}
