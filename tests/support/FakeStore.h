#pragma once

#include "plan/PlanJson.h"
#include "plan/PlanWriter.h"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace bulrushgap::test {

/** \brief In-memory object store with versions; simulates outages and responses lost after a write.
 */
class FakeStore
{
public:
    struct Object
    {
        std::uint64_t version = 0;
        boost::json::value value;
    };

    void put(const std::string &key, boost::json::value value)
    {
        this->objects[key] = Object{++this->revision, std::move(value)};
    }

    WriteResult write(const WritePlan &order)
    {
        if (this->outage)
            return {WriteResult::Kind::Unavailable, 0};
        auto &plan = this->objects[planKey];
        if (plan.version != order.ifVersion)
            return {WriteResult::Kind::Conflict, plan.version};
        plan = Object{++this->revision, order.value};
        if (this->answersToLose > 0) {
            --this->answersToLose;
            return {WriteResult::Kind::LostAnswer, 0};
        }
        return {WriteResult::Kind::Ok, plan.version};
    }

    [[nodiscard]] ReadResult read() const
    {
        ReadResult result;
        if (this->outage)
            return result;
        const auto found = this->objects.find(planKey);
        if (found == this->objects.end() || found->second.version == 0) {
            result.kind = ReadResult::Kind::Missing;
            return result;
        }
        result.version = found->second.version;
        result.kind = ReadResult::Kind::Invalid;
        if (auto stored = planFromJson(found->second.value, found->second.version)) {
            result.kind = ReadResult::Kind::Found;
            result.plan = stored.value().plan;
            result.writeId = stored.value().writeId;
        }
        return result;
    }

    static constexpr const char *planKey = "plan/main";

    std::map<std::string, Object> objects;
    std::uint64_t revision = 0;
    bool outage = false;
    int answersToLose = 0;
};

} // namespace bulrushgap::test
