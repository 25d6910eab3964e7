#pragma once

#include "src/gateway/capacity/service-estimate.h"
#include "src/process/metrics.h"

#include <map>

namespace swiftloft::gateway::capacity {

/// Shows an estimate in the metrics of its entry.
class EstimateMetrics {
public:
    explicit EstimateMetrics(process::SharedMetrics& metrics)
        : m_metrics(metrics)
    {
    }

    void update(TimePoint now, const ServiceEstimate& estimate);

private:
    process::SharedMetrics& m_metrics;
    /// What was counted so far.
    std::map<ServiceName, ServiceReport> m_counted;
};

} // namespace swiftloft::gateway::capacity
