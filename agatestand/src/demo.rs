//! Demonstration of the API from an organisation's view: a stream, a non-repeatable call, its
//! repetition, and a repeatable call.

use std::io::Write;

use agatestand::load::{LoadClient, client};
use bytes::Bytes;
use futures_util::StreamExt;
use http::{Method, Request, header};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use sse_stream::SseStream;

/// Streams a reading, makes an order, repeats it with the same idempotency key, and makes a lookup.
pub async fn run(target: &str, key: &str) -> Result<(), String> {
    let client = client(false);
    let models = call(&client, target, key, Method::GET, "/v1/models", None).await?;
    println!("models: {models}");
    let model = serde_json::from_str::<Value>(&models).ok();
    let model = model.and_then(|m| m.pointer("/data/0/id")?.as_str().map(str::to_owned));
    let model = model.ok_or("the organisation of this key may not use any model")?;
    println!("\na reading by {model}:\n");
    stream(&client, target, key, &model).await?;
    let order = Some("tour-order-1");
    let path = "/v1/services/orders/orders";
    for note in ["an order", "the same order again"] {
        let answer = call(&client, target, key, Method::POST, path, order).await?;
        println!("\n{note}: {answer}");
    }
    let path = "/v1/services/orders/stock/frames?height=40";
    let answer = call(&client, target, key, Method::GET, path, None).await?;
    println!("\na lookup: {answer}");
    Ok(())
}

fn request(
    target: &str,
    key: &str,
    method: Method,
    path: &str,
    idempotency: Option<&str>,
    body: &str,
) -> Result<Request<Full<Bytes>>, String> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{target}{path}"))
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(idempotency) = idempotency {
        builder = builder.header("idempotency-key", idempotency);
    }
    builder.body(Full::from(body.to_owned())).map_err(|e| e.to_string())
}

async fn call(
    client: &LoadClient,
    target: &str,
    key: &str,
    method: Method,
    path: &str,
    idempotency: Option<&str>,
) -> Result<String, String> {
    let request = request(target, key, method, path, idempotency, "{\"frame\":\"heron\"}")?;
    let response = client.request(request).await.map_err(|e| format!("{path}: {e}"))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|e| e.to_string())?.to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_success() { Ok(text) } else { Err(format!("{path}: {status}: {text}")) }
}

async fn stream(client: &LoadClient, target: &str, key: &str, model: &str) -> Result<(), String> {
    let body = json!({
        "model": model,
        "stream": true,
        "messages": [{"role": "user", "content": "An annotated reading of the new pamphlet."}],
    });
    let path = "/v1/chat/completions";
    let request = request(target, key, Method::POST, path, None, &body.to_string())?;
    let response = client.request(request).await.map_err(|e| format!("{path}: {e}"))?;
    if !response.status().is_success() {
        return Err(format!("{path}: {}", response.status()));
    }
    let mut events = SseStream::new(response.into_body());
    while let Some(Ok(event)) = events.next().await {
        let chunk = event.data.and_then(|d| serde_json::from_str::<Value>(&d).ok());
        let content = chunk.as_ref().and_then(|c| c.pointer("/choices/0/delta/content"));
        if let Some(text) = content.and_then(Value::as_str) {
            print!("{text}");
            let _ = std::io::stdout().flush();
        }
    }
    println!();
    Ok(())
}
