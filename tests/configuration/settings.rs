//! Tests of the settings of configuration distribution.

use std::time::Duration;

use chicoryarch::configs::distribution::DistributionConfig;

#[test]
fn the_defaults_are_within_bounds_and_round_trip() {
    let cfg = DistributionConfig::default();
    cfg.check().unwrap();
    let text = toml::to_string(&cfg).unwrap();
    assert_eq!(toml::from_str::<DistributionConfig>(&text).unwrap(), cfg);
}

#[test]
fn a_setting_out_of_bounds_is_named_with_its_range() {
    let cfg = DistributionConfig {
        exchange: Duration::ZERO,
        ..DistributionConfig::default()
    };
    let message = cfg.check().unwrap_err().to_string();
    assert_eq!(message, "`exchange_ms` must be 10ms to 3600s");
}

#[test]
fn an_unknown_setting_is_refused() {
    assert!(toml::from_str::<DistributionConfig>("exchnage_ms = 5").is_err());
}
