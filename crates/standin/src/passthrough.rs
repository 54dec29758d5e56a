//! The simplest reverse proxy that the same libraries allow, as the baseline for the latency of an
//! entry host. It decides nothing, checks nothing and records nothing.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;

use crate::client::Client;
use crate::reply;
use crate::server::{self, Body, Cut, Handler, Running};

/// A pass-through's state.
pub struct Passthrough {
    client: Arc<Client>,
}

/// Starts a pass-through that sends each request to a target and returns its answer.
///
/// # Errors
/// When the address can't be listened on.
pub fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Running<Passthrough>> {
    server::start(listen, Passthrough { client: Arc::new(Client::new(target)) })
}

impl Handler for Passthrough {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        let request = request.map(|body| body.map_err(|_| Cut).boxed_unsync());
        let (response, mut connection) = match self.client.send(request).await {
            Ok(answered) => answered,
            Err(error) => {
                log::warn!("passthrough: no answer from the target: {error}");
                return Ok(reply::status(StatusCode::BAD_GATEWAY));
            }
        };
        let (parts, body) = response.into_parts();
        let (ended, end) = oneshot::channel::<()>();
        let client = Arc::clone(&self.client);
        // The connection can be reused once the body, and with it the sender `ended`, is dropped.
        tokio::spawn(async move {
            let _ = end.await;
            if connection.ready().await.is_ok() {
                client.return_connection(connection);
            }
        });
        let body = body.map_frame(move |frame| {
            let _ended = &ended;
            frame
        });
        Ok(Response::from_parts(parts, body.map_err(|_| Cut).boxed_unsync()))
    }
}
