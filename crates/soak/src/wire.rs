//! Messages of clients as they go over the wire.

use rmpv::Value;

/// A heartbeat as it goes over the wire.
pub fn heartbeat(number: u64) -> Vec<u8> {
    let parameters = Value::Array(vec![Value::Map(Vec::new())]);
    message(vec![
        0.into(),
        number.into(),
        "heartbeat".into(),
        parameters,
    ])
}

/// Encodes a message of these parts.
pub fn message(parts: Vec<Value>) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory does not fail.
    let _ = rmpv::encode::write_value(&mut bytes, &Value::Array(parts));
    bytes
}
