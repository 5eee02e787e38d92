//! Logs and counts requests that are refused for lack of room, and callers that come back.

use agateroute_core::Effect;
use agateroute_core::effect::Refusal;
use opentelemetry::KeyValue;

use crate::telemetry::Telemetry;

/// Logs and counts a refusal for lack of room, or a permit for a caller that was refused before.
pub fn log(telemetry: &Telemetry, effect: &Effect) {
    match *effect {
        Effect::Shed { refusal, delay_ms, returns, asked, remembered, .. } => {
            let reason = if refusal == Refusal::OverShare { "over_share" } else { "no_room" };
            let labels = [KeyValue::new("reason", reason), KeyValue::new("returns", returns)];
            telemetry.shed.add(1, &labels);
            telemetry.stated_delay.record(f64::from(delay_ms) / 1_000.0, &labels);
            telemetry.remembered_denials.add(u64::from(remembered), &[]);
            spdlog::info!("request_shed", kv: {
                reason, delay_ms, returns, asked, remembered
            });
        }
        Effect::ReturnPermitted { late_ms, .. } => {
            telemetry.return_wait.record(late_ms as f64 / 1_000.0, &[]);
            spdlog::info!("return_permitted", kv: { late_ms });
        }
        _ => {}
    }
}
