//! Listens for HTTP connections within the room of their clients.

use std::fmt;
use std::future::ready;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::{
    ConnectionType, HttpMessage, HttpService, Payload, Request, Response, StatusCode, header,
};
use actix_rt::net::TcpStream;
use actix_server::{Server, ServerBuilder};
use actix_service::{
    IntoServiceFactory, Service, ServiceFactory, ServiceFactoryExt, apply_fn_factory, fn_service,
    map_config,
};
use actix_web::body::{BodySize, BoxBody, MessageBody};
use actix_web::dev::AppConfig;
use bytes::Bytes;
use tokio::net::TcpSocket;

use crate::connection::{BoundedStream, ConnectionHandle, HEAD_TIMEOUT, LINGER_TIMEOUT};
use crate::intake::ClientIntake;

/// Most connections that wait to be accepted on one address.
const BACKLOG: u32 = 1_024;
/// Bytes that the system buffers for a connection of a client that is not under control; it
/// reserves twice as many. A body of 256 KB needs 8 round trips. Without a bound the system lets
/// the buffer grow to several megabytes while the process is busy.
pub const RECEIVE_BUFFER_BYTES: u32 = 32_768;

/// Opens a listener, whose connections buffer at most `receive_buffer` bytes, if given.
///
/// # Errors
/// An error if the address cannot be used.
pub fn bind(address: SocketAddr, receive_buffer: Option<u32>) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive_buffer {
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)?.into_std()
}

/// Connections of each thread that may be closing while as many others are open as are admitted.
const CLOSING_CONNECTIONS: usize = 16;

/// An HTTP server whose listeners each have an application and an intake of their own.
pub struct BoundedServer {
    builder: ServerBuilder,
}

impl fmt::Debug for BoundedServer {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("BoundedServer").finish_non_exhaustive()
    }
}

impl BoundedServer {
    /// Creates a server with so many threads for so many connections of all listeners.
    ///
    /// The intakes decide which connections are admitted. The server's limit only bounds the
    /// descriptors while connections arrive faster than that is decided: it stops all listeners.
    #[must_use]
    pub fn new(threads: usize, max_connections: u64, shutdown_timeout: Duration) -> Self {
        let connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
        let builder = Server::build()
            .workers(threads)
            .max_concurrent_connections(connections.div_ceil(threads) + CLOSING_CONNECTIONS)
            .disable_signals()
            .shutdown_timeout(shutdown_timeout.as_secs());
        Self { builder }
    }

    /// Starts the server.
    pub fn run(self) -> Server {
        self.builder.run()
    }

    /// Adds a listener with an application.
    ///
    /// # Errors
    /// An error if the listener cannot be used.
    pub fn listen<F, I, S, B>(
        self,
        listener: TcpListener,
        intake: &ClientIntake,
        keep_alive: Duration,
        factory: F,
    ) -> io::Result<Self>
    where
        F: Fn() -> I + Send + Clone + 'static,
        I: IntoServiceFactory<S, Request>,
        S: ServiceFactory<Request, Config = AppConfig> + 'static,
        S::Error: Into<actix_web::Error> + 'static,
        S::InitError: fmt::Debug,
        S::Response: Into<Response<B>> + 'static,
        S::Service: 'static,
        <S::Service as Service<Request>>::Future: 'static,
        B: MessageBody + Unpin + 'static,
    {
        let builder = self.builder;
        let signal = builder.graceful_shutdown_signal();
        let table = intake.connections.clone();
        let builder = builder.listen(intake.clients, listener, move || {
            let (signal, table) = (signal.clone(), table.clone());
            let application = factory()
                .into_factory()
                .map_err(|error| Response::from(error.into().error_response()));
            let tracked = apply_fn_factory(
                map_config(application, |()| AppConfig::default()),
                |mut request: Request, service: &_| {
                    let connection = request.conn_data::<ConnectionHandle>().cloned();
                    let accepted = connection.as_ref().is_none_or(|connection| {
                        connection.begin() && (!has_no_body(&mut request) || connection.serve())
                    });
                    let answer = accepted.then(|| Service::call(service, request));
                    async move {
                        let Some(answer) = answer else { return Err(build_refusal()) };
                        let mut response: Response<B> = answer.await?.into();
                        if connection.as_ref().is_some_and(ConnectionHandle::finish) {
                            response.head_mut().set_connection_type(ConnectionType::Close);
                        }
                        Ok(response.map_body(|_, body| TrackedBody { body, connection }))
                    }
                },
            );
            let http = HttpService::build()
                .graceful_shutdown_signal(move || {
                    let signal = signal.clone();
                    async move { signal.notified().await }
                })
                .keep_alive(keep_alive)
                .client_request_timeout(HEAD_TIMEOUT)
                .client_disconnect_timeout(LINGER_TIMEOUT)
                .on_connect_ext(|io: &BoundedStream, extensions| {
                    extensions.insert(io.handle());
                })
                .h1(tracked);
            fn_service(move |io: TcpStream| {
                let peer = io.peer_addr().ok();
                ready(table.admit(io).map(|stream| (stream, peer)).map_err(Into::into))
            })
            .and_then(http)
        })?;
        Ok(Self { builder })
    }
}

/// Body of an answer, which tells its connection when it is encoded: it is dropped then.
struct TrackedBody<B> {
    body: B,
    connection: Option<ConnectionHandle>,
}

impl<B: MessageBody + Unpin> MessageBody for TrackedBody<B> {
    type Error = B::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_output();
        }
    }
}

/// Builds the answer to a complete request whose connection was given up before a handler took it.
fn build_refusal() -> Response<BoxBody> {
    Response::build(StatusCode::SERVICE_UNAVAILABLE)
        .force_close()
        .insert_header((header::RETRY_AFTER, "1"))
        .insert_header(("x-outcome", "not-run"))
        .finish()
        .map_into_boxed_body()
}

/// Returns whether a request has no body; its handler need not read one then.
fn has_no_body(request: &mut Request) -> bool {
    matches!(request.payload(), Payload::None)
        || request.headers().get(header::CONTENT_LENGTH).is_some_and(|length| length == "0")
}
