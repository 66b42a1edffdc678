#ifndef GALENAFLOW_CTL_RENDER_H
#define GALENAFLOW_CTL_RENDER_H

#include <string>
#include <string_view>

namespace galenaflow::ctl {

/// Renders any JSON object as text: its scalar fields as "name: value" lines,
/// then each array of objects as a table under the name of its field, and each
/// nested object as an indented block. Text that is not a JSON object is
/// returned with a newline appended.
std::string renderText(std::string_view json);

} // namespace galenaflow::ctl

#endif
