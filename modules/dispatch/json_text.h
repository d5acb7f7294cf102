#pragma once

#include <string>
#include <string_view>

namespace chivewharf::dispatch {

/// JSON string literal of the text. Bytes that are not valid UTF-8 are replaced by U+FFFD.
std::string quote_json(std::string_view text);

/// True if the text is one JSON value.
bool is_json(std::string_view text);

} // namespace chivewharf::dispatch
