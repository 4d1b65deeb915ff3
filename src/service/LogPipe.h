#pragma once

#include "service/Log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace bulrushgap {

/** \brief Writes log lines to a file descriptor without blocking on its reader.
 *
 * Lines are buffered and written a few times a second. Lines that do not fit into the buffer are
 * dropped and counted; their number is logged once the buffer has space again.
 */
class LogPipe
{
public:
    LogPipe(boost::asio::io_context &context, int descriptor);
    ~LogPipe();
    LogPipe(const LogPipe &) = delete;
    LogPipe &operator=(const LogPipe &) = delete;

    /** \brief Buffers \a line, preceded by the time, level and module. */
    void write(std::string_view module, LogLevel level, std::string_view line);

    /** \brief Writes as much of the buffer as the descriptor accepts without blocking. */
    void flush();

    [[nodiscard]] std::uint64_t droppedLines() const { return this->totalDrops; }

private:
    void scheduleFlush();
    [[nodiscard]] std::size_t nextWriteBytes() const;
    void append(std::string_view module, LogLevel level, std::string_view line);

    boost::asio::steady_timer timer;
    int descriptor;
    std::string buffer;
    bool flushPending = false;
    std::uint64_t unreportedDrops = 0; //!< Dropped since the last line that reported drops.
    std::uint64_t totalDrops = 0;
};

} // namespace bulrushgap
