#include "src/gateway/capacity/estimate-metrics.h"

namespace swiftloft::gateway::capacity {

void EstimateMetrics::update(TimePoint now, const ServiceEstimate& estimate)
{
    auto toSeconds = [](Clock::duration duration) { return std::chrono::duration<double>(duration).count(); };
    for (auto& report : estimate.groupReports(now)) {
        process::Labels labels { { "service", report.service.value() }, { "group", report.group.value() } };
        // Plain services and groups that send no streams have no passes.
        if (report.pass) {
            m_metrics.set("swiftloft_entry_estimate_pass_seconds", labels, toSeconds(report.pass->length));
            m_metrics.set("swiftloft_entry_estimate_age_seconds", labels, toSeconds(report.pass->age));
        }
        m_metrics.set("swiftloft_entry_estimate_binding", labels, report.isBinding ? 1 : 0);
        m_metrics.set("swiftloft_entry_estimate_run_limit", labels, report.runLimit);
        m_metrics.set("swiftloft_entry_estimate_ends_per_second", labels, report.endsPerSecond);
    }
    for (auto& report : estimate.serviceReports()) {
        auto& counted = m_counted[report.service];
        auto count = [&](const char* outcome, std::uint64_t& known, std::uint64_t value) {
            // A service that was unlisted for a while begins again at zero.
            if (value > known)
                m_metrics.count("swiftloft_entry_estimate_requests_total", { { "service", report.service.value() }, { "outcome", outcome } }, static_cast<double>(value - known));
            known = value;
        };
        count("wanted", counted.wanted, report.wanted);
        count("refused", counted.refused, report.refused);
        count("probe", counted.probes, report.probes);
    }
}

} // namespace swiftloft::gateway::capacity
