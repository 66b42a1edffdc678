#ifndef GALENAFLOW_TRANSPORT_H2O_API_H
#define GALENAFLOW_TRANSPORT_H2O_API_H

// The h2o headers hold C constructs that the project's warning level rejects.
#pragma GCC system_header

extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
}

#endif
