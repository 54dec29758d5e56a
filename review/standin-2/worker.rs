//! Workers as PROTOCOL.md tells them, and their entries in the store.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::hosts;
use crate::http::{Conn, Head};
use crate::record::Record;
use crate::store::Store;

/// `heartbeatMs` of the deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How soon a worker that crashes at a request does so.
const CRASH_DELAY: Duration = Duration::from_millis(20);

/// What the workers of a service do beside their usual work.
#[derive(Clone, Default)]
pub struct Manner {
    /// A request with this body crashes the worker that begins to run it.
    pub deadly: Option<String>,
    /// How long a worker that has crashed is away.
    pub away: Duration,
    /// Events of a stream, and the time between them.
    pub events: u64,
    pub gap: Duration,
}

/// A run of a request that crashed its worker.
#[derive(Clone, Debug)]
pub struct Crash {
    pub at: Instant,
}

pub struct Worker {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    number: usize,
    slots: u32,
    starts: AtomicU64,
    running: AtomicU64,
    is_alive: AtomicBool,
    is_listening: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

pub struct Workers {
    pub all: Vec<Arc<Worker>>,
    pub crashes: Mutex<Vec<Crash>>,
    store: Arc<Store>,
    record: Arc<Record>,
    manner: Manner,
    began: Instant,
}

impl Worker {
    fn id(&self) -> String {
        format!("i-{:02}x{}", self.number, self.starts.load(Ordering::SeqCst))
    }
}

impl Workers {
    pub fn new(store: &Arc<Store>, record: &Arc<Record>, manner: Manner) -> Self {
        let (store, record) = (Arc::clone(store), Arc::clone(record));
        Self {
            all: Vec::new(),
            crashes: Mutex::default(),
            store,
            record,
            manner,
            began: Instant::now(),
        }
    }

    pub fn add(&mut self, service: &str, zone: &str, slots: u32) {
        let address = hosts::free();
        self.all.push(Arc::new(Worker {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            number: self.all.len(),
            slots,
            starts: AtomicU64::new(0),
            running: AtomicU64::new(0),
            is_alive: AtomicBool::new(false),
            is_listening: AtomicBool::new(false),
            channels: Mutex::default(),
        }));
    }

    /// Starts all workers. They listen and lie in the store when this returns.
    pub fn start(self) -> Arc<Self> {
        let workers = Arc::new(self);
        for worker in &workers.all {
            workers.boot(worker);
        }
        workers
    }

    /// How long ago the last heartbeat of all workers was: they were started together.
    pub fn since_heartbeat(&self) -> Duration {
        let beats = self.began.elapsed().as_millis() / HEARTBEAT.as_millis();
        self.began.elapsed() - HEARTBEAT * u32::try_from(beats).unwrap_or(0)
    }

