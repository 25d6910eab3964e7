#pragma once

#include <swiftloft/expertmap/rank-agent.h>
#include <swiftloft/units.h>

#include <map>

namespace swiftloft::standin {

/// The expert maps of one engine: which are loaded, which one it steps with and which switch point it waits at. Orders
/// are conditional, as docs/design/expert-maps.md asks of engines. Nothing outlives the process.
class MapState {
public:
    struct Options {
        Incarnation engine;
        bool checksFencing { true };
        /// Loading a map takes this long and runs beside the steps.
        milliseconds loadTime { 0 };
    };

    explicit MapState(const Options& options);

    /// False when the order carries a fencing number below the highest seen and the engine checks them.
    bool take(TimePoint now, const expertmap::EngineOrder& order);
    /// Enters `step` if nothing holds the engine.
    bool enter(TimePoint now, StepNumber step);

    const expertmap::EngineStatus& status(TimePoint now);
    expertmap::FencingNumber fence() const { return m_fence; }

private:
    void apply(TimePoint now, const expertmap::Order& order);
    void drop(MapVersion keep);
    void admit(const expertmap::Admit& order);
    void arm(const expertmap::SwitchPoint& point);
    void finishLoading(TimePoint now);

    Options m_options;
    expertmap::EngineStatus m_status;
    expertmap::FencingNumber m_fence;
    /// When each map being loaded is whole.
    std::map<MapVersion, TimePoint> m_loading;
};

} // namespace swiftloft::standin
