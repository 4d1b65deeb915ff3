#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bulrushgap {

/** \brief Notices changes of a small file by its content; needs no support of the file system. */
class FileWatch
{
public:
    using ChangeHandler = std::function<void()>;

    /** \param onChange called when the content differs from the last one that could be read. */
    FileWatch(boost::asio::io_context &context, std::string path,
              std::chrono::milliseconds interval, ChangeHandler onChange);

    /** \brief Looks now, for example after a signal. */
    void check();

private:
    void wait();
    [[nodiscard]] std::optional<std::uint64_t> fingerprint() const;

    std::string path;
    std::chrono::milliseconds interval;
    ChangeHandler onChange;
    boost::asio::steady_timer timer;
    std::optional<std::uint64_t> known; //!< Hash of the content.
};

} // namespace bulrushgap
