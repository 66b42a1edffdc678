#ifndef GALENAFLOW_PROTOCOL_QUARANTINE_FB_H
#define GALENAFLOW_PROTOCOL_QUARANTINE_FB_H

// Generated code does not follow the project's naming and warning rules.
#pragma GCC system_header

#include "quarantine_generated.h"

#endif
