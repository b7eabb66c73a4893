//! Checked access to the sections and keys of an INI text.

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

const MISSPELT_MAX: usize = 2;

/// What is allowed for keys and digests.
pub(crate) const HEX: &str = "64 hexadecimal digits";

/// An INI text of which every section and key must be asked for.
pub(crate) struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    ini: Ini,
    sections: RefCell<BTreeSet<CompactString>>,
}

/// One section of a [`Reader`].
pub(crate) struct Section<'a> {
    reader: &'a Reader<'a>,
    name: CompactString,
    keys: RefCell<BTreeSet<CompactString>>,
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
            sections: RefCell::default(),
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
            line: self.line(section, key),
            section: section.into(),
            key: key.into(),
            problem: Box::new(problem),
        }
    }

    fn line(&self, section: &str, key: &str) -> usize {
        line(self.text, section, key)
    }

    pub(crate) fn optional(&'a self, name: &str) -> Option<Section<'a>> {
        self.sections.borrow_mut().insert(name.into());
        self.ini.section(Some(name))?;
        Some(Section {
            reader: self,
            name: name.into(),
            keys: RefCell::default(),
        })
    }

    pub(crate) fn required(&'a self, name: &str) -> Result<Section<'a>> {
        self.optional(name).ok_or_else(|| self.missing(name))
    }

    /// The error for a section that is missing: it may be there under a misspelt name.
    fn missing(&self, name: &str) -> Error {
        let known = self.sections.borrow();
        let unknown = self.ini.sections().flatten();
        let mut unknown = unknown.filter(|section| !known.contains(*section));
        match unknown.find(|section| is_misspelt(section, name)) {
            Some(found) => self.error(found, "", Problem::UnknownSection(name.into())),
            None => self.error(name, "", Problem::MissingSection),
        }
    }

    /// The sections called `<kind> <name>`, with their names.
    pub(crate) fn named<T>(&'a self, kind: &str, allowed: &str) -> Result<Vec<(T, Section<'a>)>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.sections
            .borrow_mut()
            .insert(format_compact!("{kind} NAME"));
        let mut found = Vec::new();
        for section in self.ini.sections().flatten() {
            let Some(name) = section
                .strip_prefix(kind)
                .and_then(|rest| rest.strip_prefix(' '))
            else {
                continue;
            };
            let parsed = name.trim().parse().map_err(|error: T::Err| {
                let problem =
                    Problem::Value(name.into(), error.to_compact_string(), allowed.into());
                self.error(section, "", problem)
            })?;
            self.sections.borrow_mut().insert(section.into());
            let keys = RefCell::default();
            found.push((
                parsed,
                Section {
                    reader: self,
                    name: section.into(),
                    keys,
                },
            ));
        }
        Ok(found)
    }

    /// Fails if a section was never asked for.
    pub(crate) fn close(&self) -> Result<()> {
        let known = self.sections.borrow();
        for section in self.ini.sections().flatten() {
            if !known.contains(section) {
                let near = nearest(section, &known);
                return Err(self.error(section, "", Problem::UnknownSection(near)));
            }
        }
        Ok(())
    }
}

