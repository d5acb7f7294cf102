#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::upstream {

/// An entry host of this failure domain, as membership reports it.
struct member {
    std::string host;
    double weight = 1.0; ///< size of the host
    bool live = true;
};

/// Home entry host of each worker by weighted rendezvous hashing: a worker moves only to a host
/// that joined or grew, or away from one that left or shrank.
class home_map {
public:
    home_map() = default;
    explicit home_map(std::vector<member> members);

    /// Live host with the highest score for the worker; empty if no host is live.
    std::string_view home(std::string_view worker) const;

    bool live(std::string_view host) const;
    const std::vector<member>& members() const noexcept { return members_; }

private:
    std::vector<member> members_;
};

} // namespace chivewharf::upstream
