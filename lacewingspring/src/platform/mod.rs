//! Clients of the platform's services: the instance list and the key-value service.

pub mod instance_list;
pub mod key_value;
