//! What values measure in the form that the state service counts.
//!
//! Sizes are in bytes and never too small: a value that turned out larger than its limit could not be written.

/// The bytes that a value measures as JSON, with room for the longest way to write a number.
pub fn json_size(value: &ciborium::Value) -> usize {
    use ciborium::Value;
    match value {
        Value::Text(text) => {
            text.len() + 2 + text.chars().filter(|c| matches!(c, '"' | '\\')).count()
        }
        Value::Array(list) => 2 + list.iter().map(|item| json_size(item) + 1).sum::<usize>(),
        Value::Map(map) => {
            let entries = map.iter().map(|(k, v)| json_size(k) + json_size(v) + 2);
            2 + entries.sum::<usize>()
        }
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(number) => number.to_string().len() + 2,
        _ => 5,
    }
}

/// The decimal digits of a number.
pub(super) fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}
