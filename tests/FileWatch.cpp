#include "service/FileWatch.h"

#include "Loopback.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

using namespace bulrushgap;
using std::chrono::milliseconds;

namespace {

/** \brief Temporary file, removed by the destructor. */
class TemporaryFile
{
public:
    TemporaryFile()
        : path(std::filesystem::temp_directory_path()
               / ("bulrushgap-file-watch-" + std::to_string(::getpid())))
    {
        this->write("first");
    }
    ~TemporaryFile() { std::filesystem::remove(this->path); }
    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    void write(const std::string &content) const { std::ofstream(this->path) << content; }

    std::filesystem::path path;
};

} // namespace

// Guards against a changed settings file that is not reloaded because no signal was sent.
TEST_CASE("a change of the content is detected without a signal", "[FileWatch]")
{
    const TemporaryFile file;
    boost::asio::io_context context;
    int changes = 0;
    FileWatch watch(context, file.path, milliseconds(5), [&] { ++changes; });
    file.write("second");
    REQUIRE(runUntil(context, [&] { return changes == 1; }));
    file.write("third");
    REQUIRE(runUntil(context, [&] { return changes == 2; }));
}

// Guards against reloads without a change, and against a reload while the file is being replaced
// and briefly missing.
TEST_CASE("unchanged content or a missing file is not a change", "[FileWatch]")
{
    const TemporaryFile file;
    boost::asio::io_context context;
    int changes = 0;
    FileWatch watch(context, file.path, std::chrono::hours(1), [&] { ++changes; });
    watch.check();
    file.write("first");
    watch.check();
    std::filesystem::remove(file.path);
    watch.check();
    CHECK(changes == 0);
    file.write("second");
    watch.check();
    CHECK(changes == 1);
}
