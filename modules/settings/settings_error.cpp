#include <settings/settings_error.h>

namespace chivewharf::settings {

std::string to_text(const settings_errors& errors)
{
    std::string text;
    for (const auto& error : errors) {
        text += error.file + ": " + (error.key_path.empty() ? "document" : error.key_path) + ": ";
        text += (error.value.empty() ? "absent" : error.value) + ": expected ";
        text += error.expected + '\n';
    }
    return text;
}

} // namespace chivewharf::settings
