//! Frames between instances: the length of the message as a little-endian `u32`, then the message
//! in postcard encoding.

use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use thiserror::Error;

use super::Message;

/// Largest message in a frame, in bytes.
pub const MAX_FRAME_LEN: usize = 4 * 1024 * 1024;

/// Length of the prefix that holds the length of the message, in bytes.
const LENGTH_PREFIX_LEN: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The message is longer than [`MAX_FRAME_LEN`].
    #[error("frame of {0} bytes exceeds the limit of 4 MiB")]
    TooLong(usize),
    /// The message could not be encoded or decoded.
    #[error("cannot encode or decode a message: {0}")]
    Decode(#[from] postcard::Error),
    /// The stream ended or was reset while a frame was read.
    #[error("cannot read from a peer: {0}")]
    Read(#[from] ReadExactError),
    /// The stream was stopped while a frame was written.
    #[error("cannot write to a peer: {0}")]
    Write(#[from] WriteError),
}

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails if the message is longer than [`MAX_FRAME_LEN`].
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut buf = postcard::to_extend(message, vec![0; LENGTH_PREFIX_LEN])?;
    let len = buf.len() - LENGTH_PREFIX_LEN;
    if len > MAX_FRAME_LEN {
        return Err(CodecError::TooLong(len));
    }
    buf[..LENGTH_PREFIX_LEN].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(buf)
}

/// Decodes the message of a frame, without the length prefix.
///
/// # Errors
///
/// Fails if the bytes are not a message.
pub fn decode(buf: &[u8]) -> Result<Message, CodecError> {
    Ok(postcard::from_bytes(buf)?)
}

/// Reads one message from a stream.
///
/// # Errors
///
/// Fails if the stream ends, or if the frame is too long or does not hold a message.
pub async fn read(rx: &mut RecvStream) -> Result<Message, CodecError> {
    let mut length = [0; LENGTH_PREFIX_LEN];
    rx.read_exact(&mut length).await?;
    let len = u32::from_le_bytes(length) as usize;
    if len > MAX_FRAME_LEN {
        return Err(CodecError::TooLong(len));
    }
    let mut buf = vec![0; len];
    rx.read_exact(&mut buf).await?;
    decode(&buf)
}

/// Writes one message to a stream.
///
/// # Errors
///
/// Fails if the message is too long or the peer has stopped the stream.
pub async fn write(tx: &mut SendStream, message: &Message) -> Result<(), CodecError> {
    let buf = encode(message)?;
    tx.write_all(&buf).await?;
    Ok(())
}
