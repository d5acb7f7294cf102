// Cost of membership and usage averaging for one entry host: bytes and messages per second each
// way, taken from real encoded frames under virtual time, and processor time per second.
//
// Run: build/bin/peers_bench
//
// Byte figures: "mem B" and "usage B" count the encoded frames including their length prefix.
// "wire B" adds 52 bytes for each message (IPv4 20, TCP 20, timestamps option 12: each message is
// its own segment) and 52 bytes for an acknowledgement of each message received. This is an upper
// bound: delayed and piggybacked acknowledgements need less. Ethernet framing is not counted. Pings
// are not included because they depend on whether other traffic leaves a link idle. Every frame
// sent is also received, so the figures of both directions are equal on average.

#include <chrono>
#include <cstdio>
#include <ctime>
#include <membership/tests/domain_sim.h>
#include <string>
#include <variant>
#include <wire/wire.h>

namespace chivewharf {
namespace {

using membership::testing::domain_sim;

constexpr double segment_overhead_bytes = 52;
constexpr double acknowledgement_bytes = 52;
constexpr double budget_bytes = 4096;
constexpr double budget_core_percent = 2.4;
constexpr seconds settle_time{20};
constexpr seconds measured_time{64};

wire::message to_wire(const membership::heartbeat& m)
{
    return wire::heartbeat{m.incarnation, m.sequence, m.view};
}

wire::message to_wire(const membership::member_report& m)
{
    wire::member_report report;
    report.sync = m.sync;
    for (const auto& e : m.entries) {
        report.entries.push_back({e.domain, e.host, e.address, e.incarnation, e.sequence,
                                  static_cast<wire::member_state>(e.state), e.silence_ms, e.age_ms,
                                  e.retired});
    }
    return report;
}

wire::message to_wire(const membership::usage_message& m)
{
    return wire::usage_average{m.exchange, m.epoch, m.reply, m.keys, m.values};
}

struct traffic {
    double messages = 0;
    double bytes = 0;

    void add(const wire::message& m)
    {
        // Encoding and decoding are part of the measured processor time.
        const auto frame = wire::encode(m);
        wire::frame_decoder decoder;
        decoder.handshake_done();
        decoder.feed(frame);
        if (!decoder.next())
            std::fputs("a frame did not decode\n", stderr);
        messages += 1;
        bytes += static_cast<double>(frame.size());
    }

    double wire_bytes() const
    {
        return bytes + messages * (segment_overhead_bytes + acknowledgement_bytes);
    }
};

double cpu_seconds()
{
    timespec t{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

void set_usage(domain_sim& sim, std::size_t customers, rng& random)
{
    for (auto& n : sim.nodes()) {
        for (std::size_t c = 0; c < customers; ++c)
            static_cast<void>(n.usage->set_own("customer-" + std::to_string(c), uniform(random)));
    }
}

void measure(std::size_t hosts, std::size_t customers, double loss)
{
    domain_sim sim{hosts, 20261204};
    rng random{1};
    set_usage(sim, customers, random);
    sim.run(settle_time);
    traffic membership_sent, usage_sent;
    sim.loss = loss;
    sim.on_member_send = [&](const membership::member_message& m) {
        membership_sent.add(std::visit([](const auto& x) { return to_wire(x); }, m));
    };
    sim.on_usage_send = [&](const membership::usage_message& m) { usage_sent.add(to_wire(m)); };
    const double start = cpu_seconds();
    for (seconds s{0}; s < measured_time; s += seconds{1}) {
        set_usage(sim, customers, random);
        sim.run(seconds{1});
    }
    const double host_seconds = static_cast<double>(hosts) * to_seconds(measured_time);
    const double core_percent = 100 * (cpu_seconds() - start) / host_seconds;
    const double wire_bytes = membership_sent.wire_bytes() + usage_sent.wire_bytes();
    std::printf("%5zu %9zu %5.0f%% %9.1f %9.0f %9.1f %9.0f %9.0f %7.0f%% %8.3f%% %7.1f%%\n", hosts,
                customers, 100 * loss, membership_sent.messages / host_seconds,
                membership_sent.bytes / host_seconds, usage_sent.messages / host_seconds,
                usage_sent.bytes / host_seconds, wire_bytes / host_seconds,
                100 * wire_bytes / host_seconds / budget_bytes, core_percent,
                100 * core_percent / budget_core_percent);
}

} // namespace
} // namespace chivewharf

int main()
{
    std::puts(
        "per host and second, each way: messages (msg) and bytes (B) of membership (mem) and\n"
        "usage frames; wire B with TCP/IP headers and acknowledgements; share of 4096 B;\n"
        "processor time with codec, simulation and usage updates; share of 2.4% of a core");
    std::printf("%5s %9s %6s %9s %9s %9s %9s %9s %8s %9s %8s\n", "hosts", "customers", "loss",
                "mem msg", "mem B", "usage msg", "usage B", "wire B", "budget", "core", "budget");
    for (const double loss : {0.0, 0.05}) {
        for (const std::size_t hosts : {3UL, 16UL, 48UL}) {
            for (const std::size_t customers : {12UL, 120UL})
                chivewharf::measure(hosts, customers, loss);
        }
    }
}
