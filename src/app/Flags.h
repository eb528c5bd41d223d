/// \file
/// Declarations of all command-line flags; Flags.cpp defines and describes
/// them.

#ifndef FESCUEWOOD_APP_FLAGS_H
#define FESCUEWOOD_APP_FLAGS_H

#include <gflags/gflags.h>

DECLARE_string(settings);
DECLARE_string(node);
DECLARE_string(log);
DECLARE_bool(json);
DECLARE_string(against);
DECLARE_bool(strict);
DECLARE_string(svg);
DECLARE_string(call);
DECLARE_string(request);
DECLARE_string(organisation);
DECLARE_string(target);
DECLARE_string(domain);
DECLARE_string(instance);
DECLARE_int32(event);
DECLARE_int64(from_ms);
DECLARE_int64(to_ms);
DECLARE_string(method);
DECLARE_string(path);
DECLARE_int32(timeout_ms);

#endif // FESCUEWOOD_APP_FLAGS_H
