//! Detection of keys that a new settings file lacks.

use serde_json::Value;
use std::mem::discriminant;

/// Returns the keys of the present file that the newer one lacks or that have a value of another type there, as paths such
/// as `settings.classes[1].deadlineMs`. A file that was truncated, or has lost a line in an edit, must not make the process
/// fall back to defaults.
///
/// In a list of objects, each new element needs the keys that all present elements have.
pub fn missing_keys(present: &Value, newer: &Value) -> Vec<String> {
    let mut missing = Vec::new();
    compare("", present, newer, &mut missing);
    missing
}

fn compare(path: &str, present: &Value, newer: &Value, missing: &mut Vec<String>) {
    match (present, newer) {
        (Value::Null, _) => {}
        (Value::Object(present), Value::Object(newer)) => {
            for (key, value) in present {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match newer.get(key) {
                    Some(newer) => compare(&path, value, newer, missing),
                    None if value.is_null() => {}
                    None => missing.push(path),
                }
            }
        }
        (Value::Array(present), Value::Array(newer)) => {
            let Some(common) = common_keys(present) else { return };
            for (index, newer) in newer.iter().enumerate() {
                compare(&format!("{path}[{index}]"), &common, newer, missing);
            }
        }
        _ if discriminant(present) == discriminant(newer) => {}
        _ => missing.push(format!("{path} (value of another type)")),
    }
}

/// The keys that all objects of a list have with the same type of value; `None` if the list is empty or has an element that
/// is not an object.
fn common_keys(list: &[Value]) -> Option<Value> {
    let mut objects = list.iter().map(Value::as_object);
    let mut common = objects.next()??.clone();
    for object in objects {
        let object = object?;
        common.retain(|key, value| {
            object.get(key).is_some_and(|other| discriminant(other) == discriminant(&*value))
        });
    }
    Some(Value::Object(common))
}
