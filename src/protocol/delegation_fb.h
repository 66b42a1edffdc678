#ifndef GALENAFLOW_PROTOCOL_DELEGATION_FB_H
#define GALENAFLOW_PROTOCOL_DELEGATION_FB_H

// Generated code does not follow the project's naming and warning rules.
#pragma GCC system_header

#include "delegation_generated.h"

#endif
