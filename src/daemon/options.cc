// settings.def lists every setting once. This file expands it into a table in
// which each row describes how to parse, format and validate one member of
// Options; the flags, the environment variables and docs/settings.md are made
// from the same entries. All values are kept as text until loadOptions(), so
// that a malformed value is reported together with all other findings instead
// of ending the process at the first one.
#include "daemon/options.h"

#include "protocol/parsed.h"
#include "state/log.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <span>
#include <variant>

namespace galenaflow::daemon {

using state::Findings;

namespace {

using Member =
    std::variant<std::string Options::*, std::uint32_t Options::*,
                 double Options::*, std::vector<std::string> Options::*>;

enum class Check {
  Text,
  Number,
  Name,
  ListenAddress,
  OptionalAddress,
  AddressList,
  OptionalFile,
  KeyFile,
  OptionalKeyFile,
  LogLevel,
  ReplicaPolicy,
};

struct Setting {
  const char *Section = nullptr; ///< set for a heading, null for a setting
  const char *Flag = "";
  Member Target = &Options::Listen;
  Check Kind = Check::Text;
  double Min = 0;
  double Max = 0;
  const char *Help = "";
};

const Setting Settings[] = {
#define SECTION(title) {.Section = (title)},
#define SETTING(flag, member, check, min, max, help)                           \
  {.Flag = #flag,                                                              \
   .Target = &Options::member,                                                 \
   .Kind = Check::check,                                                       \
   .Min = (min),                                                               \
   .Max = (max),                                                               \
   .Help = (help)},
#include "daemon/settings.def"
#undef SECTION
#undef SETTING
};

constexpr std::size_t MinKeyBytes = 16;
constexpr double MaxExtraLoadPercent = 10;

std::string flagName(const Setting &setting) {
  return std::string("--") + setting.Flag;
}

std::string variableName(const Setting &setting) {
  std::string name = "GALENAFLOW_";
  for (const char *c = setting.Flag; *c != 0; ++c)
    name += *c >= 'a' && *c <= 'z' ? static_cast<char>(*c - ('a' - 'A')) : *c;
  return name;
}

template <typename T> std::optional<T> parseNumber(std::string_view text) {
  T value{};
  const char *end = text.data() + text.size();
  const auto [stop, ec] = std::from_chars(text.data(), end, value);
  if (ec != std::errc() || stop != end)
    return std::nullopt;
  return value;
}

std::vector<std::string> splitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t n = std::min(text.find(','), text.size());
    items.emplace_back(text.substr(0, n));
    text.remove_prefix(std::min(n + 1, text.size()));
  }
  return items;
}

bool parseInto(std::string &member, const std::string &text) {
  member = text;
  return true;
}

bool parseInto(std::vector<std::string> &member, const std::string &text) {
  member = splitList(text);
  return true;
}

template <typename T> bool parseInto(T &member, const std::string &text) {
  const std::optional<T> value = parseNumber<T>(text);
  if (value)
    member = *value;
  return value.has_value();
}

std::string formatValue(const std::string &value) { return value; }

std::string formatValue(const std::vector<std::string> &) { return ""; }

std::string formatValue(std::uint32_t value) { return std::to_string(value); }

std::string formatValue(double value) {
  char buf[32];
  const auto [end, ec] = std::to_chars(std::begin(buf), std::end(buf), value);
  return ec == std::errc() ? std::string(buf, end) : "";
}

/// Parses `text` into the member of `setting`.
void readSetting(const Setting &setting, const std::string &text,
                 const std::string &place, Options &options,
                 Findings &findings) {
  const bool isRead =
      std::visit([&](auto member) { return parseInto(options.*member, text); },
                 setting.Target);
  if (!isRead)
    findings.add(place, "\"" + text + "\" is not a valid number");
}

bool isListenAddress(std::string_view text) {
  // Port 0 requests a free port from the system; isIpPort() rejects it.
  if (!text.ends_with(":0"))
    return protocol::isIpPort(text);
  return protocol::isIpPort(std::string(text.substr(0, text.size() - 1)) + "1");
}

bool isWildcard(std::string_view address) {
  return address.starts_with("0.0.0.0:") || address.starts_with("[::]:");
}

std::optional<std::string> readFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void checkFile(const std::string &path, const std::string &place,
               Findings &findings) {
  if (!path.empty() && !readFile(path))
    findings.add(place, "cannot read \"" + path + "\"");
}

void checkKeyFile(const std::string &path, const std::string &place,
                  Findings &findings) {
  const std::optional<std::string> key = readFile(path);
  if (!key)
    findings.add(place, "cannot read \"" + path + "\"");
  else if (key->size() < MinKeyBytes)
    findings.add(place, "the key must have at least 16 bytes");
}

