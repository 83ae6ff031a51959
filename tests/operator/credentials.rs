//! Operator credentials: file permissions and format, secret prefixes, scopes.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use chicoryarch::operator::OperatorSecrets;
use chicoryarch::operator::Scope;
use chicoryarch::operator::credentials::new_caller_secret;
use chicoryarch::operator::credentials::new_operator_secret;
use chicoryarch::version::catalogue::secret_hash;
use tempfile::TempDir;

fn credentials_file(content: &str, mode: u32) -> (TempDir, PathBuf) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("operators");
    fs::write(&path, content).unwrap();
    fs::set_permissions(&path, fs::Permissions::from_mode(mode)).unwrap();
    (dir, path)
}

fn credentials_line(name: &str, secret: &str) -> String {
    format!("{name}:{}", hex::encode(secret_hash(secret.as_bytes())))
}

fn load_error(content: &str, mode: u32) -> String {
    let (dir, path) = credentials_file(content, mode);
    let message = OperatorSecrets::load(&path).unwrap_err().to_string();
    message.replace(&dir.path().display().to_string(), "DIR")
}

#[test]
fn an_operator_is_identified_with_its_scope() {
    let (ana, ben) = (new_operator_secret().0, new_operator_secret().0);
    let content = format!(
        "# operators\n{}\n\n{}:ask\n",
        credentials_line("ana", &ana),
        credentials_line("ben", &ben)
    );
    let (_dir, path) = credentials_file(&content, 0o600);
    let secrets = OperatorSecrets::load(&path).unwrap();
    let header = format!("Bearer {ana}");
    let found = secrets.identify_header(Some(header.as_bytes())).unwrap();
    assert_eq!(
        (found.name.as_str(), found.scope),
        ("ana", Scope::ReadWrite)
    );
    assert_eq!(
        secrets.identify(ben.as_bytes()).unwrap().scope,
        Scope::ReadOnly
    );
    assert_eq!(secrets.identify(b"cho_other"), None);
    assert_eq!(secrets.identify_header(None), None);
}

#[test]
fn a_listed_caller_key_is_not_accepted_as_operator_secret() {
    let key = new_caller_secret().0;
    let (_dir, path) = credentials_file(&credentials_line("ana", &key), 0o600);
    let secrets = OperatorSecrets::load(&path).unwrap();
    assert_eq!(secrets.identify(key.as_bytes()), None);
    assert_eq!(secrets.identify_header(Some(b"Peer cho_secret")), None);
}

#[test]
fn a_file_open_to_others_is_refused() {
    for mode in [0o640, 0o604, 0o620, 0o602] {
        let message = load_error("", mode);
        let expected = format!(
            "DIR/operators is open to group or others (mode {mode:03o}); chmod 600 is expected"
        );
        assert_eq!(message, expected);
    }
}

#[test]
fn a_malformed_line_is_reported_by_number_only() {
    let good = credentials_line("ana", "cho_x");
    for bad in ["ana", "ana:abcd", ":00", "ana:xyz", &format!("{good}:all")] {
        let message = load_error(&format!("{good}\n{bad}\n"), 0o600);
        assert_eq!(
            message,
            "DIR/operators, line 2: `name:sha256hex` or `name:sha256hex:ask` is expected"
        );
    }
}

#[test]
fn a_failed_reload_keeps_the_old_secrets() {
    let secret = new_operator_secret().0;
    let (_dir, path) = credentials_file(&credentials_line("ana", &secret), 0o600);
    let secrets = OperatorSecrets::load(&path).unwrap();
    fs::write(&path, "rubbish").unwrap();
    assert!(secrets.reload(&path).is_err());
    assert!(secrets.identify(secret.as_bytes()).is_some());
}

#[test]
fn debug_output_contains_no_secret_or_hash() {
    let secret = new_operator_secret();
    let (_dir, path) = credentials_file(&credentials_line("ana", &secret.0), 0o600);
    let secrets = OperatorSecrets::load(&path).unwrap();
    assert_eq!(format!("{secrets:?}"), "OperatorSecrets { .. }");
    assert_eq!(format!("{secret:?}"), "Secret");
}
