#pragma once

#include "base/Time.h"
#include "steering/FlowTracker.h"

#include <functional>
#include <queue>
#include <vector>

namespace bulrushgap::balance {

/** \brief Pending requests in the order in which they miss their objective. */
class LateRequests
{
public:
    /** \brief Called for each request that was pending when it was added and is now due. */
    using DueHandler = std::function<void(const FlowId &flow, TimePoint sentAt)>;

    /** \brief Adds a request that must be answered within \a objective. */
    void add(const FlowId &flow, TimePoint sentAt, Duration objective)
    {
        this->requests.push({sentAt + objective, sentAt, flow});
    }

    /** \brief Removes the requests that are due and passes them to \a onDue. */
    void takeDue(TimePoint now, const DueHandler &onDue)
    {
        while (!this->requests.empty() && this->requests.top().due <= now) {
            const Request request = this->requests.top();
            this->requests.pop();
            onDue(request.flow, request.sentAt);
        }
    }

private:
    struct Request
    {
        TimePoint due;
        TimePoint sentAt;
        FlowId flow;

        friend bool operator<(const Request &a, const Request &b) { return a.due > b.due; }
    };

    std::priority_queue<Request, std::vector<Request>> requests;
};

} // namespace bulrushgap::balance
