#pragma once

#include <base/digest.h>
#include <base/result.h>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <submission/submission_error.h>

namespace chivewharf::submission {

/// Longest id in bytes.
inline constexpr std::size_t max_id_length = 128;

/// Number of ownership slots of a domain.
inline constexpr unsigned ownership_slots = 64;

/// The parts of an id that an entry host issued.
struct issued_parts {
    std::string domain;
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t seconds = 0; ///< wall time of issue, seconds since the Unix epoch
    std::uint64_t seq = 0;

    bool operator==(const issued_parts&) const = default;
};

/// Text of an issued id: `i.DOMAIN.HOST.INCARNATION.SECONDS.SEQ`. The domain has no dot; the host
/// may have some.
std::string format_issued(const issued_parts& parts);

/// A submission id as a caller sent it. An id that has exactly the form of an issued id is an
/// issued id; any other valid id, including near misses such as leading zeros, is a caller's id.
class submission_id {
public:
    /// Accepts 1 to `max_id_length` bytes of printable ASCII without space or slash.
    /// \return the id, or `invalid_id`
    static result<submission_id, submission_error> parse(std::string_view text);

    const std::string& text() const noexcept { return text_; }

    /// Parts of an issued id; empty for a caller's id.
    const std::optional<issued_parts>& issued() const noexcept { return issued_; }

    /// Home domain of a caller's id: its prefix before the first colon if that is a key domain,
    /// otherwise the choice of a rendezvous hash of customer and id. The order of `key_domains`
    /// has no influence.
    /// \param key_domains must not be empty
    std::string_view home_domain(std::string_view customer,
                                 std::span<const std::string> key_domains) const;

    /// Ownership slot of a caller's id within its home domain, below `ownership_slots`.
    unsigned slot(std::string_view customer) const noexcept;

private:
    std::string text_;
    std::optional<issued_parts> issued_;
};

/// Key of a submission in the table: the first 128 bits of the SHA-256 of customer and id. The
/// hash is cryptographic because a collision would let one customer block another's id.
struct submission_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const submission_key&) const = default;
    bool operator<(const submission_key& other) const
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

/// Key of the customer's id.
submission_key make_key(std::string_view customer, std::string_view id);

} // namespace chivewharf::submission
