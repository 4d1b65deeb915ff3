#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace bulrushgap {

/** \brief Detects changes of a small file by polling and hashing its content.
 *
 * Needs no change notifications from the file system.
 */
class FileWatch
{
public:
    using ChangeHandler = std::function<void()>;

    /** \param onChange called when the content differs from the content read last. */
    FileWatch(boost::asio::io_context &context, std::string path,
              std::chrono::milliseconds interval, ChangeHandler onChange);

    /** \brief Checks the file immediately, for example after a signal. */
    void check();

private:
    void scheduleCheck();
    [[nodiscard]] std::optional<std::uint64_t> contentHash() const;

    std::string path;
    std::chrono::milliseconds interval;
    ChangeHandler onChange;
    boost::asio::steady_timer timer;
    std::optional<std::uint64_t> lastHash; //!< Hash of the content read last.
};

} // namespace bulrushgap
