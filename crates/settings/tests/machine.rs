//! The section `[machine]`.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use settings::{Machine, Sidecar};
use units::Bytes;

const SETTINGS: &str = "[process]\nhost = sidecar-1\nregion = north\nzone = north-1\n\
    environment = trial\n\
    key = 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n\
    [platform]\naddress = 127.0.0.1:7400\n\
    [sidecar]\npeer-address = 127.0.0.1:7431\nstatus-address = 127.0.0.1:7432\n\
    [endpoint]\nname = engine-1\nkind = engine\naddress = 127.0.0.1:7401\nserves = advisor\n";

fn machine(section: &str) -> settings::Result<Machine> {
    let settings = Sidecar::parse("sidecar.ini", &format!("{SETTINGS}{section}"))?;
    Ok(settings.process.machine)
}

#[test]
fn a_missing_section_is_the_smallest_machine() {
    assert_eq!(machine("").unwrap(), Machine::default());
    assert_eq!(machine("[machine]\n").unwrap(), Machine::default());
}

#[test]
fn memory_and_descriptors_are_read() {
    let machine = machine("[machine]\nmemory = 192m\ndescriptors = 8200\n").unwrap();
    assert_eq!(machine.memory, Bytes(192 << 20));
    assert_eq!(machine.descriptors, 8_200);
}

#[test]
fn a_process_has_no_more_descriptors_than_it_may_open() {
    let machine = Machine::default();
    assert_eq!(machine.with_descriptors_max(1_024).descriptors, 1_024);
    assert_eq!(machine.with_descriptors_max(1 << 20), machine);
}

macro_rules! invalid {
    ($($name:ident: $line:literal => $key:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let error = machine(concat!("[machine]\n", $line, "\n")).unwrap_err();
                assert_eq!((error.section.as_str(), error.key.as_str()), ("machine", $key));
            }
        )*
    };
}

invalid! {
    memory_that_does_not_hold_the_process: "memory = 31m" => "memory";
    memory_that_is_a_mistake: "memory = 2000000m" => "memory";
    memory_that_is_no_size: "memory = much" => "memory";
    too_few_descriptors: "descriptors = 255" => "descriptors";
    a_key_that_is_unknown: "descriptor = 4096" => "descriptor";
}
