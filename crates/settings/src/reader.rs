//! Access to the sections and keys of an INI text, with checks for unknown and duplicate ones.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::fmt::Display;
use std::hash::Hash;
use std::ops::RangeInclusive;
use std::str::FromStr;

use compact_str::{CompactString, ToCompactString, format_compact};
use ini::{Ini, ParseOption};
use units::Digest;

use crate::error::{Error, Problem, Result};

/// Largest edit distance at which a word counts as a misspelling of another.
const MISSPELLING_MAX_DISTANCE: usize = 2;

/// Allowed values of secret keys and of digests.
pub(crate) const HEX_FORMAT: &str = "64 hexadecimal digits";

/// A parsed INI text that records which sections were requested, to find unknown ones.
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    known_sections: RefCell<BTreeSet<CompactString>>,
}

/// One section of a [`Reader`] that records which keys were requested, to find unknown ones.
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    name: CompactString,
    known_keys: RefCell<BTreeSet<CompactString>>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(file: &'a str, text: &'a str) -> Result<Self> {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| Error {
            file: file.into(),
            line: error.line,
            section: CompactString::default(),
            key: CompactString::default(),
            problem: Box::new(Problem::Syntax(error.msg.to_compact_string())),
        })?;
        let reader = Reader {
            file,
            text,
            ini,
            known_sections: RefCell::default(),
        };
        reader.check_duplicates()?;
        Ok(reader)
    }

    fn check_duplicates(&self) -> Result<()> {
        let mut sections = BTreeSet::new();
        for (name, properties) in self.ini.iter() {
            let name = name.unwrap_or("");
            if name.is_empty() {
                if let Some((key, _)) = properties.iter().next() {
                    return Err(self.error("", key, Problem::MissingSection));
                }
                continue;
            }
            if !sections.insert(name) {
                return Err(self.error(name, "", Problem::Duplicate));
            }
            let mut keys = BTreeSet::new();
            for (key, _) in properties.iter() {
                if !keys.insert(key) {
                    return Err(self.error(name, key, Problem::Duplicate));
                }
            }
        }
        Ok(())
    }

    pub(crate) fn error(&self, section: &str, key: &str, problem: Problem) -> Error {
        Error {
            file: self.file.into(),
            line: self.find_line(section, key),
            section: section.into(),
            key: key.into(),
            problem: Box::new(problem),
        }
    }

    fn find_line(&self, section: &str, key: &str) -> usize {
        find_line(self.text, section, key)
    }

    pub(crate) fn optional(&'a self, name: &str) -> Option<Section<'a>> {
        self.known_sections.borrow_mut().insert(name.into());
        self.ini.section(Some(name))?;
        Some(Section {
            reader: self,
            name: name.into(),
            known_keys: RefCell::default(),
        })
    }

    pub(crate) fn required(&'a self, name: &str) -> Result<Section<'a>> {
        self.optional(name)
            .ok_or_else(|| self.missing_section(name))
    }

    /// Returns the error for a missing section; names an unknown section that may be a misspelling
    /// of it.
    fn missing_section(&self, name: &str) -> Error {
        let known = self.known_sections.borrow();
        let unknown = self.ini.sections().flatten();
        let mut unknown = unknown.filter(|section| !known.contains(*section));
        match unknown.find(|section| is_misspelt(section, name)) {
            Some(found) => self.error(found, "", Problem::UnknownSection(name.into())),
            None => self.error(name, "", Problem::MissingSection),
        }
    }

    /// Returns the sections called `<kind> <name>`, each with its name.
    pub(crate) fn named_sections<T>(
        &'a self,
        kind: &str,
        allowed: &str,
    ) -> Result<Vec<(T, Section<'a>)>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known_sections
            .borrow_mut()
            .insert(format_compact!("{kind} NAME"));
        let mut found = Vec::new();
        for section in self.ini.sections().flatten() {
            let Some(name) = section
                .strip_prefix(kind)
                .and_then(|name| name.strip_prefix(' '))
            else {
                continue;
            };
            let parsed = name.trim().parse().map_err(|error: T::Err| {
                let problem =
                    Problem::InvalidValue(name.into(), error.to_compact_string(), allowed.into());
                self.error(section, "", problem)
            })?;
            self.known_sections.borrow_mut().insert(section.into());
            let known_keys = RefCell::default();
            found.push((
                parsed,
                Section {
                    reader: self,
                    name: section.into(),
                    known_keys,
                },
            ));
        }
        Ok(found)
    }

    /// Fails if the text has a section that was not requested.
    pub(crate) fn check_unknown_sections(&self) -> Result<()> {
        let known = self.known_sections.borrow();
        for section in self.ini.sections().flatten() {
            if !known.contains(section) {
                let near = nearest_word(section, &known);
                return Err(self.error(section, "", Problem::UnknownSection(near)));
            }
        }
        Ok(())
    }
}

impl Section<'_> {
    /// Returns the value of a key, or `None` if the key is missing.
    pub(crate) fn get_optional<T>(&self, key: &str, allowed: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known_keys.borrow_mut().insert(key.into());
        let properties = self.reader.ini.section(Some(self.name.as_str()));
        let Some(value) = properties.and_then(|properties| properties.get(key)) else {
            return Ok(None);
        };
        value.trim().parse().map(Some).map_err(|error: T::Err| {
            self.invalid_value(key, value, &error.to_compact_string(), allowed)
        })
    }

    /// Returns the value of a required key.
    pub(crate) fn get<T>(&self, key: &str, allowed: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.get_optional(key, allowed)?
            .ok_or_else(|| self.missing_key(key, allowed))
    }

    /// Returns the value of a key, or `default` if the key is missing.
    pub(crate) fn get_or<T>(&self, key: &str, allowed: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.get_optional(key, allowed)?.unwrap_or(default))
    }

    /// Returns the value of a key, or `default` if the key is missing; fails if the value is not in
    /// `range`, which `allowed` describes.
    pub(crate) fn get_in_range<T>(
        &self,
        key: &str,
        allowed: &str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Result<T>
    where
        T: FromStr + Display + PartialOrd,
        T::Err: Display,
    {
        let value = self.get_or(key, allowed, default)?;
        if range.contains(&value) {
            return Ok(value);
        }
        Err(self.invalid_value(key, &value.to_compact_string(), "is out of range", allowed))
    }

    /// Returns the values of a key that holds a list separated by spaces; empty if it is missing.
    pub(crate) fn get_list<T>(&self, key: &str, allowed: &str) -> Result<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text: Option<CompactString> = self.get_optional(key, allowed)?;
        let text = text.unwrap_or_default();
        let parse = |word: &str| {
            word.parse().map_err(|error: T::Err| {
                self.invalid_value(key, word, &error.to_compact_string(), allowed)
            })
        };
        text.split_whitespace().map(parse).collect()
    }

    /// Returns all keys of a section whose keys are names, with their values.
    pub(crate) fn get_all<K, V>(
        self,
        allowed_keys: &str,
        allowed_values: &str,
    ) -> Result<HashMap<K, V>>
    where
        K: FromStr + Eq + Hash,
        K::Err: Display,
        V: FromStr,
        V::Err: Display,
    {
        let properties = self.reader.ini.section(Some(self.name.as_str()));
        let names = properties.into_iter().flat_map(|all| all.iter());
        let mut found = HashMap::new();
        for (name, _) in names {
            let key = name.trim().parse().map_err(|error: K::Err| {
                self.invalid_value(name, name, &error.to_compact_string(), allowed_keys)
            })?;
            found.insert(key, self.get(name, allowed_values)?);
        }
        self.check_unknown_keys()?;
        Ok(found)
    }

    /// Returns the value that `words` assigns to the word of a key; `None` if the key is missing.
    pub(crate) fn get_choice<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<Option<T>> {
        let Some(value): Option<CompactString> = self.get_optional(key, "a word")? else {
            return Ok(None);
        };
        if let Some((_, choice)) = words.iter().find(|(word, _)| *word == value) {
            return Ok(Some(*choice));
        }
        Err(self.invalid_value(key, &value, "is unknown", &join_words(words)))
    }

    /// Returns a secret key or the digest of a token. An error does not show the value, since
    /// someone may have entered the token itself.
    pub(crate) fn get_digest(&self, key: &str) -> Result<Option<Digest>> {
        self.get_optional(key, HEX_FORMAT).map_err(|mut error| {
            if let Problem::InvalidValue(value, ..) = &mut *error.problem {
                *value = "(secret)".into();
            }
            error
        })
    }

    /// Returns the value that `words` assigns to the word of a required key.
    pub(crate) fn get_required_choice<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T> {
        let choice = self.get_choice(key, words)?;
        choice.ok_or_else(|| self.missing_key(key, &join_words(words)))
    }

    /// Returns the error for a missing key; names a present key that may be a misspelling of it.
    pub(crate) fn missing_key(&self, key: &str, allowed: &str) -> Error {
        let properties = self.reader.ini.section(Some(self.name.as_str()));
        let mut keys = properties.into_iter().flat_map(|all| all.iter());
        match keys.find(|(found, _)| is_misspelt(found, key)) {
            Some((found, _)) => self.error(found, Problem::UnknownKey(key.into())),
            None => self.error(key, Problem::MissingKey(allowed.into())),
        }
    }

    pub(crate) fn invalid_value(&self, key: &str, value: &str, why: &str, allowed: &str) -> Error {
        self.error(
            key,
            Problem::InvalidValue(value.into(), why.into(), allowed.into()),
        )
    }

    pub(crate) fn error(&self, key: &str, problem: Problem) -> Error {
        self.reader.error(&self.name, key, problem)
    }

    /// Fails if the section has a key that was not requested.
    pub(crate) fn check_unknown_keys(self) -> Result<()> {
        let known = self.known_keys.borrow();
        let Some(properties) = self.reader.ini.section(Some(self.name.as_str())) else {
            return Ok(());
        };
        for (key, _) in properties.iter() {
            if !known.contains(key) {
                let near = nearest_word(key, &known);
                return Err(self.error(key, Problem::UnknownKey(near)));
            }
        }
        Ok(())
    }
}

