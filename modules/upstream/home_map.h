#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chivewharf::upstream {

/// An entry host of this failure domain, as reported by the membership protocol.
struct member {
    std::string host;
    double weight = 1.0; ///< relative capacity of the host
    bool live = true;
};

/// Assigns each worker a home: the entry host that grants its slots. Uses weighted rendezvous
/// hashing, so that a worker moves only to a host that joined or gained weight, or away from one
/// that left or lost weight.
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
