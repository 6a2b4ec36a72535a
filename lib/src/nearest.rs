//! Suggestions for misspelt names.

/// Least Jaro-Winkler similarity, from 0 to 1, at which a name is suggested.
const SIMILARITY: f64 = 0.7;

/// Returns the known name that is most similar to `word`, or `None` if no name is similar enough.
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = known
        .into_iter()
        .map(|name| (strsim::jaro_winkler(word, name), name));
    let alike = scored.filter(|(score, _)| *score >= SIMILARITY);
    alike
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, name)| name)
}
