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
constexpr const char *Watch = "/kv-watch?prefix=";
constexpr const char *Transaction = "/kv-txn";

// Keys of the metadata store.
constexpr const char *ConfigurationKey = "op/config";
constexpr const char *ServersPrefix = "servers/";
constexpr const char *MembersPrefix = "cumingauge/members/";

} // namespace cumingauge::platform::words
