#include "service/Fault.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <numeric>

namespace bulrushgap {

namespace internal {

/** \returns the Levenshtein distance between two words. */
std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < first.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < second.size(); ++j) {
            const std::size_t substitution = diagonal + (first[i] == second[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j] + 1, diagonal + 1, substitution});
        }
    }
    return row.back();
}

} // namespace internal

std::string Fault::toString() const
{
    const std::string where = this->path.empty() ? "(whole file)" : this->path;
    return where + ": expected " + this->expected + ", found " + this->found;
}

std::string describeFound(const boost::json::value &value)
{
    constexpr std::size_t maxLength = 80;
    std::string text = boost::json::serialize(value);
    if (text.size() > maxLength)
        text = text.substr(0, maxLength) + "...";
    return text;
}

std::string_view closestMatch(std::string_view word,
                              const std::vector<std::string_view> &candidates)
{
    constexpr std::size_t maxDistance = 2;
    std::string_view best;
    std::size_t bestDistance = maxDistance + 1;
    for (const std::string_view candidate : candidates) {
        const std::size_t distance = internal::editDistance(word, candidate);
        if (distance < bestDistance && distance < candidate.size()) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

} // namespace bulrushgap
