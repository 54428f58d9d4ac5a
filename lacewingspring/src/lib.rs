//! Daemon of lacewingspring.

pub mod platform;
