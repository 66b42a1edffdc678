#ifndef GALENAFLOW_CTL_OPERATOR_CLIENT_H
#define GALENAFLOW_CTL_OPERATOR_CLIENT_H

#include "state/clock.h"
#include "state/error.h"
#include "transport/http_message.h"

#include <string>

namespace galenaflow::ctl {

/// Sends GET `path` to the operator listener at `daemon` (IP:PORT) and waits
/// for the answer. Errors: InvalidArgument for an invalid address, otherwise
/// those of HttpConnection.
state::Result<transport::HttpResponse> getFromDaemon(const std::string &daemon,
                                                     const std::string &path,
                                                     state::Duration timeout);

} // namespace galenaflow::ctl

#endif
