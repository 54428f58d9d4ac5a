//! The cases.

pub mod foreign;
pub mod gone;
pub mod load;
pub mod order;
pub mod quota;
pub mod refused;
