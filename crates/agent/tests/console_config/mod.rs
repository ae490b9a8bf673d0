//! The configuration of an agent with an admin console.

use serde_json::{json, Value};
use testbed::*;

/// A configuration with an admin console.
pub fn operated(directory: &Directory, hosts: &[Value]) -> Value {
    let mut config = config(directory.address, hosts);
    config["console"] = json!("127.0.0.1:0");
    config
}
