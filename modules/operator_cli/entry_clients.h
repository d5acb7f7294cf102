#pragma once

#include <nlohmann/json.hpp>
#include <operator_cli/call_runner.h>
#include <operator_cli/operator_cli_error.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// Answer of one entry host.
struct entry_answer {
    std::string address;
    bool reached = false; ///< false: no whole answer in time
    unsigned status = 0;
    nlohmann::json body; ///< null if the answer is not JSON

    bool good() const noexcept { return reached && status == 200 && body.is_object(); }

    /// Why the host did not do what was asked, in one line.
    std::string fault() const;
};

/// Client of the operators' interface of several entry hosts.
class entry_clients {
public:
    /// \param addresses `IP:PORT`
    /// \param authorization value of the header
    entry_clients(std::vector<std::string> addresses, std::string authorization,
                  time_point deadline);

    /// Asks all hosts at the same time. A call whose connection was lost is repeated once: a server
    /// may close an idle connection just when it is used again, and all calls of the operators'
    /// interface may be repeated without a further effect.
    std::vector<entry_answer> ask(const std::string& method, const std::string& path);

private:
    static entry_answer to_answer(const std::string& address, const runtime::call_result& result);
    runtime::http_call make_call(const std::string& address, const std::string& method,
                                 const std::string& path) const;

    std::vector<std::string> addresses_;
    std::string authorization_;
    call_runner calls_;
};

/// Text with all but unreserved characters of RFC 3986 as `%XX`, for a part of a URL.
std::string percent_encoded(std::string_view text);

} // namespace chivewharf::operator_cli
