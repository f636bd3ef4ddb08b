#pragma once

/// Names that the platform uses on the wire.
namespace cumingauge::platform::words {

// Header fields.
constexpr const char *DeadlineMs = "Deadline-Milliseconds";
constexpr const char *AttemptId = "Attempt-Id";
constexpr const char *NotExecuted = "Not-Executed";
constexpr const char *ServerLoad = "Server-Load";
constexpr const char *ExpectedInstance = "Expected-Instance";
constexpr const char *ResponseSignature = "Response-Signature";

// Calls of the metadata store.
constexpr const char *ReadKey = "/kv-key?key=";
constexpr const char *ReadRange = "/kv-range?prefix=";
/// A tenth of the price of a read; what it shows may be seconds old.
constexpr const char *AllowStale = "&allow-stale=1";
constexpr const char *Watch = "/kv-watch?prefix=";
constexpr const char *Transaction = "/kv-txn";

// Keys of the metadata store.
constexpr const char *ConfigurationKey = "op/config";
constexpr const char *ServersPrefix = "servers/";
constexpr const char *MembersPrefix = "cumingauge/members/";
/// Never written: reading it takes the least that a read can take.
constexpr const char *AbsentKey = "cumingauge/absent";

} // namespace cumingauge::platform::words
