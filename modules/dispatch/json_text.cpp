#include <dispatch/json_text.h>

#include <nlohmann/json.hpp>

namespace chivewharf::dispatch {

std::string quote_json(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool is_json(std::string_view text)
{
    return nlohmann::json::accept(text.begin(), text.end());
}

} // namespace chivewharf::dispatch
