//! When the copy of the list of gateways stands for the list.

use gateway::ListCopy;
use store::api::{Row, Value};

/// Row of a gateway that has left.
const LEFT: Option<usize> = None;

/// Returns rows in the order in which they were written, with the gateways that each writer had on the
/// list.
fn rows(listed: &[Option<usize>]) -> Vec<Row> {
    let row = |(number, listed): (usize, &Option<usize>)| Row {
        key: format!("gateway-{number}").into(),
        version: number as u64 + 1,
        value: Value(listed.map_or_else(ListCopy::encode_left, |listed| {
            ListCopy::encode(listed, b"gateway")
        })),
    };
    listed.iter().enumerate().map(row).collect()
}

/// Cases of rows, by the gateways that their writers had on the list.
macro_rules! completeness {
    ($($name:ident: $listed:expr, $is_complete:literal;)*) => {
        $(
            #[test]
            fn $name() {
                let copy = ListCopy::decode(&rows(&$listed));
                assert_eq!(copy.is_complete(), $is_complete);
                assert!(copy.rows.iter().all(|row| row.value.0 == b"gateway"));
            }
        )*
    };
}

completeness! {
    // A gateway must not take itself for the whole fleet as the others have written no copy yet.
    empty_copy_is_not_complete: [], false;
    copy_without_gateways_of_an_earlier_release_is_not_complete: [Some(5)], false;
    copy_without_some_gateways_is_not_complete: [Some(3), Some(4)], false;
    copy_of_all_gateways_is_complete: [Some(1), Some(2), Some(3)], true;
    copy_with_a_gateway_that_joined_later_is_complete: [Some(2), Some(2), Some(2)], true;
    // A stop of one gateway made the copy useless for two minutes.
    copy_without_a_gateway_that_has_left_is_complete: [Some(3), Some(3), LEFT], true;
    // The last writer did not count the one that had left, so another one is missing.
    copy_without_a_gateway_that_left_earlier_is_not_complete: [LEFT, Some(2)], false;
    copy_without_all_gateways_is_not_complete: [LEFT], false;
}

#[test]
fn row_that_is_too_short_is_left_out() {
    let mut rows = rows(&[Some(2), Some(2)]);
    rows[0].value.0.truncate(3);
    let copy = ListCopy::decode(&rows);
    assert_eq!(copy.rows.len(), 1);
    assert!(!copy.is_complete());
}
