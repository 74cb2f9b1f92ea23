use socket2::SockRef;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

/// Makes the kernel reset the connection when its last handle is dropped.
pub(super) fn set_reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Ends a connection in the ordinary way, unless it is to be reset.
pub(super) fn close(stream: &TcpStream) -> io::Result<()> {
    if SockRef::from(stream).linger()? == Some(Duration::ZERO) {
        return Ok(());
    }
    stream.shutdown(Shutdown::Both)
}
