#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace bulrushgap::balance {

/** \brief Outcomes or ejection that one instance reports to another about an upstream. */
struct OutcomeReport
{
    std::uint32_t flowTag = 0; //!< Identifies the upstream, as in the packets of its flows.
    std::uint16_t failures = 0;
    std::uint16_t requests = 0;
    std::uint16_t ejectedMs = 0; //!< Rest of the delay of an ejection in force; 0 without one.
    bool reinstated = false;     //!< Trials have ended the ejection.

    friend bool operator==(const OutcomeReport &, const OutcomeReport &) = default;
};

using OutcomeReports = std::vector<OutcomeReport>;

/** \brief Maximum number of reports in one message. */
constexpr std::size_t maxOutcomeReports = 64;

/** \brief Minimum interval between two messages of reports from one instance to another. */
constexpr std::chrono::milliseconds outcomeReportInterval{250};

/** \brief Longest wait of a poll for reports; it fails if it is not answered within its wait. */
constexpr std::chrono::milliseconds outcomePollWait{3'000};

/** \brief Time after which reports are too old to be passed on. */
constexpr std::chrono::seconds maxOutcomeReportAge{3};

/** \brief Request of an instance to the one from which it reads its view. */
struct OutcomeRequest
{
    OutcomeReports reports;
    std::chrono::milliseconds wait{0}; //!< Longest wait for reports of the other instance.
    bool poll = false;                 //!< Otherwise the reply has no reports.

    friend bool operator==(const OutcomeRequest &, const OutcomeRequest &) = default;
};

/** \brief Connection to the instance with which reports are exchanged. */
class OutcomeSource
{
public:
    /** Receives the reports of the other instance, or nothing if it did not reply. */
    using Handler = std::function<void(const std::optional<OutcomeReports> &reply)>;

    OutcomeSource() = default;
    virtual ~OutcomeSource() = default;
    OutcomeSource(const OutcomeSource &) = delete;
    OutcomeSource &operator=(const OutcomeSource &) = delete;

    /** \brief Sends \a request; the handler is not called from within this function. */
    virtual void exchange(const OutcomeRequest &request, Handler handler) = 0;
};

} // namespace bulrushgap::balance
