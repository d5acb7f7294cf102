// A machine freezes while it waits for a job's result. Its client gets no response and sends the
// job again to a machine of another zone. When the frozen machine wakes, it has the job run once
// more, although the time of its call is long over, while the client's next attempt is at work.
#include "../rig-2/rig.h"

namespace {

constexpr int deadline_ms = 1500;
constexpr int resend_ms = 1300;
constexpr int freeze_after_ms = 150;
constexpr int freeze_ms = 3500;
constexpr std::size_t rounds = 14;
constexpr int round_ms = 7500;

void play(const std::string& program, const std::string& folder, std::uint64_t seed, bool trouble)
{
    rig::deployment::options options;
    options.program = program;
    options.folder = folder;
    options.seed = seed;
    options.hosts_per_zone = 3;
    auto& d = *new rig::deployment{options};
    d.start_all();
    rig::sleep_ms(4000);
    // Each machine in turn: those that own the runners of their zone, and those that do not.
    for (std::size_t round = 0; round < rounds; ++round) {
        const auto begin = rig::now_ms();
        const auto frozen = (round * 5 + seed) % d.hosts.size();
        const auto other = (frozen + 3) % d.hosts.size();
        std::vector<std::thread> clients;
        for (std::size_t number = 0; number < 3; ++number)
            clients.emplace_back([&, number] {
                const auto body = rig::simple_job(4, 4000, 1400, 1000);
                const auto job = rig::job_id(seed * 1000 + round * 10 + number + 1);
                const auto got = d.submit(frozen, job, body, deadline_ms, deadline_ms);
                if (got.status == 0 || got.status == -1 || got.status == 502 || got.status == 504) {
                    rig::sleep_until_ms(got.at_ms + resend_ms);
                    d.submit(other, job, body, deadline_ms, deadline_ms);
                }
            });
        rig::sleep_until_ms(begin + freeze_after_ms);
        if (trouble)
            d.processes[frozen]->signal(SIGSTOP, "freezes");
        rig::sleep_until_ms(begin + freeze_after_ms + freeze_ms);
        if (trouble)
            d.processes[frozen]->signal(SIGCONT, "wakes");
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
