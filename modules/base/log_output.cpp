#include <base/log_output.h>

#include <fcntl.h>
#include <glog/logging.h>
#include <string>
#include <unistd.h>

namespace chivewharf {

namespace {

std::uint64_t dropped_lines = 0;

class standard_output_sink final : public google::LogSink {
public:
    void send(google::LogSeverity /*severity*/, const char* /*file*/, const char* /*base_file*/,
              int /*line*/, const google::LogMessageTime& /*time*/, const char* message,
              std::size_t size) override
    {
        std::string line{message, size};
        line += '\n';
        const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
        if (written != static_cast<ssize_t>(line.size()))
            ++dropped_lines;
    }
};

} // namespace

void log_to_standard_output(const char* program)
{
    static standard_output_sink sink;
    google::InitGoogleLogging(program);
    // The sink is the only output: no log files, and only fatal messages on standard error.
    for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES; ++severity)
        google::SetLogDestination(severity, "");
    FLAGS_stderrthreshold = google::GLOG_FATAL;
    // Non-blocking: if the reader falls behind, lines are dropped and the process does not stall.
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    google::AddLogSink(&sink);
}

std::uint64_t dropped_log_lines() noexcept
{
    return dropped_lines;
}

} // namespace chivewharf
