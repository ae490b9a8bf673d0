//! Indexes of names across reloads.

/// Merges two lists of names so that each old name keeps its index. Returns the merged list, and the index in it of each
/// new name.
pub fn merge_names(old: &[String], new: &[String]) -> (Vec<String>, Vec<usize>) {
    let mut merged = old.to_vec();
    let index = |name: &String| {
        merged.iter().position(|known| known == name).unwrap_or_else(|| {
            merged.push(name.clone());
            merged.len() - 1
        })
    };
    let indexes = new.iter().map(index).collect();
    (merged, indexes)
}
