#pragma once

#include "health/UpstreamHealth.h"
#include "placement/PlacementChoice.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bulrushgap::balance {

/** \brief Numbers of upstreams of a service that a new flow can't use, by reason. */
struct PlacementExclusions
{
    std::size_t draining = 0;
    std::size_t evacuated = 0;
    std::size_t ambiguousTag = 0;
    std::size_t confirmedDown = 0;
    std::size_t domainUnreachable = 0;
    std::size_t coldWithoutBudget = 0;
};

/** \brief Numbers of candidates that a new flow uses only if the others are worse, by reason. */
struct PlacementAvoidance
{
    std::size_t ejected = 0;
    std::size_t suspect = 0;           //!< Not alive, but not confirmed down.
    std::size_t slow = 0;              //!< By their learned capacity.
    std::size_t probablyWarm = 0;      //!< Without budget, but cold only by a return.
    std::size_t triedByThisCaller = 0; //!< Did not answer an earlier attempt.
};

/** \brief Candidate with its score and the inputs of the score. */
struct PlacementCandidate
{
    std::string upstream;
    std::string domain;
    double score = 0.0;    //!< Requests per slot and penalties, without jitter.
    unsigned requests = 0; //!< Pending requests of this instance.
    unsigned flows = 0;    //!< Flows of this instance.
    unsigned slots = 0;
    double capacity = 1.0; //!< Learned factor of the slots.
    Liveness liveness = Liveness::Alive;
    bool cold = false;
    bool ejected = false;
};

/** \brief What Placement::choose would choose, and why. */
struct PlacementExplanation
{
    static constexpr std::size_t maxBest = 5;

    std::string service;
    PlacementChoice choice;
    bool sampled = false; //!< Too many candidates: each flow considers only a part of them.
    PlacementExclusions excluded;
    PlacementAvoidance avoided;
    std::vector<PlacementCandidate> best; //!< Lowest score first.
};

} // namespace bulrushgap::balance
