#include "state/request_fingerprint.h"

#include <array>
#include <catch2/catch.hpp>

using galenaflow::state::fingerprintOf;
using Parts = std::array<std::string_view, 2>;

// Guards against requests that are taken for each other.
TEST_CASE("fingerprints differ when the parts do, also with equal "
          "concatenation") {
  const auto it = fingerprintOf(Parts{"GET", "/a"});
  CHECK(it == fingerprintOf(Parts{"GET", "/a"}));
  CHECK(it != fingerprintOf(Parts{"GE", "T/a"}));
  CHECK(it != fingerprintOf(Parts{"/a", "GET"}));
  CHECK(it != fingerprintOf(Parts{"GET/a", ""}));
  CHECK(it.toText().size() == 32);
}
