#ifndef GALENAFLOW_PLATFORM_TESTS_DEMO_H
#define GALENAFLOW_PLATFORM_TESTS_DEMO_H

namespace galenaflow::standin {

/// Shows the daemon of the users' platform at work, as a process against
/// stand-ins of the store and the replicas: a query over all shards, one that
/// lacks a shard and the reason for it, and a change of the routes. Prints what
/// was unexpected and returns whether nothing was.
bool showPlatform();

} // namespace galenaflow::standin

#endif
