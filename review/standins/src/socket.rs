//! Sockets of callers with the segment size and the receive buffer of an ordinary network.
//!
//! Segments of the loopback interface have 64 kB, by which the kernel sizes the send buffer of the other end; over
//! Ethernet they have 1,448 bytes.

use std::{
    ffi::{c_int, c_void},
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
const SO_LINGER: c_int = 13;

const SEGMENT_BYTES: c_int = 1448;
const RECEIVE_BUFFER_BYTES: c_int = 4096;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddrIn, len: u32) -> c_int;
}

/// Connects to an IPv4 address.
pub fn connect_like_ethernet(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let target = SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        zero: [0; 8],
    };
    // SAFETY: the calls get a valid descriptor and pointers to live values of the given sizes.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        for (level, name, value) in [
            (IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES),
            (SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        ] {
            let value = &raw const value;
            if setsockopt(fd, level, name, value.cast(), size_of::<c_int>() as u32) != 0 {
                return Err(io::Error::last_os_error());
            }
        }
        if connect(fd, &raw const target, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

#[repr(C)]
struct Linger {
    on: c_int,
    seconds: c_int,
}

/// Makes the end of a connection a reset, also if other handles of it are open, and ends it.
pub fn reset(stream: &TcpStream) -> io::Result<()> {
    let now = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value lives as long as the call.
    let set = unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            (&raw const now).cast(),
            size_of::<Linger>() as u32,
        )
    };
    if set != 0 {
        return Err(io::Error::last_os_error());
    }
    disconnect(stream)
}

/// Disconnects a socket, which sends a reset at once if its linger time is zero.
fn disconnect(stream: &TcpStream) -> io::Result<()> {
    const AF_UNSPEC: u16 = 0;
    let nowhere = SockAddrIn {
        family: AF_UNSPEC,
        port: 0,
        address: 0,
        zero: [0; 8],
    };
    // SAFETY: the descriptor is open, and the address lives as long as the call.
    let done = unsafe {
        connect(
            stream.as_raw_fd(),
            &raw const nowhere,
            size_of::<SockAddrIn>() as u32,
        )
    };
    if done == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}
