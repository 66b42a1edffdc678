#ifndef GALENAFLOW_DAEMON_OPTIONS_H
#define GALENAFLOW_DAEMON_OPTIONS_H

#include "state/error.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings of galenaflowd. Each is a flag and an environment variable
/// (`--peer_listen` and `GALENAFLOW_PEER_LISTEN`); the flag takes precedence.
/// docs/settings.md is generated from the same table.
namespace galenaflow::daemon {

struct Options {
  // Addresses, each IP:PORT. Port 0 selects a free port, for tests.
  std::string Listen = "0.0.0.0:8080"; ///< callers
  std::string OperatorListen = "127.0.0.1:8081";
  std::string PeerListen = "0.0.0.0:8082"; ///< other daemons
  std::string AdvertisePeer;               ///< empty: PeerListen
  std::string AdvertiseOperator;           ///< empty: OperatorListen

  // Identity.
  std::string VmId;
  std::string VmInstance;
  std::string DataCentre;

  // Sources of lists.
  std::string Platform;               ///< IP:PORT
  std::vector<std::string> SeedPeers; ///< each IP:PORT

  // Security.
  std::string TlsCertificate; ///< file, PEM; empty: no TLS
  std::string TlsKey;         ///< file, PEM
  std::string PeerKey;        ///< file with the key that signs and is accepted
  std::string PeerKeyOther;   ///< file with a second accepted key; may be empty

  // Logs and traces.
  std::string LogLevel = "info";
  std::string TraceEndpoint; ///< IP:PORT of an OTLP/HTTP collector
  std::string TraceFile;     ///< file for OTLP/JSON lines
  double TraceSampleRate = 0.01;
  std::uint32_t TraceBufferSpans = 4096;

  // Limits in bytes.
  std::uint32_t MaxBodyBytes = 65'536;
  std::uint32_t MaxAnswerBytes = 16'777'216;
  std::uint32_t RecordMemoryBytes = 33'554'432;
  std::uint32_t MemoryMb = 160;
  std::uint32_t ClientMemoryBytes = 0; ///< 0: a quarter of MemoryMb

  // Callers.
  std::uint32_t MaxConnections = 4096;
  std::uint32_t MaxInFlightQueries = 1024;
  std::uint32_t MaxQueuedQueries = 4096;
  std::uint32_t IdleTimeoutMs = 60'000;
  std::uint32_t BalancerLagMs = 5000;

  // Queries.
  std::string ReplicaPolicy = "adaptive";
  double HedgePercent = 5;
  double RetryPercent = 5;
  double HedgeQuantile = 0.95;
  double UrgentSharePercent = 50;
  std::uint32_t EjectAfterFailures = 5;
  std::uint32_t PollIntervalMs = 500;
  std::uint32_t IdleProbeMs = 10'000;

  // Fleet.
  std::uint32_t StartWindowMs = 3000;
  std::uint32_t ShareHoldMs = 30'000;
  std::uint32_t LeaseMs = 2000;
  std::uint32_t LeaseMarginMs = 200;
  std::uint32_t HeartbeatMs = 500;
  std::uint32_t LinkSilenceMs = 2000;
  std::uint32_t ProbePeriodMs = 1000;
  std::uint32_t SuspicionMs = 3000;
  std::uint32_t ClockSkewMs = 2000;

  bool CheckSettings = false; ///< report findings and exit

  /// The addresses at which other processes reach this one.
  const std::string &peerAddress() const;
  const std::string &operatorAddress() const;

  /// ClientMemoryBytes or its default.
  std::uint64_t clientMemoryBytes() const;
};

/// Looks up a value by the name of a flag or of an environment variable.
using SettingLookup =
    std::function<std::optional<std::string>(const std::string &name)>;

/// Builds the options from both sources. A value that cannot be read is
/// reported under the name of its flag or variable.
Options loadOptions(const SettingLookup &flags,
                    const SettingLookup &environment,
                    state::Findings &findings);

/// Parses `argv` with Abseil, which exits on unknown flags, and reads the
/// environment of the process. Exits after --help and --print_settings_page.
/// Reports positional arguments as findings. Does not validate the settings.
Options parseCommandLine(int argc, char **argv, state::Findings &findings);

/// Adds a finding for every fault of the settings and of the files they name.
void validateOptions(const Options &options, state::Findings &findings);

/// Implements --check_settings: prints every finding, or "settings: ok", to
/// standard output. Returns the exit code: 0, or 2 if there are findings.
int reportSettings(const state::Findings &findings);

/// The output of --help: every setting with its variable, default and bounds.
std::string renderSettingsHelp();

/// The contents of docs/settings.md.
std::string renderSettingsPage();

} // namespace galenaflow::daemon

#endif
