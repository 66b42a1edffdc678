#ifndef GALENAFLOW_PLATFORM_TESTS_DEMO_H
#define GALENAFLOW_PLATFORM_TESTS_DEMO_H

namespace galenaflow::standin {

/// Runs the daemon of the users' platform as a process against stand-ins of the
/// store and the replicas, and shows a query over all shards, a query that
/// lacks a shard with the reason for it, and a change of the routes. Prints
/// each unexpected result. Returns true if there was none.
bool runPlatformDemo();

} // namespace galenaflow::standin

#endif
