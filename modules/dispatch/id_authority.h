#pragma once

#include <base/time.h>
#include <cstdint>
#include <string_view>
#include <submission/id_issuer.h>
#include <submission/submission_id.h>

namespace chivewharf::dispatch {

/// Whether an id that is not in the submission table may be started by this incarnation.
struct id_verdict {
    bool may_start = false;
    submission::refusal refusal; ///< set if it may not start
    std::uint8_t slot = 255;     ///< ownership slot; 255 for an issued id
    std::uint64_t epoch = 0;     ///< epoch of the slot's ownership
};

/// Decides whether this incarnation may start a submission whose id is not in its table.
class id_authority {
public:
    id_authority() = default;
    id_authority(const id_authority&) = delete;
    id_authority& operator=(const id_authority&) = delete;
    virtual ~id_authority() = default;
    virtual id_verdict check_id(const submission::submission_id& id, std::string_view customer,
                                time_point now) const = 0;
};

} // namespace chivewharf::dispatch
