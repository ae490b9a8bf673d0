//! Indexes of names across reloads.

/// The union of two lists of names, in which each old name keeps its index, and the index of each new name in it.
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
