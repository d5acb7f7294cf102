// A zone is cut off for 3.3 s. A job that another zone sent to it in the first moments of the cut
// reaches its owner when the cut ends, and the owner starts it, although the client's next call has
// the same tasks at work in the other zone.
#include "../rig-2/rig.h"

namespace {

constexpr int deadline_ms = 1500;
constexpr int resend_ms = 1300;
constexpr int cut_ms = 3300;
constexpr std::size_t rounds = 10;
constexpr int round_ms = 10000;

void play(const std::string& program, const std::string& folder, std::uint64_t seed, bool trouble)
{
    rig::deployment::options options;
    options.program = program;
    options.folder = folder;
    options.seed = seed;
    options.relay_links = true;
    options.hosts_per_zone = 3;
    auto& d = *new rig::deployment{options};
    d.start_all();
    rig::sleep_ms(5000);
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto begin = rig::now_ms();
        const auto taker = (round + seed) % 6;
        const auto away = d.hosts[(taker + 3) % 6].zone;    // the zone without the taker
        const auto again = taker / 3 * 3 + (taker + 1) % 3; // another machine of the taker's zone
        std::vector<std::thread> clients;
        // Two jobs keep the runners of the taker's zone busy, so that others go to the other zone:
        // the first for 1.4 s, the second waits behind it and is refused.
        clients.emplace_back([&] {
            d.submit(taker, rig::job_id(seed * 1000 + round * 10 + 8),
                     rig::simple_job(4, 60000, 1400, 1400), 2500, 2500);
        });
        clients.emplace_back([&] {
            rig::sleep_until_ms(begin + 60);
            d.submit(taker, rig::job_id(seed * 1000 + round * 10 + 9),
                     rig::simple_job(12, 60000, 1400, 1400), 2500, 2500);
        });
        rig::sleep_until_ms(begin + 200);
        if (trouble)
            d.cut_zone(away, true);
        for (std::size_t number = 0; number < 3; ++number)
            clients.emplace_back([&, number] {
                const auto body = rig::simple_job(4, 6000, 1300, 1000);
                const auto job = rig::job_id(seed * 1000 + round * 10 + number + 1);
                rig::sleep_until_ms(begin + 250 + 50 * static_cast<int>(number));
                const auto got = d.submit(taker, job, body, deadline_ms, deadline_ms);
                if (got.status == 0 || got.status == -1 || got.status == 502 || got.status == 504) {
                    rig::sleep_until_ms(got.at_ms + resend_ms);
                    d.submit(again, job, body, deadline_ms, deadline_ms);
                }
            });
        rig::sleep_until_ms(begin + 200 + cut_ms);
        if (trouble)
            d.cut_zone(away, false);
        for (auto& one : clients)
            one.join();
        rig::sleep_until_ms(begin + round_ms);
    }
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, play);
}
