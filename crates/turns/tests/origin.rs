//! Which release a resumed stream may go on at.

use clients::Accounts;
use clients::owner::Owner;
use compact_str::{CompactString, format_compact};
use proptest::prelude::*;
use store::api::{Row, Value};
use turns::{Origin, StreamKey};

fn key(id: &str) -> StreamKey {
    StreamKey::new(&Owner::Anonymous.id(id).name(&Accounts::default()))
}

fn origin(service: &str, release: &str, program: &str) -> Origin {
    Origin {
        service: service.into(),
        release: release.into(),
        program: program.into(),
        endpoint: "endpoint".into(),
    }
}

/// Rows of a partition, as a host that writes the origin of a stream leaves them.
fn write(rows: &mut Vec<Row>, id: &str, origin: &Origin) {
    let StreamKey { key, .. } = key(id);
    let value = Value(origin.encode().expect("plain data encodes"));
    rows.retain(|row| row.key != key);
    rows.push(Row {
        key,
        version: 1,
        value,
    });
}

#[test]
fn stream_goes_on_at_its_release_only_for_its_program_and_service() {
    let origin = origin("models", "v1", "program");
    let release: CompactString = "v1".into();
    assert_eq!(origin.release_for("models", "program"), Some(&release));
    assert_eq!(origin.release_for("models", "another"), None);
    assert_eq!(origin.release_for("models", ""), None);
    assert_eq!(origin.release_for("others", "program"), None);
}

#[test]
fn row_of_an_older_release_names_no_endpoint() {
    let key = key("stream");
    let value = ("models", "v1", "program");
    let value = bincode::serde::encode_to_vec(value, bincode::config::standard());
    let row = Row {
        key: key.key.clone(),
        version: 1,
        value: Value(value.expect("plain data encodes")),
    };
    let expected = Origin {
        endpoint: CompactString::default(),
        ..origin("models", "v1", "program")
    };
    let found = Origin::from_rows(&key, &[row]);
    assert_eq!(found.expect("the row decodes"), Some(expected));
}

#[test]
fn row_that_cannot_be_decoded_names_no_release() {
    let key = key("stream");
    let row = Row {
        key: key.key.clone(),
        version: 1,
        value: Value(vec![0xff; 3]),
    };
    assert!(Origin::from_rows(&key, &[row]).is_err());
}

proptest! {
    #[test]
    fn resumed_streams_keep_their_release_whatever_rows_are_lost(
        streams in prop::collection::vec((0..3u8, 0..3u8, any::<bool>()), 1..40),
        resumed in prop::collection::vec((0..60usize, 0..3u8), 0..80),
    ) {
        let mut rows = Vec::new();
        for (number, (release, program, is_lost)) in streams.iter().enumerate() {
            let id = format_compact!("stream-{number}");
            let origin = origin("models", &format!("v{release}"), &format!("p{program}"));
            if !is_lost {
                write(&mut rows, &id, &origin);
                // A repeated or delayed write changes nothing.
                write(&mut rows, &id, &origin);
            }
        }
        for (number, program) in resumed {
            let key = key(&format!("stream-{number}"));
            let found = Origin::from_rows(&key, &rows).expect("rows decode");
            let program = format_compact!("p{program}");
            let release = found.as_ref().and_then(|origin| origin.release_for("models", &program));
            let expected = streams.get(number).filter(|(_, owner, is_lost)| {
                !is_lost && program == format_compact!("p{owner}")
            });
            let expected = expected.map(|(release, _, _)| format_compact!("v{release}"));
            prop_assert_eq!(release, expected.as_ref());
        }
    }

    #[test]
    fn any_identifier_has_a_row_of_its_own(first in ".{1,200}", second in ".{1,200}") {
        let [first_key, second_key] = [&first, &second].map(|id| key(id));
        prop_assert!(first_key.key.len() <= 200);
        prop_assert_eq!(first == second, first_key == second_key);
    }
}
