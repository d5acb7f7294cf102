#pragma once

#include <base/result.h>
#include <nlohmann/json.hpp>
#include <settings/settings_error.h>
#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::settings {

/// Deepest nesting that is accepted. Merging and serialising recurse once for each level; the
/// settings themselves need 4.
inline constexpr std::size_t max_document_depth = 32;

/// A JSON document and the files that it was merged from.
struct document {
    struct source {
        std::string file;
        nlohmann::json value;
    };

    nlohmann::json value;
    std::vector<source> sources; ///< in the order of merging, the base first
};

/// Parses JSON with `//` and `/* */` comments. A syntax error, a duplicate key and nesting deeper
/// than `max_document_depth` are errors.
/// \param file name that later errors report
result<document, settings_errors> parse_text(std::string_view text, std::string file);

/// Reads and parses a file. A file that cannot be read is an error with an empty key path.
result<document, settings_errors> load_file(const std::string& path);

/// Document that holds the value under the file name, for values that come from a record.
document make_document(nlohmann::json value, std::string file);

/// RFC 7396 merge patch: objects are merged key by key, null removes a key, and everything else,
/// arrays included, replaces the value of the base.
document merge(document base, const document& overlay);

/// Text with sorted keys and without white space. Equal documents have equal text.
std::string canonical_text(const nlohmann::json& value);

} // namespace chivewharf::settings
