#pragma once

#include <base/result.h>
#include <nlohmann/json.hpp>
#include <settings/settings_error.h>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::settings {

/// Maximum nesting depth. Merging and serialising recurse once per level. The settings themselves
/// need 4 levels.
inline constexpr std::size_t max_document_depth = 32;

/// A JSON document and the files from which it was merged.
struct document {
    struct source {
        std::string file;
        nlohmann::json value;
    };

    nlohmann::json value;
    std::vector<source> sources; ///< in merge order, the base first
};

/// Parses JSON with `//` and `/* */` comments. Syntax errors, duplicate keys and nesting deeper
/// than `max_document_depth` are reported as errors.
/// \param file file name to show in errors
result<document, settings_errors> parse_text(std::string_view text, std::string file);

/// Reads and parses a file. If it cannot be read, the error has an empty key path.
result<document, settings_errors> load_file(const std::string& path);

/// Makes a document from a parsed value, such as one from a stored record.
/// \param file file name to show in errors
document make_document(nlohmann::json value, std::string file);

/// Applies the overlay as an RFC 7396 merge patch: objects are merged key by key, null removes a
/// key, and any other value, including an array, replaces the value of the base.
document merge(document base, const document& overlay);

/// Serialises the value with sorted keys and without white space, so that equal values have equal
/// text.
std::string canonical_text(const nlohmann::json& value);

} // namespace chivewharf::settings
