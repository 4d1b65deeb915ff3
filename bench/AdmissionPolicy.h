#pragma once

#include "AdmissionWorld.h"
#include "packet/Packet.h"

#include <memory>

namespace bulrushgap {

/** \brief How the instances of the bench admit requests. */
class AdmissionPolicy
{
public:
    AdmissionPolicy() = default;
    AdmissionPolicy(const AdmissionPolicy &) = delete;
    AdmissionPolicy &operator=(const AdmissionPolicy &) = delete;
    virtual ~AdmissionPolicy() = default;

    virtual void admit(std::size_t instance, std::uint64_t handle, std::uint8_t hops) = 0;
    virtual void answer(std::size_t instance, std::uint64_t handle, const DispatchId &id,
                        std::size_t upstream, AnswerOutcome outcome, const LoadReport &report)
        = 0;
    virtual void tick() = 0;
    virtual void heartbeat() = 0;
};

enum class PolicyKind {
    Baseline,   //!< A random upstream; no limits, no shared knowledge.
    LocalShare, //!< Each instance limits on its own count; power of two choices.
    Product,    //!< AdmissionController.
};

[[nodiscard]] std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(PolicyKind kind,
                                                                   AdmissionWorld &world);

} // namespace bulrushgap
