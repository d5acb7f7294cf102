#pragma once

#include <base/time.h>
#include <cstddef>
#include <cstdint>
#include <fleet/ports.h>
#include <fleet/topic_follower.h>
#include <functional>
#include <vector>
#include <wire/messages.h>

namespace chivewharf::fleet {

/// What of a record the other hosts of the domain have to learn.
///  - `nothing`: it changes nothing that they know. `record`: the whole record.
///  - `deletion`: only that its key holds nothing to use any more, for example since the record
///    cannot be read.
enum class relay : std::uint8_t { nothing, record, deletion };

/// Decides when this host reads a topic of the platform's store, and what it passes on to the other
/// hosts of its failure domain.
///
/// If every host read the workers' topic, the bytes and the processor time spent on heartbeats
/// would grow with hosts times workers. So the hosts of a domain are ranked: the first one reads
/// and passes on the records that matter; each of the others reads only if the topic has not been
/// passed on for a time that grows with its rank, or if it has missed records.
class topic_reader {
public:
    /// How a topic is read.
    struct plan {
        duration wait;  ///< how long the store may hold a read that finds no new records
        duration pause; ///< between a reply and the next read
    };

    /// The second host of the ranking reads if the topic is overdue by this much.
    static constexpr duration standby_delay = milliseconds{400};
    /// Each further host waits this much longer than the one ranked before it.
    static constexpr duration rank_delay = milliseconds{250};
    /// Maximum number of records in a message.
    static constexpr std::size_t max_records_per_message = 256;
    /// A message ends with the record that brings its keys and values to this size. With the
    /// largest record that the store accepts, it stays below the size limit of a frame.
    static constexpr std::size_t full_message_bytes = std::size_t{1} << 20U;
    /// Maximum number of records in a read after a reply that was too large.
    static constexpr std::size_t max_records_of_small_read = 16;

    using apply_function = std::function<relay(const keyed_record&)>;

    topic_reader(store_topic topic, plan reading_plan, apply_function apply);
    topic_reader(const topic_reader&) = delete;
    topic_reader& operator=(const topic_reader&) = delete;
    ~topic_reader() = default;

    store_topic topic() const noexcept { return topic_; }
    /// What to read next.
    topic_follower::request next() const;

    /// How long the store may hold the next read.
    duration wait() const noexcept { return plan_.wait; }

    /// Time of the next read.
    /// \param rank number of hosts of the domain that read before this one
    time_point due(std::size_t rank) const;

    /// True once all keys have been read at least once.
    bool complete() const noexcept { return follower_.complete(); }

    /// True if this host has read the topic, or has had it passed on, as recently as it can expect
    /// while the store answers.
    bool current(time_point now) const;

    /// Processes the reply to a read of `next()`.
    /// \return messages for the other hosts of the domain
    std::vector<wire::store_records> read_answered(const store_reply& reply, time_point now);

    /// The store did not answer a read.
    /// \param backoff time until the next attempt
    void read_failed(duration backoff, time_point now);

    /// The reply to a read was larger than this host accepts. Until the topic's end is reached,
    /// reads ask for few records.
    /// \return false if no smaller read is possible
    bool reply_too_large(time_point now);

    /// Processes records that another host has read.
    void passed_on(const wire::store_records& records, time_point now);

private:
    std::vector<wire::store_records> messages(std::uint64_t begin);

    store_topic topic_;
    plan plan_;
    apply_function apply_;
    topic_follower follower_;
    std::vector<wire::store_record> relevant_; ///< records of the current reply to be passed on
    time_point refreshed_{};                   ///< when the topic was read or passed on
    time_point not_before_{};                  ///< end of the back-off after a failed read
    bool missed_records_ = false;              ///< records that were passed on did not arrive here
    bool behind_ = false;                      ///< the last reply did not reach the topic's end
    bool small_reads_ = false;                 ///< a reply was too large
};

} // namespace chivewharf::fleet
