#pragma once

/// Names of the HTTP header fields that callers, entry processes and backend
/// servers exchange.
namespace cumingauge::traffic::headers {

/// From callers and to backend servers: time left for the answer, in ms.
constexpr const char *DeadlineMs = "X-Deadline-Ms";
/// Who the call is charged to; the peer's address when absent.
constexpr const char *Caller = "X-Caller";
/// Identity of the call; made by the entry process when absent.
constexpr const char *CallId = "X-Call-Id";
/// To backend servers: number of this attempt, from 1. A request that arrives
/// with an attempt above 1 is not retried again here.
constexpr const char *Attempt = "X-Attempt";
/// Passed through unchanged.
constexpr const char *IdempotencyKey = "Idempotency-Key";
/// To callers: number and name of the result code, such as "130
/// UnknownDeadline".
constexpr const char *ResultCode = "X-Result-Code";
/// From backend servers with status 503: the call did not run; the value is
/// "shed", "draining" or "cold".
constexpr const char *NotRun = "X-Not-Run";
/// From backend servers: JSON object of model::LoadReport.
constexpr const char *LoadReport = "Endpoint-Load-Metrics-Json";
/// From backend servers: name of the VM that answered.
constexpr const char *ServerVm = "X-Server-Vm";

} // namespace cumingauge::traffic::headers
