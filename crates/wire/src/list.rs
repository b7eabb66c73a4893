//! Lists in frames, limited in their number of items so that a short encoding cannot decode into a
//! list that takes much memory.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Maximum number of items of a list in a frame.
pub const LIST_MAX_ITEMS: usize = 65_536;

struct BoundedVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for BoundedVisitor<T> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {LIST_MAX_ITEMS} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Vec<T>, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == LIST_MAX_ITEMS {
                return Err(A::Error::invalid_length(LIST_MAX_ITEMS + 1, &self));
            }
            list.push(item);
        }
        Ok(list)
    }
}

/// Deserializes a list of at most [`LIST_MAX_ITEMS`] items.
pub(crate) fn bounded<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(BoundedVisitor(PhantomData))
}
