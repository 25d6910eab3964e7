#pragma once

#include <swiftloft/expertmap/rank-agent.h>

#include <map>

namespace swiftloft::expertmap::rig {

/// A fake engine that implements the conditional orders of the protocol. It keeps no state across a restart.
struct FakeEngine {
    EngineStatus status;
    bool checksFences { false };
    FencingNumber highest;
    bool isUp { true };
    /// Turns until each map being loaded is staged. Loading runs beside the steps.
    std::map<MapVersion, int> loading;

    void apply(const EngineOrder& order, int loadTurns)
    {
        bool isRead = std::holds_alternative<ReadStatus>(order.order);
        if (checksFences && !isRead) {
            if (order.fence < highest)
                return;
            highest = order.fence;
        }
        if (auto* it = std::get_if<StageMap>(&order.order))
            stage(it->version, loadTurns);
        else if (auto* it = std::get_if<DropMaps>(&order.order))
            drop(it->keep);
        else if (auto* it = std::get_if<Admit>(&order.order))
            admit(*it);
        else if (auto* it = std::get_if<Arm>(&order.order))
            arm(it->point);
        else if (auto* it = std::get_if<Go>(&order.order))
            status.isReleased = status.isReleased || status.armed == it->point;
        else if (auto* it = std::get_if<Cancel>(&order.order))
            cancel(it->point);
    }

    void stage(MapVersion version, int loadTurns)
    {
        if (!status.hasStaged(version))
            loading.emplace(version, loadTurns);
    }

    void drop(MapVersion keep)
    {
        auto isObsolete = [&](MapVersion it) {
            bool isUsed = (status.isAdmitted && it == status.current) || (status.armed && it == status.armed->version);
            return !isUsed && it != keep;
        };
        std::erase_if(status.staged, isObsolete);
        std::erase_if(loading, [&](auto& it) { return isObsolete(it.first); });
    }

    void admit(const Admit& order)
    {
        if (status.isAdmitted || !status.hasStaged(order.version))
            return;
        status.isAdmitted = true;
        status.current = order.version;
        status.armed = order.arm;
    }

    void arm(const SwitchPoint& point)
    {
        if (status.isAdmitted && !status.armed && status.entered < point.step && status.hasStaged(point.version))
            status.armed = point;
    }

    void cancel(const SwitchPoint& point)
    {
        if (status.armed == point && !status.isReleased)
            status.armed.reset();
    }

    /// Enters `step` unless the engine is down, not admitted or held; returns whether it entered.
    bool enter(StepNumber step)
    {
        if (!isUp || !status.isAdmitted)
            return false;
        if (status.armed && step >= status.armed->step) {
            if (!status.isReleased)
                return false;
            status.current = status.armed->version;
            status.armed.reset();
            status.isReleased = false;
        }
        status.entered = step;
        return true;
    }

    void load(bool isStoreUp)
    {
        for (auto it = loading.begin(); it != loading.end();) {
            if (isStoreUp && --it->second <= 0) {
                status.staged.push_back(it->first);
                it = loading.erase(it);
            } else
                ++it;
        }
    }
};

} // namespace swiftloft::expertmap::rig
