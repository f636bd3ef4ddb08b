#include "adapters/metricspage.h"
#include <fstream>
#include <limits>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

namespace cumingauge::adapters {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr double MicrosPerSecond = 1e6;
constexpr double MsPerSecond = 1e3;

MetricFamily makeFamily(const char *Name, const char *Help, MetricType Type) {
  MetricFamily Family;
  Family.name = Name;
  Family.help = Help;
  Family.type = Type;
  return Family;
}

void addValue(MetricFamily &Family, double Value,
              std::vector<ClientMetric::Label> Labels = {}) {
  ClientMetric Metric;
  Metric.label = std::move(Labels);
  if (Family.type == MetricType::Counter)
    Metric.counter.value = Value;
  else
    Metric.gauge.value = Value;
  Family.metric.push_back(std::move(Metric));
}

MetricFamily counter(const char *Name, const char *Help, double Value) {
  MetricFamily Family = makeFamily(Name, Help, MetricType::Counter);
  addValue(Family, Value);
  return Family;
}

MetricFamily gauge(const char *Name, const char *Help, double Value) {
  MetricFamily Family = makeFamily(Name, Help, MetricType::Gauge);
  addValue(Family, Value);
  return Family;
}

MetricFamily counterByDirection(const char *Name, const char *Help, double Sent,
                                double Received) {
  MetricFamily Family = makeFamily(Name, Help, MetricType::Counter);
  addValue(Family, Sent, {{"direction", "sent"}});
  addValue(Family, Received, {{"direction", "received"}});
  return Family;
}

MetricFamily callsFamily(const traffic::TrafficStats &Traffic) {
  MetricFamily Family = makeFamily("cumingauge_calls_total",
                                   "Calls that ended, by route and result code",
                                   MetricType::Counter);
  for (const auto &[Route, Stats] : Traffic.Routes_)
    for (const auto &[Code, Count] : Stats.Calls_)
      addValue(Family, static_cast<double>(Count),
               {{"route", Route},
                {"code", std::to_string(static_cast<int>(Code))},
                {"name", std::string(model::nameOf(Code))}});
  return Family;
}

ClientMetric::Histogram latencyHistogram(const traffic::LatencyHistogram &Of) {
  ClientMetric::Histogram Out;
  std::uint64_t Cumulative = 0;
  for (std::size_t I = 0; I < Of.Buckets_.size(); ++I) {
    Cumulative += Of.Buckets_[I];
    const bool IsLast = I == traffic::LatencyBucketBounds.size();
    const double Bound =
        IsLast ? std::numeric_limits<double>::infinity()
               : static_cast<double>(traffic::LatencyBucketBounds[I].count()) /
                     MicrosPerSecond;
    ClientMetric::Bucket Bucket;
    Bucket.cumulative_count = Cumulative;
    Bucket.upper_bound = Bound;
    Out.bucket.push_back(Bucket);
  }
  Out.sample_count = Cumulative;
  Out.sample_sum = static_cast<double>(Of.SumMicros_) / MicrosPerSecond;
  return Out;
}

MetricFamily latencyFamily(const traffic::TrafficStats &Traffic) {
  MetricFamily Family = makeFamily("cumingauge_call_duration_seconds",
                                   "Time from arrival to the end of the answer",
                                   MetricType::Histogram);
  for (const auto &[Route, Stats] : Traffic.Routes_) {
    ClientMetric Metric;
    Metric.label = {{"route", Route}};
    Metric.histogram = latencyHistogram(Stats.Latencies_);
    Family.metric.push_back(std::move(Metric));
  }
  return Family;
}

/// Label of an answer to a request for credit.
const char *labelOf(control::CreditAnswer Answer) {
  switch (Answer) {
  case control::CreditAnswer::Granted:
    return "granted";
  case control::CreditAnswer::Refused:
    return "refused";
  case control::CreditAnswer::Unknown:
    break;
  }
  return "unknown";
}

void addCredit(const traffic::CreditStats &Credit,
               std::vector<MetricFamily> &Out) {
  MetricFamily Answers = makeFamily(
      "cumingauge_credit_answers_total",
      "Answers to requests for the credit of a call", MetricType::Counter);
  for (const auto &[Answer, Count] : Credit.Answers_)
    addValue(Answers, static_cast<double>(Count),
             {{"answer", labelOf(Answer)}});
  Out.push_back(std::move(Answers));
  MetricFamily Waits =
      makeFamily("cumingauge_credit_wait_seconds",
                 "Time that calls waited for credit", MetricType::Histogram);
  Waits.metric.emplace_back();
  Waits.metric.back().histogram = latencyHistogram(Credit.Waits_);
  Out.push_back(std::move(Waits));
  Out.push_back(gauge("cumingauge_calls_waiting_for_credit",
                      "Calls that wait for credit",
                      static_cast<double>(Credit.Waiting_)));
  Out.push_back(counter("cumingauge_credit_waits_ended_total",
                        "Waits for credit that ended without an answer",
                        static_cast<double>(Credit.EndedWaits_)));
  Out.push_back(counter("cumingauge_credit_waits_refused_total",
                        "Calls refused as too many waited for credit",
                        static_cast<double>(Credit.RefusedWaits_)));
  Out.push_back(counter("cumingauge_unused_credit_total",
                        "Credit granted to calls that had ended",
                        static_cast<double>(Credit.UnusedGrants_)));
}

MetricFamily faultyAnswersFamily(const traffic::TrafficStats &Traffic) {
  MetricFamily Family = makeFamily(
      "cumingauge_faulty_answers_total",
      "Answers of backend servers that were refused or broke off, by fault",
      MetricType::Counter);
  for (const auto &[Key, Count] : Traffic.FaultyAnswers_)
    addValue(Family, static_cast<double>(Count),
             {{"server", Key.first},
              {"fault", boost::describe::enum_to_string(Key.second, "")}});
  return Family;
}

MetricFamily evictionFamily(const traffic::TrafficStats &Traffic) {
  MetricFamily Family =
      makeFamily("cumingauge_caller_connections_evicted_total",
                 "Connections of callers that were ended to make room",
                 MetricType::Counter);
  for (const auto &[Use, Count] : Traffic.Evicted_)
    addValue(Family, static_cast<double>(Count), {{"use", Use}});
  return Family;
}

MetricFamily connectionEndsFamily(const traffic::TrafficStats &Traffic) {
  MetricFamily Family = makeFamily("cumingauge_caller_connections_closed_total",
                                   "Ended connections of callers, by reason",
                                   MetricType::Counter);
  for (const auto &[End, Count] : Traffic.ConnectionEnds_)
    addValue(Family, static_cast<double>(Count),
             {{"reason", boost::describe::enum_to_string(End, "")}});
  return Family;
}

MetricFamily storeCallsFamily(const StoreCallCounts &Calls) {
  MetricFamily Family =
      makeFamily("cumingauge_store_calls_total",
                 "Ended calls to the platform's service, watches included",
                 MetricType::Counter);
  for (const auto &[Kind, Count] : Calls)
    addValue(Family, static_cast<double>(Count),
             {{"call", Kind.first}, {"code", Kind.second}});
  return Family;
}

void addTraffic(const traffic::TrafficStats &Traffic,
                std::vector<MetricFamily> &Out) {
  const auto ToDouble = [](std::uint64_t N) { return static_cast<double>(N); };
  Out.push_back(callsFamily(Traffic));
  Out.push_back(latencyFamily(Traffic));
  Out.push_back(gauge("cumingauge_calls_in_flight",
                      "Calls under way at backend servers",
                      ToDouble(Traffic.InFlight_)));
  Out.push_back(gauge("cumingauge_calls_queued", "Calls waiting in the queue",
                      ToDouble(Traffic.Queued_)));
  Out.push_back(gauge("cumingauge_caller_connections",
                      "Open connections of callers",
                      ToDouble(Traffic.CallerConnections_)));
  Out.push_back(gauge("cumingauge_backend_connections",
                      "Open connections to backend servers",
                      ToDouble(Traffic.BackendConnections_)));
  Out.push_back(counter("cumingauge_attempts_total",
                        "Attempts sent to backend servers",
                        ToDouble(Traffic.Attempts_)));
  Out.push_back(counter("cumingauge_retries_total",
                        "Attempts that followed a failed one",
                        ToDouble(Traffic.Retries_)));
  Out.push_back(counter("cumingauge_hedges_total",
                        "Attempts sent beside a running one",
                        ToDouble(Traffic.Hedges_)));
  Out.push_back(counter("cumingauge_withdrawn_attempts_total",
                        "Attempts withdrawn before a byte was sent",
                        ToDouble(Traffic.Withdrawn_)));
  Out.push_back(counter("cumingauge_probes_total",
                        "Probes sent to backend servers",
                        ToDouble(Traffic.ProbesSent_)));
  Out.push_back(counter("cumingauge_probe_failures_total",
                        "Probes that brought no report",
                        ToDouble(Traffic.ProbesFailed_)));
  Out.push_back(counter("cumingauge_stopping_calls_total",
                        "Ended calls that arrived while the process stops",
                        ToDouble(Traffic.StoppingCalls_)));
  Out.push_back(counter("cumingauge_abandoned_calls_total",
                        "Calls not answered when the process ended",
                        ToDouble(Traffic.AbandonedCalls_)));
  Out.push_back(gauge("cumingauge_servers_announced_leaving",
                      "Servers without new calls that announced their leaving",
                      ToDouble(Traffic.AnnouncedLeaving_)));
  Out.push_back(gauge("cumingauge_servers_paused",
                      "Servers without new calls that asked for a pause",
                      ToDouble(Traffic.PausedServers_)));
  Out.push_back(gauge("cumingauge_cold_servers",
                      "Cold servers with a limit on their calls",
                      ToDouble(Traffic.ColdServers_)));
  Out.push_back(gauge("cumingauge_cold_servers_closed",
                      "Cold servers that this process must not call",
                      ToDouble(Traffic.ColdServersClosed_)));
  Out.push_back(counter("cumingauge_unreadable_notices_total",
                        "Answers with an invalid leaving or pause field",
                        ToDouble(Traffic.UnreadableNotices_)));
  Out.push_back(counter("cumingauge_discarding_connections_total",
                        "Closed connections on which more bytes arrived",
                        ToDouble(Traffic.DiscardingConnections_)));
  Out.push_back(gauge("cumingauge_caller_memory_bytes",
                      "Memory that the connections of callers hold",
                      ToDouble(Traffic.CallerMemoryBytes_)));
  Out.push_back(gauge("cumingauge_caller_memory_bound_bytes",
                      "Sum above which connections of callers are evicted",
                      ToDouble(Traffic.CallerMemoryBound_)));
  Out.push_back(evictionFamily(Traffic));
  Out.push_back(connectionEndsFamily(Traffic));
  Out.push_back(faultyAnswersFamily(Traffic));
  addCredit(Traffic.Credit_, Out);
}

void addControl(const ControlStats &Control, std::vector<MetricFamily> &Out) {
  const auto ToDouble = [](std::uint64_t N) { return static_cast<double>(N); };
  Out.push_back(gauge("cumingauge_config_version",
                      "Version of the configuration in force",
                      ToDouble(Control.Version_)));
  Out.push_back(gauge("cumingauge_view_age_seconds",
                      "Time since the last exchange with a peer or the store",
                      ToDouble(Control.ViewAgeMs_) / MsPerSecond));
  Out.push_back(gauge("cumingauge_evacuated_zones",
                      "Zones whose servers get no new work",
                      ToDouble(Control.EvacuatedZones_)));
  Out.push_back(storeCallsFamily(Control.StoreCalls_));
  Out.push_back(gauge("cumingauge_store_era",
                      "Highest era of the platform's service seen",
                      ToDouble(Control.StoreEra_)));
  Out.push_back(counter("cumingauge_store_restores_total",
                        "Rises of the era of the platform's service",
                        ToDouble(Control.StoreRestores_)));
  Out.push_back(counterByDirection("cumingauge_peer_messages_total",
                                   "Messages on peer links",
                                   ToDouble(Control.PeerMessagesSent_),
                                   ToDouble(Control.PeerMessagesReceived_)));
  Out.push_back(counterByDirection(
      "cumingauge_peer_bytes_total", "Bytes of messages on peer links",
      ToDouble(Control.PeerBytesSent_), ToDouble(Control.PeerBytesReceived_)));
  Out.push_back(counter("cumingauge_control_cpu_seconds_total",
                        "Processor time of the control thread",
                        ToDouble(Control.ThreadCpuMicros_) / MicrosPerSecond));
  Out.push_back(gauge("cumingauge_peer_links", "Open peer links",
                      ToDouble(Control.Links_)));
  Out.push_back(gauge("cumingauge_fleet_size",
                      "Entry processes, the larger of VM list and peers",
                      ToDouble(Control.FleetSize_)));
}

std::vector<MetricFamily> makeFamilies(const MetricsInput &Input) {
  std::vector<MetricFamily> Out;
  addTraffic(Input.Traffic_, Out);
  addControl(Input.Control_, Out);
  Out.push_back(gauge("cumingauge_ready", "1 when new calls are welcome",
                      Input.Ready_ ? 1 : 0));
  Out.push_back(gauge("cumingauge_probe_budget_per_second",
                      "Probes that the whole fleet may send, over all services",
                      Input.ProbeBudgetPerSecond_));
  Out.push_back(gauge("cumingauge_resident_memory_bytes",
                      "Resident memory of the process",
                      static_cast<double>(Input.ResidentBytes_)));
  Out.push_back(counter("cumingauge_events_dropped_total",
                        "Time line events overwritten by later ones",
                        static_cast<double>(Input.EventsDropped_)));
  Out.push_back(counter("cumingauge_log_lines_dropped_total",
                        "Log lines that their reader did not take in time",
                        static_cast<double>(Input.LogLinesDropped_)));
  return Out;
}

} // namespace

std::string renderMetrics(const MetricsInput &Input) {
  return prometheus::TextSerializer().Serialize(makeFamilies(Input));
}

std::vector<std::string> metricNames() {
  std::vector<std::string> Out;
  for (const MetricFamily &Family : makeFamilies({}))
    Out.push_back(Family.name);
  return Out;
}

std::uint64_t residentBytes() {
  std::ifstream In("/proc/self/statm");
  std::uint64_t TotalPages = 0;
  std::uint64_t ResidentPages = 0;
  if (!(In >> TotalPages >> ResidentPages))
    return 0;
  return ResidentPages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace cumingauge::adapters
