// Nothing in this file depends on the name of a field, so the operator listener
// can add fields without a change here. Columns appear in the order in which
// the daemon sends them; a field that only some rows have becomes a column too.
// Control characters are replaced, because names come from other processes and
// must not control the terminal.
#include "ctl/render.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

namespace galenaflow::ctl {

using Json = nlohmann::ordered_json;

namespace {

constexpr std::size_t MaxCellBytes = 60;
constexpr std::string_view Ellipsis = "...";

std::string dump(const Json &value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string replaceControls(std::string text) {
  for (char &c : text)
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
      c = '?';
  return text;
}

bool isScalarArray(const Json &value) {
  return value.is_array() &&
         std::none_of(value.begin(), value.end(),
                      [](const Json &item) { return item.is_structured(); });
}

bool isTable(const Json &value) {
  return value.is_array() && !value.empty() &&
         std::all_of(value.begin(), value.end(),
                     [](const Json &item) { return item.is_object(); });
}

std::string joinScalars(const Json &items) {
  std::string text;
  for (const Json &item : items) {
    text += text.empty() ? "" : ",";
    text += item.is_string() ? item.get<std::string>() : dump(item);
  }
  return text.empty() ? "-" : text;
}

std::string scalarText(const Json &value) {
  if (value.is_null())
    return "-";
  if (value.is_string()) {
    const std::string text = value.get<std::string>();
    return text.empty() ? "-" : replaceControls(text);
  }
  if (value.is_boolean())
    return value.get<bool>() ? "yes" : "no";
  return isScalarArray(value) ? replaceControls(joinScalars(value))
                              : dump(value);
}

std::string cellText(const Json &row, const std::string &column) {
  const auto it = row.find(column);
  std::string text = it == row.end() ? "-" : scalarText(*it);
  if (text.size() > MaxCellBytes)
    text.replace(MaxCellBytes - Ellipsis.size(), std::string::npos, Ellipsis);
  return text;
}

/// The fields of all rows, without those whose values are tables.
std::vector<std::string> columnsOf(const Json &rows) {
  std::vector<std::string> columns;
  for (const Json &row : rows)
    for (const auto &[name, value] : row.items())
      if (!isTable(value) &&
          std::find(columns.begin(), columns.end(), name) == columns.end())
        columns.push_back(name);
  return columns;
}

void appendRow(std::string &text, const std::string &indent,
               const std::vector<std::string> &cells,
               const std::vector<std::size_t> &widths) {
  std::string line = indent;
  for (std::size_t i = 0; i != cells.size(); ++i) {
    line += cells[i];
    line.append(widths[i] - cells[i].size() + 2, ' ');
  }
  line.erase(line.find_last_not_of(' ') + 1);
  text += line + "\n";
}

void appendTable(std::string &text, const Json &rows,
                 const std::string &indent) {
  const std::vector<std::string> columns = columnsOf(rows);
  std::vector<std::vector<std::string>> lines;
  std::vector<std::string> head;
  head.reserve(columns.size());
  for (const std::string &column : columns)
    head.push_back(replaceControls(column));
  lines.push_back(std::move(head));
  for (const Json &row : rows) {
    std::vector<std::string> &cells = lines.emplace_back();
    for (const std::string &column : columns)
      cells.push_back(cellText(row, column));
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto &cells : lines)
    for (std::size_t i = 0; i != cells.size(); ++i)
      widths[i] = std::max(widths[i], cells[i].size());
  for (const auto &cells : lines)
    appendRow(text, indent, cells, widths);
}

/// Whether rows contain nested tables, which a table cannot show.
bool hasNestedTables(const Json &rows) {
  return std::any_of(rows.begin(), rows.end(), [](const Json &row) {
    return std::any_of(row.begin(), row.end(), isTable);
  });
}

void appendObject(std::string &text, const Json &object,
                  const std::string &indent);

void appendRows(std::string &text, const Json &rows,
                const std::string &indent) {
  if (!hasNestedTables(rows)) {
    appendTable(text, rows, indent);
    return;
  }
  bool isFirst = true;
  for (const Json &row : rows) {
    text += isFirst ? "" : "\n";
    appendObject(text, row, indent);
    isFirst = false;
  }
}

void appendBlock(std::string &text, const std::string &name, const Json &value,
                 const std::string &indent) {
  text += indent + replaceControls(name) + ":\n";
  if (value.is_object())
    appendObject(text, value, indent + "  ");
  else
    appendRows(text, value, indent + "  ");
}

bool isBlock(const Json &value) {
  return (value.is_object() && !value.empty()) || isTable(value);
}

void appendObject(std::string &text, const Json &object,
                  const std::string &indent) {
  for (const auto &[name, value] : object.items())
    if (!isBlock(value))
      text += indent + replaceControls(name) + ": " + scalarText(value) + "\n";
  for (const auto &[name, value] : object.items())
    if (isBlock(value))
      appendBlock(text, name, value, indent);
}

} // namespace

std::string renderText(std::string_view json) {
  const Json value = Json::parse(json, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object())
    return std::string(json) + "\n";
  std::string text;
  appendObject(text, value, "");
  return text;
}

} // namespace galenaflow::ctl
