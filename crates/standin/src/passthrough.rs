//! The plainest pass-through that the same libraries allow: what the latency of entry is
//! compared with. It decides nothing, checks nothing and records nothing.

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

/// Starts a pass-through to a target.
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
                log::warn!("passthrough: {error}");
                return Ok(reply::status(StatusCode::BAD_GATEWAY));
            }
        };
        let (parts, body) = response.into_parts();
        let (ended, end) = oneshot::channel::<()>();
        let client = Arc::clone(&self.client);
        // The connection is free once the body was read to its end, which drops the sender.
        tokio::spawn(async move {
            let _ = end.await;
            if connection.ready().await.is_ok() {
                client.return_connection(connection);
            }
        });
        let body = body.map_frame(move |frame| {
            let _held = &ended;
            frame
        });
        Ok(Response::from_parts(parts, body.map_err(|_| Cut).boxed_unsync()))
    }
}
