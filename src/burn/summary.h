#pragma once

#include <swiftloft/settings/views.h>

#include "src/burn/report.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace swiftloft::burn {

/// What one address said when it was asked for its report.
struct Answer {
    /// "IP:PORT".
    std::string address;
    Result<Report> report;
};

/// An entry without a report, and why.
struct Missing {
    std::string address;
    std::string reason;
};

/// The share of good requests that a service owes; nothing for a service that the settings don't name.
using ObjectiveOf = std::function<std::optional<settings::Ratio>(const ServiceName& service)>;

/// Requests of a row over one window.
struct Burn {
    std::uint64_t good { 0 };
    std::uint64_t bad { 0 };
    /// Share of bad requests over the share the objective allows; 1 uses up the budget exactly. 0 without an objective.
    double rate { 0 };
};

enum class Alarm {
    None,
    /// At both long windows the budget is used up faster than it is granted.
    Slow,
    /// At both short windows the budget of days is used up within hours.
    Fast,
};

std::string_view toString(Alarm alarm);

struct SummaryRow {
    ServiceName service;
    /// Empty for all organisations at the service together.
    std::optional<OrganisationName> organisation;
    std::optional<settings::Ratio> objective;
    /// One for each of `windowLengths`.
    std::array<Burn, windowLengths.size()> burns;
    /// Share of the budget over the longest window that is left; below 0 when it is overdrawn.
    double budgetLeft { 1 };
    Alarm alarm { Alarm::None };
    /// Over the longest window, most frequent first.
    std::vector<ReasonCount> reasons;
};

struct Summary {
    std::size_t asked { 0 };
    std::vector<InstanceId> instances;
    std::vector<Missing> missing;
    /// Share of asked entries times window length that the reports cover, for each of `windowLengths`.
    std::array<double, windowLengths.size()> coverage {};
    /// By service and organisation, each service's total first.
    std::vector<SummaryRow> rows;
    /// Organisations that `keepWorst` has left out.
    std::size_t leftOut { 0 };

    bool hasAlarm() const;

    /// Leaves of each service its total and the `n` organisations that use most of its budget, and every one with an
    /// alarm; for readers, who can't take in thousands of rows.
    void keepWorst(std::size_t n);
};

/// Adds up the reports of several entries, one at a time, so that no more than one need be held. An instance that
/// answered at two addresses counts once; an entry that gave no report, or is younger than a window, lowers the coverage,
/// so that the sums are never taken for the whole.
class Summariser {
public:
    void add(const Answer& answer);

    Summary finish(const ObjectiveOf& objectiveOf);

private:
    struct RowKey {
        ServiceName service;
        std::optional<OrganisationName> organisation;
        friend auto operator<=>(const RowKey&, const RowKey&) = default;
    };

    struct Sums {
        std::array<Burn, windowLengths.size()> burns;
        std::map<std::string, std::uint64_t> reasons;
    };

    void add(const Window& window);
    void add(const RowKey& key, std::size_t index, const Row& row);
    static SummaryRow rowFrom(const RowKey& key, const Sums& sums, const ObjectiveOf& objectiveOf);

    Summary m_summary;
    std::set<InstanceId> m_seen;
    std::map<RowKey, Sums> m_sums;
};

} // namespace swiftloft::burn
