//! Lists in frames, bounded by their number of items: a short encoding must not take much memory.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};

/// Items of a list in a frame at most.
pub const LIST_MAX_ITEMS: usize = 65_536;

struct Bounded<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for Bounded<T> {
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

/// Reads a list of at most [`LIST_MAX_ITEMS`] items.
pub(crate) fn bounded<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(Bounded(PhantomData))
}
