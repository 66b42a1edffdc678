#include "coordination/rendezvous.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace galenaflow::coordination;
using galenaflow::protocol::MemberId;

// Guards against keys that change their owner although it is still a member,
// and against members that own far more than their share.
TEST_CASE("rendezvous hashing moves only the keys of a removed member") {
  std::vector<MemberId> members;
  for (int i = 0; i != 8; ++i)
    members.push_back({"vm-" + std::to_string(i), "1"});
  const auto owner = [&](const std::string &key, std::size_t n) {
    const std::span present = std::span(members).first(n);
    std::size_t i = 0;
    while (rendezvousRank(key, members[i], present) != 0)
      ++i;
    return i;
  };
  std::vector<int> owned(8);
  for (int i = 0; i != 8000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::size_t before = owner(key, 8);
    ++owned[before];
    if (before != 7)
      CHECK(owner(key, 7) == before);
  }
  for (const int n : owned)
    CHECK(std::abs(n - 1000) < 150); // five standard deviations of 30
}

// Guards against scores of the plain concatenation of key, VM and instance: it
// is the same for some different members, which would share every key.
TEST_CASE("rendezvous scores separate the key, the VM and the instance") {
  CHECK(rendezvousScore("ab", {"c", "1"}) != rendezvousScore("a", {"bc", "1"}));
  CHECK(rendezvousScore("k", {"ab", "c"}) != rendezvousScore("k", {"a", "bc"}));
}
