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
    , known(this->fingerprint())
{
    this->wait();
}

void FileWatch::check()
{
    const auto found = this->fingerprint();
    // A file that is being replaced may be missing for a moment.
    if (!found || found == this->known)
        return;
    this->known = found;
    this->onChange();
}

void FileWatch::wait()
{
    this->timer.expires_after(this->interval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->check();
        this->wait();
    });
}

std::optional<std::uint64_t> FileWatch::fingerprint() const
{
    std::ifstream file(this->path, std::ios::binary);
    if (!file)
        return std::nullopt;
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    return XXH3_64bits(content.data(), content.size());
}

} // namespace bulrushgap
