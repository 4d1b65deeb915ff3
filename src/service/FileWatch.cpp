#include "service/FileWatch.h"

#include <xxhash.h>

#include <fstream>
#include <iterator>
#include <utility>

namespace bulrushgap {

FileWatch::FileWatch(boost::asio::io_context &context, std::string path,
                     std::chrono::milliseconds interval, ChangeHandler onChange)
    : path(std::move(path))
    , interval(interval)
    , onChange(std::move(onChange))
    , timer(context)
    , lastHash(this->contentHash())
{
    this->scheduleCheck();
}

void FileWatch::check()
{
    const auto currentHash = this->contentHash();
    // The file may be missing briefly while it is being replaced.
    if (!currentHash || currentHash == this->lastHash)
        return;
    this->lastHash = currentHash;
    this->onChange();
}

void FileWatch::scheduleCheck()
{
    this->timer.expires_after(this->interval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->check();
        this->scheduleCheck();
    });
}

std::optional<std::uint64_t> FileWatch::contentHash() const
{
    std::ifstream file(this->path, std::ios::binary);
    if (!file)
        return std::nullopt;
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    return XXH3_64bits(content.data(), content.size());
}

} // namespace bulrushgap
