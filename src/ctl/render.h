#ifndef GALENAFLOW_CTL_RENDER_H
#define GALENAFLOW_CTL_RENDER_H

#include <string>
#include <string_view>

namespace galenaflow::ctl {

/// Renders any JSON object for people: its plain fields as "name: value" lines,
/// then each array of objects as a table under the name of its field, and each
/// nested object as an indented block. Text that is not JSON is returned as it
/// is.
std::string renderText(std::string_view json);

} // namespace galenaflow::ctl

#endif
