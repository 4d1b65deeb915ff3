#include "outcome/AnswerSizes.h"

#include <algorithm>

namespace bulrushgap::balance {

namespace internal {

/** An answer below this share of the average is short. Usual sizes of a route may differ by more
 * than half of the average; a refusal has a status line and a few headers. */
constexpr double shortShare = 0.25;

/** Answers of a route from which its average is known. */
constexpr std::uint32_t minSamples = 8;

/** Weight of a usual answer in the average. */
constexpr double smoothing = 1.0 / 16;

/** Weight of a short answer: a few seconds of refusals must not become usual, but a new version of
 * the callers' application that answers with less must. */
constexpr double shortSmoothing = 1.0 / 256;

} // namespace internal

bool AnswerSizes::add(Endpoint route, std::uint32_t bytes)
{
    Average &average = this->byRoute[route.key()];
    const bool known = average.samples >= internal::minSamples;
    const bool isShort = known && bytes < internal::shortShare * average.bytes;
    // Until the average is known it is the mean of all answers.
    const double weight = !known    ? 1.0 / (average.samples + 1)
                          : isShort ? internal::shortSmoothing
                                    : internal::smoothing;
    average.bytes += weight * (bytes - average.bytes);
    average.samples = std::min(average.samples + 1, internal::minSamples);
    return isShort;
}

} // namespace bulrushgap::balance
