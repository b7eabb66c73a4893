//! Invalid settings and documents: the error names the place and the reason, the exit code is 2 and
//! nothing is started.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

use ::settings::{Document, Entry, Sidecar};

use crate::cases;
use crate::cluster::{Config, document};

const ENTRY: &str = "[process]\nhost = entry-a\nregion = north\nzone = north-1\n\
    environment = trial\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n\
    [platform]\naddress = 127.0.0.1:1\n\
    [entry]\ncaller-address = 127.0.0.1:0\npeer-address = 127.0.0.1:0\n\
    [admin]\naddress = 127.0.0.1:0\noperator-token-digest = \
    00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";

/// A replacement in a valid text (from, to) and the error expected for it.
type Case = (&'static str, &'static str, &'static str);

fn check_entry_error((from, to, expected): Case) {
    assert!(ENTRY.contains(from));
    let error = Entry::parse("entry.ini", &ENTRY.replace(from, to)).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

cases! { check_entry_error;
    unknown_key: ("caller-address", "caller-adress",
        "entry.ini:10: [entry] caller-adress is an unknown key; nearest: caller-address"),
    missing_key: ("caller-address = 127.0.0.1:0\n", "",
        "entry.ini:9: [entry] caller-address is a required key and missing; allowed: \
                IP:PORT"),
    misspelt_section: ("[platform]", "[plattform]",
        "entry.ini:7: [plattform] is an unknown section; nearest: platform"),
    unknown_section: ("[admin]", "[entri]\n[admin]",
        "entry.ini:12: [entri] is an unknown section; nearest: entry"),
    nearest_key: ("zone =", "log-formt = json\nzone =",
        "entry.ini:4: [process] log-formt is an unknown key; nearest: log-format"),
    missing_section: ("[platform]\naddress = 127.0.0.1:1\n", "",
        "entry.ini: [platform] is a required section and missing"),
    duplicate_section: ("[admin]", "[entry]\n[admin]",
        "entry.ini:12: [entry] is there twice"),
    duplicate_key: ("zone = north-1", "zone = north-1\nzone = north-2",
        "entry.ini:5: [process] zone is there twice"),
    bad_name: ("entry-a", "Entry",
        "entry.ini:2: [process] host = \"Entry\" has a character other than a-z, 0-9, '-', \
                '_' and '.'; allowed: a-z, 0-9, '-', '_', '.', at most 64 characters"),
    bad_unit: ("address = 127.0.0.1:1\n", "address = 127.0.0.1:1\ntimeout = 3 days\n",
        "entry.ini:9: [platform] timeout = \"3 days\" has an unknown unit; allowed: a whole \
                number with us, ms, s, m or h"),
    bad_choice: ("zone =", "log-format = xml\nzone =",
        "entry.ini:4: [process] log-format = \"xml\" is unknown; allowed: json, terminal"),
    short_stale_after: ("[admin]", "[timing]\nstale-after = 1s\n[admin]",
        "entry.ini:13: [timing] stale-after = \"1s\" is too short; allowed: at least twice \
                document-poll and document-exchange"),
    trace_share: ("zone =", "trace-share = 1.5\nzone =",
        "entry.ini:4: [process] trace-share = \"1.5\" is out of range; allowed: a number \
                from 0 to 1"),
    secret_key_is_not_shown: ("key = 0011", "key = correct-horse",
        "entry.ini:6: [process] key = \"(secret)\" is not a number in range; allowed: 64 \
                hexadecimal digits"),
    token_in_place_of_its_digest_is_not_shown: ("operator-token-digest = 0011", "operator-token-digest = hunter2-0011",
        "entry.ini:14: [admin] operator-token-digest = \"(secret)\" is not a number in \
                range; allowed: 64 hexadecimal digits"),
}

fn check_document_error((from, to, expected): Case) {
    let text = document("");
    assert!(text.contains(from));
    let error = Document::parse("trial.ini", &text.replacen(from, to, 1)).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

cases! { check_document_error;
    undefined_class: ("classes = reorder advisor", "classes = reorder adviser",
        "trial.ini:11: [account meche] classes names \"adviser\", which is no class of this \
                document; nearest: advisor"),
    class_twice: ("[class advisor]", "[class  reorder]",
        "trial.ini:6: [class  reorder] is there twice"),
    service_that_is_a_model: ("[service stock]", "[service advisor]",
        "trial.ini:18: [service advisor] is there twice"),
    missing_idempotency: ("[service stock]\nidempotent = no\n", "[service stock]\n",
        "trial.ini:18: [service stock] idempotent is a required key and missing; allowed: \
                yes, no"),
}

fn check_limit_error((key, value, allowed): (&str, &str, &str)) {
    let text = document(&format!("[limits]\n{key} = {value}\n"));
    let error = Document::parse("trial.ini", &text).unwrap_err().to_string();
    let place = format!("trial.ini:21: [limits] {key} = ");
    assert!(
        error.starts_with(&place) && error.ends_with(allowed),
        "{error}"
    );
}

cases! { check_limit_error;
    zero_tranche: ("tranche", "0", "allowed: a whole number, 1 or more"),
    zero_calls: ("calls-max", "0", "allowed: a whole number, 1 or more"),
    zero_loop_limit: ("loop-limit", "0", "allowed: a whole number, 1 or more"),
    idle_timeout_too_short: ("idle-timeout", "1ms", "allowed: 100ms to 24h"),
    commit_wait_too_long: ("commit-wait", "9999999h", "allowed: 0s to 1h"),
}

#[test]
fn debug_output_hides_secrets() {
    let entry = Entry::parse("entry.ini", ENTRY).unwrap();
    assert!(format!("{:?}", entry.process).contains("Secret(..)"));
    assert!(!format!("{:?}", entry.process).contains("00112233"));
    assert!(Sidecar::parse("entry.ini", ENTRY).is_err());
}

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_balsamhold"))
        .args(arguments)
        .output()
        .unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let file = directory.join(format!("{}-{name}", std::process::id()));
    std::fs::write(&file, text).unwrap();
    file
}

#[test]
fn port_in_use_is_an_error_of_the_settings_and_nothing_is_started() {
    let cluster = Config::new().with_entries(1).with_engines(0).start();
    let rows_before = cluster.platform.state().rows.len();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let text = ENTRY
        .replace(
            "[admin]\naddress = 127.0.0.1:0",
            &format!("[admin]\naddress = {address}"),
        )
        .replace("127.0.0.1:1\n", &format!("{}\n", cluster.platform.address));
    let file = write_file("port.ini", &text);
    let output = run(&["entry", "--settings", file.to_str().unwrap()]);
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    let expected = format!(":13: [admin] address = \"{address}\" cannot be listened on");
    assert!(error.contains(&expected), "{error}");
    let added_rows = |rows_before: usize| cluster.platform.state().rows.len() - rows_before;
    assert_eq!(added_rows(rows_before), 0);
}

#[test]
fn check_names_the_invalid_key_without_a_server() {
    let text = document("[limits]\nidle-timeout = soon\n");
    let file = write_file("check.ini", &text);
    let path = file.to_str().unwrap();
    let output = run(&["ctl", "check", path]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8(output.stderr)
            .unwrap()
            .contains("[limits] idle-timeout")
    );
    std::fs::write(&file, ENTRY).unwrap();
    let output = run(&["ctl", "check", "--kind", "entry", path]);
    assert!(output.status.success(), "{output:?}");
    std::fs::remove_file(&file).unwrap();
}

fn check_output(case: (&[&str], &str)) {
    let output = run(case.0);
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(text.contains(case.1), "{text}");
}

cases! { check_output;
    help: (&["--help"], "Schedules agent programs"),
    help_of_ctl: (&["ctl", "--help"], "rollout"),
    help_of_promote: (&["ctl", "promote", "--help"], "TARGET"),
    version: (&["--version"], env!("CARGO_PKG_VERSION")),
    completions: (&["--bpaf-complete-style-bash"], "balsamhold"),
}