void checkText(const Setting &setting, const std::string &value,
               Findings &findings) {
  const std::string place = flagName(setting);
  switch (setting.Kind) {
  case Check::Name:
    if (!protocol::isName(value))
      findings.add(place, "must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
    break;
  case Check::ListenAddress:
    if (!isListenAddress(value))
      findings.add(place, "must be IP:PORT");
    break;
  case Check::OptionalAddress:
    if (!value.empty() && !protocol::isIpPort(value))
      findings.add(place, "must be IP:PORT");
    break;
  case Check::OptionalFile:
    checkFile(value, place, findings);
    break;
  case Check::KeyFile:
    checkKeyFile(value, place, findings);
    break;
  case Check::OptionalKeyFile:
    if (!value.empty())
      checkKeyFile(value, place, findings);
    break;
  case Check::LogLevel:
    if (!state::log::parseLevel(value))
      findings.add(place, "must be debug, info, warning, error or off");
    break;
  case Check::ReplicaPolicy:
    if (value != "adaptive" && value != "round_robin")
      findings.add(place, "must be adaptive or round_robin");
    break;
  default:
    break;
  }
}

void checkValue(const Setting &setting, const std::string &value,
                Findings &findings) {
  checkText(setting, value, findings);
}

void checkValue(const Setting &setting, const std::vector<std::string> &value,
                Findings &findings) {
  for (const std::string &address : value)
    if (!protocol::isIpPort(address))
      findings.add(flagName(setting), "\"" + address + "\" is not IP:PORT");
}

template <typename T>
void checkValue(const Setting &setting, T value, Findings &findings) {
  const auto number = static_cast<double>(value);
  if (!(number >= setting.Min && number <= setting.Max))
    findings.add(flagName(setting), "must be from " + formatValue(setting.Min) +
                                        " to " + formatValue(setting.Max));
}

void checkSources(const Options &options, Findings &findings) {
  if (options.Platform.empty() && options.SeedPeers.empty())
    findings.add("--platform", "one of platform and seed_peers is required");
  if (options.TlsCertificate.empty() != options.TlsKey.empty())
    findings.add("--tls_key",
                 "tls_certificate and tls_key must be set together");
  if (isWildcard(options.peerAddress()))
    findings.add("--advertise_peer",
                 "is required because peer_listen is a wildcard address");
}

void checkDistinct(const Options &options, Findings &findings) {
  const auto check = [&](const std::string &a, const std::string &b,
                         const char *place) {
    if (a == b && !a.ends_with(":0"))
      findings.add(place, "\"" + a + "\" is used twice");
  };
  check(options.Listen, options.OperatorListen, "--operator_listen");
  check(options.Listen, options.PeerListen, "--peer_listen");
  check(options.OperatorListen, options.PeerListen, "--peer_listen");
}

void checkRelations(const Options &options, Findings &findings) {
  if (options.HedgePercent + options.RetryPercent > MaxExtraLoadPercent)
    findings.add("--retry_percent",
                 "hedge_percent and retry_percent together exceed 10");
  if (options.LeaseMarginMs >= options.LeaseMs)
    findings.add("--lease_margin_ms", "must be less than lease_ms");
  if (options.LinkSilenceMs < 2 * std::uint64_t{options.HeartbeatMs})
    findings.add("--link_silence_ms", "must be at least twice heartbeat_ms");
  if (options.SuspicionMs < 2 * std::uint64_t{options.ProbePeriodMs})
    findings.add("--suspicion_ms", "must be at least twice probe_period_ms");
  // A body takes up to three times its size in the three quarters that bodies
  // may use: the buffer, which is doubled, and the copy for the handler.
  if (options.clientMemoryBytes() <
      4 * std::uint64_t{options.MaxBodyBytes} + (std::uint64_t{1} << 20))
    findings.add("--client_memory_bytes",
                 "must be at least 4 times max_body_bytes and 1 MB");
}

std::string defaultText(const Setting &setting) {
  const Options defaults;
  const std::string text =
      std::visit([&](auto member) { return formatValue(defaults.*member); },
                 setting.Target);
  return text.empty() ? "(empty)" : "`" + text + "`";
}

std::string rangeText(const Setting &setting) {
  if (setting.Kind != Check::Number)
    return "";
  return " From " + formatValue(setting.Min) + " to " +
         formatValue(setting.Max) + ".";
}

constexpr const char *PageHeader =
    "# Settings of galenaflowd\n\n"
    "This page is generated from `src/daemon/settings.def` by "
    "`galenaflowd --print_settings_page`.\n\n"
    "Each setting is a flag (`--listen=0.0.0.0:8080`) and an environment "
    "variable\n(`GALENAFLOW_LISTEN`). The flag takes precedence. All settings "
    "are validated together before\nanything starts, and every fault is "
    "reported; the process then exits with 2.\n`galenaflowd --check_settings` "
    "validates and exits: 0 when all settings are valid, otherwise 2.\n"
    "`--flagfile=FILE` reads flags from a file.\n";

constexpr const char *PageFooter =
    "\n## Memory and connections of galenaflow-platform\n\n"
    "| setting | default | meaning |\n"
    "| --- | --- | --- |\n"
    "| `limits.memory_mb` in the settings file | 160 | memory of the VM; a "
    "quarter of it is the limit of the bytes held for clients |\n"
    "| `limits.max_fds` in the settings file | (none) | descriptors; two "
    "thirds "
    "of them without 200 are the limit of connections of clients, 10,000 "
    "without the setting |\n"
    "| `GALENAFLOW_CLIENT_MEMORY_BYTES` | (empty) | bytes that may be held for "
    "clients, from 2,097,152 |\n\n"
    "Constants: a quarter of the limit is reserved for requests up to 32 KB "
    "and for answers; a client without\nprogress for 1 s gives way first; a "
    "refused client is read on for 1 s or 4 MB, at most 100 at a time. A "
    "head\nmust be complete within `header_timeout_ms` of the published limits "
    "(3,000) of its first byte.\nThe listeners for health checks "
    "(readiness and metrics of galenaflow-platform, the operator listener "
    "of\ngalenaflowd) take 64 connections each. Connections of clients may "
    "take half of the limit at 4 KB each, 32 KB with\nTLS. A quarter of the "
    "descriptors without 200 is for galenaflowd's connections to replicas, "
    "at least one for\neach. An open request counts 256 bytes for each "
    "service that it is sent to.\n\n"
    "No client inside the published limits reaches the default. The largest "
    "request, of 16,384 bytes of head and\n262,144 of body to 90 shards, on a "
    "VM with 160 MB, in bytes:\n\n"
    "| part | bytes |\n"
    "| --- | --- |\n"
    "| input buffer, doubled | 524,288 |\n"
    "| copy for the handler | 278,528 |\n"
    "| 90 heads on their way to replicas, which share the body | 1,474,560 |\n"
    "| record of the request over 90 services | 23,296 |\n"
    "| answer, the largest | 4,194,304 |\n"
    "| sum | 6,494,976 |\n"
    "| limit | 41,943,040 |\n\n"
    "Of this, only the first two are asked for when the request arrives: "
    "802,816 of the 31,457,280 that bodies may\nuse. For `galenaflowd`, "
    "`max_body_bytes` of 65,536 takes 196,608, and it rejects settings whose "
    "limit is less\nthan 4 times `max_body_bytes` and 1 MB.\n";

} // namespace

