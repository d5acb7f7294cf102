#pragma once

#include <nlohmann/json.hpp>
#include <operator_cli/blocking_http_client.h>
#include <operator_cli/operator_cli_error.h>
#include <string>
#include <vector>

namespace chivewharf::operator_cli {

/// Response of one entry host.
struct entry_host_response {
    std::string address;
    bool received = false; ///< false if no complete response arrived in time
    unsigned status = 0;
    nlohmann::json body; ///< null if the response is not JSON

    bool succeeded() const noexcept { return received && status == 200 && body.is_object(); }

    /// Why the request failed, in one line.
    std::string error_text() const;
};

/// Client of the operators' interface (`/v1/admin`) of one or more entry hosts.
class entry_host_client {
public:
    /// \param addresses `IP:PORT`
    /// \param authorization value of the `Authorization` header
    entry_host_client(std::vector<std::string> addresses, std::string authorization,
                      time_point deadline);

    /// Sends the request to all hosts concurrently. A call whose connection is lost is retried
    /// once, since a server may close an idle connection just as it is reused. All calls of the
    /// operators' interface are idempotent.
    /// \return the responses, in the order of the addresses
    std::vector<entry_host_response> request_all(const std::string& method,
                                                 const std::string& path);

private:
    static entry_host_response to_response(const std::string& address,
                                           const runtime::call_result& result);
    runtime::http_call make_call(const std::string& address, const std::string& method,
                                 const std::string& path) const;

    std::vector<std::string> addresses_;
    std::string authorization_;
    blocking_http_client http_;
};

/// Percent-encodes all characters except the unreserved ones of RFC 3986, for use in a URL
/// component.
std::string percent_encoded(std::string_view text);

} // namespace chivewharf::operator_cli
