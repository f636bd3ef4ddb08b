#pragma once

/// Header fields, request targets and keys of the platform's protocols.
namespace cumingauge::platform::wirenames {

// Header fields.
constexpr const char *DeadlineMs = "Deadline-Milliseconds";
constexpr const char *AttemptId = "Attempt-Id";
constexpr const char *Authorization = "Authorization";
constexpr const char *KeyScheme = "Token";
constexpr const char *Tenant = "Tenant";
constexpr const char *NotExecuted = "Not-Executed";
constexpr const char *ServerLoad = "Server-Load";
constexpr const char *ExpectedInstance = "Expected-Instance";
constexpr const char *ServerLeaving = "Server-Leaving";
constexpr const char *RetryAfter = "Retry-After";
constexpr const char *ColdMilliseconds = "Cold-Milliseconds";
constexpr const char *StoreEra = "Store-Era";
constexpr const char *ResponseSignature = "Response-Signature";

// Request targets of the metadata store.
constexpr const char *ReadKey = "/kv-key?key=";
constexpr const char *ReadRange = "/kv-range?prefix=";
/// A read with this flag costs a tenth of a normal read; its result may be
/// seconds old.
constexpr const char *AllowStale = "&allow-stale=1";
constexpr const char *Watch = "/kv-watch?prefix=";
constexpr const char *Transaction = "/kv-txn";

// Keys of the metadata store.
/// Prefix of all that operators write.
constexpr const char *OperatorPrefix = "op/";
constexpr const char *ConfigurationKey = "op/config";
/// Followed by the name of an availability zone.
constexpr const char *EvacuationPrefix = "op/evacuate/";
constexpr const char *ServersPrefix = "servers/";
constexpr const char *MembersPrefix = "cumingauge/members/";
/// Followed by the number of a part.
constexpr const char *CreditClaimsPrefix = "cumingauge/credit/";
/// Never written: reading an absent key is the cheapest read.
constexpr const char *AbsentKey = "cumingauge/absent";

} // namespace cumingauge::platform::wirenames
