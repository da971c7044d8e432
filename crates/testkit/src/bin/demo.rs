//! `make demo`: a stand-in fleet, the dispatcher and a small steady load on loopback, and a page that follows a job.

use mothproxy_testkit::{DispatcherProcess, FakeDiscovery, FakeWorker, job_request, read_reply};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

const PAGE: &str = r#"<!doctype html><meta charset="utf-8"><title>mothproxy: follow a job</title>
<style>body{font:16px sans-serif;margin:2em;max-width:40em}progress{width:100%}li{font-family:monospace}</style>
<h1>Follow a redeem</h1><p><button id="go">Hand one in</button> <button id="drop">Drop the stream for 2 s</button></p>
<progress id="bar" max="1" value="0"></progress><ol id="log"></ol>
<script>
const front = "FRONT"; let place, source, last = 0;
const say = text => { const li = document.createElement("li"); li.textContent = text; log.append(li); };
function follow() {
  source = new EventSource(front + place + (last ? "&last_event_id=" + last : ""));
  const on = name => source.addEventListener(name, e => {
    if (e.lastEventId) last = e.lastEventId;
    say(e.lastEventId + " " + name + " " + e.data);
    if (name === "progress") bar.value = JSON.parse(e.data).share;
    if (["done", "deny", "failed"].includes(name)) { bar.value = 1; source.close(); }
  });
  ["started", "progress", "missed", "done", "deny", "failed"].forEach(on);
}
go.onclick = async () => {
  log.textContent = ""; bar.value = 0; last = 0; if (source) source.close();
  const id = crypto.randomUUID();
  const answer = await fetch(front + "/redeem", { method: "POST", body: "BODY", headers: {
    "Prefer": "respond-async", "X-Correlation-Id": id, "X-Service-Class": "redeem", "X-Account": "steppe-mart",
    "Idempotency-Key": id } });
  if (answer.status !== 202) return say("answered " + answer.status);
  place = (await answer.json()).stream; say("handed in: " + place.split("?")[0]); follow();
};
drop.onclick = () => { if (source) { source.close(); say("dropped"); setTimeout(follow, 2000); } };
</script>"#;
const BODY: &str = "take pause=300 started pause=700 running=0.2 pause=700 running=0.4 pause=700 running=0.6 pause=700 \
                    running=0.8 pause=700 done=redeemed";

fn serve_page(listener: &TcpListener, page: &str) {
    for mut stream in listener.incoming().flatten() {
        let mut buf = [0; 4096];
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        if stream.read(&mut buf).is_ok_and(|n| n > 0) {
            let head = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nConnection: close\r\n";
            // A browser that left wants no answer.
            let _ =
                stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{page}", page.len()).as_bytes());
        }
    }
}

/// One job on a connection of its own; whether it was served.
fn one(to: SocketAddr, id: &str) -> bool {
    let Ok(mut stream) = TcpStream::connect(to) else { return false };
    let text = job_request(id, "balance", "take started pause=20 done=12.50", "Connection: close\r\n");
    stream.write_all(text.as_bytes()).is_ok()
        && read_reply(&mut stream).is_some_and(|reply| reply.status == 200)
}

fn main() {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        signal_hook::flag::register(signal, stop.clone()).expect("a signal");
    }
    let nodes: Vec<Arc<FakeWorker>> = (0..3).map(|n| FakeWorker::start(&format!("node-{n}"))).collect();
    let rows: Vec<_> = nodes.iter().map(|node| node.endpoint_entry("up")).collect();
    let discovery = FakeDiscovery::start(json!({"generation": 1, "reset": true, "instances": rows}));
    let pages = TcpListener::bind("127.0.0.1:0").expect("a port");
    let origin = format!("http://{}", pages.local_addr().expect("an address"));
    let file = std::env::temp_dir().join(format!("mothproxy-demo-{}.toml", std::process::id()));
    std::fs::write(&file, format!("listen = \"127.0.0.1:0\"\norigins = [\"{origin}\"]\n"))
        .expect("a temporary file");
    let args = [std::ffi::OsStr::new("--sse"), file.as_os_str()];
    let program = DispatcherProcess::builder(&nodes)
        .discovery(discovery.address)
        .args(&args)
        .configure(|config| {
            config["admin_addr"] = json!("127.0.0.1:0");
        })
        .start();
    let _ = std::fs::remove_file(&file);
    let (platform, sse) = (program.platform, program.sse.expect("the SSE front is on"));
    let page = PAGE.replace("FRONT", &format!("http://{sse}")).replace("BODY", BODY);
    std::thread::spawn(move || serve_page(&pages, &page));
    println!("A page that follows a job:  {origin}/");
    println!("Jobs (HTTP):                http://{platform}/balance");
    println!("Jobs and streams (SSE):     http://{sse}/redeem");
    println!(
        "Figures:                    curl http://{}/control/counters",
        program.admin.expect("a second address")
    );
    println!("A stream by hand:");
    println!("  curl -N http://{sse}/redeem -H 'Accept: text/event-stream' -H 'X-Correlation-Id: a1' \\");
    println!(
        "    -H 'X-Service-Class: redeem' -H 'X-Account: steppe-mart' -H 'Idempotency-Key: k1' -d '{BODY}'"
    );
    println!("A steady load of 20 jobs a second runs. Ctrl-C ends it.");
    let (done, served) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let (mut next, mut shown, mut n) = (Instant::now(), Instant::now(), 0u64);
    while !stop.load(Ordering::Relaxed) {
        let (done, served) = (done.clone(), served.clone());
        n += 1;
        std::thread::spawn(move || {
            let well = one(platform, &format!("load-{n}"));
            served.fetch_add(u64::from(well), Ordering::Relaxed);
            done.fetch_add(1, Ordering::Relaxed);
        });
        next += Duration::from_millis(50);
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        if shown.elapsed() >= Duration::from_secs(5) {
            shown = Instant::now();
            report(n, platform, &nodes);
        }
    }
    program.terminate();
    let (clean, _) = program.wait_for_exit();
    let (done, served) = (done.load(Ordering::Relaxed), served.load(Ordering::Relaxed));
    println!("stopped {}: {served} of {done} jobs served", if clean { "cleanly" } else { "with a fault" });
    std::process::exit(i32::from(!clean));
}

fn report(handed: u64, to: SocketAddr, nodes: &[Arc<FakeWorker>]) {
    let shares: Vec<String> = nodes
        .iter()
        .map(|node| format!("{} {}", node.name, node.job_count.load(Ordering::Relaxed)))
        .collect();
    println!("{handed} jobs handed to {to}; taken by {}", shares.join(", "));
}