impl Section<'_> {
    /// The value of a key that may be missing.
    pub(crate) fn maybe<T>(&self, key: &str, allowed: &str) -> Result<Option<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.keys.borrow_mut().insert(key.into());
        let properties = self.reader.ini.section(Some(self.name.as_str()));
        let Some(value) = properties.and_then(|properties| properties.get(key)) else {
            return Ok(None);
        };
        value
            .trim()
            .parse()
            .map(Some)
            .map_err(|error: T::Err| self.invalid(key, value, &error.to_compact_string(), allowed))
    }

    /// The value of a required key.
    pub(crate) fn get<T>(&self, key: &str, allowed: &str) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.maybe(key, allowed)?
            .ok_or_else(|| self.missing(key, allowed))
    }

    /// The value of a key with a default.
    pub(crate) fn get_or<T>(&self, key: &str, allowed: &str, default: T) -> Result<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.maybe(key, allowed)?.unwrap_or(default))
    }

    /// The value of a key with a default, within a range; `allowed` tells the range.
    pub(crate) fn within<T>(
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
        Err(self.invalid(key, &value.to_compact_string(), "is out of range", allowed))
    }

    /// The values of a key that holds a list separated by spaces; empty if the key is missing.
    pub(crate) fn list<T>(&self, key: &str, allowed: &str) -> Result<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text: Option<CompactString> = self.maybe(key, allowed)?;
        let text = text.unwrap_or_default();
        let parse = |word: &str| {
            word.parse().map_err(|error: T::Err| {
                self.invalid(key, word, &error.to_compact_string(), allowed)
            })
        };
        text.split_whitespace().map(parse).collect()
    }

    /// All keys of a section whose keys are names, with their values; consumes the section.
    pub(crate) fn all<K, V>(self, keys: &str, values: &str) -> Result<HashMap<K, V>>
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
                self.invalid(name, name, &error.to_compact_string(), keys)
            })?;
            found.insert(key, self.get(name, values)?);
        }
        self.close()?;
        Ok(found)
    }

    /// A key whose value is one of a few words.
    pub(crate) fn choice<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<Option<T>> {
        let Some(value): Option<CompactString> = self.maybe(key, "a word")? else {
            return Ok(None);
        };
        if let Some((_, choice)) = words.iter().find(|(word, _)| *word == value) {
            return Ok(Some(*choice));
        }
        Err(self.invalid(key, &value, "is unknown", &allowed(words)))
    }

    /// A key or the digest of a token; an error does not show the value, which may be the token.
    pub(crate) fn secret(&self, key: &str) -> Result<Option<Digest>> {
        self.maybe(key, HEX).map_err(|mut error| {
            if let Problem::Value(value, ..) = &mut *error.problem {
                *value = "(secret)".into();
            }
            error
        })
    }

    /// The value of a required key that is one of a few words.
    pub(crate) fn required_choice<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T> {
        let choice = self.choice(key, words)?;
        choice.ok_or_else(|| self.missing(key, &allowed(words)))
    }

    /// The error for a key that is missing: it may be there misspelt.
    pub(crate) fn missing(&self, key: &str, allowed: &str) -> Error {
        let properties = self.reader.ini.section(Some(self.name.as_str()));
        let mut keys = properties.into_iter().flat_map(|all| all.iter());
        match keys.find(|(found, _)| is_misspelt(found, key)) {
            Some((found, _)) => self.error(found, Problem::UnknownKey(key.into())),
            None => self.error(key, Problem::MissingKey(allowed.into())),
        }
    }

    pub(crate) fn invalid(&self, key: &str, value: &str, why: &str, allowed: &str) -> Error {
        self.error(
            key,
            Problem::Value(value.into(), why.into(), allowed.into()),
        )
    }

    pub(crate) fn error(&self, key: &str, problem: Problem) -> Error {
        self.reader.error(&self.name, key, problem)
    }

    /// Fails if the section has a key that was never asked for.
    pub(crate) fn close(self) -> Result<()> {
        let known = self.keys.borrow();
        let Some(properties) = self.reader.ini.section(Some(self.name.as_str())) else {
            return Ok(());
        };
        for (key, _) in properties.iter() {
            if !known.contains(key) {
                let near = nearest(key, &known);
                return Err(self.error(key, Problem::UnknownKey(near)));
            }
        }
        Ok(())
    }
}

/// The line of a key, else of its section, else 0; the last one where there are two.
pub(crate) fn line(text: &str, section: &str, key: &str) -> usize {
    let mut current = "";
    let mut found = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line
            .strip_prefix('[')
            .and_then(|rest| rest.strip_suffix(']'))
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

/// The words of a choice, for errors.
fn allowed<T>(words: &[(&str, T)]) -> String {
    let words: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
    words.join(", ")
}

/// The known word with the smallest edit distance; empty if there is none.
pub(crate) fn nearest(word: &str, known: &BTreeSet<CompactString>) -> CompactString {
    known
        .iter()
        .min_by_key(|candidate| edit_distance(word, candidate))
        .cloned()
        .unwrap_or_default()
}

/// Whether a word is probably meant to be the `wanted` one.
fn is_misspelt(word: &str, wanted: &str) -> bool {
    let distance = edit_distance(word, wanted);
    distance > 0 && distance <= MISSPELT_MAX
}

/// The Levenshtein distance of two words.
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
