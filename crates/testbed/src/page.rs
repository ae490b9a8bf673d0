//! Tables in pages.

use std::path::Path;

/// Replaces the text between a page's markers.
///
/// # Errors
///
/// The page cannot be read or written, or has no such markers.
pub fn write_into(page: &Path, marker: &str, table: &str) -> Result<(), String> {
    let (open, close) = (format!("<!-- {marker} -->\n"), format!("<!-- end {marker} -->"));
    let text = std::fs::read_to_string(page).map_err(|e| format!("{}: {e}", page.display()))?;
    let (Some(from), Some(to)) = (text.find(&open), text.find(&close)) else {
        return Err(format!("{}: the markers {} and {close} are not there", page.display(), open.trim()));
    };
    let whole = format!("{}{open}{table}{}", &text[..from], &text[to..]);
    std::fs::write(page, whole).map_err(|e| format!("{}: {e}", page.display()))
}
