//! The table service, with conditional transactions over several rows, and an adapter for the JSON
//! format of the DynamoDB API.

use http::StatusCode;
use serde_json::{Value, json};

use crate::error::{Cause, PlatformError};
use crate::http::{Client, FullRequest, request};

/// The DynamoDB table that holds all rows.
const TABLE: &str = "agateroute";
/// The maximum number of rows in one transaction of the service.
pub const MAX_TRANSACTION_ROWS: usize = 100;

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The partition of the row.
    pub partition: String,
    /// The sort key, unique in the partition.
    pub sort: String,
    /// The tag that conditions compare.
    pub tag: String,
    /// The content of the row, as JSON.
    pub value: String,
    /// The time after which the service may delete the row, in seconds since 1970; 0 for never.
    pub expires: u64,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition<'a> {
    /// The write has no condition.
    Always,
    /// The row does not exist yet.
    Absent,
    /// The row exists with this tag.
    Tag(&'a str),
    /// The row does not exist, or has this tag.
    AbsentOrTag(&'a str),
    /// The row does not exist, or its tag sorts before this one.
    Newer(&'a str),
}

/// A conditional write of a row.
#[derive(Clone, Debug)]
pub struct Write<'a> {
    /// The row to write.
    pub row: &'a Row,
    /// The condition on the row that exists.
    pub condition: Condition<'a>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// All rows of the transaction are written.
    Committed,
    /// No row is written, because at least one condition failed. Holds the reported result of each
    /// write, in order.
    Conflict(Vec<WriteResult>),
}

/// The result of one write of a transaction that failed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteResult {
    /// Whether the condition of this write failed.
    pub failed: bool,
    /// The row that exists, if the service returned it.
    pub row: Option<Row>,
}

