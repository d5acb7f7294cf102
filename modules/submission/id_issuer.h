#pragma once

#include <array>
#include <base/base.h>
#include <cstdint>
#include <deque>
#include <string>
#include <submission/submission_id.h>
#include <vector>

namespace chivewharf::submission {

/// What an entry host knows about an issued id.
enum class id_standing : std::uint8_t {
    valid,             ///< issued by this incarnation and not expired
    not_issued,        ///< names this incarnation, which did not issue it
    expired,           ///< issued by this incarnation longer ago than the id lifetime
    other_incarnation, ///< names this host but another incarnation
    other_host,        ///< names another host
};

/// Issues the ids of one incarnation and recognises them.
class id_issuer {
public:
    /// \param incarnation 64 random bits chosen at process start
    /// \param id_lifetime time after issue for which an id may be used
    /// \return the issuer, or `invalid_name` if an id with these names would not parse back
    static result<id_issuer, submission_error> make(std::string domain, std::string host,
                                                    std::uint64_t incarnation,
                                                    duration id_lifetime = seconds{300});

    /// Issues one id.
    std::string issue(time_point now, wall_ms wall);

    /// Issues `count` ids with consecutive sequence numbers.
    std::vector<std::string> issue_block(std::size_t count, time_point now, wall_ms wall);

    /// Standing of an issued id. The age is measured with the boot clock, so a step of the wall
    /// clock neither expires an id nor extends its life.
    id_standing check(const issued_parts& id, time_point now) const;

    std::uint64_t incarnation() const noexcept { return incarnation_; }

private:
    /// Ids of at most one second of the boot clock and one wall second: those from `first_seq` up
    /// to the next range. Without the bound on the boot clock, a wall clock that stands still would
    /// let an id outlive its entry in the table.
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

/// Reason and work state of the refusal of an id that is not in the table.
struct refusal {
    reason why = reason::none;
    work_state work = work_state::may_have_run;

    bool operator==(const refusal&) const = default;
};

/// Refusal that belongs to a standing; reason `none` for `valid`. `other_host` gives
/// `owner_unreachable`, for a host that cannot forward the request.
refusal refusal_for(id_standing standing) noexcept;

} // namespace chivewharf::submission

template <>
struct chivewharf::enum_names<chivewharf::submission::id_standing> {
    static constexpr std::array<std::string_view, 5> names{"valid", "not_issued", "expired",
                                                           "other_incarnation", "other_host"};
};
