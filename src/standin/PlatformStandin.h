#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "base/Time.h"
#include "service/HttpServer.h"
#include "service/SettingsReader.h"
#include "standin/ObjectTable.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>

#include <memory>
#include <string>
#include <vector>

namespace bulrushgap {

struct PlatformStandinSettings
{
    Endpoint listen;
    unsigned writesPerSecond = 400; //!< More are answered with 429; bursts of one second pass.
    unsigned readsPerSecond = 2'000;
    std::size_t historyLimit = 1'000; //!< Events; a watch that starts before them gets 410.
    Duration instanceLag{};           //!< Age of the answer of GET /instances.
    boost::json::object objects;      //!< Initial objects by key.

    [[nodiscard]] static SettingsReader reader();

    /** \returns the settings of the file, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<PlatformStandinSettings> load(const std::string &path);
};

/** \brief Faults that POST /standin/faults sets. */
struct PlatformFaults
{
    bool outage = false; //!< Connections are accepted and closed once a call arrives.
    std::chrono::milliseconds delay{};
    unsigned loseAnswers = 0; //!< Writes that take effect but are not answered.
};

/** \brief Stand-in of the platform's object API, in memory. */
class PlatformStandin
{
public:
    PlatformStandin(boost::asio::io_context &context, PlatformStandinSettings settings);

    /** \returns the endpoint in use, or a boost::system::error_code. */
    [[nodiscard]] boost::leaf::result<Endpoint> start() { return this->server.start(); }

    /** \brief Sets the faults from now on; an outage also ends waiting watches. */
    void setFaults(PlatformFaults faults);

    [[nodiscard]] const ObjectTable &objects() const { return this->table; }

    /** \brief Calls so far: "read", "write", "watch" and "limited". */
    [[nodiscard]] const Counters &calls() const { return this->counters; }

private:
    struct Bucket
    {
        double tokens = 0;
        TimePoint filled;
    };
    struct Waiting
    {
        std::string prefix;
        std::uint64_t since = 0;
        HttpResponder respond;
        boost::asio::steady_timer timer;
    };

    void addRoutes();
    void serve(std::string_view method, std::string_view pattern, AsyncHttpHandler handler);
    [[nodiscard]] bool allowed(bool write);
    [[nodiscard]] HttpReply get(const HttpRequestView &request) const;
    [[nodiscard]] HttpReply list(const HttpRequestView &request) const;
    [[nodiscard]] HttpReply instances() const;
    [[nodiscard]] HttpReply write(const HttpRequestView &request, bool remove);
    [[nodiscard]] HttpReply postFaults(const HttpRequestView &request);
    void watch(const HttpRequestView &request, HttpResponder respond);
    void wakeWatches();

    boost::asio::io_context &context;
    PlatformStandinSettings settings;
    PlatformFaults faults;
    ObjectTable table;
    Counters counters;
    Bucket reads;
    Bucket writes;
    std::vector<std::shared_ptr<Waiting>> waiting;
    HttpServer server;
};

} // namespace bulrushgap