/// The functions that encode and decode a table service's wire format. The first argument of those
/// that encode is the service's address.
#[derive(Clone, Copy, Debug)]
pub struct TableAdapter {
    /// Encodes a transaction.
    pub encode_transact: fn(&str, &[Write<'_>]) -> FullRequest,
    /// Decodes the response to a transaction.
    pub decode_transact: fn(StatusCode, &[u8]) -> Result<Outcome, Cause>,
    /// Encodes a read of one row by partition and sort key.
    pub encode_get: fn(&str, &str, &str) -> FullRequest,
    /// Decodes the response to a read of one row; `None` if it does not exist.
    pub decode_get: fn(StatusCode, &[u8]) -> Result<Option<Row>, Cause>,
    /// Encodes a read of the rows of a partition after a sort key, with a limit.
    pub encode_query: fn(&str, &str, &str, usize) -> FullRequest,
    /// Decodes the response to a read of several rows.
    pub decode_query: fn(StatusCode, &[u8]) -> Result<Vec<Row>, Cause>,
}

/// The adapter for the DynamoDB API.
pub const DYNAMO: TableAdapter = TableAdapter {
    encode_transact: dynamo_encode_transact,
    decode_transact: dynamo_decode_transact,
    encode_get: dynamo_encode_get,
    decode_get: dynamo_decode_get,
    encode_query: dynamo_encode_query,
    decode_query: dynamo_decode_query,
};

/// A client of a table service.
#[derive(Clone, Debug)]
pub struct Table {
    /// The adapter for the wire format.
    pub adapter: TableAdapter,
    /// The address of the service, as IP address and port.
    pub address: String,
    /// The HTTP client that calls go through.
    pub client: Client,
}

impl Table {
    /// Writes all rows, or none if any condition fails.
    pub async fn transact(&self, writes: &[Write<'_>]) -> Result<Outcome, PlatformError> {
        let step = "table transaction";
        let request = (self.adapter.encode_transact)(&self.address, writes);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        self.decode(step, (self.adapter.decode_transact)(status, &body))
    }

    /// Reads one row, if it exists.
    pub async fn get(&self, partition: &str, sort: &str) -> Result<Option<Row>, PlatformError> {
        let step = "table read";
        let request = (self.adapter.encode_get)(&self.address, partition, sort);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        self.decode(step, (self.adapter.decode_get)(status, &body))
    }

    /// Reads up to `limit` rows of a partition whose sort keys are greater than `after`.
    pub async fn query(
        &self,
        partition: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let step = "table query";
        let request = (self.adapter.encode_query)(&self.address, partition, after, limit);
        let (status, body) = self.client.call(step, &self.address, request).await?;
        self.decode(step, (self.adapter.decode_query)(status, &body))
    }

    fn decode<T>(&self, step: &'static str, result: Result<T, Cause>) -> Result<T, PlatformError> {
        result.map_err(|cause| PlatformError::new(step, &self.address, cause))
    }
}

fn dynamo(address: &str, action: &str, body: &Value) -> FullRequest {
    let mut request = request("POST", address, "/", body.to_string());
    let target = format!("DynamoDB_20120810.{action}");
    if let Ok(value) = target.parse() {
        request.headers_mut().insert("x-amz-target", value);
    }
    request
}

fn encode_row(row: &Row) -> Value {
    let mut item = json!({
        "pk": {"S": row.partition},
        "sk": {"S": row.sort},
        "tag": {"S": row.tag},
        "value": {"S": row.value},
    });
    if row.expires > 0 {
        item["expires"] = json!({"N": row.expires.to_string()});
    }
    item
}

fn decode_row(item: &Value) -> Option<Row> {
    let text = |key: &str| item.get(key)?.get("S")?.as_str().map(str::to_owned);
    let expires = item.get("expires").and_then(|e| e.get("N")).and_then(Value::as_str);
    Some(Row {
        partition: text("pk")?,
        sort: text("sk")?,
        tag: text("tag")?,
        value: text("value")?,
        expires: expires.and_then(|e| e.parse().ok()).unwrap_or(0),
    })
}

fn dynamo_encode_transact(address: &str, writes: &[Write<'_>]) -> FullRequest {
    let items: Vec<Value> = writes.iter().map(encode_write).collect();
    dynamo(address, "TransactWriteItems", &json!({"TransactItems": items}))
}

fn encode_write(write: &Write<'_>) -> Value {
    let mut put = json!({
        "TableName": TABLE,
        "Item": encode_row(write.row),
        "ReturnValuesOnConditionCheckFailure": "ALL_OLD",
    });
    let (expression, tag) = match write.condition {
        Condition::Always => return json!({"Put": put}),
        Condition::Absent => ("attribute_not_exists(pk)", None),
        Condition::Tag(tag) => ("#tag = :tag", Some(tag)),
        Condition::AbsentOrTag(tag) => ("attribute_not_exists(pk) OR #tag = :tag", Some(tag)),
        Condition::Newer(tag) => ("attribute_not_exists(pk) OR #tag < :tag", Some(tag)),
    };
    put["ConditionExpression"] = json!(expression);
    if let Some(tag) = tag {
        put["ExpressionAttributeNames"] = json!({"#tag": "tag"});
        put["ExpressionAttributeValues"] = json!({":tag": {"S": tag}});
    }
    json!({"Put": put})
}

fn error_cause(status: StatusCode, body: &[u8]) -> Cause {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = value.get("__type").and_then(Value::as_str).unwrap_or_default();
    if kind.ends_with("ThrottlingException") || kind.ends_with("ThroughputExceededException") {
        return Cause::Throttled;
    }
    crate::http::status_cause(status, body)
}

fn parse(status: StatusCode, body: &[u8]) -> Result<Value, Cause> {
    if !status.is_success() {
        return Err(error_cause(status, body));
    }
    serde_json::from_slice(body).map_err(|e| Cause::Decode(e.to_string()))
}

fn dynamo_decode_transact(status: StatusCode, body: &[u8]) -> Result<Outcome, Cause> {
    if status.is_success() {
        return Ok(Outcome::Committed);
    }
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    let kind = value.get("__type").and_then(Value::as_str).unwrap_or_default();
    let reasons = value.get("CancellationReasons").and_then(Value::as_array);
    match reasons {
        Some(reasons) if kind.ends_with("TransactionCanceledException") => {
            let conditional = reasons.iter().any(failed);
            let failures = reasons.iter().map(decode_write_result).collect();
            if conditional { Ok(Outcome::Conflict(failures)) } else { Err(Cause::Throttled) }
        }
        _ => Err(error_cause(status, body)),
    }
}

fn failed(reason: &Value) -> bool {
    reason.get("Code").and_then(Value::as_str) == Some("ConditionalCheckFailed")
}

fn decode_write_result(reason: &Value) -> WriteResult {
    WriteResult { failed: failed(reason), row: reason.get("Item").and_then(decode_row) }
}

fn dynamo_encode_get(address: &str, partition: &str, sort: &str) -> FullRequest {
    let key = json!({"pk": {"S": partition}, "sk": {"S": sort}});
    let body = json!({"TableName": TABLE, "Key": key, "ConsistentRead": true});
    dynamo(address, "GetItem", &body)
}

fn dynamo_decode_get(status: StatusCode, body: &[u8]) -> Result<Option<Row>, Cause> {
    Ok(parse(status, body)?.get("Item").and_then(decode_row))
}

fn dynamo_encode_query(address: &str, partition: &str, after: &str, limit: usize) -> FullRequest {
    let body = json!({
        "TableName": TABLE,
        "KeyConditionExpression": "pk = :pk AND sk > :sk",
        "ExpressionAttributeValues": {":pk": {"S": partition}, ":sk": {"S": after}},
        "Limit": limit,
        "ConsistentRead": true,
    });
    dynamo(address, "Query", &body)
}

fn dynamo_decode_query(status: StatusCode, body: &[u8]) -> Result<Vec<Row>, Cause> {
    let value = parse(status, body)?;
    let items = value.get("Items").and_then(Value::as_array);
    Ok(items.into_iter().flatten().filter_map(decode_row).collect())
}