    fn boot(self: &Arc<Self>, worker: &Arc<Worker>) {
        let Ok(listener) = TcpListener::bind(worker.address) else {
            self.record.line(&format!("worker {} can't listen again", worker.address));
            return;
        };
        listener.set_nonblocking(true).expect("a listener");
        worker.starts.fetch_add(1, Ordering::SeqCst);
        worker.is_alive.store(true, Ordering::SeqCst);
        worker.is_listening.store(true, Ordering::SeqCst);
        let start = worker.starts.load(Ordering::SeqCst);
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":{born}}}",
            worker.service, worker.address, worker.zone, worker.slots
        );
        self.store.put("servers", &worker.id(), Some(&entry));
        self.record.line(&format!("worker {} of {} listens", worker.id(), worker.zone));
        let (all, own) = (Arc::clone(self), Arc::clone(worker));
        std::thread::spawn(move || {
            while own.is_alive.load(Ordering::SeqCst) && own.starts.load(Ordering::SeqCst) == start
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            own.channels.lock().unwrap().push(copy);
                        }
                        let (all, own) = (Arc::clone(&all), Arc::clone(&own));
                        std::thread::spawn(move || all.serve(&own, Conn::new(stream)));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            own.is_listening.store(false, Ordering::SeqCst);
        });
    }

    /// A crash: the worker's port is closed and its channels end. Its entry goes three heartbeats
    /// after the last one. The worker is back some seconds later, under a new id.
    fn crash(self: &Arc<Self>, worker: &Arc<Worker>, request: &str) {
        if !worker.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        let id = worker.id();
        let crash = Crash { at: Instant::now() };
        self.record.line(&format!("worker {id} crashes at request {request}"));
        self.crashes.lock().unwrap().push(crash);
        // As when a process ends: nothing listens any more when its channels end.
        while worker.is_listening.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let last_beat = self.since_heartbeat();
        for channel in worker.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
        let (all, worker) = (Arc::clone(self), Arc::clone(worker));
        let entry_stays = (3 * HEARTBEAT).saturating_sub(last_beat);
        let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
        std::thread::spawn(move || {
            std::thread::sleep(entry_stays);
            store.put("servers", &id, None);
            record.line(&format!("entry of worker {id} removed"));
        });
        std::thread::spawn(move || {
            std::thread::sleep(all.manner.away);
            all.boot(&worker);
        });
    }

    fn serve(self: &Arc<Self>, worker: &Arc<Worker>, mut conn: Conn) {
        while let Some(head) = conn.head() {
            let (body, is_whole) = conn.body(&head, false);
            if !is_whole {
                return;
            }
            let path = head.word(1).to_owned();
            let is_kept = match path.split('?').next().unwrap_or("") {
                "/health" => conn.write(&format!(
                    "HTTP/1.1 200 OK\r\nChestnutspur-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    worker.id()
                )),
                path if path.starts_with("/chestnutspur/") => report(worker, &mut conn, path),
                _ => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    self.work(worker, &mut conn, &head, &body)
                }
            };
            if !is_kept {
                return;
            }
        }
    }

    fn work(
        self: &Arc<Self>,
        worker: &Arc<Worker>,
        conn: &mut Conn,
        head: &Head,
        body: &str,
    ) -> bool {
        let id = worker.id();
        let request = head.get("Chestnutspur-Request-Id").unwrap_or("").to_owned();
        if head.get("Chestnutspur-Expect-Instance").is_some_and(|expected| expected != id) {
            return conn.write(&format!(
                "HTTP/1.1 421 X\r\nChestnutspur-Request-Id: {request}\r\n\
                 Chestnutspur-Instance-Id: {id}\r\nChestnutspur-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            ));
        }
        if self.manner.deadly.as_deref() == Some(body) {
            self.record.line(&format!("worker {id} begins to run deadly request {request}"));
            std::thread::sleep(CRASH_DELAY);
            self.crash(worker, &request);
            return false;
        }
        let running = worker.running.fetch_add(1, Ordering::SeqCst) + 1;
        let begun = conn.write(&format!(
            "HTTP/1.1 200 OK\r\nChestnutspur-Request-Id: {request}\r\n\
             Chestnutspur-Response-Signature: s.{request}\r\nContent-Type: text/event-stream\r\n\
             Chestnutspur-Weight-Versions: 1\r\nChestnutspur-Server-Load: {running},0,{}\r\n\
             Transfer-Encoding: chunked\r\n\r\n",
            worker.slots
        ));
        let first = head.get("Last-Event-Id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let mut is_kept = begun;
        for number in first + 1..=self.manner.events {
            if !is_kept {
                break;
            }
            std::thread::sleep(self.manner.gap);
            let event = format!("id: {number}\ndata: {request} {number}\n\n");
            is_kept = conn.write(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        worker.running.fetch_sub(1, Ordering::SeqCst);
        is_kept && conn.write("0\r\n\r\n")
    }
}

/// The calls of engines that a host makes beside requests.
fn report(worker: &Worker, conn: &mut Conn, path: &str) -> bool {
    let running = worker.running.load(Ordering::SeqCst);
    let body = match path {
        "/chestnutspur/report" => format!(
            "{{\"stage\":\"combined\",\"models\":[],\"busy\":false,\"sequence\":1,\"numWaiting\":0,\
             \"numRunning\":{running},\"kvUsed\":0,\"kvTotal\":545774,\"handles\":0}}"
        ),
        "/chestnutspur/kv-events" => {
            std::thread::sleep(Duration::from_millis(1_000));
            "{\"epoch\":1,\"next\":1,\"lost\":false,\"events\":[]}".to_owned()
        }
        "/chestnutspur/kv-list" => "{\"epoch\":1,\"next\":1,\"held\":[]}".to_owned(),
        _ => return conn.write("HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n"),
    };
    conn.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    ))
}