/// Returns the line number of a key, else of its section, else 0; of duplicates, the last.
pub(crate) fn find_line(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut found = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|name| name.strip_suffix(']'))
        {
            current = name.trim();
            if current == section {
                found = index + 1;
            }
        } else if current == section && !key.is_empty() {
            let name = line.split(['=', ':']).next().unwrap_or("").trim();
            if name == key {
                found = index + 1;
            }
        }
    }
    found
}

/// Lists the words of a choice, for error messages.
fn join_words<T>(words: &[(&str, T)]) -> String {
    let words: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
    words.join(", ")
}

/// Returns the known word with the smallest edit distance to `word`; empty if none is known.
pub(crate) fn nearest_word(word: &str, known: &BTreeSet<CompactString>) -> CompactString {
    known
        .iter()
        .min_by_key(|candidate| edit_distance(word, candidate))
        .cloned()
        .unwrap_or_default()
}

/// Returns whether `word` is probably a misspelling of `wanted`.
fn is_misspelt(word: &str, wanted: &str) -> bool {
    let distance = edit_distance(word, wanted);
    distance > 0 && distance <= MISSPELLING_MAX_DISTANCE
}

/// Computes the Levenshtein distance of two words.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substitute = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitute.min(diagonal + 1).min(row[j] + 1);
        }
    }
    row[right.len()]
}
