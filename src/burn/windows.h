#pragma once

#include <swiftloft/units.h>

#include "src/burn/report.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace swiftloft::burn {

enum class Outcome {
    Good,
    Bad,
};

/// Counts the requests of one entry by service, organisation and outcome over sliding windows.
///
/// Each window is a ring of twelve buckets; a bucket holds only pairs that were seen in it. Not thread-safe; time is
/// passed in and must not go back.
class BurnWindows {
public:
    /// Pairs of service and organisation counted apart. Later ones are summed under `otherOrganisation`, so that
    /// requests with made-up organisations can't fill memory.
    static constexpr std::size_t defaultMaxRows = 20000;
    static constexpr std::string_view otherOrganisation = "(other)";

    explicit BurnWindows(TimePoint now, std::size_t maxRows = defaultMaxRows);

    /// Counts one request that ended at `now`. `reason` says why it is bad ("slow" for a good answer that came too
    /// late) and is left out of account when it is good.
    void add(TimePoint now, const ServiceName& service, const OrganisationName& organisation, Outcome outcome, std::string_view reason = {});

    /// `since` is the UTC time of construction. With 20,000 busy pairs this takes tens of milliseconds, and `toJson` of it
    /// longer: turn the report into text on another thread than the one that counts.
    Report report(TimePoint now, const InstanceId& instance, std::string since, const Scope& scope = {}) const;

private:
    static constexpr int bucketsPerWindow = 12;
    static constexpr std::size_t maxReasons = 64;

    /// A row and a reason; reason 0 is the good ones.
    struct CellId {
        std::uint32_t row;
        std::uint32_t reason;
        friend bool operator==(const CellId&, const CellId&) = default;
        friend std::size_t hash_value(const CellId& id) { return std::hash<std::uint64_t> {}((std::uint64_t { id.row } << 32) | id.reason); } // NOLINT(readability-identifier-naming): found by Boost under this name
    };

    using Cells = boost::unordered_flat_map<CellId, std::uint64_t>;

    struct Bucket {
        /// Counted in bucket widths from the start; buckets of another number are out of date.
        std::int64_t number { -1 };
        Cells cells;
    };

    struct Ring {
        std::chrono::seconds length;
        std::array<Bucket, bucketsPerWindow> buckets;

        std::int64_t bucketNumber(Clock::duration age) const { return age / (length / bucketsPerWindow); }
    };

    struct RowName {
        std::string service;
        std::string organisation;
        /// First row of the same service; stands for it where organisations aren't told apart.
        std::uint32_t serviceRow { 0 };
    };

    std::uint32_t rowOf(const std::string& service, std::string_view organisation);
    std::uint32_t reasonOf(std::string_view reason);
    Window windowOf(const Ring& ring, Clock::duration age, const Scope& scope) const;
    std::vector<Row> rowsOf(const Cells& cells, const Scope& scope) const;
    /// Leaves out rows without requests and names the others.
    std::vector<Row> named(std::vector<Row> rows, const Scope& scope) const;

    TimePoint m_start;
    std::size_t m_maxRows;
    std::vector<RowName> m_rowNames;
    std::unordered_map<std::string, std::uint32_t> m_rowByName;
    std::unordered_map<std::string, std::uint32_t> m_serviceRows;
    std::vector<std::string> m_reasons { "good", "other" };
    std::array<Ring, windowLengths.size()> m_rings;
};

} // namespace swiftloft::burn
