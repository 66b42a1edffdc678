#ifndef GALENAFLOW_PROTOCOL_FLEET_FB_H
#define GALENAFLOW_PROTOCOL_FLEET_FB_H

// Generated code and the FlexBuffers header do not follow this project's
// checks.
#pragma GCC system_header

#include "protocol/fleet_generated.h"

#include <flatbuffers/flexbuffers.h>

#endif
