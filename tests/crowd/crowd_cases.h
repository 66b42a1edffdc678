#ifndef GALENAFLOW_CROWD_CROWD_CASES_H
#define GALENAFLOW_CROWD_CROWD_CASES_H

#include "crowd/client_crowd.h"
#include "crowd/crowd_site.h"

#include <span>
#include <string>
#include <string_view>

namespace galenaflow::crowd {

constexpr std::string_view PlatformProgram = "galenaflow-platform";
constexpr std::string_view DaemonProgram = "galenaflowd";

/// What happens to the program while a crowd is there.
enum class CrowdEvent {
  None,
  Release,       ///< the crowd sends its tails once it is at rest
  Reload,        ///< a signal to read its settings again
  Restart,       ///< a planned stop, and a new start
  StoreAway,     ///< the source of its configuration does not answer
  PauseExecutor, ///< the VM to which requests are delegated stands still
};

/// One crowd, the site that it visits, and how it comes.
struct CrowdCase {
  std::string Name;
  Scripts (*MakeScripts)(const CrowdTarget &target);
  SiteOptions Site{};
  /// Program that is tested; empty: both.
  std::string_view Program{};
  /// Crowds that come one after the other. Each leaves before the next one.
  int Rounds = 1;
  CrowdEvent Event = CrowdEvent::None;
  /// Sends ordinary requests while the crowd sends.
  bool HasOrdinaryRequests = false;
  /// Listener that the crowd visits.
  Listener Target = Listener::Callers;

  bool appliesTo(std::string_view program) const {
    return Program.empty() || Program == program;
  }
};

std::span<const CrowdCase> crowdCases();

} // namespace galenaflow::crowd

#endif
