//! The size of values as the state service measures it.
//!
//! Sizes are in bytes and never underestimated: a value that turned out larger than the limit could
//! not be written.

/// The size of a value as JSON in bytes, assuming the longest form of each number.
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

/// The number of decimal digits of a number.
pub(super) fn decimal_digits(number: u64) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}
