//! Frame codec between instances: a length of four bytes, little endian, then the message in
//! postcard encoding.

use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use thiserror::Error;

use super::Message;

/// Largest frame, in bytes.
pub const MAX_FRAME_LEN: usize = 4 * 1024 * 1024;

/// Bytes of the length before a frame.
const LENGTH_LEN: usize = 4;

/// Why a frame could not be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is longer than the limit.
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    /// The frame holds no message.
    #[error("a frame could not be decoded: {0}")]
    Decode(#[from] postcard::Error),
    /// The stream was cut while reading.
    #[error("reading from a peer: {0}")]
    Read(#[from] ReadExactError),
    /// The stream was cut while writing.
    #[error("writing to a peer: {0}")]
    Write(#[from] WriteError),
}

/// Encodes one frame.
///
/// # Errors
///
/// Fails when the message is longer than the limit.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    let mut buf = postcard::to_extend(message, vec![0; LENGTH_LEN])?;
    let len = buf.len() - LENGTH_LEN;
    if len > MAX_FRAME_LEN {
        return Err(CodecError::TooLong(len));
    }
    buf[..LENGTH_LEN].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(buf)
}

/// Decodes the message of one frame, without its length.
///
/// # Errors
///
/// Fails when the bytes are no message.
pub fn decode(buf: &[u8]) -> Result<Message, CodecError> {
    Ok(postcard::from_bytes(buf)?)
}

/// Reads one message from a stream.
///
/// # Errors
///
/// Fails when the stream ends or the frame is unsound.
pub async fn read(rx: &mut RecvStream) -> Result<Message, CodecError> {
    let mut length = [0; LENGTH_LEN];
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
/// Fails when the stream was cut.
pub async fn write(tx: &mut SendStream, message: &Message) -> Result<(), CodecError> {
    let buf = encode(message)?;
    tx.write_all(&buf).await?;
    Ok(())
}
