#pragma once

#include <cstdint>
#include <optional>
#include <set>

namespace bulrushgap {

/** \brief Detects when all parts of an answer have been forwarded, in any order. */
class PartTracker
{
public:
    void add(std::uint32_t part, bool last)
    {
        this->seen.insert(part);
        if (last)
            this->lastPart = part;
    }

    /** \brief Discards all parts, for the answer to another dispatch. */
    void clear()
    {
        this->seen.clear();
        this->lastPart.reset();
    }

    [[nodiscard]] bool complete() const
    {
        return this->lastPart && this->seen.size() == std::size_t{*this->lastPart} + 1;
    }

private:
    std::set<std::uint32_t> seen;
    std::optional<std::uint32_t> lastPart;
};

} // namespace bulrushgap
