//! Deterministic answers and cache block hashes, both derived from the prompt alone.

use sha2::{Digest, Sha256};

use crate::hex8;

/// Size of a block of the prefix cache, in words; a word counts as a token.
pub const BLOCK_WORDS: usize = 64;

/// Complete answer of `n` tokens to a prompt, for tests to compare with.
pub fn answer(prompt: &str, n: u64) -> String {
    let sha8 = sha8(prompt);
    (0..n).map(|i| token(i, &sha8)).collect()
}

/// First 8 hexadecimal digits of the SHA-256 of a prompt.
pub fn sha8(prompt: &str) -> String {
    hex8(&Sha256::digest(prompt))
}

/// Token at index `i` of the answer to the prompt whose `sha8` is given.
pub fn token(i: u64, sha8: &str) -> String {
    format!("w{i}-{sha8} ")
}

/// Chained hashes of the full blocks of a prompt: each covers its block and the preceding hash. An
/// incomplete last block has none.
pub fn block_hashes(prompt: &str) -> Vec<String> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hashes: Vec<String> = Vec::new();
    for block in words.chunks_exact(BLOCK_WORDS) {
        let parent = hashes.last().map_or("", String::as_str);
        let digest = Sha256::new().chain_update(parent).chain_update(block.join(" ")).finalize();
        hashes.push(hex8(&digest[..4]) + &hex8(&digest[4..]));
    }
    hashes
}
