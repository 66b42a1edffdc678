#include "crowd/client_crowd.h"

#include <algorithm>

namespace galenaflow::crowd {

ClientCrowd::ClientCrowd(const transport::SocketAddress &target,
                         const Scripts &scripts)
    : Target(target) {
  for (const auto &script : scripts)
    Clients.push_back({script, nullptr, 0, script->Connections});
}

bool ClientCrowd::connect(Client &client) const {
  if (client.ConnectionsLeft-- <= 0)
    return false;
  client.Channel = connectChannel(client.Script->Channel, Target);
  client.Sent = 0;
  return client.Channel != nullptr;
}

std::size_t ClientCrowd::stepClient(Client &client) const {
  const ClientScript &script = *client.Script;
  if (client.Sent == script.Bytes.size() && script.Repeats)
    client.Sent = 0;
  const bool isTail = client.Sent >= script.Bytes.size() && IsReleased;
  const std::string_view rest =
      isTail ? std::string_view(script.Tail)
                   .substr(client.Sent - script.Bytes.size())
             : std::string_view(script.Bytes)
                   .substr(std::min(client.Sent, script.Bytes.size()));
  const std::size_t sent =
      rest.empty() ? 0
                   : client.Channel->send(rest.substr(0, script.PieceBytes));
  client.Sent += sent;
  client.Channel->receive(script.Reads);
  if (client.Channel->isClosed())
    client.Channel = nullptr;
  return sent;
}

std::size_t ClientCrowd::step() {
  std::size_t progress = 0;
  for (Client &client : Clients)
    if (client.Channel)
      progress += stepClient(client);
    else
      progress += connect(client) ? 1 : 0;
  return progress;
}

std::size_t ClientCrowd::openConnections() const {
  return static_cast<std::size_t>(
      std::count_if(Clients.begin(), Clients.end(),
                    [](const Client &it) { return it.Channel != nullptr; }));
}

} // namespace galenaflow::crowd
