#include "app/Flags.h"

DEFINE_string(settings, "", "INI file with the settings of this process");
DEFINE_string(node, "",
              "operator addresses of nodes, \"IP:port\", separated by commas");
DEFINE_string(log, "",
              "log files or JSON lines files to read, separated by commas");
DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(against, "",
              "configuration to compare with: a folder, a JSON file or -");
DEFINE_bool(strict, false, "end with exit code 1 if there are warnings");
DEFINE_string(svg, "", "write the timeline as an SVG image to this file");
DEFINE_string(call, "", "only events of this call id");
DEFINE_string(request, "", "only events of this request and of its calls");
DEFINE_string(
    organisation, "",
    "only events of this organisation; for explain, the caller's organisation");
DEFINE_string(target, "", "only events of this target");
DEFINE_string(domain, "", "only events of this failure domain");
DEFINE_string(instance, "", "only events recorded by this instance");
DEFINE_int32(event, 0, "only events with this number; 0 for all");
DEFINE_int64(from_ms, 0,
             "only events from this time, in Unix milliseconds; 0 for all");
DEFINE_int64(to_ms, 0,
             "only events before this time, in Unix milliseconds; 0 for all");
DEFINE_string(method, "GET", "method of the request to explain");
DEFINE_string(path, "", "path of the request to explain");
DEFINE_int32(timeout_ms, 3000,
             "maximum wait for a node's answer, in milliseconds");
