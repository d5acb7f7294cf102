#pragma once

#include <array>
#include <base/base.h>
#include <cstdint>
#include <deque>
#include <string>
#include <submission/submission_id.h>
#include <vector>

namespace chivewharf::submission {

/// Result of checking an issued id on one entry host.
enum class id_standing : std::uint8_t {
    valid,             ///< issued by this incarnation and not expired
    not_issued,        ///< carries this incarnation, which did not issue it
    expired,           ///< issued by this incarnation, but older than the id lifetime
    other_incarnation, ///< carries this host's name but another incarnation
    other_host,        ///< carries the name of another host
};

/// Issues submission ids for one incarnation of a host and checks ids that claim to come from it.
class id_issuer {
public:
    /// \param incarnation 64 random bits chosen at process start
    /// \param id_lifetime time after issue during which an id may be used
    /// \return the issuer, or `invalid_name` if ids with these names would be too long or would not
    /// parse to the same fields
    static result<id_issuer, submission_error> make(std::string domain, std::string host,
                                                    std::uint64_t incarnation,
                                                    duration id_lifetime = seconds{300});

    /// Issues one id.
    std::string issue(time_point now, wall_ms wall);

    /// Issues `count` ids with consecutive sequence numbers.
    std::vector<std::string> issue_block(std::size_t count, time_point now, wall_ms wall);

    /// Checks an issued id. Its age is measured with the boot clock, so a step of the wall clock
    /// neither expires the id early nor extends its lifetime.
    id_standing check(const issued_parts& id, time_point now) const;

    std::uint64_t incarnation() const noexcept { return incarnation_; }

private:
    /// Consecutive ids, from `first_seq` up to the next range, that share one wall-clock second and
    /// were issued within one second as measured by the boot clock. Without this limit, a stopped
    /// wall clock would keep one range open, and an id could stay valid after its table entry
    /// expired.
    struct range {
        std::uint64_t first_seq;
        std::uint64_t seconds;
        time_point opened;
    };

    id_issuer(std::string domain, std::string host, std::uint64_t incarnation,
              duration id_lifetime);
    void open_range(time_point now, wall_ms wall);

    std::string domain_;
    std::string host_;
    std::uint64_t incarnation_;
    duration id_lifetime_;
    std::uint64_t next_seq_ = 1;
    std::deque<range> ranges_;
};

/// Reason and work state with which an id that is not in the table is refused.
struct refusal {
    reason why = reason::none;
    work_state work = work_state::may_have_run;

    bool operator==(const refusal&) const = default;
};

/// Maps the result of `id_issuer::check` to a refusal; the reason is `none` for `valid`.
/// `other_host` maps to `owner_unreachable`, which applies if the request cannot be forwarded to
/// that host.
refusal refusal_for(id_standing standing) noexcept;

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::id_standing> {
    static constexpr std::array<std::string_view, 5> names{"valid", "not_issued", "expired",
                                                           "other_incarnation", "other_host"};
};
