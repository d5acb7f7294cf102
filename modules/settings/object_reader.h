#pragma once

#include <base/digest.h>
#include <base/time.h>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <settings/document.h>
#include <settings/endpoint.h>
#include <settings/settings_error.h>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Private to module settings: reads JSON objects as described by tables of fields.

namespace chivewharf::settings {

/// Location of a value in a document, as a linked list from the value to the root. The nodes are on
/// the stack of the parse functions; the text of a path is built only for errors.
struct path_node {
    const path_node* parent = nullptr;
    std::string_view key;  ///< key in an object; empty for an array element
    std::size_t index = 0; ///< index in an array
    bool is_index = false;

    path_node at(std::string_view name) const { return {this, name, 0, false}; }
    path_node at(std::size_t i) const { return {this, {}, i, true}; }
};

/// Collects the errors found in one document.
class error_sink {
public:
    explicit error_sink(const document& merged) : merged_(merged) {}

    /// \param value the rejected value; null if it is absent
    void add(const path_node& path, const nlohmann::json* value, std::string expected);

    /// Adds an error without showing the rejected value, which may be a secret.
    void add_hidden(const path_node& path, std::string expected);

    /// Moves the collected errors out.
    settings_errors take() { return std::move(errors_); }
    bool empty() const noexcept { return errors_.empty(); }

private:
    const document& merged_;
    settings_errors errors_;
};

/// Allowed content of a string.
enum class text_rule : std::uint8_t {
    name,   ///< 1 to 63 letters, digits, `-` and `_`, as names occur in ids and headers
    path,   ///< 1 to 4095 bytes without NUL
    secret, ///< 16 to 256 bytes; not shown in errors
};

/// Allowed values of a field. The range applies to numbers and to durations in milliseconds; for
/// endpoints `low` is the lowest port. `text` applies to strings.
struct value_rule {
    double low = 0;
    double high = 0;
    text_rule text = text_rule::name;
};

/// Pointer to a member of any supported field type.
template <class T>
using member_pointer =
    std::variant<std::int64_t T::*, double T::*, bool T::*, std::string T::*, duration T::*,
                 endpoint T::*, std::optional<endpoint> T::*, sha256_digest T::*,
                 std::vector<std::string> T::*, std::map<std::string, double> T::*>;

/// Describes one key of an object and the member that receives its value.
template <class T>
struct field {
    std::string_view key;
    member_pointer<T> member;
    bool required = false;
    value_rule rule{};
};

using json_ref = const nlohmann::json&;

/// Reads a value into `out`. If the value violates the rule, an error is added; `out` may then be
/// unchanged or partly filled.

void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, std::int64_t& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, double& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, bool& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, std::string& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, duration& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, endpoint& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::optional<endpoint>& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r, sha256_digest& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::vector<std::string>& out);
void read(json_ref v, const path_node& p, error_sink& e, const value_rule& r,
          std::map<std::string, double>& out);

/// Adds an error if the value is not an object.
/// \return true if it is an object
bool expect_object(json_ref value, const path_node& path, error_sink& errors);

/// Adds an error for each key that is not in the table, whose entries have a member `key`.
template <class Table>
void reject_unknown_keys(json_ref object, const path_node& path, error_sink& errors,
                         const Table& table)
{
    for (const auto& item : object.items()) {
        bool known = false;
        for (const auto& entry : table)
            known = known || entry.key == item.key();
        if (known)
            continue;
        std::string expected = "one of the keys";
        for (const auto& entry : table)
            (expected += ' ') += entry.key;
        errors.add(path.at(item.key()), &item.value(), std::move(expected));
    }
}

/// Fills an aggregate from an object. Unknown and missing required keys are errors.
template <class T>
void read_object(json_ref value, const path_node& path, error_sink& errors,
                 std::span<const field<T>> fields, T& out)
{
    if (!expect_object(value, path, errors))
        return;
    reject_unknown_keys(value, path, errors, fields);
    for (const auto& f : fields) {
        const auto place = path.at(f.key);
        const auto found = value.find(f.key);
        if (found != value.end())
            std::visit([&](auto member) { read(*found, place, errors, f.rule, out.*member); },
                       f.member);
        else if (f.required)
            errors.add(place, nullptr, "a value");
    }
}

/// Fills a vector from an array of objects. Elements with errors are kept, so that the indices in
/// later errors match the file.
template <class T>
void read_list(json_ref value, const path_node& path, error_sink& errors,
               std::span<const field<T>> fields, std::vector<T>& out)
{
    if (!value.is_array()) {
        errors.add(path, &value, "an array of objects");
        return;
    }
    out.resize(value.size());
    for (std::size_t i = 0; i < out.size(); ++i)
        read_object(value[i], path.at(i), errors, fields, out[i]);
}

} // namespace chivewharf::settings
