//! Which environment document is in force: always the highest version seen.

use std::sync::Arc;

use settings::Document;
use units::Version;

use crate::board::Board;
use crate::view::Environment;

/// Adopts a document if its version is higher than the one in force.
pub(crate) fn adopt(board: &mut Board, version: Version, text: String, document: Document) {
    if version > board.version() {
        board.environment = Some(Arc::new(Environment {
            version,
            text,
            document,
        }));
    }
}