const std::string &Options::peerAddress() const {
  return AdvertisePeer.empty() ? PeerListen : AdvertisePeer;
}

const std::string &Options::operatorAddress() const {
  return AdvertiseOperator.empty() ? OperatorListen : AdvertiseOperator;
}

std::uint64_t Options::clientMemoryBytes() const {
  constexpr std::uint64_t vmFraction = 4;
  return ClientMemoryBytes != 0 ? ClientMemoryBytes
                                : (std::uint64_t{MemoryMb} << 20) / vmFraction;
}

Options loadOptions(const SettingLookup &flags,
                    const SettingLookup &environment, Findings &findings) {
  Options options;
  for (const Setting &setting : Settings) {
    if (setting.Section)
      continue;
    const std::string variable = variableName(setting);
    if (const auto text = flags(setting.Flag))
      readSetting(setting, *text, flagName(setting), options, findings);
    else if (const auto value = environment(variable))
      readSetting(setting, *value, variable, options, findings);
  }
  return options;
}

void validateOptions(const Options &options, Findings &findings) {
  for (const Setting &setting : Settings)
    if (!setting.Section)
      std::visit(
          [&](auto member) { checkValue(setting, options.*member, findings); },
          setting.Target);
  checkSources(options, findings);
  checkDistinct(options, findings);
  checkRelations(options, findings);
}

int reportSettings(const Findings &findings) {
  for (const state::Finding &finding : findings.items())
    std::printf("%s: %s\n", finding.Place.c_str(), finding.Message.c_str());
  if (findings.empty())
    std::puts("settings: ok");
  return findings.empty() ? 0 : 2;
}

std::string renderSettingsHelp() {
  std::string help =
      "galenaflowd: query tier daemon.\n\n"
      "Usage: galenaflowd [--SETTING=VALUE ...]\n\n"
      "Each setting is a flag and an environment variable; the flag takes "
      "precedence.\n"
      "  --check_settings       validate all settings and exit: 0 when all are "
      "valid, otherwise 2\n"
      "  --print_settings_page  print docs/settings.md and exit\n"
      "  --flagfile=FILE        read flags from a file\n";
  for (const Setting &setting : Settings) {
    if (setting.Section) {
      help += "\n" + std::string(setting.Section) + "\n";
      continue;
    }
    help += "  " + flagName(setting) + "  (" + variableName(setting) +
            ", default " + defaultText(setting) + ")\n      " + setting.Help +
            rangeText(setting) + "\n";
  }
  return help;
}

std::string renderSettingsPage() {
  std::string page = PageHeader;
  for (const Setting &setting : Settings) {
    if (setting.Section) {
      page += "\n## " + std::string(setting.Section) + "\n\n";
      page += "| flag | variable | default | meaning |\n";
      page += "| --- | --- | --- | --- |\n";
      continue;
    }
    page += "| `" + flagName(setting) + "` | `" + variableName(setting) +
            "` | " + defaultText(setting) + " | " + setting.Help +
            rangeText(setting) + " |\n";
  }
  return page + PageFooter;
}

} // namespace galenaflow::daemon
