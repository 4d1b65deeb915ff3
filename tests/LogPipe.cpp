#include "service/LogPipe.h"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

using namespace bulrushgap;

namespace {

/** \brief Both ends of a pipe, closed by the destructor. */
class Pipe
{
public:
    Pipe() { REQUIRE(::pipe(this->ends.data()) == 0); }
    ~Pipe()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    [[nodiscard]] int writeEnd() const { return this->ends[1]; }

    /** \returns everything written since the last call. */
    std::string drain()
    {
        ::fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text;
        std::array<char, 65'536> part{};
        for (ssize_t bytes = 0; (bytes = ::read(this->ends[0], part.data(), part.size())) > 0;)
            text.append(part.data(), static_cast<std::size_t>(bytes));
        return text;
    }

private:
    std::array<int, 2> ends{};
};

} // namespace

// Guards against lines without the time, level or module that operators need to search the log.
TEST_CASE("a line starts with time, level and module", "[LogPipe]")
{
    boost::asio::io_context context;
    Pipe pipe;
    LogPipe log(context, pipe.writeEnd());
    log.write("balancer", LogLevel::Warn, "event=x a=1");
    log.flush();
    const std::string text = pipe.drain();
    CHECK(text.starts_with("time=2"));
    CHECK(text.find("Z level=WARN module=balancer event=x a=1\n") != std::string::npos);
}

// Guards against a packet loop that blocks on the reader of the log, and against lines that are
// lost without a report.
TEST_CASE("lines are dropped, counted and reported while the pipe is not read", "[LogPipe]")
{
    boost::asio::io_context context;
    Pipe pipe;
    LogPipe log(context, pipe.writeEnd());
    const std::string line(1'000, 'x');
    constexpr int lines = 1'000;
    for (int i = 0; i < lines; ++i) {
        log.write("balancer", LogLevel::Info, line);
        log.flush();
    }
    CHECK(log.droppedLines() > 0);
    CHECK(log.droppedLines() < lines);
    constexpr int maxDrains = 4; // Pipe and buffer together hold at most two pipe capacities.
    for (int i = 0; i < maxDrains; ++i) {
        static_cast<void>(pipe.drain());
        log.flush();
    }
    log.write("balancer", LogLevel::Info, "event=after");
    log.flush();
    const std::string text = pipe.drain();
    CHECK(text.find("event=log_lines_dropped lines=" + std::to_string(log.droppedLines()))
          != std::string::npos);
    CHECK(text.find("event=after") != std::string::npos);
}
